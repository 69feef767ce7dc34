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

/** Identifies an attempt inside an engine; used only within the process. */
struct AttemptRef {
  base::QueryId Query;
  uint32_t Slot = 0;  ///< Index in the query's slots.
  uint32_t Index = 0; ///< Index in the slot's attempts.
  uint32_t Round = 0; ///< Number of restarts on a newer index version.

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
  bool NewConnection = false; ///< Do not reuse an open connection.
  std::shared_ptr<const Request> Source;
};

/** Why an attempt is cancelled. */
enum class CancelReason {
  Superseded, ///< Its reply is no longer needed.
  TimedOut,   ///< No reply in time; the connection must not be reused.
};

/** Cancel an attempt that was sent. */
struct CancelAttempt {
  AttemptRef Ref;
  base::AttemptId Id;
  base::ServerIndex Server;
  CancelReason Reason = CancelReason::Superseded;
};

/** Close the open connections to a server, which are presumed dead. */
struct CloseConnections {
  base::ServerIndex Server;
  std::string Address;
};

/** Request a report from a server; completed by onServerReport or
 * onProbeFailed. */
struct ProbeServer {
  base::ServerIndex Server;
  std::string Address;
};

/** Send a caller its final response. */
struct Respond {
  base::QueryId Query;
  Response Result;
};

/** Kinds of facts. A fact is an observation about a server or a request that
 * one instance publishes and all instances act on while it is valid. */
enum class FactKind {
  ServerLeaving,
  ServerCrashed,
  Quarantined, ///< A request is refused.
  Suspected,   ///< A request was in flight at a crash and must run alone.
};

/** Publish a fact to the other instances. */
struct PublishFact {
  FactKind Kind = FactKind::ServerLeaving;
  base::ServerId Server;     ///< Of the first two kinds.
  base::Incarnation Process; ///< Of the first two kinds.
  base::Fingerprint Request; ///< Of the last two kinds.
  base::Duration Lifetime{}; ///< Time for which the fact is valid.
};

using Action = std::variant<SendAttempt, CancelAttempt, CloseConnections,
                            ProbeServer, Respond, PublishFact>;
using Actions = std::vector<Action>;

/** How an attempt failed without a valid reply. */
enum class FailureKind {
  ConnectRefused, ///< Connection refused; nothing was sent.
  ConnectTimeout, ///< Connecting timed out; nothing was sent.
  Reset,          ///< The connection broke; the server may have crashed.
  InvalidReply,   ///< The reply was not valid.
  WrongEcho,      ///< The reply carried another id.
  NotSent, ///< Abandoned before any byte was sent, for example after a pause.
};

inline constexpr size_t FailureKindCount = 6;

} // namespace hickorycrank::query

#endif
