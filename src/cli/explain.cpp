#include "cli/commands_func.h"

#include "diagnosis/explain_func.h"

#include <iostream>

namespace hickorycrank::cli {

int runExplain(int Count, const char **Arguments) {
  const poptOption Options[] = {POPT_TABLEEND};
  ParsedLine Line = parseLine(Count, Arguments, Options,
                              "REQUEST-ID LOG...  (one LOG for "
                              "each instance)");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (Line.Positional.size() < 2) {
    std::cerr << "explain: name the id of a request and at least one log\n";
    return ExitCode::Usage;
  }
  std::vector<diagnosis::InstanceLog> Logs;
  for (size_t I = 1; I < Line.Positional.size(); ++I) {
    auto Text = readFile(Line.Positional[I]);
    if (!Text) {
      std::cerr << Line.Positional[I] << ": cannot be read\n";
      return ExitCode::BadInput;
    }
    Logs.push_back(diagnosis::parseLog(Line.Positional[I], *Text));
  }
  auto Found = diagnosis::explain(Line.Positional[0], Logs);
  if (!Found) {
    std::cerr << Found.error().Message << '\n';
    return ExitCode::Failed;
  }
  std::cout << diagnosis::toText(Found.value());
  return ExitCode::Success;
}

} // namespace hickorycrank::cli
