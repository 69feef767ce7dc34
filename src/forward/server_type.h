#ifndef HICKORYCRANK_FORWARD_SERVER_TYPE_H
#define HICKORYCRANK_FORWARD_SERVER_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "forward/server_speed_type.h"
#include "limits/cold_share_func.h"
#include "limits/rate_share_func.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::forward {

/** A backend server as listed by service discovery. */
struct ServerEntry {
  base::ServerId Id;
  std::string Service;
  std::string Address; ///< "IP:port".
  base::FailureDomainId Domain;
  uint32_t Slots = 1;   ///< Requests that it executes at the same time.
  bool Leaving = false; ///< Receives no new requests.
  /** Remaining time for which it is cold; nothing if the entry does not state
   * it. */
  std::optional<std::chrono::milliseconds> ColdRemaining;
  uint64_t StartedAt = 0; ///< Start of the process in Unix ms; 0 if unknown.
};

/** Identifies one incarnation of a backend server within this engine; never
 * reused. */
using ServerKey = base::StrongId<struct ServerKeyTag, uint64_t>;

/** Load reported by a server in a reply. */
struct LoadReport {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
  /** Current execution time on the server's machine, as a percentage of the
   * usual one; nothing if the server does not state it. */
  std::optional<uint32_t> WorkPercent = std::nullopt;
};

/** Identifies an attempt within an engine; never reused. */
struct AttemptRef {
  uint64_t Call = 0;
  uint32_t Part = 0;    ///< Index of the part within the call.
  uint32_t Attempt = 0; ///< Index of the attempt within the part.

  auto operator<=>(const AttemptRef &) const = default;
};

/** Part of an AttemptRef that names a relay of the whole call. */
inline constexpr uint32_t RelayPart = UINT32_MAX;

/** An attempt that was sent and has not ended. */
struct OutstandingAttempt {
  AttemptRef Ref;
  base::TimePoint SentAt;
  base::Duration Expected{};   ///< Typical latency of its route.
  uint64_t BodyBytes = 0;      ///< Size of the request's body.
  base::Fingerprint Content{}; ///< Content of the request.
};

/** A backend server and this instance's observations of it. */
struct Server {
  ServerKey Key;
  ServerEntry Entry;
  bool Misdirected = false; ///< Another server is using its address.
  bool Evacuated = false;   ///< Its failure domain is evacuated.
  /** It has stated in a reply that it is leaving. */
  bool StatedLeaving = false;
  /** It has rejected a request and gets no others until then. */
  base::TimePoint PausedUntil;
  /** This instance connects to it; others are used only if none of the assigned
   * servers is available, and not longer. */
  bool Assigned = true;
  bool Borrowed = false; ///< Was used or probed while not assigned.
  base::TimePoint ColdUntil;
  bool ColdByReply = false; ///< ColdUntil is what a reply stated.
  bool ColdLogged = false;  ///< It was logged that it is cold.
  /** This instance's share of the rate that it accepts while it is cold;
   * nothing if its service states no such rate. */
  std::optional<limits::ColdShare> ColdShare;
  double WorkFactor = 1; ///< Last stated execution time, 1 as usual.
  base::TimePoint WorkStatedAt;
  std::vector<OutstandingAttempt> Outstanding;
  double SuccessRate = 1;     ///< Smoothed success rate of attempts.
  base::TimePoint ObservedAt; ///< Last change of SuccessRate.
  ServerSpeed Speed;
  uint32_t Failures = 0; ///< Consecutive failures.
  /** End of the last ejection; unset after a success or a rejection. */
  base::TimePoint EjectedUntil;
  /** The last connection attempt failed. Until a connection succeeds, the
   * server is chosen only if no healthier one is available.
   */
  bool Unreachable = false;
  bool Probing = false; ///< A probe is in progress.
  /** An attempt got no reply for so long that it was abandoned, and the server
   * has not replied since. */
  bool Unanswered = false;
  base::TimePoint BusyUntil; ///< Avoided until then after rejecting a request.
  std::optional<LoadReport> Load;
  base::TimePoint LoadAt;
  uint32_t OutstandingAtLoad = 0; ///< Size of Outstanding at LoadAt.
  /** This instance's share of the rate that the server accepts, according to
   * its last reply; nothing if it states no limit. */
  std::optional<limits::RateShare> RateLimit;
};

} // namespace hickorycrank::forward

#endif
