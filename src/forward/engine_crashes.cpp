#include "forward/engine_base.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickorycrank::forward {

using base::TimePoint;

void Engine::recordRestart(TimePoint Now, const EndedIncarnation &Ended) {
  for (const OutstandingAttempt &Entry : Ended.Outstanding) {
    this->Crashes.recordBroken(Now, Ended.Key,
                               this->CallNumberOffset + Entry.Ref.Call,
                               Entry.Content, Ended.Service);
  }
  this->Crashes.recordRestart(Now, Ended.Key);
}

void Engine::logQuarantines(TimePoint Now, Actions &Out) {
  std::vector<base::Fingerprint> Current = this->Crashes.quarantined(Now);
  for (base::Fingerprint Content : Current) {
    if (std::find(this->LoggedQuarantines.begin(),
                  this->LoggedQuarantines.end(),
                  Content) == this->LoggedQuarantines.end()) {
      Out.push_back(LogQuarantine{Content});
    }
  }
  this->LoggedQuarantines = std::move(Current);
}

} // namespace hickorycrank::forward
