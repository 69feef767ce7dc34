#ifndef HICKORYCRANK_ROUTING_SERVER_FUNC_H
#define HICKORYCRANK_ROUTING_SERVER_FUNC_H

#include "base/time_type.h"
#include "routing/directory_base.h"
#include "routing/policy_type.h"
#include "routing/server_type.h"

namespace hickorycrank::routing {

/** How an attempt on a backend server ended, as far as routing cares. */
enum class Outcome {
  Success, ///< A valid reply.
  Failure, ///< An error reply, a reset or a time-out on a new connection.
  Shed,    ///< The server refused work because it is busy.
};

/**
 * Records the end of an attempt: success rate, latency, consecutive failures.
 * @param Server The server.
 * @param Ended How the attempt ended.
 * @param Latency Time from send to reply; only used for successes.
 * @param Now Current time.
 */
void recordOutcome(ServerState &Server, Outcome Ended, base::Duration Latency,
                   base::TimePoint Now);

/**
 * Records that an attempt was cancelled after a wait. The wait adds to the
 * smoothed latency without an attempt that ended: the estimate of a mean from
 * censored observations. Averaging the waits instead would never show more
 * than the hedge delay for a straggler whose attempts are all cancelled.
 * @param Server The server.
 * @param Waited Time from send to cancellation.
 * @param Now Current time.
 */
void recordCancelled(ServerState &Server, base::Duration Waited,
                     base::TimePoint Now);

/**
 * Adapts the concurrency limit: up by one per limit successes without
 * queueing, down by a factor when the server sheds or times out.
 * @param Server The server.
 * @param Ended How the attempt ended.
 * @param Share Upper bound: this instance's share of the connections.
 */
void adaptLimit(ServerState &Server, Outcome Ended, double Share);

/**
 * Ejects a server after repeated failures unless that would leave a shard
 * with less than two thirds of its replicas, or with none of two.
 * @param Servers Directory that holds the server.
 * @param Index The server.
 * @param Now Current time.
 * @return Whether the server was ejected.
 */
bool ejectIfFailing(Directory &Servers, base::ServerIndex Index,
                    base::TimePoint Now);

/**
 * Weight of a server that appeared a while ago.
 * @param Server The server.
 * @param Rules Policy in force.
 * @param Now Current time.
 * @return From RampStart to 1.
 */
double rampWeight(const ServerState &Server, const Policy &Rules,
                  base::TimePoint Now);

/**
 * Expected cost of one more attempt; lower is better. Latency, failures and
 * outstanding work are observed here; the reported load decays and is bounded,
 * because reports lag and may mislead.
 * @param Server The server.
 * @param Rules Policy in force.
 * @param TypicalLatency Median latency of the service in milliseconds, the
 *   least that a failing or unobserved server is charged.
 * @param Now Current time.
 * @return Cost in milliseconds of expected work.
 */
double expectedCost(const ServerState &Server, const Policy &Rules,
                    double TypicalLatency, base::TimePoint Now);

/**
 * Tells whether a server may be given work, apart from its limit.
 * @param Server The server.
 * @param Now Current time.
 * @return Whether it is live, not ejected and not shedding.
 */
bool isUsable(const ServerState &Server, base::TimePoint Now);

/**
 * Tells whether a server may be given one more attempt now.
 * @param Server The server.
 * @param Rules Policy in force.
 * @param Now Current time.
 * @return Whether it is usable, unreserved and below its limit.
 */
bool hasCapacity(const ServerState &Server, const Policy &Rules,
                 base::TimePoint Now);

} // namespace hickorycrank::routing

#endif
