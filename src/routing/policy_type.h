#ifndef HICKORYCRANK_ROUTING_POLICY_TYPE_H
#define HICKORYCRANK_ROUTING_POLICY_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace hickorycrank::routing {

/** How a replica is selected among the usable ones of a shard. */
enum class ReplicaRule {
  Random,     ///< Uniform; the baseline to which src/replay compares.
  TwoChoices, ///< Power of two choices: the cheaper of two random replicas.
};

/**
 * Parameters of routing, hedging, retries and isolation that a replay or an
 * embedding program may vary. The defaults are those of the daemon.
 */
struct Policy {
  ReplicaRule Replica = ReplicaRule::TwoChoices;
  bool Hedge = true;            ///< Send a second attempt for a slow shard.
  bool Ejection = true;         ///< Stop using servers that keep failing.
  bool ConcurrencyLimit = true; ///< Bound outstanding attempts per server.
  bool Admission = true;  ///< Refuse requests that cannot meet their deadline.
  bool Budget = true;     ///< Bound hedges and retries by one budget.
  bool UseReports = true; ///< Include reported load in the expected cost.
  bool Canary = true;     ///< Probe a new wide request shape on one shard.
  bool IsolateSuspects = true; ///< Run suspected requests alone on a server.
  /** Attribute a time-out on a reused connection to the connection, not the
   * server. */
  bool AttributeTimeoutToConnection = true;
  uint32_t MaxRetries = 2; ///< Retries per shard; hedges are not counted.

  /** Hedges and retries per first attempt. Kept below the required maximum of
   * 10% in any second, because a retry that waits for capacity is sent later
   * than it is counted: a share of 10% led to a second with 10.15%. */
  double ExtraShare = 0.095;
  double HedgeShare = 0.04; ///< Hedges per first attempt.
  double ExtraFloor = 1; ///< Extra attempts per second that are always allowed.
  /** Quantile of first-attempt latency that sets the hedge delay. */
  double HedgeQuantile = 0.98;
  uint32_t WideShards = 8; ///< Smallest fan-out of a wide query.

  /** Time in which the weight of a new server rises to that of the others. */
  base::Duration RampDuration = std::chrono::seconds(10);
  /** A server in the instance's own failure domain is preferred while its cost
   * is at most this multiple of a remote one's. Without a bound, a
   * slow local server received all attempts. */
  double MaxOwnDomainCostRatio = 1.2;
  /** Weight of a server that just became live. */
  double InitialRampWeight = 0.10;
  /** Half-life with which the latency of an unobserved server decays towards
   * the median of the service. A server that is avoided yields no observations;
   * the decay makes a recovered straggler eligible again. */
  base::Duration LatencyHalfLife = std::chrono::seconds(5);
  /** Half-life with which the influence of a load report decays. */
  base::Duration ReportHalfLife = std::chrono::seconds(1);
  /** Largest relative change of the cost by reported load. */
  double ReportInfluence = 0.25;
  uint32_t EjectAfter = 5; ///< Consecutive failures before an ejection.
  /** Doubles with each ejection, up to MaxEjectTime. */
  base::Duration EjectTime = std::chrono::seconds(1);
  base::Duration MaxEjectTime = std::chrono::seconds(30);
  base::Duration MinAttemptTimeout = std::chrono::milliseconds(50);
  /** Attempt time-out as a multiple of the p99 latency. */
  double TimeoutFactor = 10;
  base::Duration QuarantineTime = std::chrono::minutes(10);
};

} // namespace hickorycrank::routing

#endif
