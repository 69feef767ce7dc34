#include "base/timer_service_base.h"

#include <utility>

namespace hickorycrank::base {

void TimerService::subscribe(Duration Period, Callback Subscriber) {
  std::lock_guard Lock(this->Mutex);
  this->Subscriptions.push_back(
      {Period, TimePoint::min(), std::move(Subscriber)});
}

void TimerService::advance(TimePoint Now) {
  std::vector<Callback> Due;
  Tick Event{Now, std::nullopt};
  {
    std::lock_guard Lock(this->Mutex);
    if (this->LastAdvance && Now - *this->LastAdvance > PauseThreshold) {
      Event.Pause = Now - *this->LastAdvance;
    }
    this->LastAdvance = Now;
    for (Subscription &Entry : this->Subscriptions) {
      if (!Event.Pause && Now < Entry.NextCall) {
        continue;
      }
      Entry.NextCall = Now + Entry.Period;
      Due.push_back(Entry.Subscriber);
    }
  }
  for (const Callback &Subscriber : Due) {
    Subscriber(Event);
  }
}

} // namespace hickorycrank::base
