#ifndef HICKORYCRANK_FORWARD_ACTION_TYPE_H
#define HICKORYCRANK_FORWARD_ACTION_TYPE_H

#include "forward/call_type.h"

#include <optional>
#include <variant>
#include <vector>

namespace hickorycrank::forward {

/** Send an attempt to a backend server. */
struct SendAttempt {
  AttemptRef Ref;
  ServerKey Server;
  base::ServerId ServerId;    ///< Expected receiver; any other must reject it.
  std::string Address;        ///< "IP:port".
  base::Duration Remaining{}; ///< Time remaining for a reply.
  bool Idempotent = false;
};

/** Cancel an attempt whose reply is no longer needed. */
struct AbandonAttempt {
  AttemptRef Ref;
  ServerKey Server;
};

/** Pass a caller's request on to another instance, which forwards it. */
struct RelayRequest {
  AttemptRef Ref; ///< Its part is RelayPart.
  ServerKey Peer;
  std::string Address;        ///< "IP:port".
  base::Duration Remaining{}; ///< Time remaining for an answer.
  bool Idempotent = false;
  std::vector<TriedServer> Tried; ///< Servers that may have the request.
};

/** End a relay at once, so that the other instance notices it. */
struct CancelRelay {
  AttemptRef Ref;
  ServerKey Peer;
};

/** Log that this instance has lost or regained its links to all servers. */
struct LogReachability {
  bool Reaches = false;
  size_t Silent = 0;            ///< Servers that do not answer.
  size_t Servers = 0;           ///< All that may be used.
  base::ServerId LastReplyFrom; ///< Empty if none or no longer listed.
};

/** Send a caller the final answer. */
struct RespondCall {
  CallId Id;
  CallResult Result;
  CallSummary Summary;
};

/** Close all connections to a server that is no longer listed or has restarted.
 */
struct CloseServerConnections {
  ServerKey Server;
};

/** Open a connection to a server to test whether it is reachable. */
struct ProbeConnection {
  ServerKey Server;
  std::string Address; ///< "IP:port".
};

/** Log that a server states another rate limit than before. */
struct LogRateLimit {
  base::ServerId ServerId;
  std::optional<double> PerSecond; ///< Nothing if it no longer states one.
};

/** Log that a server has stated in a reply that it wants no requests. */
struct LogServerDeclines {
  base::ServerId ServerId;
  /** Time until it wants requests again; nothing if it is leaving. */
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/** Log that a server has become cold or warm. */
struct LogColdState {
  base::ServerId ServerId;
  base::Duration Remaining{}; ///< Zero if it is warm.
  double PerSecond = 0;       ///< Its rate while cold; 0 if not limited.
};

/** Log that requests with a certain content are refused from now on, because
 * servers crash when they execute them. */
struct LogQuarantine {
  base::Fingerprint Content;
};

using Action =
    std::variant<SendAttempt, AbandonAttempt, RespondCall,
                 CloseServerConnections, ProbeConnection, LogRateLimit,
                 RelayRequest, CancelRelay, LogReachability, LogServerDeclines,
                 LogColdState, LogQuarantine>;
using Actions = std::vector<Action>;

} // namespace hickorycrank::forward

#endif
