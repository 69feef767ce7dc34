#ifndef HICKORYCRANK_QUERY_ACTION_TYPE_H
#define HICKORYCRANK_QUERY_ACTION_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "query/query_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hickorycrank::query {

/** Locates an attempt inside an engine; never leaves the process. */
struct AttemptRef {
  base::QueryId Query;
  uint32_t Slot = 0;  ///< Position among the query's shards.
  uint32_t Index = 0; ///< Position among the slot's attempts.
  uint32_t Round = 0; ///< Counts restarts on a newer index version.

  auto operator<=>(const AttemptRef &) const = default;
};

/** Send an attempt to a backend server. */
struct SendAttempt {
  AttemptRef Ref;
  base::AttemptId Id;
  base::ServerIndex Server;
  std::string Address; ///< "address:port" of the server.
  std::string Shard;
  base::VersionId Version;
  bool FreshConnection = false; ///< Do not reuse an open connection.
  std::shared_ptr<const Request> Source;
};

/** Why an attempt is abandoned. */
enum class CancelReason {
  Superseded, ///< Another attempt answered, or the answer has been sent.
  TimedOut,   ///< No reply in time; the connection is not to be reused.
};

/** Abandon an attempt that was sent. */
struct CancelAttempt {
  AttemptRef Ref;
  base::AttemptId Id;
  base::ServerIndex Server;
  CancelReason Reason = CancelReason::Superseded;
};

/** Close the open connections to a server: they have gone silent. */
struct CloseConnections {
  base::ServerIndex Server;
  std::string Address;
};

/** Ask a server for its report; answer by onServerReport or onProbeFailed. */
struct ProbeServer {
  base::ServerIndex Server;
  std::string Address;
};

/** Give a caller its final answer. */
struct Respond {
  base::QueryId Query;
  Response Result;
};

/** Kinds of facts that instances tell each other. */
enum class FactKind {
  ServerLeaving,
  ServerCrashed,
  Quarantined, ///< A request is refused.
  Suspected,   ///< A request was in flight at a crash and must run alone.
};

/** Tell the other instances. */
struct PublishFact {
  FactKind Kind = FactKind::ServerLeaving;
  base::ServerId Server;     ///< Of the first two kinds.
  base::Incarnation Process; ///< Of the first two kinds.
  base::Fingerprint Request; ///< Of the last two kinds.
  base::Duration Lifetime{}; ///< Time for which it holds.
};

using Action = std::variant<SendAttempt, CancelAttempt, CloseConnections,
                            ProbeServer, Respond, PublishFact>;
using Actions = std::vector<Action>;

/** How an attempt failed without a valid reply. */
enum class FailureKind {
  ConnectRefused, ///< No connection; the server got nothing.
  ConnectTimeout, ///< No connection in time; the server got nothing.
  Reset,          ///< The connection broke; the server may have crashed.
  InvalidReply,   ///< The reply was not valid.
  WrongEcho,      ///< The reply carried another id.
  NotSent,        ///< Given up before any byte left, such as after a pause.
};

inline constexpr size_t FailureKindCount = 6;

} // namespace hickorycrank::query

#endif
