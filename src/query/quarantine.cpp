#include "query/quarantine_base.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorycrank::query {

using base::Fingerprint;
using base::TimePoint;

Quarantine::Quarantine(base::Duration QuarantineTime)
    : QuarantineTime(QuarantineTime) {}

void Quarantine::recordCrash(TimePoint Now,
                             std::span<const Fingerprint> InFlight,
                             bool Isolated) {
  for (Fingerprint Request : InFlight) {
    State &Record = this->Requests[Request];
    ++Record.Crashes;
    Record.LastCrash = Now;
    if (Isolated && Record.Crashes >= MaxCrashes) {
      Record.QuarantinedUntil = Now + this->QuarantineTime;
    }
  }
}

void Quarantine::suspect(TimePoint Now, Fingerprint Request) {
  State &Record = this->Requests[Request];
  Record.Crashes = std::max(Record.Crashes, 1U);
  Record.LastCrash = Now;
}

void Quarantine::clear(Fingerprint Request) { this->Requests.erase(Request); }

void Quarantine::quarantine(TimePoint Until, Fingerprint Request) {
  State &Record = this->Requests[Request];
  Record.Crashes = MaxCrashes;
  Record.LastCrash = Until - this->QuarantineTime;
  Record.QuarantinedUntil = Until;
}

bool Quarantine::isSuspect(Fingerprint Request) const {
  return this->Requests.count(Request) != 0;
}

std::optional<TimePoint>
Quarantine::quarantinedUntil(TimePoint Now, Fingerprint Request) const {
  auto Found = this->Requests.find(Request);
  if (Found == this->Requests.end() || Found->second.QuarantinedUntil <= Now) {
    return std::nullopt;
  }
  return Found->second.QuarantinedUntil;
}

void Quarantine::recordRun(Fingerprint Executed) {
  if (this->RecentRuns.size() >= MaxRunsKept) {
    this->OlderRuns = std::move(this->RecentRuns);
    this->RecentRuns.clear();
  }
  this->RecentRuns.insert(Executed);
}

bool Quarantine::hasRun(Fingerprint Executed) const {
  return this->RecentRuns.count(Executed) != 0 ||
         this->OlderRuns.count(Executed) != 0;
}

void Quarantine::expire(TimePoint Now) {
  for (auto It = this->Requests.begin(); It != this->Requests.end();) {
    bool Expired = It->second.LastCrash + this->QuarantineTime <= Now &&
                   It->second.QuarantinedUntil <= Now;
    It = Expired ? this->Requests.erase(It) : std::next(It);
  }
}

} // namespace hickorycrank::query
