#include "cli/commands_func.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

namespace hickorycrank::cli {

ParsedLine parseLine(int Count, const char **Arguments,
                     const poptOption *Options, const char *Usage) {
  ParsedLine Line;
  int Help = 0;
  std::array<poptOption, 3> Table{};
  Table[0].argInfo = POPT_ARG_INCLUDE_TABLE;
  Table[0].arg = const_cast<poptOption *>(Options);
  Table[0].descrip = "Options:";
  Table[1].longName = "help";
  Table[1].shortName = 'h';
  Table[1].argInfo = POPT_ARG_NONE;
  Table[1].arg = &Help;
  Table[1].descrip = "Show this help";
  poptContext Context =
      poptGetContext(nullptr, Count, Arguments, Table.data(), 0);
  poptSetOtherOptionHelp(Context, Usage);
  int Status = 0;
  while ((Status = poptGetNextOpt(Context)) >= 0) {
  }
  if (Status < -1) {
    std::cerr << poptBadOption(Context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(Status) << "; see --help\n";
    Line.Exit = ExitCode::Usage;
  } else if (Help != 0) {
    poptPrintHelp(Context, stdout, 0);
    Line.Exit = ExitCode::Success;
  } else {
    while (const char *Argument = poptGetArg(Context)) {
      Line.Positional.emplace_back(Argument);
    }
  }
  poptFreeContext(Context);
  return Line;
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Source(Path, std::ios::binary);
  if (!Source) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(Source), {});
}

} // namespace hickorycrank::cli
