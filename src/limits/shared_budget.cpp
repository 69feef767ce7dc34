#include "limits/shared_budget_base.h"

#include <algorithm>

namespace hickorycrank::limits {

namespace {

/** Share of the limit that is used, because the windows of the instances and
 * of an observer do not begin at the same moment. */
constexpr double UsedShare = 0.85;
/** Share of the budget that hedges may use; the rest is for retries. */
constexpr double HedgeShare = 0.8;

} // namespace

void SharedBudget::recordRequest(base::TimePoint Now) {
  ++this->current(Now).Requests;
}

bool SharedBudget::tryTake(ExtraAttemptKind Kind,
                           const ExtraAttemptLimits &Limits, size_t Instances,
                           base::TimePoint Now) {
  Slice &Latest = this->current(Now);
  // One slice more than the window, since the oldest one is cut by its start.
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
      UsedShare *
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

SharedBudget::Slice &SharedBudget::current(base::TimePoint Now) {
  int64_t Number = Now.time_since_epoch() / SliceLength;
  Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  if (Entry.Number != Number) {
    Entry = Slice{Number, 0, 0};
  }
  return Entry;
}

} // namespace hickorycrank::limits
