#include "limits/shared_budget_base.h"

#include <algorithm>
#include <chrono>

namespace hickorycrank::limits {

namespace {

/** Fraction of the limit that is used. The margin is needed because the windows
 * of the instances and the windows over which the limit is checked are not
 * aligned. */
constexpr double SafetyFactor = 0.85;
/** Fraction of a window's budget that may be spent at any moment. */
constexpr double BurstShare = 1.0 / 3;
/** A small budget is spent in whole attempts, and requests fail together: up to
 * this number of attempts, a larger fraction may be spent at any moment. */
constexpr double SmallBurst = 2;
constexpr double SmallBurstShare = 0.5;
/** Attempts that a new process may send before it has earned any, if its part
 * of the slack is at least AmpleSlack; the margin is enough for them then. */
constexpr double StartCredit = 1;
constexpr double AmpleSlack = 4;
/** Fraction of the budget beyond one attempt that is available to hedges; the
 * rest is reserved for retries. */
constexpr double HedgeShare = 0.8;

/** What a process may spend, derived from the limits and its part of them. */
struct OwnBudget {
  double Whole = 0;          ///< In a window.
  double Burst = 0;          ///< At any moment.
  double PerRequest = 0;     ///< Earned with a request.
  double SlackPerWindow = 0; ///< Earned in the course of a window.
};

OwnBudget makeOwnBudget(const ExtraAttemptLimits &Limits, double SlackPart,
                        double RecentRequests) {
  double OwnSlack = Limits.Slack * SlackPart;
  double Whole = SafetyFactor * (Limits.Ratio * RecentRequests + OwnSlack);
  double Small = std::min(SmallBurst, SmallBurstShare * Whole);
  double Burst = std::max(BurstShare * Whole, Small);
  constexpr double Earned = SafetyFactor * (1 - BurstShare);
  return {Whole, Burst, Earned * Limits.Ratio, Earned * OwnSlack};
}

/** @return What is earned with some requests in some time. */
double earned(const OwnBudget &Own, double Requests, base::Duration Time,
              base::Duration Window) {
  using Fraction = std::chrono::duration<double>;
  double Windows = Fraction(std::min(Time, Window)) / Fraction(Window);
  return Own.PerRequest * Requests + Own.SlackPerWindow * Windows;
}

/** @return A budget, or the part of it that is available to hedges. */
double available(ExtraAttemptKind Kind, double Budget) {
  return Kind == ExtraAttemptKind::Hedge && Budget > 1
             ? 1 + (Budget - 1) * HedgeShare
             : Budget;
}

} // namespace

void SharedBudget::recordRequest(base::TimePoint Now) {
  ++this->currentSlice(Now).Requests;
}

void SharedBudget::cancelRequest(base::TimePoint CountedAt) {
  Slice *Entry = this->findSlice(sliceNumber(CountedAt));
  if (Entry != nullptr && Entry->Requests > 0) {
    --Entry->Requests;
  }
}

bool SharedBudget::tryTake(ExtraAttemptKind Kind,
                           const ExtraAttemptLimits &Limits,
                           const BudgetShare &Share, base::TimePoint Now) {
  if (!this->mayTake(Kind, Limits, Share, Now)) {
    return false;
  }
  ++this->currentSlice(Now).Extras;
  return true;
}

bool SharedBudget::mayTake(ExtraAttemptKind Kind,
                           const ExtraAttemptLimits &Limits,
                           const BudgetShare &Share,
                           base::TimePoint Now) const {
  bool Young = Share.StartedAt > Now - Limits.Window;
  return Young ? this->fitsSinceStart(Kind, Limits, Share, Now)
               : this->fitsWindow(Kind, Limits, Share, Now);
}

bool SharedBudget::fitsSinceStart(ExtraAttemptKind Kind,
                                  const ExtraAttemptLimits &Limits,
                                  const BudgetShare &Share,
                                  base::TimePoint Now) const {
  Counts All = this->countRecent(Now, Limits.Window);
  OwnBudget Own = makeOwnBudget(Limits, Share.SlackPart, All.Requests);
  bool Ample = Limits.Slack * Share.SlackPart >= AmpleSlack;
  double Budget =
      (Ample ? StartCredit : this->FirstCredit) +
      earned(Own, All.Requests, Now - Share.StartedAt, Limits.Window);
  return All.Extras + 1 <= available(Kind, Budget);
}

bool SharedBudget::fitsWindow(ExtraAttemptKind Kind,
                              const ExtraAttemptLimits &Limits,
                              const BudgetShare &Share,
                              base::TimePoint Now) const {
  Counts All = this->countRecent(Now, Limits.Window);
  OwnBudget Own = makeOwnBudget(Limits, Share.SlackPart, All.Requests);
  if (All.Extras + 1 > available(Kind, Own.Whole)) {
    return false;
  }
  Counts Part;
  for (int64_t Age = 0; Age < slicesOf(Limits.Window); ++Age) {
    int64_t Number = sliceNumber(Now) - Age;
    if (const Slice *Entry = this->findSlice(Number)) {
      Part.Requests += Entry->Requests;
      Part.Extras += Entry->Extras;
    }
    base::TimePoint Begin(SliceLength * Number);
    double Budget =
        Own.Burst + earned(Own, Part.Requests, Now - Begin, Limits.Window);
    if (Part.Extras + 1 > available(Kind, Budget)) {
      return false;
    }
  }
  return true;
}

SharedBudget::Counts SharedBudget::countRecent(base::TimePoint Now,
                                               base::Duration Window) const {
  Counts Result;
  for (const Slice &Entry : this->Slices) {
    if (Entry.Number > sliceNumber(Now) - slicesOf(Window)) {
      Result.Requests += Entry.Requests;
      Result.Extras += Entry.Extras;
    }
  }
  return Result;
}

int64_t SharedBudget::sliceNumber(base::TimePoint Now) {
  return Now.time_since_epoch() / SliceLength;
}

int64_t SharedBudget::slicesOf(base::Duration Window) {
  return static_cast<int64_t>(Window / SliceLength) + 1;
}

const SharedBudget::Slice *SharedBudget::findSlice(int64_t Number) const {
  const Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  return Entry.Number == Number ? &Entry : nullptr;
}

SharedBudget::Slice *SharedBudget::findSlice(int64_t Number) {
  Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  return Entry.Number == Number ? &Entry : nullptr;
}

SharedBudget::Slice &SharedBudget::currentSlice(base::TimePoint Now) {
  int64_t Number = sliceNumber(Now);
  Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  if (Entry.Number != Number) {
    Entry = Slice{Number, 0, 0};
  }
  return Entry;
}

} // namespace hickorycrank::limits
