#ifndef HICKORYCRANK_REPLAY_REPORT_TYPE_H
#define HICKORYCRANK_REPLAY_REPORT_TYPE_H

#include "query/query_type.h"
#include "replay/trace_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickorycrank::replay {

/** Figures of one run of a trace, without its warm-up. */
struct Summary {
  uint64_t Queries = 0;
  double P50Ms = 0;    ///< A refused query counts as its deadline.
  double P99Ms = 0;    ///< A refused query counts as its deadline.
  double Coverage = 0; ///< Mean; a refused query counts as 0.
  double AttemptsPerShard = 0;
  double ExtraLoad = 0;      ///< Extra attempts per first attempt.
  double WorstExtraLoad = 0; ///< The same in the worst second.
  double GoodputRecovery = 0;
  uint32_t MostTimeouts = 0; ///< On any one connection.
  uint64_t Ejections = 0;
  uint64_t Restarts = 0;
  uint32_t ServersLost = 0;
  uint64_t OthersAffected = 0; ///< Other requests refused or incomplete.
  std::array<uint64_t, query::RefusalKindCount> Refusals{};
  std::map<uint64_t, uint64_t> Snapshots; ///< Answers by index version.
  uint64_t Violations = 0;
  std::vector<std::string> ViolationTexts; ///< The first few.
  std::string Digest;                      ///< Of all records of the run.
};

/** One bound compared with what was measured. */
struct BoundResult {
  Bound Stated;
  double Measured = 0;
  bool Held = false;
};

/** A trace under one policy. */
struct Row {
  std::string Trace;
  std::string Policy; ///< Name of the policy.
  Summary Figures;
  std::vector<BoundResult> Bounds;
  bool Passed = false; ///< All bounds and all promises held.
};

} // namespace hickorycrank::replay

#endif
