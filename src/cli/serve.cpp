#include "cli/commands_func.h"

#include "config/settings_func.h"
#include "daemon/instance_base.h"
#include "daemon/log_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

namespace hickorycrank::cli {

int runServe(int Count, const char **Arguments) {
  char *Path = nullptr;
  int Describe = 0;
  const poptOption Options[] = {{"settings", 's', POPT_ARG_STRING, &Path, 0,
                                 "Settings file (TOML)", "FILE"},
                                {"describe-settings", 0, POPT_ARG_NONE,
                                 &Describe, 0, "List all settings and exit",
                                 nullptr},
                                POPT_TABLEEND};
  ParsedLine Line = parseLine(Count, Arguments, Options, "--settings FILE");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (Describe != 0) {
    std::cout << config::describeSettings();
    return ExitCode::Success;
  }
  if (Path == nullptr || !Line.Positional.empty()) {
    std::cerr << "give --settings FILE and nothing else; see --help\n";
    return ExitCode::Usage;
  }
  auto Text = readFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot be read; check the path\n";
    return ExitCode::BadInput;
  }
  std::vector<base::Error> Errors;
  config::Settings Own = config::parseSettings(*Text, Path, Errors);
  for (const base::Error &Entry : Errors) {
    std::cerr << Entry.Message << '\n';
  }
  if (!Errors.empty()) {
    return ExitCode::BadInput;
  }
  daemon::initialiseLogging("hickorycrank");
  boost::asio::io_context Context(static_cast<int>(Own.Threads));
  std::shared_ptr<daemon::Instance> Running;
  try {
    Running = std::make_shared<daemon::Instance>(Context, Own);
  } catch (const boost::system::system_error &Failure) {
    std::cerr << "cannot bind an address: " << Failure.what()
              << "; change listen, admin or peer\n";
    return ExitCode::Unavailable;
  }
  Running->start();
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (!Failure) {
      Running->stop([&Context] { Context.stop(); });
    }
  });
  std::vector<std::thread> Threads;
  for (uint32_t I = 1; I < Own.Threads; ++I) {
    Threads.emplace_back([&Context] { Context.run(); });
  }
  Context.run();
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
  return ExitCode::Success;
}

} // namespace hickorycrank::cli
