#ifndef HICKORYCRANK_FORWARD_ACTION_TYPE_H
#define HICKORYCRANK_FORWARD_ACTION_TYPE_H

#include "forward/call_type.h"

#include <variant>
#include <vector>

namespace hickorycrank::forward {

/** Send an attempt to a backend server. */
struct SendAttempt {
  AttemptRef Ref;
  ServerKey Server;
  base::ServerId ServerId;    ///< The receiver must be this server.
  std::string Address;        ///< "IP:port".
  base::Duration Remaining{}; ///< Time that is left for a reply.
  bool Idempotent = false;
};

/** Drop an attempt whose reply is not needed any more. */
struct AbandonAttempt {
  AttemptRef Ref;
  ServerKey Server;
};

/** Give a caller its final answer. */
struct RespondCall {
  CallId Id;
  CallResult Result;
  CallSummary Summary;
};

/** Close the connections to a server that is gone. */
struct CloseServerConnections {
  ServerKey Server;
};

/** Open a connection to a server, to learn whether it can be reached. */
struct ProbeConnection {
  ServerKey Server;
  std::string Address; ///< "IP:port".
};

using Action = std::variant<SendAttempt, AbandonAttempt, RespondCall,
                            CloseServerConnections, ProbeConnection>;
using Actions = std::vector<Action>;

} // namespace hickorycrank::forward

#endif
