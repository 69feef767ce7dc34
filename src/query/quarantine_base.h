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
 * Requests that may crash backend servers. A request in flight at a crash is
 * a suspect; a run on its own clears it or confirms it. Confirmed ones are
 * quarantined for a time.
 */
class Quarantine {
public:
  /**
   * Creates an empty record.
   * @param QuarantineTime Time for which a confirmed request is refused.
   */
  explicit Quarantine(base::Duration QuarantineTime);

  /**
   * Records the crash of a server.
   * @param Now Current time.
   * @param InFlight Requests that were in flight on it.
   * @param Isolated Whether the server was reserved for one suspect. Only then
   *   the crash confirms a suspicion: servers that are lost together would
   *   otherwise put innocent requests in quarantine.
   */
  void recordCrash(base::TimePoint Now,
                   std::span<const base::Fingerprint> InFlight, bool Isolated);

  /**
   * Makes a request a suspect that another instance saw at a crash.
   * @param Now Current time.
   * @param Request The request.
   */
  void suspect(base::TimePoint Now, base::Fingerprint Request);

  /**
   * Records that a suspect ran on its own and the server survived.
   * @param Request The request.
   */
  void clear(base::Fingerprint Request);

  /**
   * Quarantines a request, as confirmed here or by another instance.
   * @param Until When the quarantine ends.
   * @param Request The request.
   */
  void quarantine(base::TimePoint Until, base::Fingerprint Request);

  /**
   * Tells whether a request must run on its own.
   * @param Request The request.
   * @return Whether it is a suspect.
   */
  bool isSuspect(base::Fingerprint Request) const;

  /**
   * Tells until when a request is refused.
   * @param Now Current time.
   * @param Request The request.
   * @return End of its quarantine, or nothing.
   */
  std::optional<base::TimePoint>
  quarantinedUntil(base::TimePoint Now, base::Fingerprint Request) const;

  /**
   * Records that a shape or content of request has run without a crash.
   * @param Ran The shape or content.
   */
  void recordRun(base::Fingerprint Ran);

  /**
   * Tells whether a shape or content has run lately.
   * @param Ran The shape or content.
   * @return Whether it is known.
   */
  bool hasRun(base::Fingerprint Ran) const;

  /**
   * Forgets what has expired.
   * @param Now Current time.
   */
  void expire(base::TimePoint Now);

private:
  struct State {
    uint32_t Crashes = 0;
    base::TimePoint LastCrash;
    base::TimePoint QuarantinedUntil;
  };

  /** Crashes after which a request is refused. */
  static constexpr uint32_t MaxCrashes = 2;
  /** Bounds the memory that callers with ever new contents can take. */
  static constexpr size_t MaxRunsKept = 32'768;

  base::Duration QuarantineTime;
  std::unordered_map<base::Fingerprint, State> Requests;
  std::unordered_set<base::Fingerprint> RecentRuns;
  std::unordered_set<base::Fingerprint> OlderRuns; ///< Until the next swap.
};

} // namespace hickorycrank::query

#endif
