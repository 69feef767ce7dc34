#ifndef HICKORYCRANK_ROUTING_SERVER_FUNC_H
#define HICKORYCRANK_ROUTING_SERVER_FUNC_H

#include "base/time_type.h"
#include "routing/directory_base.h"
#include "routing/policy_type.h"
#include "routing/server_type.h"

namespace hickorycrank::routing {

/** Outcome of an attempt on a backend server, as routing distinguishes it. */
enum class Outcome {
  Success, ///< A valid reply.
  Failure, ///< An error reply, a reset or a time-out on a new connection.
  Shed,    ///< The server shed the request because of load.
};

/**
 * Updates success rate, latency and consecutive failures at the end of an
 * attempt.
 * @param Server The server.
 * @param Result How the attempt ended.
 * @param Latency Time from send to reply; only used for successes.
 * @param Now Current time.
 */
void recordOutcome(ServerState &Server, Outcome Result, base::Duration Latency,
                   base::TimePoint Now);

/**
 * Records that an attempt was cancelled after a wait. The latency is unknown
 * but at least the wait (a censored observation), so the wait is added to the
 * moving average without counting a finished attempt. Averaging the waits
 * instead would never exceed the hedge delay for a straggler whose attempts are
 * all cancelled.
 * @param Server The server.
 * @param Waited Time from send to cancellation.
 * @param Now Current time.
 */
void recordCancelled(ServerState &Server, base::Duration Waited,
                     base::TimePoint Now);

/**
 * Adapts the concurrency limit: additive increase by one per Limit successes
 * while the limit is in use, multiplicative decrease when the server sheds
 * load.
 * @param Server The server.
 * @param Result How the attempt ended.
 * @param Share Upper bound: this instance's share of the server's connections.
 */
void adaptLimit(ServerState &Server, Outcome Result, double Share);

/**
 * Ejects a server after repeated failures, unless a shard would keep less than
 * two thirds of its replicas.
 * @param Servers Directory that holds the server.
 * @param Index The server.
 * @param Now Current time.
 * @return Whether the server was ejected.
 */
bool ejectIfFailing(Directory &Servers, base::ServerIndex Index,
                    base::TimePoint Now);

/**
 * Computes the slow-start weight of a server since it became live.
 * @param Server The server.
 * @param Rules Policy in force.
 * @param Now Current time.
 * @return Weight from InitialRampWeight to 1.
 */
double rampWeight(const ServerState &Server, const Policy &Rules,
                  base::TimePoint Now);

/**
 * Computes the expected cost of one more attempt; lower is better. Latency,
 * failures and outstanding attempts are observed locally. The influence of the
 * reported load is bounded and decays, because reports may be stale or wrong.
 * @param Server The server.
 * @param Rules Policy in force.
 * @param TypicalLatency Median latency of the service in milliseconds, the
 * least that is assumed for a failing or unobserved server.
 * @param Now Current time.
 * @return Cost in milliseconds of expected work.
 */
double expectedCost(const ServerState &Server, const Policy &Rules,
                    double TypicalLatency, base::TimePoint Now);

/**
 * Tells whether a server may be given work, regardless of its concurrency
 * limit.
 * @param Server The server.
 * @param Now Current time.
 * @return Whether it is live, not ejected and not shedding load.
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
