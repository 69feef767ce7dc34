#ifndef HICKORYCRANK_QUERY_QUARANTINE_BASE_H
#define HICKORYCRANK_QUERY_QUARANTINE_BASE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace hickorycrank::query {

/**
 * Tracks requests that may crash backend servers. A request in flight at a
 * crash becomes a suspect; a run in isolation clears or confirms the suspicion.
 * Confirmed requests are refused for a fixed time.
 */
class Quarantine {
public:
  /**
   * Creates an empty quarantine.
   * @param QuarantineTime Time for which a confirmed request is refused.
   */
  explicit Quarantine(base::Duration QuarantineTime);

  /**
   * Records the crash of a server.
   * @param Now Current time.
   * @param InFlight Requests that were in flight on it.
   * @param Isolated Whether the server was reserved for one suspect. Only such
   * a crash confirms a suspicion; otherwise the simultaneous loss of several
   * servers would quarantine harmless requests.
   */
  void recordCrash(base::TimePoint Now,
                   std::span<const base::Fingerprint> InFlight, bool Isolated);

  /**
   * Marks a request as suspect that another instance reported after a crash.
   * @param Now Current time.
   * @param Request The request.
   */
  void suspect(base::TimePoint Now, base::Fingerprint Request);

  /**
   * Clears a suspect that ran in isolation without a crash.
   * @param Request The request.
   */
  void clear(base::Fingerprint Request);

  /**
   * Quarantines a request that another instance confirmed.
   * @param Until When the quarantine ends.
   * @param Request The request.
   */
  void quarantine(base::TimePoint Until, base::Fingerprint Request);

  /**
   * Tells whether a request must run in isolation.
   * @param Request The request.
   * @return Whether it is a suspect.
   */
  bool isSuspect(base::Fingerprint Request) const;

  /**
   * Returns the time until which a request is refused.
   * @param Now Current time.
   * @param Request The request.
   * @return End of its quarantine, or nothing.
   */
  std::optional<base::TimePoint>
  quarantinedUntil(base::TimePoint Now, base::Fingerprint Request) const;

  /**
   * Records that a request shape or content ran without a crash.
   * @param Executed The shape or content.
   */
  void recordRun(base::Fingerprint Executed);

  /**
   * Tells whether a shape or content ran recently.
   * @param Executed The shape or content.
   * @return Whether a recent run is recorded.
   */
  bool hasRun(base::Fingerprint Executed) const;

  /**
   * Removes expired entries.
   * @param Now Current time.
   */
  void expire(base::TimePoint Now);

private:
  struct State {
    uint32_t Crashes = 0;
    base::TimePoint LastCrash;
    base::TimePoint QuarantinedUntil;
  };

  /** Crashes after which an isolated request is quarantined. */
  static constexpr uint32_t MaxCrashes = 2;
  /** Executed requests kept in each of the two generations. Bounds the memory
   * that callers whose requests always differ can use. */
  static constexpr size_t MaxRunsKept = 32'768;

  base::Duration QuarantineTime;
  std::unordered_map<base::Fingerprint, State> Requests;
  std::unordered_set<base::Fingerprint> RecentRuns;
  /** Previous generation, discarded when RecentRuns is full. */
  std::unordered_set<base::Fingerprint> OlderRuns;
};

} // namespace hickorycrank::query

#endif
