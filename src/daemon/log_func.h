#ifndef HICKORYCRANK_DAEMON_LOG_FUNC_H
#define HICKORYCRANK_DAEMON_LOG_FUNC_H

#include <map>
#include <string>

namespace hickorycrank::daemon {

/** Severity of a log line. */
enum class LogLevel { Info, Warning, Error };

/** Members of a log line other than time, level and event. */
using LogFields = std::map<std::string, std::string>;

/** Configures glog to write JSON lines to standard error.
 * @param Program argv[0]. */
void initialiseLogging(const char *Program);

/**
 * Writes log lines to standard output in non-blocking mode: lines that do not
 * fit into a full pipe are dropped, so that logging never delays a request.
 */
void setNonBlockingLog();

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
