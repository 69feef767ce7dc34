#ifndef HICKORYCRANK_STANDIN_LOAD_TYPE_H
#define HICKORYCRANK_STANDIN_LOAD_TYPE_H

#include "base/random_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/** Requests of one template that arrive as a Poisson process. */
struct Workload {
  std::string Template;
  std::vector<std::string> Credentials; ///< "<organisation>:<key>", in turn.
  double PerSecond = 10;                ///< Mean arrival rate.
  /** Draws the parameters of one request as a JSON object. */
  std::function<std::string(base::Random &)> Parameters;
};

/** What callers saw of one template. */
struct LoadResult {
  uint64_t Queries = 0;
  uint64_t Answers = 0;
  uint64_t Unanswered = 0; ///< Connection lost or no response in time.
  uint64_t ShardsExpected = 0;
  uint64_t ShardsAnswered = 0;
  uint64_t ExtraAttempts = 0;      ///< Attempts beyond one per needed shard.
  std::vector<double> LatenciesMs; ///< Of answers, from the planned arrival.
  std::map<std::string, uint64_t> Refusals; ///< By kind.
};

} // namespace hickorycrank::standin

#endif
