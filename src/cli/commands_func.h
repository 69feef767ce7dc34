#ifndef HICKORYCRANK_CLI_COMMANDS_FUNC_H
#define HICKORYCRANK_CLI_COMMANDS_FUNC_H

#include "cli/command_type.h"

#include <map>
#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace hickorycrank::cli {

/** A parsed command line. */
struct ParsedLine {
  std::vector<std::string> Positional;
  std::optional<int> Exit; ///< Set if the command must end, such as on --help.
};

/**
 * Parses the arguments of a subcommand with popt; prints help or the error.
 * @param Count Number of arguments.
 * @param Arguments Arguments; the first one is the subcommand.
 * @param Options popt table; --help is added.
 * @param Usage Text after the options in the usage line.
 * @return Positional arguments, or the exit code to end with.
 */
ParsedLine parseLine(int Count, const char **Arguments,
                     const poptOption *Options, const char *Usage);

/**
 * Reads a whole file.
 * @param Path Path of the file.
 * @return Its bytes, or nothing if it cannot be read.
 */
std::optional<std::string> readFile(const std::string &Path);

/** serve: runs an entry instance. @param Count Arguments. @param Arguments
 * Arguments. @return Exit code. */
int runServe(int Count, const char **Arguments);

/** gateway: runs an entry instance on the users' platform. @param Count
 * Arguments. @param Arguments Arguments. @return Exit code. */
int runGateway(int Count, const char **Arguments);

/** check: validates settings and published documents. @param Count Arguments.
 * @param Arguments Arguments. @return Exit code. */
int runCheck(int Count, const char **Arguments);

/** query: sends one query as a caller would. @param Count Arguments.
 * @param Arguments Arguments. @return Exit code. */
int runQuery(int Count, const char **Arguments);

/** replay: runs traces on virtual time against their bounds. @param Count
 * Arguments. @param Arguments Arguments. @return Exit code. */
int runReplay(int Count, const char **Arguments);

/** explain: joins what logs tell of a request. @param Count Arguments.
 * @param Arguments Arguments. @return Exit code. */
int runExplain(int Count, const char **Arguments);

/** status: shows an instance's view. @param Count Arguments. @param Arguments
 * Arguments. @return Exit code. */
int runStatus(int Count, const char **Arguments);

/** demo: runs both example deployments on loopback. @param Count Arguments.
 * @param Arguments Arguments. @return Exit code. */
int runDemo(int Count, const char **Arguments);

} // namespace hickorycrank::cli

#endif
