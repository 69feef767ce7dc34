#ifndef HICKORYCRANK_NET_UPSTREAM_POOL_BASE_H
#define HICKORYCRANK_NET_UPSTREAM_POOL_BASE_H

#include "net/memory_holder_func.h"
#include "net/upstream_connection_base.h"

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace hickorycrank::net {

/** The connections of an instance to all backend servers, on one thread. */
class UpstreamPool {
public:
  /** Maximum size of the unfinished replies on all connections together; the
   * smallest instances have 380 MB of memory. */
  static constexpr uint64_t MaxUnfinishedBytes = 33'554'432;
  /** Time without any progress after which the write of a request is given up.
   * Servers pause for a fraction of it. */
  static constexpr base::Duration WriteStallTime =
      std::chrono::milliseconds(1'500);
  /** Period at which the owner calls sweep(). */
  static constexpr std::chrono::milliseconds SweepPeriod{25};

  /**
   * Creates a pool without connections.
   * @param Context Runs the connections on one thread.
   * @param Names Names of header fields.
   * @param Handlers What to tell the owner.
   */
  UpstreamPool(boost::asio::io_context &Context, ForwardHeaders Names,
               UpstreamCallbacks Handlers);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /** Counts what connections hold from now on; call it before send().
   * @param Bound The ledger. */
  void setLedger(std::shared_ptr<limits::MemoryLedger> Bound);

  /** Appends the connections that hold bytes of requests or replies.
   * @param Out Valid as long as the pool. */
  void listHolders(std::vector<MemoryHolder> &Out) const;

  /** Sends an attempt on an open or a new connection.
   * @param Next The attempt. */
  void send(UpstreamAttempt Next);

  /**
   * Opens a connection to learn whether the server can be reached.
   * @param Server The server.
   * @param Address "IP:port" of the server.
   */
  void probe(forward::ServerKey Server, const std::string &Address);

  /**
   * Drops an attempt. Its reply is read for a while, which keeps the
   * connection and tells when the server works again.
   * @param Ref The attempt.
   * @param Server The server.
   */
  void abandon(const forward::AttemptRef &Ref, forward::ServerKey Server);

  /** Drops an attempt and closes its connection at once; nothing is reported.
   * @param Ref The attempt. @param Server The server. */
  void cancel(const forward::AttemptRef &Ref, forward::ServerKey Server);

  /** Closes the connections to a server once they are idle.
   * @param Server The server. */
  void retire(forward::ServerKey Server);

  /** Closes what has waited for too long. @param Now Current time. */
  void sweep(base::TimePoint Now);

  /** @return Open or opening connections. */
  size_t connections() const;
  /** @return Bytes of the unfinished replies on all connections. */
  uint64_t unfinishedBytes() const { return this->UnfinishedBytes; }
  /** @return What was counted so far. */
  const UpstreamCounters &counters() const { return this->Counters; }

private:
  friend class UpstreamConnection;
  using Connection = std::shared_ptr<UpstreamConnection>;

  Connection findAttempt(const forward::AttemptRef &Ref,
                         forward::ServerKey Server) const;
  /** @return An idle connection on which no reply to an earlier sending of the
   * request may arrive, or nullptr. */
  Connection takeIdle(const UpstreamAttempt &Next);
  void closed(const UpstreamConnection &Ended);
  /** Fails the attempts with the largest unfinished replies until all together
   * are within MaxUnfinishedBytes. Others are not affected. */
  void limitUnfinishedBytes();

  boost::asio::io_context &Context;
  ForwardHeaders Names;
  UpstreamCallbacks Handlers;
  std::unordered_map<forward::ServerKey, std::vector<Connection>> Open;
  UpstreamCounters Counters;
  std::shared_ptr<limits::MemoryLedger> Ledger; ///< May be nullptr.
  uint64_t UnfinishedBytes = 0;                 ///< Sum over all connections.
};

} // namespace hickorycrank::net

#endif
