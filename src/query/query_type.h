#ifndef HICKORYCRANK_QUERY_QUERY_TYPE_H
#define HICKORYCRANK_QUERY_QUERY_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "config/binding_func.h"
#include "config/document_type.h"
#include "routing/server_type.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hickorycrank::query {

/** Why a request is refused. */
enum class RefusalKind {
  BadRequest,
  UnknownTemplate,
  Unauthorised,
  TooLarge,
  DeadlinePassed,   ///< The deadline had passed on arrival.
  DeadlineExceeded, ///< The deadline passed while the request ran or waited.
  Overloaded,       ///< It cannot be served before its deadline.
  QueueFull,
  CoverageTooLow, ///< Too few shards answered.
  NoSnapshot,     ///< No server reported an index version (snapshot).
  NoServer,       ///< No backend server of a needed shard is reachable.
  BackendError,
  Quarantined,       ///< The request crashed backend servers.
  TicketRequired,    ///< The template needs a ticket; the request has none.
  TicketUnknown,     ///< The ticket expired or its record is not kept.
  TicketReused,      ///< The ticket was used for another request.
  IssuerUnreachable, ///< The instance that issued the ticket cannot be reached.
  ShuttingDown,
  NotReady,
};

inline constexpr size_t RefusalKindCount = 19;

/** Whether a refused request may have been executed. */
enum class ExecutionState {
  NotRun,     ///< No backend server executed it.
  MayHaveRun, ///< A backend server may have executed it.
};

/** Final response to a request that has no result. */
struct Refusal {
  RefusalKind Kind = RefusalKind::BadRequest;
  ExecutionState Ran = ExecutionState::NotRun;
  std::optional<std::chrono::milliseconds> RetryAfter;
  std::string Remedy; ///< Advice to the caller.
};

/** Value by which merged rows are sorted. */
using SortKey = std::variant<std::monostate, double, std::string>;

/** One row of a result. */
struct Row {
  SortKey Key;
  std::string Json; ///< The row as a JSON value.
};

/** Status of a backend server's reply to an attempt. */
enum class ReplyStatus {
  Ok,
  Partial, ///< Some records of the shard are missing.
  Shed,
  VersionGone,
  Expired,
  Cancelled,
  Error,
};

/** A backend server's reply to one attempt. */
struct Reply {
  base::AttemptId Echo; ///< Must equal the attempt's id.
  base::VersionId Version;
  ReplyStatus Status = ReplyStatus::Error;
  ExecutionState Ran = ExecutionState::MayHaveRun;
  std::optional<uint64_t> Records;      ///< Records searched.
  std::optional<uint64_t> RecordsTotal; ///< Records of the shard.
  std::vector<Row> Rows;
  std::optional<std::chrono::milliseconds> RetryAfter;
  std::optional<routing::ServerReport> Report;
};

/** Share of the pinned version's layout that an answer covers. */
struct Coverage {
  uint32_t Expected = 0; ///< Shards needed.
  uint32_t Answered = 0; ///< Shards answered, each counted once.
  std::optional<uint64_t> RecordsExpected; ///< Unknown unless all report it.
  std::optional<uint64_t> RecordsAnswered; ///< Unknown if a reply lacks it.
  std::vector<std::string> Missing;        ///< Names of missing shards.
};

/** Result of a request. */
struct Answer {
  base::VersionId Snapshot;
  Coverage Covered;
  uint32_t Attempts = 0; ///< Attempts sent to backend servers.
  std::vector<Row> Rows;
};

/** Final response to a caller. */
using Response = std::variant<Answer, Refusal>;

/** A request with bound parameters. Immutable. */
struct Request {
  std::string RequestId; ///< For logs and the caller.
  std::shared_ptr<const config::TemplateDoc> Template;
  std::shared_ptr<const config::OrganisationDoc> Organisation;
  config::BoundParameters Parameters;
  base::TimePoint Deadline;
  /** The deadline as wall time, for backend servers. */
  base::WallTime DeadlineWall;
};

/**
 * Returns the name of a refusal in answers, logs and metrics.
 * @param Kind The kind.
 * @return Stable lower-case name.
 */
const char *toString(RefusalKind Kind);

/**
 * Returns the name of an execution state.
 * @param Ran The state.
 * @return "not_run" or "may_have_run".
 */
const char *toString(ExecutionState Ran);

} // namespace hickorycrank::query

#endif
