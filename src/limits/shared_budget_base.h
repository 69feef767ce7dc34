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

/** What a process may spend of the common limits. */
struct BudgetShare {
  /** Start of the process; min() if it has run for longer than a window. */
  base::TimePoint StartedAt = base::TimePoint::min();
  /** Its part of the slack, from 0 to 1; 0 while the other instances are not
   * known. */
  double SlackPart = 1;
};

/**
 * Limits the extra attempts of one instance to one service within a sliding
 * window. The instances do not need to coordinate: each counts only its own
 * requests and uses its part of the slack, so their sum stays within the common
 * limit.
 *
 * Nothing has to outlive a process. A part of the budget may be spent at any
 * moment, and the rest is earned in the course of the window. A new process has
 * little more than what it has earned itself. So it may follow one that has
 * spent everything: in one window both together earn no more than one of them
 * would.
 */
class SharedBudget {
public:
  /**
   * Sets the part of an attempt that a new process has before it has earned
   * any. If it is at random from 0 to 1, processes that follow each other send
   * as many on average as one that goes on would, and those that start together
   * do not all wait until each has earned a whole attempt.
   * @param Credit The part.
   */
  void setFirstCredit(double Credit) { this->FirstCredit = Credit; }

  /**
   * Counts a request for the service.
   * @param Now Current time.
   */
  void recordRequest(base::TimePoint Now);

  /**
   * Takes back a request: another instance forwards and counts it.
   * @param CountedAt Time that was passed to recordRequest() for it.
   */
  void cancelRequest(base::TimePoint CountedAt);

  /**
   * Requests permission for an extra attempt and counts it if granted.
   * @param Kind Hedge or retry; hedges may use only part of the budget.
   * @param Limits Limits for all instances together.
   * @param Share What this process may spend of them.
   * @param Now Current time.
   * @return Whether the attempt may be sent.
   */
  bool tryTake(ExtraAttemptKind Kind, const ExtraAttemptLimits &Limits,
               const BudgetShare &Share, base::TimePoint Now);

  /**
   * Tells whether tryTake() would grant an extra attempt.
   * @param Kind As in tryTake().
   * @param Limits As in tryTake().
   * @param Share As in tryTake().
   * @param Now Current time.
   * @return Whether it would.
   */
  bool mayTake(ExtraAttemptKind Kind, const ExtraAttemptLimits &Limits,
               const BudgetShare &Share, base::TimePoint Now) const;

private:
  /** Counters for one interval of SliceLength. */
  struct Slice {
    int64_t Number = -1; ///< Intervals since the clock's epoch.
    uint32_t Requests = 0;
    uint32_t Extras = 0;
  };

  /** What several slices count together. */
  struct Counts {
    double Requests = 0;
    double Extras = 0;
  };

  Slice &currentSlice(base::TimePoint Now);
  /** @return The slice with a number, or nullptr if nothing was counted. */
  const Slice *findSlice(int64_t Number) const;
  Slice *findSlice(int64_t Number);
  /** @return What was counted in the last window. */
  Counts countRecent(base::TimePoint Now, base::Duration Window) const;
  /** @return Whether a process younger than a window has earned an attempt. */
  bool fitsSinceStart(ExtraAttemptKind Kind, const ExtraAttemptLimits &Limits,
                      const BudgetShare &Share, base::TimePoint Now) const;
  /** @return Whether an attempt fits into each part of the window that ends
   * now. */
  bool fitsWindow(ExtraAttemptKind Kind, const ExtraAttemptLimits &Limits,
                  const BudgetShare &Share, base::TimePoint Now) const;

  static int64_t sliceNumber(base::TimePoint Now);
  /** @return Slices of a window, with an additional one, because the window
   * starts inside the oldest one. */
  static int64_t slicesOf(base::Duration Window);

  static constexpr base::Duration SliceLength = std::chrono::milliseconds(500);
  /** Limits the configurable window to 31 s. */
  static constexpr size_t SliceCount = 64;

  std::array<Slice, SliceCount> Slices;
  double FirstCredit = 0;
};

} // namespace hickorycrank::limits

#endif
