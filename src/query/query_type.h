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

/** Why a request gets no answer. */
enum class RefusalKind {
  BadRequest,
  UnknownTemplate,
  Unauthorised,
  TooLarge,
  DeadlinePassed,   ///< The deadline had passed on arrival.
  DeadlineExceeded, ///< The deadline passed while the request ran or waited.
  Overloaded,       ///< It could not have been served before its deadline.
  QueueFull,
  CoverageTooLow, ///< Too few shards answered.
  NoSnapshot,     ///< No backend server has reported an index version.
  NoServer,       ///< No backend server of a needed shard is reachable.
  BackendError,
  Quarantined, ///< The request crashed backend servers.
  TicketRequired,
  TicketUnknown,
  TicketReused,
  IssuerUnreachable,
  ShuttingDown,
  NotReady,
};

inline constexpr size_t RefusalKindCount = 19;

/** Whether a refused request may have had an effect. */
enum class ExecutionState {
  NotRun,     ///< No backend server acted on it.
  MayHaveRun, ///< A backend server may have acted on it.
};

/** A request's final answer when it has no result. */
struct Refusal {
  RefusalKind Kind = RefusalKind::BadRequest;
  ExecutionState Ran = ExecutionState::NotRun;
  std::optional<std::chrono::milliseconds> RetryAfter;
  std::string Remedy; ///< What the caller can do.
};

/** Value by which rows are merged. */
using SortKey = std::variant<std::monostate, double, std::string>;

/** One row of a result. */
struct Row {
  SortKey Key;
  std::string Json; ///< The row as a JSON value.
};

/** How a backend server ended an attempt. */
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

/** How much of the pinned layout an answer covers. */
struct Coverage {
  uint32_t Expected = 0; ///< Shards needed.
  uint32_t Answered = 0; ///< Shards answered, each counted once.
  std::optional<uint64_t> RecordsExpected; ///< Unknown unless all report it.
  std::optional<uint64_t> RecordsAnswered; ///< Unknown unless all report it.
  std::vector<std::string> Missing;        ///< Names of missing shards.
};

/** A request's result. */
struct Answer {
  base::VersionId Snapshot;
  Coverage Covered;
  uint32_t Attempts = 0; ///< Attempts sent to backend servers.
  std::vector<Row> Rows;
};

/** What a caller finally gets. */
using Response = std::variant<Answer, Refusal>;

/** A request whose parameters are bound. Immutable. */
struct Request {
  std::string RequestId; ///< For logs and the caller.
  std::shared_ptr<const config::TemplateDoc> Template;
  std::shared_ptr<const config::OrganisationDoc> Organisation;
  config::BoundParameters Parameters;
  base::TimePoint Deadline;
  base::WallTime DeadlineWall; ///< The same moment for backend servers.
};

/**
 * Names a refusal in answers, logs and metrics.
 * @param Kind The kind.
 * @return Stable lower-case name.
 */
const char *toString(RefusalKind Kind);

/**
 * Names whether a request ran.
 * @param Ran The state.
 * @return "not_run" or "may_have_run".
 */
const char *toString(ExecutionState Ran);

} // namespace hickorycrank::query

#endif
