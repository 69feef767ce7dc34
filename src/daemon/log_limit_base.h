#ifndef HICKORYCRANK_DAEMON_LOG_LIMIT_BASE_H
#define HICKORYCRANK_DAEMON_LOG_LIMIT_BASE_H

#include "base/time_type.h"
#include "daemon/log_func.h"

#include <cstdint>
#include <string>

namespace hickorycrank::daemon {

/** Token bucket that limits the rate of log lines about single requests. */
class LogLimit {
public:
  /** Rate and burst of the bucket; a higher rate would take processor time
   * from the requests themselves. */
  static constexpr double LinesPerSecond = 40;

  /**
   * Writes an event unless the rate limit is exceeded. Dropped events are
   * counted, and the next line that is written states their number.
   * @param Now Current time.
   * @param Level Severity.
   * @param Event Stable name.
   * @param Fields Further members.
   */
  void log(base::TimePoint Now, LogLevel Level, const std::string &Event,
           LogFields Fields);

private:
  double Tokens = LinesPerSecond;
  base::TimePoint LastRefill;
  uint64_t Omitted = 0;
};

} // namespace hickorycrank::daemon

#endif
