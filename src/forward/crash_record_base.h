#ifndef HICKORYCRANK_FORWARD_CRASH_RECORD_BASE_H
#define HICKORYCRANK_FORWARD_CRASH_RECORD_BASE_H

#include "base/time_type.h"
#include "forward/crash_report_type.h"
#include "forward/reply_memory_base.h"
#include "forward/server_type.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorycrank::forward {

/** What a crash record counts. */
struct CrashCounters {
  uint64_t Calls = 0;     ///< Own calls during which a server crashed.
  uint64_t Cleared = 0;   ///< Not counted, because other servers replied.
  uint64_t Doubted = 0;   ///< Not counted, because all links were lost.
  uint64_t Confirmed = 0; ///< Counted, because the server has restarted.
};

/**
 * Detects requests that crash the backend servers executing them. A server is
 * considered crashed if a connection breaks and the server then refuses
 * connections or is listed with a later start. Content is quarantined once
 * several separate calls with it were in flight during crashes, at this or at
 * other instances. A single call is not sufficient evidence, because it may
 * have shared its servers with the request that caused the crash. Content that
 * other servers of the same service execute is no such request.
 */
class CrashRecord {
public:
  /**
   * Records an attempt that ended without a reply after it was sent, whether or
   * not anyone still waited for the reply.
   * @param Now Current time.
   * @param Server The server.
   * @param Call The call; unique among all instances.
   * @param Content Content of the request.
   * @param Service Service of the server.
   */
  void recordBroken(base::TimePoint Now, ServerKey Server, uint64_t Call,
                    base::Fingerprint Content, std::string_view Service = {});

  /**
   * Records that a server does not accept connections, which confirms recent
   * broken attempts as crashes.
   * @param Now Current time.
   * @param Server The server.
   */
  void recordUnreachable(base::TimePoint Now, ServerKey Server);

  /**
   * Records that a server is listed with a later start. This confirms the
   * crashes in doubt, and broken attempts unless all links are lost.
   * @param Now Current time.
   * @param Server The incarnation that has ended.
   */
  void recordRestart(base::TimePoint Now, ServerKey Server);

  /**
   * Records that a server has executed a request and replied. It clears the
   * evidence against the content at the same service, also that of peers.
   * @param Now Current time.
   * @param Content Content of the request.
   * @param Service Service of the server.
   */
  void recordReply(base::TimePoint Now, base::Fingerprint Content,
                   std::string_view Service);

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
   * @param Last Whether this instance ends: nothing is delayed any more.
   * @return At most MaxReports reports.
   */
  std::vector<CrashReport> reports(base::TimePoint Now,
                                   bool Last = false) const;

  /**
   * Sets whether this instance has lost its links to all servers, which looks
   * like a crash of all of them. Crashes that have not been reported yet, and
   * those recorded until the links are back, are in doubt: they do not count
   * unless recordRestart() confirms them.
   * @param Now Current time.
   * @param Lost Whether the links are lost.
   */
  void setLinksLost(base::TimePoint Now, bool Lost);

  /**
   * Checks whether requests with this content are refused.
   * @param Now Current time.
   * @param Content The content.
   * @return Whether the content is quarantined.
   */
  bool isQuarantined(base::TimePoint Now, base::Fingerprint Content) const;

  /** @param Content The content. @return Whether servers have crashed during a
   * call with it. */
  bool isSuspected(base::Fingerprint Content) const {
    return this->Histories.count(Content) != 0;
  }

  /** @param Now Current time. @return Quarantined content, the newest first; at
   * most MaxReports. */
  std::vector<base::Fingerprint> quarantined(base::TimePoint Now) const;

  /** @return Content that has been quarantined since the last call. */
  std::vector<base::Fingerprint> takeNewQuarantines() {
    return std::exchange(this->NewQuarantines, {});
  }

  /** Maximum number of reports in a heartbeat, which must fit a datagram. */
  static constexpr size_t MaxReports = 64;

  /** Discards expired entries. @param Now Current time. */
  void expire(base::TimePoint Now);

  /** @return The counters. */
  const CrashCounters &counters() const { return this->Counters; }

private:
  /** An attempt that ended without a reply, so its server may have crashed. */
  struct BrokenAttempt {
    base::TimePoint BrokenAt;
    uint64_t Call = 0;
    base::Fingerprint Content;
    uint64_t Service = 0; ///< Hash of its name.
  };

  /** How sure it is that a server crashed during a call. */
  enum class Evidence {
    FromPeer,  ///< Another instance has reported it.
    Observed,  ///< A connection broke and the server refused connections.
    Doubted,   ///< As before, but all links may have been lost.
    Confirmed, ///< A connection broke and the server has restarted.
  };

  /** A call during which a server crashed. */
  struct CrashedCall {
    uint64_t Call = 0;
    base::TimePoint RecordedAt;
    Evidence Kind = Evidence::Observed;
    ServerKey Server;     ///< Not set if it is from a peer.
    uint64_t Service = 0; ///< Hash of its name; 0 if it is not known.
  };

  /** Crashes during requests with the same content. */
  struct CrashHistory {
    base::TimePoint LastCrash;
    std::vector<CrashedCall> Calls; ///< Counted ones: at most MinCrashedCalls.
  };

  static uint64_t hashService(std::string_view Name);
  void countCrash(base::TimePoint Now, ServerKey Server,
                  const BrokenAttempt &Ended, Evidence Kind);
  /** @return Whether the call was added; it may complete a quarantine. */
  bool addCall(base::Fingerprint Content, CrashHistory &History,
               const CrashedCall &Added);
  static size_t countCalls(const CrashHistory &History);
  static bool isReportable(base::TimePoint Now, const CrashedCall &Entry);
  static bool isQuarantined(base::TimePoint Now, const CrashHistory &History);
  /** @return The histories by the time of their last crash, newest first. */
  std::vector<std::pair<base::Fingerprint, const CrashHistory *>>
  newestHistories() const;

  std::unordered_map<ServerKey, std::vector<BrokenAttempt>> BrokenAttempts;
  std::unordered_map<base::Fingerprint, CrashHistory> Histories;
  ReplyMemory Replies;
  std::vector<base::Fingerprint> NewQuarantines; ///< Not yet taken.
  bool LinksLost = false;
  CrashCounters Counters;
};

} // namespace hickorycrank::forward

#endif
