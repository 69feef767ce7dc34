#ifndef HICKORYCRANK_DAEMON_LOG_LIMIT_BASE_H
#define HICKORYCRANK_DAEMON_LOG_LIMIT_BASE_H

#include "base/time_type.h"
#include "daemon/log_func.h"

#include <cstdint>
#include <string>

namespace hickorycrank::daemon {

/** Bounds the log lines about single requests. */
class LogLimit {
public:
  /** Lines a second about requests; more would cost the requests themselves
   * processor time. */
  static constexpr double LinesPerSecond = 40;

  /**
   * Writes an event unless too many were written lately. What was left out is
   * counted, and stated with the next line that is written.
   * @param Now Current time.
   * @param Level Severity.
   * @param Event Stable name.
   * @param Fields Further members.
   */
  void log(base::TimePoint Now, LogLevel Level, const std::string &Event,
           LogFields Fields);

private:
  double Credit = LinesPerSecond;
  base::TimePoint Last;
  uint64_t Omitted = 0;
};

} // namespace hickorycrank::daemon

#endif
