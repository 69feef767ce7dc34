#ifndef HICKORYCRANK_FORWARD_CALL_TYPE_H
#define HICKORYCRANK_FORWARD_CALL_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "forward/placement_type.h"
#include "forward/route_type.h"
#include "forward/server_set_base.h"

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hickorycrank::forward {

/** Identifies a caller's request within an engine; never reused. */
using CallId = base::StrongId<struct CallTag, uint64_t>;

/** A server that may have received a request from another instance. */
struct TriedServer {
  std::string Service;
  base::ServerId Server;
};

/** The properties of a caller's request that the engine uses. */
struct CallRequest {
  std::string_view Host;   ///< Valid only during onRequest().
  std::string_view Target; ///< Request target; valid only during onRequest().
  base::Duration Remaining{}; ///< Time until the caller's deadline.
  base::Fingerprint Content;  ///< Hash that is equal for identical requests.
  uint64_t BodyBytes = 0;     ///< Size of its body.
  /** Another instance has relayed it; it is not relayed again. */
  bool Relayed = false;
  /** Servers at which that instance has tried it; they count towards the
   * route's maximum number of attempts. */
  std::vector<TriedServer> Tried;
};

/** Header fields in the order of the message. */
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** A complete reply of a backend server. */
struct Reply {
  uint32_t Status = 0;
  std::string Reason;  ///< Reason phrase of the status line.
  HeaderFields Fields; ///< Without hop-by-hop header fields.
  std::string Body;
  std::string Signature;    ///< Proof of execution; empty if absent.
  bool NotExecuted = false; ///< Rejected without being executed.
  bool Misdirected = false; ///< A different server is using the address.
  bool Merged = false;      ///< Another instance has merged it from replies.
  bool Unsent = false; ///< Another instance has sent the request to no server.
  std::optional<LoadReport> Load;
  /** Requests per second that the server accepts from all instances together;
   * nothing if it states no limit. */
  std::optional<double> RateLimit;
  /** Time for which the server remains cold; nothing if it does not state it.
   */
  std::optional<std::chrono::milliseconds> ColdRemaining;
  bool ServerLeaving = false; ///< The server states that it is leaving.
  /** Time for which a server that rejected the request accepts no others from
   * this instance; nothing if it does not state it. */
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/** Why an attempt ended without a reply. */
enum class AttemptFailure {
  NotSent, ///< No connection was established; no byte was sent.
  Broken,  ///< The connection was lost or the reply was invalid.
  GivenUp, ///< This instance closed the connection while it waited.
};

/** Reasons for refusing or failing a caller's request. */
enum class RefusalReason {
  NotReady,      ///< No configuration has been loaded.
  NoRoute,       ///< No route matches the request.
  NoServer,      ///< No backend server is available.
  Overloaded,    ///< Backend servers rejected it or their queues are too long.
  Quarantined,   ///< Identical requests crashed backend servers.
  Timeout,       ///< No result before the deadline.
  BackendFailed, ///< Backend servers failed; it may have been executed.
  Evacuated,     ///< The failure domains of all servers are evacuated.
  NoAllowedRegion, ///< No server is in a region that the route allows.
  LowerPriority,   ///< More urgent requests need the room at its servers.
};

inline constexpr size_t RefusalReasonCount = 10;

/** Retry-after time of a refusal due to overload: servers that shed load
 * usually have capacity again within it. */
inline constexpr std::chrono::milliseconds OverloadRetryAfter(150);

/** Answer to a caller whose request was refused or failed. */
struct Refusal {
  RefusalReason Reason = RefusalReason::NotReady;
  bool MayHaveRun = false; ///< A backend server may have executed the request.
  std::optional<std::chrono::milliseconds> RetryAfter;
  /** Status of a server's reply that is not passed on because it would state
   * that the request has not run. */
  std::optional<uint32_t> WithheldStatus = std::nullopt;
};

/** An answer merged from the replies of shards. */
struct MergedAnswer {
  std::vector<std::string> Signatures; ///< Of the included parts.
  uint32_t Missing = 0; ///< Number of parts whose reply is not included.
  std::string Records;  ///< Concatenated records of RecordBytes each.
};

/** Final result of a call; a Reply is forwarded unchanged. */
using CallResult = std::variant<Reply, MergedAnswer, Refusal>;

/** Statistics of a call, for its log line. */
struct CallSummary {
  std::string Route;     ///< Empty if no route matched.
  uint32_t Priority = 0; ///< Of the route.
  uint64_t Version = 0;  ///< Configuration version; 0 if none.
  uint32_t Shards = 0;   ///< Number of parts; 1 without a fan-out.
  uint32_t Answered = 0; ///< Parts with a successful reply.
  uint32_t Attempts = 0; ///< Attempts, including those that could not be sent.
  uint32_t Broken = 0;   ///< Attempts that ended without a valid reply.
  uint32_t Unsent = 0;   ///< Parts that were never sent to a server.
  uint32_t RateLimited = 0; ///< Parts whose servers had reached rate limits.
};

/** One attempt to get a reply for a part. */
struct Attempt {
  ServerKey Server;
  base::ServerId ServerId;
  base::TimePoint SentAt;
  /** The call waits for its outcome; false once it has ended or was abandoned.
   */
  bool Live = true;
  /** Its server may have received the request; false once it is known that
   * nothing was sent or that another server received it. */
  bool MayHaveArrived = true;
};

/** State of a part. */
enum class PartPhase {
  Waiting, ///< Waiting for a server, the retry budget or a backoff.
  InFlight,
  Answered,
  Failed,
};

/** The sub-request of a call to one service. */
struct Part {
  ServicePool *Pool = nullptr;
  PartPhase Phase = PartPhase::Waiting;
  bool Hedged = false;      ///< A hedge has been sent.
  bool RateLimited = false; ///< All servers had reached their rate limits.
  /** When the first server accepts requests again if all have asked for a
   * pause, as of the last check. */
  std::optional<base::TimePoint> PausedUntil;
  uint32_t PossiblyDelivered = 0; ///< Attempts that a server may have received.
  uint32_t PossiblyRun = 0;       ///< Attempts that a server may have executed.
  uint32_t Retries = 0;
  uint32_t Broken = 0;         ///< Attempts that ended without a valid reply.
  base::TimePoint WakeAt;      ///< Time of the next attempt, recheck or hedge.
  std::optional<Reply> Result; ///< Reply of an answered part.
  std::optional<Reply> Error;  ///< Last signed error reply of a server.
  boost::container::small_vector<Attempt, 2> Attempts;
  /** Servers that may have received it from another instance. */
  boost::container::small_vector<base::ServerId, 2> TriedElsewhere;
};

/**
 * Counts the servers that may have received a part, from any instance.
 * @param Counted The part.
 * @return Number of distinct servers.
 */
uint32_t distinctServers(const Part &Counted);

/** A call that another instance forwards. */
struct Relay {
  ServerKey Peer;
  AttemptRef Ref;
};

/** A caller's request from arrival to its final answer. */
struct Call {
  CallId Id;
  std::shared_ptr<const RouteTable> Table; ///< Configuration at arrival.
  const Route *MatchedRoute = nullptr;     ///< Points into Table.
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  base::TimePoint NextWake = base::TimePoint::max();
  base::Fingerprint Content;
  DomainFilter Allowed;   ///< Failure domains that may receive the request.
  uint64_t BodyBytes = 0; ///< Size of the request's body.
  /** First attempts are held back for a limited time while the server's queue
   * is long; see findDeferrable(). */
  bool Deferrable = false;
  uint32_t Answered = 0;
  uint32_t Failed = 0;
  std::vector<Part> Parts;
  bool Relayed = false;    ///< It came from another instance.
  bool CountedHere = true; ///< In the budgets of this instance.
  /** Set while another instance forwards the call; its parts are idle then. */
  std::optional<Relay> CurrentRelay;
  /** Peers to which the call was relayed. */
  boost::container::small_vector<ServerKey, 2> RelayedTo;
  /** A relay has ended and the peer may have sent the request to servers. */
  bool PeerMayHaveSent = false;
};

/**
 * Returns the name of a refusal reason in logs and metrics.
 * @param Reason The reason.
 * @return Stable name in lower case.
 */
const char *toString(RefusalReason Reason);

} // namespace hickorycrank::forward

#endif
