#include "limits/retry_budget_base.h"

#include <algorithm>
#include <chrono>

namespace hickorycrank::limits {

namespace {

/**
 * Numbers the tenth of a second that a time lies in.
 * @param Now The time.
 * @return Its number.
 */
int64_t sliceNumber(base::TimePoint Now) {
  using Tenth = std::chrono::duration<int64_t, std::deci>;
  return std::chrono::floor<Tenth>(Now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(double ExtraShare, double HedgeShare, double Floor)
    : ExtraShare(ExtraShare), HedgeShare(HedgeShare), Floor(Floor) {}

RetryBudget::Slice &RetryBudget::current(base::TimePoint Now) {
  int64_t Number = sliceNumber(Now);
  Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  if (Entry.Number != Number) {
    Entry = Slice{Number, 0, 0, 0};
  }
  return Entry;
}

void RetryBudget::recordFirstAttempt(base::TimePoint Now) {
  ++this->current(Now).First;
}

bool RetryBudget::tryTake(ExtraAttemptKind Kind, base::TimePoint Now) {
  Slice &Entry = this->current(Now);
  uint64_t First = 0;
  uint64_t Hedges = 0;
  uint64_t Retries = 0;
  for (const Slice &Other : this->Slices) {
    if (Other.Number > Entry.Number - static_cast<int64_t>(SliceCount)) {
      First += Other.First;
      Hedges += Other.Hedges;
      Retries += Other.Retries;
    }
  }
  auto Base = static_cast<double>(First);
  double Allowed = std::max(this->Floor, this->ExtraShare * Base);
  if (static_cast<double>(Hedges + Retries) + 1 > Allowed) {
    return false;
  }
  if (Kind == ExtraAttemptKind::Hedge) {
    double HedgesAllowed = std::max(this->Floor, this->HedgeShare * Base);
    if (static_cast<double>(Hedges) + 1 > HedgesAllowed) {
      return false;
    }
    ++Entry.Hedges;
  } else {
    ++Entry.Retries;
  }
  return true;
}

} // namespace hickorycrank::limits
