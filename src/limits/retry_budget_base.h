#ifndef HICKORYCRANK_LIMITS_RETRY_BUDGET_BASE_H
#define HICKORYCRANK_LIMITS_RETRY_BUDGET_BASE_H

#include "base/time_type.h"

#include <array>
#include <cstdint>

namespace hickorycrank::limits {

/** Why an attempt beyond the first is sent. */
enum class ExtraAttemptKind {
  Hedge, ///< The first one is slow.
  Retry, ///< The first one failed.
};

/**
 * Bounds the attempts beyond the first of one service over a sliding second.
 * A window and no token bucket: tokens saved in quiet times would allow a
 * burst of retries at the moment when servers are worst off.
 */
class RetryBudget {
public:
  /**
   * Creates a budget.
   * @param ExtraShare Hedges and retries per first attempt.
   * @param HedgeShare Hedges per first attempt.
   * @param Floor Extra attempts a second that are always allowed.
   */
  RetryBudget(double ExtraShare, double HedgeShare, double Floor);

  /**
   * Counts a first attempt.
   * @param Now Current time.
   */
  void recordFirstAttempt(base::TimePoint Now);

  /**
   * Takes an extra attempt from the budget.
   * @param Kind Why it is wanted.
   * @param Now Current time.
   * @return Whether it may be sent; if so it has been counted.
   */
  bool tryTake(ExtraAttemptKind Kind, base::TimePoint Now);

private:
  /** Counters of a tenth of a second. */
  struct Slice {
    int64_t Number = -1; ///< Tenths of a second since the clock's epoch.
    uint32_t First = 0;
    uint32_t Hedges = 0;
    uint32_t Retries = 0;
  };

  Slice &current(base::TimePoint Now);

  static constexpr size_t SliceCount = 10;

  double ExtraShare;
  double HedgeShare;
  double Floor;
  std::array<Slice, SliceCount> Slices;
};

} // namespace hickorycrank::limits

#endif
