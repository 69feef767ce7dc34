#include "forward/crash_record_base.h"

#include <iterator>

namespace hickorycrank::forward {

namespace {

/** Time within which a refused connection confirms a crash. */
constexpr base::Duration ConfirmTime = std::chrono::milliseconds(1'500);
/** Calls with crashes that put their content into quarantine. */
constexpr uint32_t QuarantineCalls = 2;
/** Longer than the time after which callers send the same request again. */
constexpr base::Duration QuarantineTime = std::chrono::minutes(5);
/** Bounds the memory that callers with ever new contents can take. */
constexpr size_t MaxRecords = 4'096;

} // namespace

void CrashRecord::recordBroken(base::TimePoint Now, ServerKey Server,
                               uint64_t Call, base::Fingerprint Content) {
  this->Suspicions[Server].push_back({Now, Call, Content});
}

void CrashRecord::recordUnreachable(base::TimePoint Now, ServerKey Server) {
  auto Found = this->Suspicions.find(Server);
  if (Found == this->Suspicions.end()) {
    return;
  }
  for (const Suspicion &Entry : Found->second) {
    if (Now - Entry.At > ConfirmTime || this->Records.size() >= MaxRecords) {
      continue;
    }
    Record &Known = this->Records[Entry.Content];
    Known.LastCrash = Now;
    if (Known.Calls == 0 || Known.LastCall != Entry.Call) {
      ++Known.Calls;
      Known.LastCall = Entry.Call;
    }
    if (Known.Calls >= QuarantineCalls) {
      Known.Until = Now + QuarantineTime;
    }
  }
  this->Suspicions.erase(Found);
}

void CrashRecord::quarantine(base::TimePoint Now, base::Fingerprint Content) {
  if (this->Records.size() >= MaxRecords || this->isQuarantined(Now, Content)) {
    return;
  }
  Record &Known = this->Records[Content];
  Known.Calls = QuarantineCalls;
  Known.LastCrash = Now;
  Known.Until = Now + QuarantineTime;
}

bool CrashRecord::isQuarantined(base::TimePoint Now,
                                base::Fingerprint Content) const {
  auto Found = this->Records.find(Content);
  return Found != this->Records.end() && Now < Found->second.Until;
}

std::vector<base::Fingerprint>
CrashRecord::quarantined(base::TimePoint Now) const {
  std::vector<base::Fingerprint> Found;
  for (const auto &[Content, Known] : this->Records) {
    if (Now < Known.Until) {
      Found.push_back(Content);
    }
  }
  return Found;
}

void CrashRecord::expire(base::TimePoint Now) {
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Now - Entry.second.back().At > ConfirmTime;
  });
  std::erase_if(this->Records, [&](const auto &Entry) {
    return Now >= Entry.second.Until &&
           Now - Entry.second.LastCrash > QuarantineTime;
  });
}

} // namespace hickorycrank::forward
