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
 * Finds requests that crash the backend servers that run them. A server whose
 * connection broke and that then refuses connections has crashed. Content that
 * was in flight at crashes of several separate calls is quarantined; one call
 * does not suffice, because it may share its servers with the guilty one.
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
   * Records that a server accepts no connection.
   * @param Now Current time.
   * @param Server The server.
   */
  void recordUnreachable(base::TimePoint Now, ServerKey Server);

  /**
   * Quarantines content.
   * @param Now Current time.
   * @param Content The content.
   */
  void quarantine(base::TimePoint Now, base::Fingerprint Content);

  /**
   * Tells whether requests are refused because of their content.
   * @param Now Current time.
   * @param Content The content.
   * @return Whether it is in quarantine.
   */
  bool isQuarantined(base::TimePoint Now, base::Fingerprint Content) const;

  /** @param Now Current time. @return All content in quarantine. */
  std::vector<base::Fingerprint> quarantined(base::TimePoint Now) const;

  /** Forgets what is old. @param Now Current time. */
  void expire(base::TimePoint Now);

private:
  /** A broken attempt whose server may have crashed. */
  struct Suspicion {
    base::TimePoint At;
    uint64_t Call = 0;
    base::Fingerprint Content;
  };

  /** Confirmed crashes of one content. */
  struct Record {
    base::TimePoint LastCrash;
    uint64_t LastCall = 0;
    uint32_t Calls = 0;    ///< Separate calls with at least one crash.
    base::TimePoint Until; ///< End of the quarantine.
  };

  std::unordered_map<ServerKey, std::vector<Suspicion>> Suspicions;
  std::unordered_map<base::Fingerprint, Record> Records;
};

} // namespace hickorycrank::forward

#endif
