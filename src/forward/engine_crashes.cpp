#include "forward/engine_base.h"

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

void Engine::logQuarantines(Actions &Out) {
  for (base::Fingerprint Content : this->Crashes.takeNewQuarantines()) {
    Out.push_back(LogQuarantine{Content});
  }
}

} // namespace hickorycrank::forward
