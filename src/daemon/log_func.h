#ifndef HICKORYCRANK_DAEMON_LOG_FUNC_H
#define HICKORYCRANK_DAEMON_LOG_FUNC_H

#include <map>
#include <string>

namespace hickorycrank::daemon {

/** Severity of a log line. */
enum class LogLevel { Info, Warning, Error };

/** Members of a log line besides time, level and event. */
using LogFields = std::map<std::string, std::string>;

/** Sets glog up for JSON lines on standard error. @param Program argv[0]. */
void initialiseLogging(const char *Program);

/**
 * Sends log lines to standard output and never waits for its reader: what a
 * full pipe does not take is lost, so that logging holds up no request.
 */
void logWithoutBlocking();

/**
 * Writes one event as a JSON line.
 * @param Level Severity.
 * @param Event Stable name such as "query.refused".
 * @param Fields Further members; must hold no credentials.
 */
void logEvent(LogLevel Level, const std::string &Event,
              const LogFields &Fields);

} // namespace hickorycrank::daemon

#endif
