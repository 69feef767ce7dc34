#include "cli/commands_func.h"

#include "daemon/gateway_base.h"
#include "daemon/log_func.h"
#include "platform/dialect_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace hickorycrank::cli {

namespace {

/** Period at which the settings file is read again; it may change without a
 * signal. */
constexpr std::chrono::seconds ReloadPeriod(2);

/** Reads the settings file again when it may have changed. */
class SettingsWatch {
public:
  SettingsWatch(boost::asio::io_context &Context, std::string Path,
                std::string Text, daemon::Gateway &Target)
      : Path(std::move(Path)), Text(std::move(Text)), Target(Target),
        Timer(Context) {}

  /** Compares the file with what is in force. */
  void check() {
    auto Newer = readFile(this->Path);
    if (!Newer || *Newer == this->Text) {
      return;
    }
    this->Text = *Newer;
    auto Changed = platform::readSettings(*Newer, this->Path);
    if (!Changed) {
      daemon::logEvent(daemon::LogLevel::Error, "settings.rejected",
                       {{"error", Changed.error().Message}});
      return;
    }
    this->Target.reload(Changed.value());
  }

  /** Checks at a fixed period. */
  void run() {
    this->Timer.expires_after(ReloadPeriod);
    this->Timer.async_wait([this](boost::system::error_code Failure) {
      if (Failure) {
        return;
      }
      this->check();
      this->run();
    });
  }

private:
  std::string Path;
  std::string Text;
  daemon::Gateway &Target;
  boost::asio::steady_timer Timer;
};

/** Waits for signals until the process is to end. */
void waitForSignal(boost::asio::io_context &Context,
                   boost::asio::signal_set &Signals, daemon::Gateway &Running,
                   SettingsWatch &Watch) {
  Signals.async_wait([&](boost::system::error_code Failure, int Signal) {
    if (Failure) {
      return;
    }
    if (Signal == SIGHUP) {
      Watch.check();
    } else {
      Running.stop([&Context] { Context.stop(); });
    }
    waitForSignal(Context, Signals, Running, Watch);
  });
}

} // namespace

int runGateway(int Count, const char **Arguments) {
  // Until the handler below is set, a changed file is read anyway; without
  // this, the signal would end the process while it starts.
  std::signal(SIGHUP, SIG_IGN);
  const char *Default = std::getenv(platform::SettingsVariable);
  char *Path = nullptr;
  const poptOption Options[] = {{"settings", 's', POPT_ARG_STRING, &Path, 0,
                                 "Settings file of the platform (TOML)",
                                 "FILE"},
                                POPT_TABLEEND};
  ParsedLine Line = parseLine(Count, Arguments, Options, "[--settings FILE]");
  if (Line.Exit) {
    return *Line.Exit;
  }
  std::string File = Path != nullptr ? Path : Default != nullptr ? Default : "";
  if (File.empty() || !Line.Positional.empty()) {
    std::cerr << "give --settings FILE, or set " << platform::SettingsVariable
              << "; see --help\n";
    return ExitCode::Usage;
  }
  auto Text = readFile(File);
  if (!Text) {
    std::cerr << File << ": cannot be read; check the path\n";
    return ExitCode::BadInput;
  }
  auto Own = platform::readSettings(*Text, File);
  if (!Own) {
    std::cerr << Own.error().Message << '\n';
    return ExitCode::BadInput;
  }
  daemon::initialiseLogging("hickorycrank");
  daemon::setNonBlockingLog();
  boost::asio::io_context Context(1);
  std::shared_ptr<daemon::Gateway> Running;
  try {
    Running = std::make_shared<daemon::Gateway>(Context, Own.value(),
                                                platform::makeDialect());
    Running->start();
  } catch (const boost::system::system_error &Failure) {
    std::cerr << "cannot bind an address: " << Failure.what()
              << "; change the settings file\n";
    return ExitCode::Unavailable;
  }
  SettingsWatch Watch(Context, File, *Text, *Running);
  Watch.run();
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT, SIGHUP);
  waitForSignal(Context, Signals, *Running, Watch);
  Context.run();
  return ExitCode::Success;
}

} // namespace hickorycrank::cli
