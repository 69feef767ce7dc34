#include "limits/target_queue_base.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hickorycrank::limits {

using base::TimePoint;

namespace {

bool canMeetTarget(TimePoint Now, const ServicePace &Pace,
                   const WaitingPart &Entry) {
  return Now + Pace.Execution <= Entry.Target;
}

} // namespace

void TargetQueue::remove(const WaitingPart &Entry, bool Started) {
  if (this->Entries.erase(Entry) == 0 || !Started) {
    return;
  }
  ++this->StartsSinceTurn;
  if (this->StartsSinceTurn >= LeastUrgentTurn) {
    this->StartsSinceTurn = 0;
  }
}

bool TargetQueue::meetsTargets(TimePoint Now, const ServicePace &Pace) const {
  TimePoint Start = Now;
  for (const WaitingPart &Entry : this->Entries) {
    if (!canMeetTarget(Now, Pace, Entry)) {
      continue;
    }
    if (!canMeetTarget(Start, Pace, Entry)) {
      return false;
    }
    Start += Pace.Interval;
  }
  return true;
}

std::optional<WaitingPart> TargetQueue::next(TimePoint Now,
                                             const ServicePace &Pace) const {
  if (this->Entries.empty()) {
    return std::nullopt;
  }
  bool AllInTime = this->meetsTargets(Now, Pace);
  bool LeastUrgentFirst =
      !AllInTime && this->StartsSinceTurn + 1 == LeastUrgentTurn;
  auto Rank = [&](const WaitingPart &Entry) {
    uint32_t Order = LeastUrgentFirst ? UINT32_MAX - Entry.Priority
                     : AllInTime      ? 0
                                      : Entry.Priority;
    bool Late = !LeastUrgentFirst && !canMeetTarget(Now, Pace, Entry);
    return std::make_tuple(Late, Order, Entry.Target);
  };
  auto Best = std::min_element(this->Entries.begin(), this->Entries.end(),
                               [&](const auto &Left, const auto &Right) {
                                 return Rank(Left) < Rank(Right);
                               });
  return *Best;
}

size_t TargetQueue::countAhead(const WaitingPart &Entry) const {
  auto End = this->Entries.lower_bound(Entry);
  return static_cast<size_t>(std::distance(this->Entries.begin(), End));
}

} // namespace hickorycrank::limits
