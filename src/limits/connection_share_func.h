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
 * Recent samples of the number of live instances, kept as a sliding-window
 * maximum. Only the platform's list can lower the number: during a network
 * partition, instances on one side must not take over the connections of those
 * that they cannot reach.
 */
struct InstanceCounts {
  std::deque<std::pair<base::TimePoint, uint32_t>> Samples;
};

/** Window over which the maximum number of instances is taken. */
inline constexpr base::Duration InstanceCountWindow = std::chrono::seconds(60);

/**
 * Records the number of live instances derived from the platform's list and
 * from peers that have joined.
 * @param Counts Samples to update.
 * @param Now Current time.
 * @param Live Number of live instances, this one included.
 */
inline void recordInstances(InstanceCounts &Counts, base::TimePoint Now,
                            uint32_t Live) {
  while (!Counts.Samples.empty() && Counts.Samples.back().second <= Live) {
    Counts.Samples.pop_back();
  }
  Counts.Samples.emplace_back(Now, Live);
  while (Counts.Samples.size() > 1 &&
         Counts.Samples[1].first + InstanceCountWindow <= Now) {
    Counts.Samples.pop_front();
  }
}

/**
 * Computes this instance's share of the connections to a backend server.
 * @param Cap Maximum number of connections that the backend server accepts.
 * @param Planned Planned number of instances, the minimum divisor.
 * @param Counts Recent samples of the number of instances.
 * @return Maximum number of connections from this instance to one server, at
 *   least 1.
 */
inline uint32_t connectionShare(uint32_t Cap, uint32_t Planned,
                                const InstanceCounts &Counts) {
  uint32_t Divisor = std::max(Planned, 1U);
  for (const auto &[SeenAt, Live] : Counts.Samples) {
    Divisor = std::max(Divisor, Live);
  }
  return std::max(Cap / Divisor, 1U);
}

} // namespace hickorycrank::limits

#endif
