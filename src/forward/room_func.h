#ifndef HICKORYCRANK_FORWARD_ROOM_FUNC_H
#define HICKORYCRANK_FORWARD_ROOM_FUNC_H

#include "base/random_base.h"
#include "forward/server_set_base.h"
#include "limits/recent_rate_func.h"

#include <chrono>
#include <vector>

namespace hickorycrank::forward {

/** A more urgent route whose requests use the same servers. */
struct UrgentDemand {
  base::Duration Target{};   ///< Target latency of the route.
  base::Duration Typical{};  ///< Typical latency of its attempts.
  double FleetPerSecond = 0; ///< Recent requests, of all instances.
};

/**
 * Estimates how fast this instance's attempts at a service start and end.
 * @param Now Current time.
 * @param Pool The service.
 * @param TypicalLatency Typical latency of the attempts.
 * @return Time between two ends of outstanding attempts, and the shortest
 *   expected time of an attempt at a reachable server.
 */
limits::ServicePace estimatePace(base::TimePoint Now, const ServicePool &Pool,
                                 base::Duration TypicalLatency);

/**
 * Estimates the reply time of a part if this instance has as many outstanding
 * attempts at each server of a service as it may have.
 * @param Pace Pace of the service.
 * @param Ahead Parts that start before it.
 * @return Expected time until the reply.
 */
base::Duration expectedTimeInQueue(const limits::ServicePace &Pace,
                                   size_t Ahead);

/**
 * Checks whether a part of a less urgent request would make more urgent ones
 * miss their target at all servers of a service.
 * @param Now Current time.
 * @param Pool The service.
 * @param TypicalLatency Typical latency of the less urgent part.
 * @param Urgent The more urgent requests; their recent rate decides how much
 *   room they need.
 * @return Whether they would wait too long. False if they miss their target
 *   even without a queue.
 */
bool isPressed(base::TimePoint Now, const ServicePool &Pool,
               base::Duration TypicalLatency, const UrgentDemand &Urgent);

/**
 * Estimates how long a route needs to serve the requests that it has refused
 * lately, at the rate at which it admits requests.
 * @param Now Current time.
 * @param Demand Recent requests of the route.
 * @return Expected time until the callers have been served.
 */
base::Duration returnTime(base::TimePoint Now,
                          const limits::RouteDemand &Demand);

/**
 * Chooses when a caller whose request was refused should send it again.
 * @param RoomIn Expected time until there is room.
 * @param Target Target latency of the route.
 * @param Generator Spreads the callers, so that they do not return together.
 * @return Time until the new attempt.
 */
std::chrono::milliseconds chooseRetryAfter(base::Duration RoomIn,
                                           base::Duration Target,
                                           base::Random &Generator);

} // namespace hickorycrank::forward

#endif
