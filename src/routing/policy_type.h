#ifndef HICKORYCRANK_ROUTING_POLICY_TYPE_H
#define HICKORYCRANK_ROUTING_POLICY_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace hickorycrank::routing {

/** How a replica is drawn among those that may be used. */
enum class ReplicaRule {
  Random,     ///< Uniform; the baseline of the replays.
  TwoChoices, ///< The cheaper of two random ones.
};

/**
 * All rules that a replay or an embedding program may vary. The defaults are
 * those of the daemon.
 */
struct Policy {
  ReplicaRule Replica = ReplicaRule::TwoChoices;
  bool Hedge = true;            ///< Send a second attempt to a slow shard.
  bool Ejection = true;         ///< Leave out servers that keep failing.
  bool ConcurrencyLimit = true; ///< Bound outstanding attempts per server.
  bool Admission = true;        ///< Refuse what cannot meet its deadline.
  bool Budget = true;           ///< Bound hedges and retries together.
  bool UseReports = true;       ///< Let reported load influence the cost.
  bool Canary = true;           ///< Send one attempt of a new wide shape first.
  bool IsolateSuspects = true;  ///< Run requests that may crash servers alone.
  bool SuspectConnectionFirst =
      true;                ///< Blame the first time-out on the connection.
  uint32_t MaxRetries = 2; ///< Retries per shard, without hedges.

  /** Hedges and retries per first attempt. The bound is 10% in any second; a
   * retry that waits for capacity leaves later than it is counted, and at 10%
   * a second was seen with 10.15%. */
  double ExtraShare = 0.095;
  double HedgeShare = 0.04;    ///< Hedges per first attempt.
  double ExtraFloor = 1;       ///< Extra attempts a second always allowed.
  double HedgeQuantile = 0.98; ///< Of the latency of first attempts.
  uint32_t WideShards = 8;     ///< From this fan-out on a query is wide.

  base::Duration Ramp = std::chrono::seconds(10);
  /** A server of the own failure domain is preferred up to this multiple of
   * another one's cost; without a limit a local straggler got all the work. */
  double OwnDomainAdvantage = 1.2;
  double RampStart = 0.10; ///< Weight of a server that just appeared.
  /** A server that is avoided is not observed; its latency fades towards the
   * service's, so that a straggler that has recovered is tried again. */
  base::Duration LatencyHalfLife = std::chrono::seconds(5);
  base::Duration ReportHalfLife = std::chrono::seconds(1);
  double ReportInfluence = 0.25; ///< Largest relative change of a cost.
  uint32_t EjectAfter = 5;       ///< Consecutive failures.
  base::Duration EjectTime = std::chrono::seconds(1); ///< Doubles, to a cap.
  base::Duration MaxEjectTime = std::chrono::seconds(30);
  base::Duration MinAttemptTimeout = std::chrono::milliseconds(50);
  double TimeoutFactor = 10; ///< Attempt timeout over the p99 latency.
  base::Duration QuarantineTime = std::chrono::minutes(10);
};

} // namespace hickorycrank::routing

#endif
