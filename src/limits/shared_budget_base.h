#ifndef HICKORYCRANK_LIMITS_SHARED_BUDGET_BASE_H
#define HICKORYCRANK_LIMITS_SHARED_BUDGET_BASE_H

#include "base/time_type.h"
#include "limits/retry_budget_base.h"

#include <array>
#include <cstdint>

namespace hickorycrank::limits {

/** Limits on extra attempts to one service, for all instances together. */
struct ExtraAttemptLimits {
  double Ratio = 0.1; ///< Maximum extra attempts per request.
  double Slack = 0;   ///< Extra attempts per window in addition to Ratio.
  base::Duration Window = std::chrono::seconds(10);
};

/**
 * Limits the extra attempts of one instance to one service within a sliding
 * window. The instances do not need to coordinate: each counts only its own
 * requests and uses an equal share of the slack, so their sum stays within the
 * common limit.
 */
class SharedBudget {
public:
  /**
   * Counts a request for the service.
   * @param Now Current time.
   */
  void recordRequest(base::TimePoint Now);

  /**
   * Takes back a request that was counted shortly before: another instance
   * forwards and counts it.
   * @param Now Current time.
   */
  void cancelRequest(base::TimePoint Now);

  /**
   * Requests permission for an extra attempt and counts it if granted.
   * @param Kind Hedge or retry; hedges may use only part of the budget.
   * @param Limits Limits for all instances together.
   * @param Instances Number of instances that share the slack, at least 1.
   * @param Now Current time.
   * @return Whether the attempt may be sent.
   */
  bool tryTake(ExtraAttemptKind Kind, const ExtraAttemptLimits &Limits,
               size_t Instances, base::TimePoint Now);

private:
  /** Counters for one interval of SliceLength. */
  struct Slice {
    int64_t Number = -1; ///< Intervals since the clock's epoch.
    uint32_t Requests = 0;
    uint32_t Extras = 0;
  };

  Slice &currentSlice(base::TimePoint Now);

  static constexpr base::Duration SliceLength = std::chrono::milliseconds(500);
  /** Limits the configurable window to 32 s. */
  static constexpr size_t SliceCount = 64;

  std::array<Slice, SliceCount> Slices;
};

} // namespace hickorycrank::limits

#endif
