#ifndef HICKORYCRANK_FORWARD_REPLICA_FUNC_H
#define HICKORYCRANK_FORWARD_REPLICA_FUNC_H

#include "base/random_base.h"
#include "forward/placement_type.h"
#include "forward/server_set_base.h"

#include <optional>
#include <span>

namespace hickorycrank::forward {

/** Criteria for choosing a server of a service; the servers of a service are
 * its replicas. */
struct ReplicaCriteria {
  base::TimePoint Now;
  base::Duration Expected{};        ///< Typical latency of the route.
  base::FailureDomainId Domain;     ///< Failure domain of this instance.
  uint32_t MaxOutstanding = 1;      ///< Own attempts per server.
  size_t Instances = 1;             ///< They share the rate limits of servers.
  std::span<const ServerKey> Avoid; ///< Servers already tried.
  /** Whether the request is idempotent. Only idempotent requests test a server
   * whose ejection has ended. */
  bool Idempotent = false;
  DomainFilter Allowed; ///< Failure domains that the route allows.
  /** Skips servers that state a rate limit, or that are cold and limited. */
  bool WithoutRateLimit = false;
  uint64_t BodyBytes = 0;    ///< Size of the request's body.
  uint64_t MaxBodyBytes = 0; ///< At one server; see hasRoomForBody().
};

/** Age of an attempt without a reply at which its server counts as silent;
 * servers pause for up to 250 ms. */
inline constexpr base::Duration OverdueTime = std::chrono::milliseconds(500);

/** How an attempt at a server ended. */
enum class AttemptOutcome {
  Succeeded,
  Shed,          ///< Rejected without execution, or misdirected.
  Failed,        ///< Error reply, invalid reply or lost connection.
  ConnectFailed, ///< No connection was established.
  Abandoned, ///< Reply no longer needed; the elapsed time is a lower bound of
             ///< the latency.
};

/**
 * Chooses the server with the lowest expected cost, which is based on the
 * expected reply time, the failure domain and the success rate.
 * @param Pool Servers of the service.
 * @param Criteria Criteria for the choice.
 * @param Generator Source of random tie-breaking.
 * @return A server, or nullptr if none is available now.
 */
Server *chooseReplica(const ServicePool &Pool, const ReplicaCriteria &Criteria,
                      base::Random &Generator);

/**
 * Checks whether a request body fits beside those that a server may hold for
 * this instance.
 * @param Backend The server.
 * @param BodyBytes Size of the body.
 * @param MaxBodyBytes Limit of the sum; see limits::maxBodyBytesAtServer().
 * @return Whether it fits.
 */
bool hasRoomForBody(const Server &Backend, uint64_t BodyBytes,
                    uint64_t MaxBodyBytes);

/**
 * Estimates the reply time from the server's load and speed.
 * @param Now Current time.
 * @param Backend The server.
 * @param TypicalLatency Typical latency of the route.
 * @return The expected reply time.
 */
base::Duration expectedTime(base::TimePoint Now, const Server &Backend,
                            base::Duration TypicalLatency);

/**
 * Estimates the time to execute a request without queueing.
 * @param Now Current time.
 * @param Backend The server.
 * @param TypicalLatency Typical latency of the route.
 * @return The expected time.
 */
base::Duration executionTime(base::TimePoint Now, const Server &Backend,
                             base::Duration TypicalLatency);

/**
 * Estimates how long a request waits for a slot.
 * @param Now Current time.
 * @param Backend The server.
 * @param TypicalLatency Typical latency of the requests at the server.
 * @param Additional Requests that arrive before it.
 * @return The expected time.
 */
base::Duration queueingTime(base::TimePoint Now, const Server &Backend,
                            base::Duration TypicalLatency, double Additional);

/**
 * Checks whether the server would execute a new attempt immediately.
 * @param Now Current time.
 * @param Backend The server.
 * @return Whether a slot is free according to the load estimate.
 */
bool hasFreeSlot(base::TimePoint Now, const Server &Backend);

/**
 * Checks whether the queue of a server is long: with a new attempt there would
 * be more than two per slot, running and waiting. Applies only to servers with
 * an outstanding attempt of this instance, whose reply will update the load
 * estimate; without one, the last load report may be out of date.
 * @param Now Current time.
 * @param Backend The server.
 * @return Whether the queue is long according to the load estimate.
 */
bool hasLongQueue(base::TimePoint Now, const Server &Backend);

/**
 * Checks whether this instance sends requests to a server, apart from limits on
 * their rate and from the regions that a route allows.
 * @param Now Current time.
 * @param Backend The server.
 * @return Whether it is usable, reachable, assigned to this instance and has
 *   not asked for a pause.
 */
bool isInUse(base::TimePoint Now, const Server &Backend);

/**
 * Checks whether a service has a server that can be used now or after an
 * outstanding attempt has ended.
 * @param Pool Servers of the service.
 * @param Allowed Failure domains that the route allows.
 * @return Whether there is such a server.
 */
bool hasUsableReplica(const ServicePool &Pool,
                      const DomainFilter &Allowed = nullptr);

/**
 * Checks whether all usable servers of a service are unreachable.
 * @param Now Current time.
 * @param Pool Servers of the service.
 * @param Allowed Failure domains that the route allows.
 * @return Earliest time at which a probe may find one reachable, or nothing if
 *   a server may be reachable now or none is usable.
 */
std::optional<base::TimePoint>
unreachableUntil(base::TimePoint Now, const ServicePool &Pool,
                 const DomainFilter &Allowed = nullptr);

/**
 * Finds when a server accepts a request under the rate limit that it states,
 * the one that applies while it is cold, and after the pause that it has asked
 * for.
 * @param Now Current time.
 * @param Backend The server.
 * @param Instances Number of instances that share the limit.
 * @return Now, or the later of the start of this instance's next turn and the
 *   end of the pause.
 */
base::TimePoint acceptsAt(base::TimePoint Now, const Server &Backend,
                          size_t Instances);

/**
 * Checks whether all reachable servers of a service have reached the rate
 * limits that they state or have asked for a pause.
 * @param Now Current time.
 * @param Pool Servers of the service.
 * @param Instances Number of instances that share the limits.
 * @param Allowed Failure domains that the route allows.
 * @return Earliest time at which one of them accepts a request, or nothing if
 *   one accepts it now or none is reachable.
 */
std::optional<base::TimePoint>
rateLimitedUntil(base::TimePoint Now, const ServicePool &Pool, size_t Instances,
                 const DomainFilter &Allowed = nullptr);

/**
 * Checks whether a server has stopped replying, for example because its process
 * is paused.
 * @param Now Current time.
 * @param Backend The server.
 * @return Whether an outstanding attempt has far exceeded its typical latency.
 */
bool isStalled(base::TimePoint Now, const Server &Backend);

/**
 * Finds an attempt that has not ended.
 * @param Backend The server that it was sent to.
 * @param Ref The attempt.
 * @return The attempt, or nullptr.
 */
const OutstandingAttempt *findOutstanding(const Server &Backend,
                                          const AttemptRef &Ref);

/**
 * Records the outcome of an attempt.
 * @param Now Current time.
 * @param Backend The server.
 * @param Ref The attempt, which is removed from Outstanding.
 * @param Outcome Its outcome.
 */
void recordAttemptEnd(base::TimePoint Now, Server &Backend,
                      const AttemptRef &Ref, AttemptOutcome Outcome);

/**
 * Records the result of a connection attempt that carries no request.
 * @param Now Current time.
 * @param Backend The server.
 * @param Reached Whether a connection was established.
 */
void recordProbeResult(base::TimePoint Now, Server &Backend, bool Reached);

/**
 * Records a load report.
 * @param Now Current time.
 * @param Backend The server.
 * @param Report The load report.
 */
void recordLoad(base::TimePoint Now, Server &Backend, const LoadReport &Report);

} // namespace hickorycrank::forward

#endif
