#include "cli/commands_func.h"

#include <iostream>
#include <string_view>

namespace {

using hickorycrank::cli::Command;
using hickorycrank::cli::ExitCode;

const Command Commands[] = {
    {"serve", "run an entry instance", hickorycrank::cli::runServe},
    {"gateway", "run an entry instance on the users' platform",
     hickorycrank::cli::runGateway},
    {"check", "validate settings and published documents",
     hickorycrank::cli::runCheck},
    {"query", "send one query as a caller would", hickorycrank::cli::runQuery},
    {"replay", "run traces on virtual time against their bounds",
     hickorycrank::cli::runReplay},
    {"explain", "tell from logs what happened to a request",
     hickorycrank::cli::runExplain},
    {"status", "show an instance's view", hickorycrank::cli::runStatus},
    {"demo", "run both example deployments on loopback",
     hickorycrank::cli::runDemo},
};

/** Prints the list of subcommands. @param Out Where to. */
void printUsage(std::ostream &Out) {
  Out << "usage: hickorycrank COMMAND [OPTION...]\n\n";
  for (const Command &Entry : Commands) {
    Out << "  " << Entry.Name << "\t" << Entry.Summary << '\n';
  }
  Out << "\nEach command has --help. Exit codes: 0 success, 1 failed, 2 "
         "usage, 3 bad input, 4 unavailable.\n";
}

} // namespace

/**
 * Runs the subcommand that the first argument names.
 * @param Count Number of arguments.
 * @param Arguments Arguments.
 * @return Exit code.
 */
int main(int Count, char **Arguments) {
  std::string_view Name = Count > 1 ? Arguments[1] : "";
  if (Name == "--help" || Name == "-h") {
    printUsage(std::cout);
    return ExitCode::Success;
  }
  for (const Command &Entry : Commands) {
    if (Name == Entry.Name) {
      return Entry.Run(Count - 1, const_cast<const char **>(Arguments) + 1);
    }
  }
  printUsage(std::cerr);
  return ExitCode::Usage;
}
