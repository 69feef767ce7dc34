#ifndef HICKORYCRANK_FORWARD_REACHABILITY_BASE_H
#define HICKORYCRANK_FORWARD_REACHABILITY_BASE_H

#include "base/time_type.h"
#include "forward/server_set_base.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hickorycrank::forward {

/** Detects that this instance has lost its links to the backend servers. */
class Reachability {
public:
  /** Records an attempt at any server. @param Now Current time. */
  void recordAttempt(base::TimePoint Now) {
    if (!this->UnansweredSince) {
      this->UnansweredSince = Now;
    }
  }
  /** Records a reply of any server.
   * @param Now Current time. @param Id The server; empty if unlisted by now. */
  void recordReply(base::TimePoint Now, base::ServerId Id) {
    this->LastReply = Now;
    this->UnansweredSince.reset();
    this->LastReplyFrom = std::move(Id);
  }
  /** Records that a server accepts connections, so that a request may test the
   * links before the next evaluation. */
  void recordConnection() {
    this->Connectable = std::max<size_t>(1, this->Connectable);
  }

  /**
   * Chooses requests that test lost links. There are few of them, and only
   * while some server may accept connections.
   * @param Now Current time.
   * @param Idempotent Whether the current request is idempotent. Others are
   *   chosen only if no idempotent one comes, because they cannot be relayed
   *   afterwards.
   * @return Whether the current request shall be sent to servers.
   */
  bool tryTest(base::TimePoint Now, bool Idempotent);

  /**
   * Evaluates the links. They are lost if at least half of the servers do not
   * answer and attempts have got no reply for a while, and stay so until a
   * server replies. An instance without requests learns nothing about its
   * links. Connections and changes of the list of servers prove nothing: links
   * may accept connections and then be silent.
   * @param Now Current time.
   * @param Servers All servers.
   * @return Whether the result differs from the last one.
   */
  bool update(base::TimePoint Now, const ServerSet &Servers);

  /** @return Whether the links to all servers appear to be lost. */
  bool isLost() const { return this->Lost; }
  /** @return The server that has replied last. */
  const base::ServerId &lastReplyFrom() const { return this->LastReplyFrom; }
  /** @return Usable servers at the last update. */
  size_t usableServers() const { return this->Usable; }
  /** @return Usable servers that did not answer at the last update. */
  size_t silentServers() const { return this->Silent; }

private:
  /** Decides whether the links are lost after an evaluation. */
  bool areLinksLost(base::TimePoint Now) const;

  base::TimePoint LastReply;
  /** Time of the first attempt after the last reply. */
  std::optional<base::TimePoint> UnansweredSince;
  base::ServerId LastReplyFrom;
  base::TimePoint LastTest;
  base::TimePoint LostSince;
  bool Lost = false;
  size_t Usable = 0;
  size_t Silent = 0;
  size_t Connectable = 0; ///< Usable servers that may accept connections.
};

} // namespace hickorycrank::forward

#endif
