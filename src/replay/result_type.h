#ifndef HICKORYCRANK_REPLAY_RESULT_TYPE_H
#define HICKORYCRANK_REPLAY_RESULT_TYPE_H

#include "base/time_type.h"
#include "query/query_type.h"
#include "query/state_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::replay {

/** What became of one query. */
struct QueryRecord {
  uint32_t Class = 0;       ///< Position in the configuration.
  uint32_t Instance = 0;    ///< Which one received it.
  bool Crashing = false;    ///< The request that crashes servers.
  base::Duration SentAt{};  ///< From the start of the trace.
  base::Duration Latency{}; ///< Until the response.
  uint32_t Expected = 0;    ///< Shards needed.
  uint32_t Answered = 0;    ///< Shards answered.
  uint32_t Attempts = 0;    ///< Sent to backend servers.
  uint32_t Arrivals = 0;    ///< Attempts that reached a server.
  uint32_t Runs = 0;        ///< Attempts that a server began to run.
  uint32_t Responses = 0;   ///< Must be 1 in the end.
  uint64_t Snapshot = 0;    ///< Of the answer.
  std::optional<query::RefusalKind> Refused;
  std::map<uint32_t, base::Duration> Service; ///< Of the first run, by shard.
  bool NotRun = false; ///< The refusal says that no server ran it.
};

/** What happened in one second. */
struct SecondRecord {
  uint64_t First = 0; ///< First attempts of shards.
  uint64_t All = 0;   ///< All attempts.
  uint64_t Good = 0;  ///< Answers in time.
};

/** Everything recorded in one run of a trace. */
struct RunRecord {
  std::vector<QueryRecord> Queries; ///< By id.
  std::vector<SecondRecord> Seconds;
  std::vector<std::string> Violations; ///< Promises that were broken.
  uint64_t ViolationCount = 0;
  uint32_t MostTimeouts = 0;      ///< On any one connection.
  uint32_t ServersLost = 0;       ///< To the crashing request.
  query::EngineCounters Counters; ///< Sums over the instances.
};

} // namespace hickorycrank::replay

#endif
