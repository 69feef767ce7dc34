#ifndef HICKORYCRANK_FORWARD_ROOM_FUNC_H
#define HICKORYCRANK_FORWARD_ROOM_FUNC_H

#include "base/random_base.h"
#include "forward/server_set_base.h"

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
 * miss their target at a server.
 * @param Now Current time.
 * @param Backend The server.
 * @param TypicalLatency Typical latency of the less urgent part.
 * @param Urgent The more urgent requests; their recent rate decides how much
 *   room they need.
 * @param Servers Number of servers that share their requests.
 * @return Whether they would wait too long. False if they miss their target
 *   even without a queue.
 */
bool isPressed(base::TimePoint Now, const Server &Backend,
               base::Duration TypicalLatency, const UrgentDemand &Urgent,
               size_t Servers);

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
