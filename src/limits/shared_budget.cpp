#include "limits/shared_budget_base.h"

#include <algorithm>

namespace hickorycrank::limits {

namespace {

/** Fraction of the limit that is used. The margin is needed because the windows
 * of the instances and the windows over which the limit is checked are not
 * aligned. */
constexpr double SafetyFactor = 0.85;
/** Fraction of the budget available to hedges; the rest is reserved for
 * retries. */
constexpr double HedgeShare = 0.8;

} // namespace

void SharedBudget::recordRequest(base::TimePoint Now) {
  ++this->currentSlice(Now).Requests;
}

void SharedBudget::cancelRequest(base::TimePoint Now) {
  Slice &Latest = this->currentSlice(Now);
  // One that an earlier slice counts stays counted here.
  Latest.Requests -= Latest.Requests > 0 ? 1 : 0;
}

bool SharedBudget::tryTake(ExtraAttemptKind Kind,
                           const ExtraAttemptLimits &Limits, size_t Instances,
                           base::TimePoint Now) {
  Slice &Latest = this->currentSlice(Now);
  // Includes one additional slice, because the window starts inside the oldest
  // one.
  auto Length = static_cast<int64_t>(Limits.Window / SliceLength) + 1;
  double Requests = 0;
  double Extras = 0;
  for (const Slice &Entry : this->Slices) {
    if (Entry.Number > Latest.Number - Length) {
      Requests += Entry.Requests;
      Extras += Entry.Extras;
    }
  }
  double Allowed =
      SafetyFactor *
      (Limits.Ratio * Requests +
       Limits.Slack / static_cast<double>(std::max<size_t>(1, Instances)));
  if (Kind == ExtraAttemptKind::Hedge) {
    Allowed *= HedgeShare;
  }
  if (Extras + 1 > Allowed) {
    return false;
  }
  ++Latest.Extras;
  return true;
}

SharedBudget::Slice &SharedBudget::currentSlice(base::TimePoint Now) {
  int64_t Number = Now.time_since_epoch() / SliceLength;
  Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  if (Entry.Number != Number) {
    Entry = Slice{Number, 0, 0};
  }
  return Entry;
}

} // namespace hickorycrank::limits
