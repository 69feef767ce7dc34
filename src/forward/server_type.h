#ifndef HICKORYCRANK_FORWARD_SERVER_TYPE_H
#define HICKORYCRANK_FORWARD_SERVER_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::forward {

/** One backend server as it announces itself. */
struct ServerEntry {
  base::ServerId Id;
  std::string Service;
  std::string Address; ///< "IP:port".
  base::FailureDomainId Domain;
  uint32_t Slots = 1;
  bool Leaving = false;
  std::chrono::milliseconds ColdRemaining{0}; ///< Slow for this much longer.
  uint64_t StartedAt = 0; ///< Start of the process in Unix ms; 0 if unknown.
};

/** Names one lifetime of one backend server inside a process; never reused. */
using ServerKey = base::StrongId<struct ServerKeyTag, uint64_t>;

/** Load that a server reported with a reply. */
struct LoadReport {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
};

/** Names an attempt inside an engine; never reused. */
struct AttemptRef {
  uint64_t Call = 0;
  uint32_t Part = 0;
  uint32_t Attempt = 0;

  auto operator<=>(const AttemptRef &) const = default;
};

/** An attempt that has been sent and whose reply is outstanding. */
struct OutstandingAttempt {
  AttemptRef Ref;
  base::TimePoint SentAt;
  base::Duration Expected{}; ///< Usual latency of its route.
};

/** One backend server and what this instance has seen of it. */
struct Server {
  ServerKey Key;
  ServerEntry Entry;
  bool Misdirected = false; ///< Another server answers at its address.
  base::TimePoint ColdUntil;
  std::vector<OutstandingAttempt> Outstanding;
  double Slowness = 1;        ///< Latency relative to the route's usual one.
  double Success = 1;         ///< Smoothed share of attempts that succeeded.
  base::TimePoint ObservedAt; ///< Last change of Slowness or Success.
  uint32_t Failures = 0;      ///< In a row.
  base::TimePoint EjectedUntil;
  /** The last connection failed; no request tests it before a probe opens one.
   */
  bool Unreachable = false;
  bool Probing = false;      ///< A probe is under way.
  base::TimePoint BusyUntil; ///< It shed load lately.
  std::optional<LoadReport> Load;
  base::TimePoint LoadAt;
  uint32_t OutstandingAtLoad = 0; ///< Own attempts in Load.
};

} // namespace hickorycrank::forward

#endif
