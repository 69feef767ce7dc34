#ifndef HICKORYCRANK_FORWARD_SERVER_SPEED_TYPE_H
#define HICKORYCRANK_FORWARD_SERVER_SPEED_TYPE_H

#include "base/time_type.h"

#include <cstdint>
#include <optional>

namespace hickorycrank::forward {

/** How long a server takes for a request, relative to the typical latency of
 * its route: a lasting factor, learned over minutes, times a factor of the
 * moment, which a pause or other processes on its machine cause. */
struct ServerSpeed {
  double Lasting = 1;        ///< Running median of the latency ratios.
  uint32_t Observations = 0; ///< That have changed Lasting.
  base::TimePoint LastingAt; ///< Last change of Lasting.
  double Moment = 1;         ///< Smoothed ratio to Lasting.
  base::TimePoint MomentAt;  ///< Last change of Moment.
  /** Start of the present series of slow replies; max() if there is none. */
  base::TimePoint SlowSince = base::TimePoint::max();
  /** Time of the last reply that was slow and sent after the one before;
   * nothing if the last reply was not slow. */
  std::optional<base::TimePoint> SlowReplyAt;
};

} // namespace hickorycrank::forward

#endif
