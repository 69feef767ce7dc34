#ifndef HICKORYCRANK_LIMITS_SHARED_BUDGET_BASE_H
#define HICKORYCRANK_LIMITS_SHARED_BUDGET_BASE_H

#include "base/time_type.h"
#include "limits/retry_budget_base.h"

#include <array>
#include <cstdint>

namespace hickorycrank::limits {

/** Limits of the extra attempts at one service, over all instances. */
struct ExtraAttemptLimits {
  double Ratio = 0.1; ///< Extra attempts per request.
  double Slack = 0;   ///< Extra attempts a window beyond the ratio.
  base::Duration Window = std::chrono::seconds(10);
};

/**
 * Bounds the attempts of one instance beyond the first of each request, at one
 * service and in a sliding window. The instances need no agreement: the sum of
 * their shares keeps the common limit, because each counts only its own
 * requests and takes an equal part of the slack.
 */
class SharedBudget {
public:
  /**
   * Counts a request for the service.
   * @param Now Current time.
   */
  void recordRequest(base::TimePoint Now);

  /**
   * Takes an extra attempt from the budget.
   * @param Kind Why it is wanted; hedges leave a reserve for retries.
   * @param Limits Limits of all instances together.
   * @param Instances Instances that share the slack, at least 1.
   * @param Now Current time.
   * @return Whether it may be sent; if so it has been counted.
   */
  bool tryTake(ExtraAttemptKind Kind, const ExtraAttemptLimits &Limits,
               size_t Instances, base::TimePoint Now);

private:
  /** Counters of one part of the window. */
  struct Slice {
    int64_t Number = -1;
    uint32_t Requests = 0;
    uint32_t Extras = 0;
  };

  Slice &current(base::TimePoint Now);

  static constexpr base::Duration SliceLength = std::chrono::milliseconds(500);
  /** Bounds the window that can be configured to 32 s. */
  static constexpr size_t SliceCount = 64;

  std::array<Slice, SliceCount> Slices;
};

} // namespace hickorycrank::limits

#endif
