#include "forward/crash_record_base.h"

#include <iterator>

namespace hickorycrank::forward {

namespace {

/** A refused connection within this time after a broken one confirms a crash.
 */
constexpr base::Duration ConfirmationWindow = std::chrono::milliseconds(1'500);
/** Number of separate calls with crashes after which their content is
 * quarantined. */
constexpr uint32_t MinCrashedCalls = 2;
/** Duration of a quarantine; longer than the interval after which callers
 * repeat a request. */
constexpr base::Duration QuarantineDuration = std::chrono::minutes(5);
/** Limits the memory used when callers keep sending new content. */
constexpr size_t MaxHistories = 4'096;

} // namespace

void CrashRecord::recordBroken(base::TimePoint Now, ServerKey Server,
                               uint64_t Call, base::Fingerprint Content) {
  this->BrokenAttempts[Server].push_back({Now, Call, Content});
}

void CrashRecord::recordUnreachable(base::TimePoint Now, ServerKey Server) {
  auto Found = this->BrokenAttempts.find(Server);
  if (Found == this->BrokenAttempts.end()) {
    return;
  }
  for (const BrokenAttempt &Entry : Found->second) {
    if (Now - Entry.BrokenAt > ConfirmationWindow ||
        this->Histories.size() >= MaxHistories) {
      continue;
    }
    CrashHistory &History = this->Histories[Entry.Content];
    History.LastCrash = Now;
    if (History.Calls == 0 || History.LastCall != Entry.Call) {
      ++History.Calls;
      History.LastCall = Entry.Call;
    }
    if (History.Calls >= MinCrashedCalls) {
      History.QuarantinedUntil = Now + QuarantineDuration;
    }
  }
  this->BrokenAttempts.erase(Found);
}

void CrashRecord::quarantine(base::TimePoint Now, base::Fingerprint Content) {
  if (this->Histories.size() >= MaxHistories ||
      this->isQuarantined(Now, Content)) {
    return;
  }
  CrashHistory &History = this->Histories[Content];
  History.Calls = MinCrashedCalls;
  History.LastCrash = Now;
  History.QuarantinedUntil = Now + QuarantineDuration;
}

bool CrashRecord::isQuarantined(base::TimePoint Now,
                                base::Fingerprint Content) const {
  auto Found = this->Histories.find(Content);
  return Found != this->Histories.end() && Now < Found->second.QuarantinedUntil;
}

std::vector<base::Fingerprint>
CrashRecord::quarantined(base::TimePoint Now) const {
  std::vector<base::Fingerprint> Found;
  for (const auto &[Content, History] : this->Histories) {
    if (Now < History.QuarantinedUntil) {
      Found.push_back(Content);
    }
  }
  return Found;
}

void CrashRecord::expire(base::TimePoint Now) {
  std::erase_if(this->BrokenAttempts, [&](const auto &Entry) {
    return Now - Entry.second.back().BrokenAt > ConfirmationWindow;
  });
  std::erase_if(this->Histories, [&](const auto &Entry) {
    return Now >= Entry.second.QuarantinedUntil &&
           Now - Entry.second.LastCrash > QuarantineDuration;
  });
}

} // namespace hickorycrank::forward
