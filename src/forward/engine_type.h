#ifndef HICKORYCRANK_FORWARD_ENGINE_TYPE_H
#define HICKORYCRANK_FORWARD_ENGINE_TYPE_H

#include "base/id_type.h"
#include "forward/call_type.h"
#include "forward/placement_type.h"
#include "limits/cold_share_func.h"
#include "limits/shared_budget_base.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace hickorycrank::forward {

/** Settings of an engine. */
struct EngineOptions {
  base::FailureDomainId Domain; ///< Of this instance.
  limits::ExtraAttemptLimits Extra;
  /** Of the limits on extra attempts, until onSlackPart() is called. */
  limits::BudgetShare Share = {};
  RegionMap Regions = {}; ///< Of failure domains; may lack some.
  limits::ColdLimits Cold = {};
  std::string Instance = ""; ///< Id of this instance.
};

/** Counters of an engine; never reset. */
struct EngineCounters {
  uint64_t Calls = 0;
  uint64_t Answers = 0;
  uint64_t PartialAnswers = 0;
  uint64_t CallersGone = 0;
  uint64_t ShardsLeftOut = 0; ///< Omitted because overloaded or unreachable.
  uint64_t Attempts = 0;
  uint64_t Hedges = 0;
  uint64_t Retries = 0;
  uint64_t HedgesDenied = 0;  ///< By the budget.
  uint64_t Deferred = 0;      ///< Parts delayed because of long queues.
  uint64_t RetriesDenied = 0; ///< By the budget.
  uint64_t Shed = 0; ///< Replies that state that the request was not executed.
  uint64_t Misdirected = 0;
  uint64_t ServerErrors = 0; ///< Error replies other than rejections.
  /** Replies of servers that were not passed on because their status would
   * state that a request that ran has not run. */
  uint64_t StatementsWithheld = 0;
  uint64_t NotSent = 0;
  uint64_t Broken = 0;
  uint64_t Probes = 0;
  uint64_t LateReplies = 0; ///< Of abandoned attempts.
  /** Replies of shards whose signature does not fit into a merged answer. */
  uint64_t SignaturesTooLong = 0;
  uint64_t RateLimitReplies = 0;  ///< Replies that state a rate limit.
  uint64_t RetryAfterReplies = 0; ///< Rejections that ask for a pause.
  uint64_t ColdLimited = 0;    ///< Parts held back or omitted by cold limits.
  uint64_t Relays = 0;         ///< Calls passed on to other instances.
  uint64_t RelaysFailed = 0;   ///< Without an answer of backend servers.
  uint64_t RelaysReceived = 0; ///< Calls passed on by other instances.
  /** Attempts at servers that this instance is not assigned to. */
  uint64_t Borrowed = 0;
  std::array<uint64_t, RefusalReasonCount> Refusals{};
  /** Refusals and failures, by priority of the route. */
  std::map<uint32_t, std::array<uint64_t, RefusalReasonCount>>
      RefusalsByPriority;
  uint64_t Reserved = 0; ///< Checks at which a part left room for urgent ones.
};

} // namespace hickorycrank::forward

#endif
