#ifndef HICKORYCRANK_FORWARD_SERVER_SPEED_FUNC_H
#define HICKORYCRANK_FORWARD_SERVER_SPEED_FUNC_H

#include "forward/server_speed_type.h"

namespace hickorycrank::forward {

/**
 * Records the latency of an attempt.
 * @param Speed Of the server that ran it.
 * @param Now Current time.
 * @param Ratio Latency relative to the typical one of the route.
 * @param LowerBound Whether the attempt was abandoned, so that the latency is
 *   at least the stated one.
 * @param SentAt When the attempt was sent; an attempt that was sent after a
 *   slow reply and is slow too weighs more.
 */
void observeSpeed(ServerSpeed &Speed, base::TimePoint Now, double Ratio,
                  bool LowerBound, base::TimePoint SentAt = {});

/**
 * Estimates the latency of a request that is sent now.
 * @param Speed Of the server.
 * @param Now Current time.
 * @return The latency relative to the typical one of its route, without
 *   queueing.
 */
double currentSlowness(const ServerSpeed &Speed, base::TimePoint Now);

} // namespace hickorycrank::forward

#endif
