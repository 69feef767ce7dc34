#ifndef HICKORYCRANK_LIMITS_CONNECTION_SHARE_FUNC_H
#define HICKORYCRANK_LIMITS_CONNECTION_SHARE_FUNC_H

#include "base/time_type.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>

namespace hickorycrank::limits {

/**
 * The numbers of live instances that were seen lately. Only the platform's
 * list lowers the number: a side of a partition that cannot reach the others
 * must not take their connections.
 */
struct InstanceCounts {
  std::deque<std::pair<base::TimePoint, uint32_t>> Seen;
};

/** Time for which the largest number seen still counts. */
inline constexpr base::Duration InstanceCountWindow = std::chrono::seconds(60);

/**
 * Records how many instances the platform's list and the peers' joins show.
 * @param Counts Record to extend.
 * @param Now Current time.
 * @param Live Number of live instances, this one included.
 */
inline void recordInstances(InstanceCounts &Counts, base::TimePoint Now,
                            uint32_t Live) {
  while (!Counts.Seen.empty() && Counts.Seen.back().second <= Live) {
    Counts.Seen.pop_back();
  }
  Counts.Seen.emplace_back(Now, Live);
  while (Counts.Seen.size() > 1 &&
         Counts.Seen[1].first + InstanceCountWindow <= Now) {
    Counts.Seen.pop_front();
  }
}

/**
 * Divides a backend server's connections among the instances.
 * @param Cap Connections that the backend server accepts.
 * @param Planned Planned number of instances; never divides by less.
 * @param Counts Numbers of instances seen lately.
 * @return Connections that this instance may hold to one server, at least 1.
 */
inline uint32_t connectionShare(uint32_t Cap, uint32_t Planned,
                                const InstanceCounts &Counts) {
  uint32_t Divisor = std::max(Planned, 1U);
  for (const auto &[When, Live] : Counts.Seen) {
    Divisor = std::max(Divisor, Live);
  }
  return std::max(Cap / Divisor, 1U);
}

} // namespace hickorycrank::limits

#endif
