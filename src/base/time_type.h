#ifndef HICKORYCRANK_BASE_TIME_TYPE_H
#define HICKORYCRANK_BASE_TIME_TYPE_H

#include <algorithm>
#include <chrono>
#include <cmath>

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

/** Longest span that fromMilliseconds() returns: far above any use, and far
 * enough from the limits of the clock to be added to a time. */
inline constexpr std::chrono::hours MaxSpan(24 * 365);

/**
 * Converts fractional milliseconds back to a duration.
 * @param Milliseconds Span in milliseconds; may be computed from numbers that
 *   others state.
 * @return The span, rounded towards zero to the clock's resolution and cut to
 *   MaxSpan; zero for a NaN.
 */
inline Duration fromMilliseconds(double Milliseconds) {
  using FractionalMilliseconds = std::chrono::duration<double, std::milli>;
  if (std::isnan(Milliseconds)) {
    return Duration::zero();
  }
  constexpr double Most = FractionalMilliseconds(MaxSpan).count();
  return std::chrono::duration_cast<Duration>(
      FractionalMilliseconds(std::clamp(Milliseconds, -Most, Most)));
}

} // namespace hickorycrank::base

#endif
