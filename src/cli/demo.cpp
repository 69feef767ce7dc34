#include "cli/commands_func.h"

#include "daemon/log_func.h"
#include "standin/demo_func.h"
#include "standin/deployment_base.h"

#include <glog/logging.h>
#include <iostream>

namespace hickorycrank::cli {

namespace {

constexpr int MinSeconds = 3;
constexpr int MaxSeconds = 600;

} // namespace

int runDemo(int Count, const char **Arguments) {
  standin::DemoOptions Wanted;
  char *Folder = nullptr;
  int Seconds = static_cast<int>(
      std::chrono::floor<std::chrono::seconds>(Wanted.Length).count());
  const poptOption Options[] = {
      {"examples", 'e', POPT_ARG_STRING, &Folder, 0,
       "Folder with consortium/ and cooperative/ (default: examples)", "DIR"},
      {"seconds", 's', POPT_ARG_INT, &Seconds, 0,
       "Time under load, all phases together (default: 18)", "N"},
      POPT_TABLEEND};
  ParsedLine Line = parseLine(Count, Arguments, Options, "");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (!Line.Positional.empty() || Seconds < MinSeconds ||
      Seconds > MaxSeconds) {
    std::cerr << "--seconds must be from " << MinSeconds << " to " << MaxSeconds
              << ", and no further arguments are taken; see --help\n";
    return ExitCode::Usage;
  }
  if (Folder != nullptr) {
    Wanted.Examples = Folder;
  }
  for (const char *Name : {"consortium", "cooperative"}) {
    std::string Path = Wanted.Examples + "/" + Name;
    if (standin::readDocuments(Path).empty()) {
      std::cerr << Path << ": holds no documents; give --examples DIR\n";
      return ExitCode::BadInput;
    }
  }
  Wanted.Length = std::chrono::seconds(Seconds);
  daemon::initialiseLogging("hickorycrank");
  // One JSON line per query would hide the tables.
  FLAGS_minloglevel = google::GLOG_FATAL;
  std::vector<std::string> Broken = standin::runDemo(Wanted, std::cout);
  for (const std::string &Expectation : Broken) {
    std::cerr << "not as expected: " << Expectation << '\n';
  }
  return Broken.empty() ? ExitCode::Success : ExitCode::Failed;
}

} // namespace hickorycrank::cli
