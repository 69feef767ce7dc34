#ifndef HICKORYCRANK_LIMITS_RETRY_BUDGET_BASE_H
#define HICKORYCRANK_LIMITS_RETRY_BUDGET_BASE_H

#include "base/time_type.h"

#include <array>
#include <cstdint>

namespace hickorycrank::limits {

/** Kinds of extra attempts, those after the first of a request. */
enum class ExtraAttemptKind {
  Hedge, ///< The first attempt is slow.
  Retry, ///< An earlier attempt failed.
};

/**
 * Limits the hedges and retries to one service within a sliding window of one
 * second. Unlike SharedBudget, it limits them for this instance only. A token
 * bucket is not suitable: tokens accumulated during low load would permit a
 * burst of retries just when the servers are overloaded.
 */
class RetryBudget {
public:
  /**
   * Creates a budget.
   * @param ExtraRatio Maximum number of hedges and retries per first attempt.
   * @param HedgeRatio Maximum number of hedges per first attempt.
   * @param MinPerSecond Extra attempts per second that are allowed regardless
   *   of the ratios.
   */
  RetryBudget(double ExtraRatio, double HedgeRatio, double MinPerSecond);

  /**
   * Counts a first attempt.
   * @param Now Current time.
   */
  void recordFirstAttempt(base::TimePoint Now);

  /**
   * Requests permission for an extra attempt and counts it if granted.
   * @param Kind Hedge or retry.
   * @param Now Current time.
   * @return Whether the attempt may be sent.
   */
  bool tryTake(ExtraAttemptKind Kind, base::TimePoint Now);

private:
  /** Counters for one tenth of a second. */
  struct Slice {
    int64_t Number = -1; ///< Tenths of a second since the clock's epoch.
    uint32_t FirstAttempts = 0;
    uint32_t Hedges = 0;
    uint32_t Retries = 0;
  };

  Slice &currentSlice(base::TimePoint Now);

  static constexpr size_t SliceCount = 10;

  double ExtraRatio;
  double HedgeRatio;
  double MinPerSecond;
  std::array<Slice, SliceCount> Slices;
};

} // namespace hickorycrank::limits

#endif
