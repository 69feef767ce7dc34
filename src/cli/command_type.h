#ifndef HICKORYCRANK_CLI_COMMAND_TYPE_H
#define HICKORYCRANK_CLI_COMMAND_TYPE_H

namespace hickorycrank::cli {

/** Exit codes of all subcommands. */
enum ExitCode : int {
  Success = 0,
  Failed = 1,      ///< A check, bound or request failed.
  Usage = 2,       ///< The command line is not valid.
  BadInput = 3,    ///< A file is missing or not valid.
  Unavailable = 4, ///< An address cannot be bound or reached.
};

/** One subcommand. */
struct Command {
  const char *Name;
  const char *Summary;                           ///< One line for --help.
  int (*Run)(int Count, const char **Arguments); ///< Arguments[0] is the name.
};

} // namespace hickorycrank::cli

#endif
