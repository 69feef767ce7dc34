#ifndef HICKORYCRANK_QUERY_STATE_TYPE_H
#define HICKORYCRANK_QUERY_STATE_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "limits/wait_queue_base.h"
#include "query/query_type.h"
#include "routing/selection_func.h"

#include <array>
#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace hickorycrank::query {

/** One attempt of a slot. */
struct AttemptState {
  base::AttemptId Id;
  base::ServerIndex Server;
  base::TimePoint SentAt;
  bool Live = true;           ///< No reply, failure or cancellation yet.
  bool Hedge = false;         ///< Sent beside another live attempt.
  bool NewConnection = false; ///< Sent on a new connection.
};

/** Progress of one shard of a query. */
enum class SlotPhase {
  Held,     ///< Not sent yet: another slot runs first.
  Waiting,  ///< In the wait queue.
  InFlight, ///< At least one live attempt.
  Backoff,  ///< To be retried at RetryAt.
  Answered,
  Failed,
};

/** Why a slot's last attempt failed. */
enum class RetryReason {
  Shed,
  VersionGone,
  Error,
  Reset,
  Timeout,
  Connect,
  BadReply,
};

inline constexpr size_t RetryReasonCount = 7;

/** State of one sub-query: the part of a query that runs on one shard of the
 * pinned layout. */
struct Slot {
  base::ShardIndex Shard;
  SlotPhase Phase = SlotPhase::Held;
  RetryReason LastReason = RetryReason::Error;
  uint8_t Retries = 0;       ///< Retries sent, hedges not counted.
  uint8_t BudgetDenials = 0; ///< Times that the budget denied a retry.
  /** Attempts that failed before any byte was sent. */
  uint8_t UnsentAttempts = 0;
  bool Hedged = false;
  bool Partial = false; ///< The reply lacks records of the shard.
  base::TimePoint RetryAt;
  std::optional<limits::WaitEntry> Queued;
  boost::container::small_vector<AttemptState, 2> Attempts;
  std::optional<uint64_t> Records;
  std::optional<uint64_t> RecordsTotal;
  std::vector<Row> Rows;
};

/** Order in which a query's slots are sent. */
enum class QueryMode {
  Normal,  ///< All slots at once.
  Canary,  ///< One slot first, the others after it succeeds.
  Suspect, ///< One slot at a time, alone on its server.
};

/** State of a query from arrival to response. */
struct QueryState {
  base::QueryId Id;
  std::shared_ptr<const Request> Source;
  base::TimePoint ArrivedAt;
  base::TimePoint NextWakeUp = base::TimePoint::max();
  routing::PinnedVersion Pinned;
  QueryMode Mode = QueryMode::Normal;
  uint32_t Round = 0;      ///< Number of restarts on a newer index version.
  bool MayHaveRun = false; ///< An attempt may have been executed.
  uint32_t AnsweredSlots = 0;
  uint32_t FailedSlots = 0;
  uint32_t AttemptsSent = 0;
  std::vector<Slot> Slots;
  /** Identical requests that receive the same response. */
  std::vector<base::QueryId> Joined;
};

/** Counters of an engine; never reset. */
struct EngineCounters {
  uint64_t Queries = 0;
  uint64_t Joined = 0; ///< Identical requests answered together.
  uint64_t Answers = 0;
  uint64_t FirstAttempts = 0; ///< First attempts of shards.
  uint64_t Hedges = 0;
  uint64_t HedgeWins = 0;
  uint64_t HedgesDenied = 0;  ///< Denied by the budget.
  uint64_t RetriesDenied = 0; ///< Denied by the budget.
  std::array<uint64_t, RetryReasonCount> Retries{};
  std::array<uint64_t, RefusalKindCount> Refusals{};
  uint64_t WrongEchoes = 0;
  uint64_t WrongVersions = 0;
  uint64_t LateReplies = 0;
  uint64_t Restarts = 0;
  uint64_t EarlyStops = 0;
  uint64_t Ejections = 0;
  uint64_t SilentConnections = 0; ///< Time-outs attributed to connections.
  uint64_t Crashes = 0;
  uint64_t Pauses = 0;
};

/**
 * Returns the name of a retry reason in metrics.
 * @param Reason The reason.
 * @return Stable lower-case name.
 */
const char *toString(RetryReason Reason);

} // namespace hickorycrank::query

#endif
