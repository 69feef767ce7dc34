#ifndef HICKORYCRANK_FORWARD_CRASH_RECORD_BASE_H
#define HICKORYCRANK_FORWARD_CRASH_RECORD_BASE_H

#include "base/time_type.h"
#include "forward/crash_report_type.h"
#include "forward/server_type.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorycrank::forward {

/**
 * Detects requests that crash the backend servers executing them. A server is
 * considered crashed if a connection breaks and the server then refuses
 * connections. Content is quarantined once several separate calls with it were
 * in flight during crashes, at this or at other instances. A single call is not
 * sufficient evidence, because it may have shared its servers with the request
 * that caused the crash.
 */
class CrashRecord {
public:
  /**
   * Records an attempt whose connection broke before a reply.
   * @param Now Current time.
   * @param Server The server.
   * @param Call The call; unique among all instances.
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
   * Quarantines content at once.
   * @param Now Current time.
   * @param Content The content.
   */
  void quarantine(base::TimePoint Now, base::Fingerprint Content);

  /**
   * Adds the crashes that another instance has reported.
   * @param Now Current time.
   * @param Report The report.
   */
  void merge(base::TimePoint Now, const CrashReport &Report);

  /**
   * Lists the crashes for other instances, the newest first. Own crashes are
   * reported after a delay, because a loss of all links looks like a crash.
   * @param Now Current time.
   * @return At most MaxReports reports.
   */
  std::vector<CrashReport> reports(base::TimePoint Now) const;

  /**
   * Discards crashes that have not been reported yet: this instance has lost
   * its links to all servers, so that they may not have crashed.
   * @param Now Current time.
   */
  void discardUnreported(base::TimePoint Now);

  /**
   * Checks whether requests with this content are refused.
   * @param Now Current time.
   * @param Content The content.
   * @return Whether the content is quarantined.
   */
  bool isQuarantined(base::TimePoint Now, base::Fingerprint Content) const;

  /** @param Now Current time. @return Quarantined content, the newest first; at
   * most MaxReports. */
  std::vector<base::Fingerprint> quarantined(base::TimePoint Now) const;

  /** Maximum number of reports in a heartbeat, which must fit a datagram. */
  static constexpr size_t MaxReports = 64;

  /** Discards expired entries. @param Now Current time. */
  void expire(base::TimePoint Now);

private:
  /** An attempt whose connection broke, so its server may have crashed. */
  struct BrokenAttempt {
    base::TimePoint BrokenAt;
    uint64_t Call = 0;
    base::Fingerprint Content;
  };

  /** A call during which servers crashed. */
  struct CrashedCall {
    uint64_t Call = 0;
    base::TimePoint RecordedAt;
    bool FromPeer = false;
  };

  /** Confirmed crashes during requests with the same content. */
  struct CrashHistory {
    base::TimePoint LastCrash;
    std::vector<CrashedCall> Calls; ///< At most MinCrashedCalls.
  };

  static bool addCall(CrashHistory &History, const CrashedCall &Added);
  static bool isQuarantined(base::TimePoint Now, const CrashHistory &History);
  /** @return The histories by the time of their last crash, newest first. */
  std::vector<std::pair<base::Fingerprint, const CrashHistory *>>
  newestHistories() const;

  std::unordered_map<ServerKey, std::vector<BrokenAttempt>> BrokenAttempts;
  std::unordered_map<base::Fingerprint, CrashHistory> Histories;
};

} // namespace hickorycrank::forward

#endif
