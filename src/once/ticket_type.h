#ifndef HICKORYCRANK_ONCE_TICKET_TYPE_H
#define HICKORYCRANK_ONCE_TICKET_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace hickorycrank::once {

/** Single-use token that makes a request run at most once. Only the process
 * that issued it accepts it. */
struct Ticket {
  base::InstanceId Issuer;
  /** Incarnation of the issuing process; other
   * incarnations do not know whether the ticket was used. */
  base::Incarnation IssuerIncarnation;
  base::OrganisationId Organisation;
  base::AttemptId Nonce;     ///< Unguessable id of the ticket.
  base::TimePoint ExpiresAt; ///< On the issuer's monotonic clock.
  std::string Mac;           ///< Hexadecimal HMAC-SHA256 of the other members.
};

/** What to do with a request that carries a ticket. */
enum class Verdict {
  Run,             ///< First use: run the request.
  Wait,            ///< The same request is running: wait for its response.
  Replay,          ///< Finished: return the recorded response.
  ResponseDropped, ///< Finished, but the response was dropped to bound memory.
  Reused,          ///< Already used for another template or parameters.
  OtherOrganisation, ///< Issued to another organisation.
  OtherProcess,      ///< Issued by another instance or incarnation.
  Expired,           ///< Its lifetime is over.
  Forged,            ///< The MAC does not match.
  Full,              ///< Too many used tickets are remembered; not run.
};

/** Number of verdicts. */
inline constexpr size_t VerdictCount = 10;

/** State of a used ticket. */
enum class TicketState {
  Running,          ///< The request is running.
  ResponseRecorded, ///< The response is recorded.
  ResponseDropped,  ///< Finished; the response was dropped to bound memory.
};

/** Limits of a ticket registry. */
struct TicketPolicy {
  /** Time from issue to expiry. */
  base::Duration Lifetime = std::chrono::minutes(10);
  /** Maximum bytes of all recorded responses; the oldest are dropped first. */
  size_t MaxResponseBytes = size_t{16} * 1024 * 1024;
  /** Maximum number of used tickets that are remembered. Each takes about 300
   * bytes in addition to its response. */
  size_t MaxUsed = 50'000;
  /**
   * Checks expiry against the latest time seen by any caller. Otherwise a
   * thread that read the clock before a pause could run a ticket again after
   * the ticket had expired and was forgotten. Switched off only to test this
   * rule.
   */
  bool ClampToLatestTime = true;
};

/** Verdict on a request, with the recorded response if any. */
struct TicketDecision {
  Verdict Decision = Verdict::Forged;
  std::string Response; ///< Set only for Replay.
};

/**
 * Returns the name of a verdict for logs and metrics.
 * @param Decision The verdict.
 * @return Stable lower-case name.
 */
const char *toString(Verdict Decision);

} // namespace hickorycrank::once

#endif
