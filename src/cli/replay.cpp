#include "cli/commands_func.h"

#include "replay/report_func.h"
#include "replay/trace_func.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace hickorycrank::cli {

namespace {

/** Folder of the traces that run if none is named. */
constexpr const char *DefaultFolder = "traces";

/** @return Paths of all traces of the default folder, by name. */
std::vector<std::string> defaultTraces() {
  std::vector<std::string> Paths;
  std::error_code Failure;
  for (const auto &Entry :
       std::filesystem::directory_iterator(DefaultFolder, Failure)) {
    if (Entry.path().extension() == ".jsonl") {
      Paths.push_back(Entry.path().string());
    }
  }
  std::sort(Paths.begin(), Paths.end());
  return Paths;
}

} // namespace

int runReplay(int Count, const char **Arguments) {
  int Json = 0;
  const poptOption Options[] = {
      {"json", 'j', POPT_ARG_NONE, &Json, 0, "Print lines of JSON", nullptr},
      POPT_TABLEEND};
  ParsedLine Line = parseLine(Count, Arguments, Options,
                              "[--json] [TRACE...]  (default: traces/*.jsonl)");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (Line.Positional.empty()) {
    Line.Positional = defaultTraces();
  }
  if (Line.Positional.empty()) {
    std::cerr << "no traces found; name them or run beside traces/\n";
    return ExitCode::Usage;
  }
  if (Json == 0) {
    std::cout << replay::tableHeading();
  }
  bool Passed = true;
  for (const std::string &Path : Line.Positional) {
    auto Text = readFile(Path);
    if (!Text) {
      std::cerr << Path << ": cannot be read\n";
      return ExitCode::BadInput;
    }
    base::Result<replay::Trace> Parsed = replay::parseTrace(*Text);
    if (!Parsed.has_value()) {
      std::cerr << Path << ": " << Parsed.error().Message << '\n';
      return ExitCode::BadInput;
    }
    replay::Row Engine =
        replay::replayTrace(Parsed.value(), "engine", routing::Policy());
    replay::Row Baseline = replay::replayTrace(Parsed.value(), "baseline",
                                               replay::baselinePolicy());
    for (const replay::Row *Entry : {&Engine, &Baseline}) {
      std::cout << (Json != 0 ? replay::toJson(*Entry) + "\n"
                              : replay::toTable(*Entry));
    }
    std::cout.flush();
    // The baseline is shown for comparison and decides nothing.
    Passed = Passed && Engine.Passed;
  }
  return Passed ? ExitCode::Success : ExitCode::Failed;
}

} // namespace hickorycrank::cli
