#ifndef HICKORYCRANK_NET_UPSTREAM_TYPE_H
#define HICKORYCRANK_NET_UPSTREAM_TYPE_H

#include "forward/action_type.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hickorycrank::net {

/** Names of the header fields towards callers and backend servers. */
struct ForwardHeaders {
  std::string AttemptId;      ///< Of the caller's attempt; echoed by servers.
  std::string Remaining;      ///< Milliseconds that are left for an answer.
  std::string Signature;      ///< Proves that a server ran the request.
  std::string ExpectedServer; ///< Only this server may run the request.
  std::string ServerLoad;     ///< Running, waiting and slots, by commas.
  std::string RateLimit;      ///< Requests per second that a server accepts.
  std::string ColdRemaining;  ///< Milliseconds for which a server stays cold.
  std::string ServerLeaving;  ///< The server is leaving.
  std::string NotExecuted;    ///< The server did not run the request.
  std::string PartSignatures; ///< Signatures of the parts of an answer.
  std::string MissingParts;   ///< Number of shards that are left out.
};

/** A caller's request in the form that goes to every server. */
struct UpstreamRequest {
  /** Without fields of one connection; the framing fields are set. */
  boost::beast::http::request<boost::beast::http::string_body> Message;
  std::string AttemptId;
  uint64_t IdHash = 0; ///< Hash of AttemptId.
};

/** One attempt to be sent. */
struct UpstreamAttempt {
  forward::SendAttempt Order;
  std::shared_ptr<const UpstreamRequest> Source;
  uint32_t MaxConnections = 1; ///< To the server, from this instance.
  std::string RelayTried;      ///< Value of RelayTriedField; empty if absent.
};

/** What the connections tell their owner. */
struct UpstreamCallbacks {
  std::function<void(const forward::AttemptRef &, forward::ServerKey,
                     forward::Reply &&)>
      OnReply;
  std::function<void(const forward::AttemptRef &, forward::ServerKey,
                     forward::AttemptFailure)>
      OnFailure;
  /** An abandoned attempt ended without a reply, or was never sent. */
  std::function<void(const forward::AttemptRef &, forward::ServerKey,
                     forward::AttemptFailure)>
      OnAbandonedEnd;
  /** A connection without an attempt has opened, or failed to. */
  std::function<void(forward::ServerKey, bool Reached)> OnProbed;
  /** A server has sent bytes that are no reply; its attempt also fails. */
  std::function<void(const std::string &Address, const std::string &Reason)>
      OnBadReply = [](const std::string &, const std::string &) {};
};

/** What the connections count. */
struct UpstreamCounters {
  uint64_t Opened = 0;
  uint64_t ConnectFailed = 0;
  uint64_t Reused = 0;
  uint64_t ForeignReplies = 0;   ///< Replies to other attempts, dropped.
  uint64_t SurplusBytes = 0;     ///< Connections closed because of them.
  uint64_t OversizedReplies = 0; ///< Connections closed because of them.
  uint64_t MalformedReplies = 0; ///< Connections closed because of them.
  uint64_t AbandonedClosed = 0;  ///< Abandoned attempts without reply in time.
  uint64_t WritesStalled = 0;    ///< Servers that took no byte for too long.
  uint64_t ClosedForMemory = 0;  ///< Connections that held too much.
};

} // namespace hickorycrank::net

#endif
