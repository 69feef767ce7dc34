#ifndef HICKORYCRANK_NET_UPSTREAM_CONNECTION_BASE_H
#define HICKORYCRANK_NET_UPSTREAM_CONNECTION_BASE_H

#include "base/time_type.h"
#include "limits/memory_ledger_base.h"
#include "net/message_write_func.h"
#include "net/upstream_type.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::net {

class UpstreamPool;

/** Phase of a connection to a backend server. */
enum class UpstreamPhase { Connecting, Idle, Busy, Closed };

/**
 * One connection to a backend server, with one request at a time. One read
 * operation is always pending, so that a close or unsolicited bytes on an idle
 * connection are noticed before it is used again.
 */
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
public:
  /**
   * Creates a connection that is not open yet.
   * @param Context Runs the connection on one thread.
   * @param Owner The pool; outlives its open connections.
   * @param Server The server.
   */
  UpstreamConnection(boost::asio::io_context &Context, UpstreamPool &Owner,
                     forward::ServerKey Server);

  /**
   * Connects, then sends.
   * @param Address "IP:port" of the server.
   * @param First The attempt to send once connected; without one this is a
   *   probe.
   * @return Whether the address is valid.
   */
  bool open(const std::string &Address, std::optional<UpstreamAttempt> First);

  /** Sends on an idle connection. @param Next The attempt. */
  void send(UpstreamAttempt Next);

  /** Drops the interest in the reply. @param Now Current time. */
  void abandon(base::TimePoint Now);

  /** Closes at once; a pending attempt fails. */
  void close();

  /** Fails the attempt because its unfinished reply takes too much memory. */
  void failOversized();

  /** Fails the attempt because all connections together hold too much. */
  void failForMemory();

  /**
   * Closes what has waited for too long.
   * @param Now Current time.
   * @return Whether an abandoned attempt got no reply, which makes other
   *   connections to the server suspect.
   */
  bool sweep(base::TimePoint Now);

  /** @return The attempt in progress, if any. */
  const std::optional<UpstreamAttempt> &attempt() const {
    return this->Current;
  }
  /** @return Phase. */
  UpstreamPhase phase() const { return this->Phase; }
  /** @return Bytes received of the reply in progress. */
  uint64_t receivedBytes() const { return this->ReceivedBytes; }
  /** @return Bytes of the request and of the reply that it holds. */
  uint64_t heldBytes() const { return this->Held.bytes(); }
  /** @return The server. */
  forward::ServerKey server() const { return this->Server; }
  /** @param Now Current time. @param MaxIdle Longest idle time.
   * @return Whether a request may be sent on it. */
  bool isReusable(base::TimePoint Now, base::Duration MaxIdle) const;
  /**
   * Tells whether a late copy of a reply to an attempt id may still arrive on
   * this connection.
   * @param IdHash UpstreamRequest::IdHash of the attempt id.
   * @return Whether a request with that id has been sent on it.
   */
  bool hasCarried(uint64_t IdHash) const;

  bool Retired = false; ///< Close it once it is idle.

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onConnected(boost::beast::error_code Failure);
  void write();
  void read();
  void onRead(boost::beast::error_code Failure, size_t Count);
  bool isReplyTooLarge() const;
  void resetReceived();
  void startReply();
  void parse(bool End);
  /** Ends a reply with its connection.
   * @return No error if the reply may end there; partial_message if it is cut
   *   off. */
  static boost::beast::error_code parseEnd(Parser &Unfinished);
  void finish(bool Reusable);
  bool isForeign(const Parser &Received) const;
  bool mayStayOpen() const;
  forward::Reply takeReply(Parser &Received) const;
  void fail(forward::AttemptFailure Kind);
  void reportBadReply(const std::string &Reason);
  /** Fails the attempt because of bytes that are no reply.
   * @param Reason What is wrong with them, for the log. */
  void failMalformed(const std::string &Reason);
  bool sweepBusy(base::TimePoint Now);
  void countHeld();
  void becomeIdle();

  boost::asio::ip::tcp::socket Socket;
  UpstreamPool &Owner;
  forward::ServerKey Server;
  UpstreamPhase Phase = UpstreamPhase::Connecting;
  base::TimePoint PhaseSince;
  base::TimePoint AbandonedAt;
  bool Probe = false; ///< The owner is told whether it opens.
  bool Abandoned = false;
  uint64_t ReceivedBytes = 0; ///< Of the reply; part of UnfinishedBytes.
  bool SawForeign = false;    ///< A reply to another attempt was dropped.
  /** UpstreamRequest::IdHash of each request that was sent on it. */
  std::vector<uint64_t> CarriedIds;
  base::Duration KeepAlive; ///< Idle time that the server allows.
  std::optional<UpstreamAttempt> Current;
  MessageWrite<true> Outgoing;
  limits::HeldBytes Held;
  boost::beast::flat_buffer Buffer;
  std::array<char, 4096> Chunk;
  std::optional<Parser> Incoming;
};

} // namespace hickorycrank::net

#endif
