#ifndef HICKORYCRANK_FORWARD_CALL_TYPE_H
#define HICKORYCRANK_FORWARD_CALL_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
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

/** Names a caller's request inside an engine; never reused. */
using CallId = base::StrongId<struct CallTag, uint64_t>;

/** What the engine needs to know about a caller's request. */
struct CallRequest {
  std::string_view Host;      ///< Used during onRequest() only.
  std::string_view Target;    ///< Used during onRequest() only.
  base::Duration Remaining{}; ///< Time that the caller will still wait.
  base::Fingerprint Content;  ///< Equal for requests that are the same.
};

/** Header fields in the order of the message. */
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** A complete reply of a backend server. */
struct Reply {
  uint32_t Status = 0;
  std::string Reason;  ///< Reason phrase of the status line.
  HeaderFields Fields; ///< Without those of one connection.
  std::string Body;
  std::string Signature;    ///< Proves that the server ran the request.
  bool NotExecuted = false; ///< The server did not run the request.
  bool Misdirected = false; ///< Another server has the address.
  std::optional<LoadReport> Load;
};

/** Why an attempt ended without a reply. */
enum class AttemptFailure {
  NotSent, ///< No connection, and no byte has left.
  Broken,  ///< The connection broke or the reply was not valid.
};

/** Why a caller gets no result. */
enum class RefusalReason {
  NotReady,      ///< No configuration is known.
  NoRoute,       ///< The configuration has no route for the request.
  NoServer,      ///< No backend server may be used.
  Overloaded,    ///< Backend servers refused it or have too long queues.
  Quarantined,   ///< Equal requests crashed backend servers.
  Timeout,       ///< No result in time.
  BackendFailed, ///< Backend servers failed; the request may have run.
};

inline constexpr size_t RefusalReasonCount = 7;

/** Time in which servers that shed load usually have room again. */
inline constexpr std::chrono::milliseconds OverloadRetryAfter(150);

/** A final answer without a result. */
struct Refusal {
  RefusalReason Reason = RefusalReason::NotReady;
  bool MayHaveRun = false; ///< A backend server may have run the request.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/** An answer merged from shards. */
struct MergedAnswer {
  std::vector<std::string> Signatures; ///< Of the parts that are included.
  uint32_t Missing = 0;                ///< Shards that are left out.
  std::string Records;
};

/** What a caller finally gets; a Reply is passed on unchanged. */
using CallResult = std::variant<Reply, MergedAnswer, Refusal>;

/** What was done for a call, for its log line. */
struct CallSummary {
  std::string Route;    ///< Empty if there was none.
  uint64_t Version = 0; ///< Of the configuration in use; 0: none.
  uint32_t Shards = 0;  ///< Services that were needed.
  uint32_t Answered = 0;
  uint32_t Attempts = 0; ///< Sent to backend servers.
  uint32_t Broken = 0;   ///< Attempts that ended without a valid reply.
  uint32_t Unsent = 0;   ///< Shards that no attempt reached.
};

/** One attempt of a part. */
struct Attempt {
  ServerKey Server;
  base::TimePoint SentAt;
  bool Live = true;
};

/** Progress of a part. */
enum class PartPhase {
  Waiting, ///< For a server, for the budget or for the end of a backoff.
  InFlight,
  Answered,
  Failed,
};

/** One service that a call needs. */
struct Part {
  ServicePool *Pool = nullptr;
  PartPhase Phase = PartPhase::Waiting;
  bool Hedged = false;
  uint32_t Distinct = 0;    ///< Servers that may have received it.
  uint32_t Arrivals = 0;    ///< Attempts that may have reached a server.
  uint32_t PossiblyRun = 0; ///< Attempts that a server may have acted on.
  uint32_t Retries = 0;
  uint32_t Broken = 0;         ///< Attempts that ended without a valid reply.
  base::TimePoint WakeAt;      ///< Time of the next retry or hedge.
  std::optional<Reply> Result; ///< Of an answered part.
  std::optional<Reply> Error;  ///< Last error reply of a server.
  boost::container::small_vector<Attempt, 2> Attempts;
};

/** A caller's request from arrival to its final answer. */
struct Call {
  CallId Id;
  std::shared_ptr<const RouteTable> Table; ///< The version in use.
  const Route *Source = nullptr;           ///< Inside Table.
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  base::TimePoint NextWake = base::TimePoint::max();
  base::Fingerprint Content;
  bool Deferrable = false; ///< Its attempts give way at busy servers.
  uint32_t Answered = 0;
  uint32_t Failed = 0;
  std::vector<Part> Parts;
};

/**
 * Names a refusal in logs and metrics.
 * @param Reason The reason.
 * @return Stable lower-case name.
 */
const char *toString(RefusalReason Reason);

} // namespace hickorycrank::forward

#endif
