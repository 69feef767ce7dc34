#ifndef HICKORYCRANK_FORWARD_CRASH_RECORD_BASE_H
#define HICKORYCRANK_FORWARD_CRASH_RECORD_BASE_H

#include "base/time_type.h"
#include "forward/server_type.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace hickorycrank::forward {

/**
 * Detects requests that crash the backend servers executing them. A server is
 * considered crashed if a connection breaks and the server then refuses
 * connections. Content is quarantined once several separate calls with it were
 * in flight during crashes. A single call is not sufficient evidence, because
 * it may have shared its servers with the request that caused the crash.
 */
class CrashRecord {
public:
  /**
   * Records an attempt whose connection broke before a reply.
   * @param Now Current time.
   * @param Server The server.
   * @param Call The call.
   * @param Content Content of the request.
   */
  void recordBroken(base::TimePoint Now, ServerKey Server, uint64_t Call,
                    base::Fingerprint Content);

  /**
   * Records that a server does not accept connections, which confirms recent
   * broken attempts as crashes.
   * @param Now Current time.
   * @param Server The server.
   */
  void recordUnreachable(base::TimePoint Now, ServerKey Server);

  /**
   * Quarantines content that another instance has reported.
   * @param Now Current time.
   * @param Content The content.
   */
  void quarantine(base::TimePoint Now, base::Fingerprint Content);

  /**
   * Checks whether requests with this content are refused.
   * @param Now Current time.
   * @param Content The content.
   * @return Whether the content is quarantined.
   */
  bool isQuarantined(base::TimePoint Now, base::Fingerprint Content) const;

  /** @param Now Current time. @return All quarantined content. */
  std::vector<base::Fingerprint> quarantined(base::TimePoint Now) const;

  /** Discards expired entries. @param Now Current time. */
  void expire(base::TimePoint Now);

private:
  /** An attempt whose connection broke, so its server may have crashed. */
  struct BrokenAttempt {
    base::TimePoint BrokenAt;
    uint64_t Call = 0;
    base::Fingerprint Content;
  };

  /** Confirmed crashes during requests with the same content. */
  struct CrashHistory {
    base::TimePoint LastCrash;
    uint64_t LastCall = 0;
    uint32_t Calls = 0; ///< Number of separate calls with at least one crash.
    base::TimePoint QuarantinedUntil; ///< End of the quarantine.
  };

  std::unordered_map<ServerKey, std::vector<BrokenAttempt>> BrokenAttempts;
  std::unordered_map<base::Fingerprint, CrashHistory> Histories;
};

} // namespace hickorycrank::forward

#endif
