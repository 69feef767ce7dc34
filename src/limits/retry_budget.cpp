#include "limits/retry_budget_base.h"

#include <algorithm>
#include <chrono>

namespace hickorycrank::limits {

namespace {

/**
 * Computes the number of the slice that contains a point in time.
 * @param Now Point in time.
 * @return Tenths of a second since the clock's epoch.
 */
int64_t sliceNumber(base::TimePoint Now) {
  using Tenth = std::chrono::duration<int64_t, std::deci>;
  return std::chrono::floor<Tenth>(Now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(double ExtraRatio, double HedgeRatio,
                         double MinPerSecond)
    : ExtraRatio(ExtraRatio), HedgeRatio(HedgeRatio),
      MinPerSecond(MinPerSecond) {}

RetryBudget::Slice &RetryBudget::currentSlice(base::TimePoint Now) {
  int64_t Number = sliceNumber(Now);
  Slice &Entry = this->Slices[static_cast<size_t>(Number) % SliceCount];
  if (Entry.Number != Number) {
    Entry = Slice{Number, 0, 0, 0};
  }
  return Entry;
}

void RetryBudget::recordFirstAttempt(base::TimePoint Now) {
  ++this->currentSlice(Now).FirstAttempts;
}

bool RetryBudget::tryTake(ExtraAttemptKind Kind, base::TimePoint Now) {
  Slice &Entry = this->currentSlice(Now);
  uint64_t FirstAttempts = 0;
  uint64_t Hedges = 0;
  uint64_t Retries = 0;
  for (const Slice &Other : this->Slices) {
    if (Other.Number > Entry.Number - static_cast<int64_t>(SliceCount)) {
      FirstAttempts += Other.FirstAttempts;
      Hedges += Other.Hedges;
      Retries += Other.Retries;
    }
  }
  auto FirstCount = static_cast<double>(FirstAttempts);
  double Allowed = std::max(this->MinPerSecond, this->ExtraRatio * FirstCount);
  if (static_cast<double>(Hedges + Retries) + 1 > Allowed) {
    return false;
  }
  if (Kind == ExtraAttemptKind::Hedge) {
    double HedgesAllowed =
        std::max(this->MinPerSecond, this->HedgeRatio * FirstCount);
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
