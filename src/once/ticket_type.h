#ifndef HICKORYCRANK_ONCE_TICKET_TYPE_H
#define HICKORYCRANK_ONCE_TICKET_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace hickorycrank::once {

/** Permission to run one request once, at the process that issued it. */
struct Ticket {
  base::InstanceId Issuer;
  base::Incarnation
      IssuerIncarnation; ///< Of the issuer; another one has no records.
  base::OrganisationId Organisation;
  base::AttemptId Nonce;     ///< Unguessable name of the ticket.
  base::TimePoint ExpiresAt; ///< On the issuer's monotonic clock.
  std::string Mac;           ///< Hexadecimal HMAC-SHA256 of the rest.
};

/** What to do with a request that brings a ticket. */
enum class Verdict {
  Run,               ///< First use.
  Wait,              ///< The same request is running.
  Replay,            ///< Finished; the recorded response is returned.
  RecordDropped,     ///< Finished; the response no longer fitted in memory.
  Reused,            ///< Used for another template or other parameters.
  OtherOrganisation, ///< Issued to another organisation.
  OtherProcess,      ///< Issued by another instance or incarnation.
  Expired,
  Forged, ///< The MAC does not match.
  Full,   ///< Too many used tickets are remembered; not run.
};

inline constexpr size_t VerdictCount = 10;

/** State of a used ticket. */
enum class UseState {
  Running,
  Finished, ///< The response is recorded.
  Dropped,  ///< Finished; the response was dropped to bound the memory.
};

/** Limits and rules of a registry. */
struct TicketPolicy {
  base::Duration Lifetime = std::chrono::minutes(10);
  /** Bytes of all recorded responses; the oldest are dropped beyond it. */
  size_t MaxRecordBytes = size_t{16} * 1024 * 1024;
  /** Used tickets remembered, about 300 bytes each without the response. */
  size_t MaxUsed = 50'000;
  /**
   * Judges by the latest time seen. Without it, a thread that read the clock
   * before a pause could use a ticket whose record has expired meanwhile.
   */
  bool HoldLatestTime = true;
};

/** Verdict on a request, with the recorded response if there is one. */
struct TicketDecision {
  Verdict Decision = Verdict::Forged;
  std::string Response; ///< Only with Replay.
};

/**
 * Names a verdict in logs and metrics.
 * @param Decision The verdict.
 * @return Stable lower-case name.
 */
const char *toString(Verdict Decision);

} // namespace hickorycrank::once

#endif
