#ifndef HICKORYCRANK_BASE_TIME_TYPE_H
#define HICKORYCRANK_BASE_TIME_TYPE_H

#include <chrono>

namespace hickorycrank::base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point; ///< Monotonic; virtual in replay.
using Duration = Clock::duration;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>; ///< UTC.

/**
 * Converts a duration for arithmetic on rates and costs.
 * @param Value Any duration.
 * @return The same span as fractional milliseconds.
 */
inline double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

/**
 * Converts fractional milliseconds back to a duration.
 * @param Milliseconds Span in milliseconds.
 * @return The span, rounded towards zero to the clock's resolution.
 */
inline Duration fromMilliseconds(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace hickorycrank::base

#endif
