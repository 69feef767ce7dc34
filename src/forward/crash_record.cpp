#include "forward/crash_record_base.h"

#include <algorithm>
#include <iterator>

namespace hickorycrank::forward {

namespace {

/** A refused connection within this time after a broken one confirms a crash.
 */
constexpr base::Duration ConfirmationWindow = std::chrono::milliseconds(1'500);
/** Number of separate calls with crashes after which their content is
 * quarantined. */
constexpr size_t MinCrashedCalls = 2;
/** Time after which an own crash is reported. A loss of all links is detected
 * within it. */
constexpr base::Duration ReportDelay = std::chrono::milliseconds(1'500);
/** A report changes the time of the last crash only by more than this. The
 * delays of reports that pass through many instances must not add up to a
 * quarantine without end. */
constexpr base::Duration MinNewerCrash = std::chrono::seconds(1);
/** Time from the last crash to the end of a quarantine; longer than the
 * interval after which callers repeat a request. */
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
    addCall(History, {Entry.Call, Now, /*FromPeer=*/false});
  }
  this->BrokenAttempts.erase(Found);
}

bool CrashRecord::addCall(CrashHistory &History, const CrashedCall &Added) {
  bool Known =
      std::any_of(History.Calls.begin(), History.Calls.end(),
                  [&](const auto &Entry) { return Entry.Call == Added.Call; });
  if (Known || History.Calls.size() >= MinCrashedCalls) {
    return false;
  }
  History.Calls.push_back(Added);
  return true;
}

bool CrashRecord::isQuarantined(base::TimePoint Now,
                                const CrashHistory &History) {
  return History.Calls.size() >= MinCrashedCalls &&
         Now < History.LastCrash + QuarantineDuration;
}

void CrashRecord::quarantine(base::TimePoint Now, base::Fingerprint Content) {
  if (this->Histories.size() >= MaxHistories ||
      this->isQuarantined(Now, Content)) {
    return;
  }
  CrashHistory &History = this->Histories[Content];
  History.LastCrash = Now;
  for (uint64_t Call = 0; History.Calls.size() < MinCrashedCalls; ++Call) {
    addCall(History, {Call, Now, /*FromPeer=*/true});
  }
}

void CrashRecord::merge(base::TimePoint Now, const CrashReport &Report) {
  if (Report.Age >= QuarantineDuration || Report.Age.count() < 0 ||
      this->Histories.size() >= MaxHistories) {
    return;
  }
  base::TimePoint LastCrash = Now - Report.Age;
  auto [Found, Added] = this->Histories.try_emplace(Report.Content);
  CrashHistory &History = Found->second;
  if (Added || LastCrash - History.LastCrash > MinNewerCrash) {
    History.LastCrash = LastCrash;
  }
  for (uint64_t Call : Report.Calls) {
    addCall(History, {Call, Now, /*FromPeer=*/true});
  }
}

std::vector<std::pair<base::Fingerprint, const CrashRecord::CrashHistory *>>
CrashRecord::newestHistories() const {
  std::vector<std::pair<base::Fingerprint, const CrashHistory *>> Sorted;
  for (const auto &[Content, History] : this->Histories) {
    Sorted.emplace_back(Content, &History);
  }
  std::sort(Sorted.begin(), Sorted.end(),
            [](const auto &Left, const auto &Right) {
              return Left.second->LastCrash > Right.second->LastCrash;
            });
  return Sorted;
}

std::vector<CrashReport> CrashRecord::reports(base::TimePoint Now) const {
  std::vector<CrashReport> Found;
  for (const auto &[Content, History] : this->newestHistories()) {
    CrashReport Report;
    Report.Content = Content;
    Report.Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - History->LastCrash);
    for (const CrashedCall &Entry : History->Calls) {
      if (Entry.FromPeer || Now - Entry.RecordedAt >= ReportDelay) {
        Report.Calls.push_back(Entry.Call);
      }
    }
    bool Expired = Report.Age >= QuarantineDuration;
    if (!Expired && !Report.Calls.empty() && Found.size() < MaxReports) {
      Found.push_back(std::move(Report));
    }
  }
  return Found;
}

void CrashRecord::discardUnreported(base::TimePoint Now) {
  for (auto &[Content, History] : this->Histories) {
    std::erase_if(History.Calls, [Now](const CrashedCall &Entry) {
      return !Entry.FromPeer && Now - Entry.RecordedAt < ReportDelay;
    });
  }
  std::erase_if(this->Histories,
                [](const auto &Entry) { return Entry.second.Calls.empty(); });
  this->BrokenAttempts.clear();
}

bool CrashRecord::isQuarantined(base::TimePoint Now,
                                base::Fingerprint Content) const {
  auto Found = this->Histories.find(Content);
  return Found != this->Histories.end() && isQuarantined(Now, Found->second);
}

std::vector<base::Fingerprint>
CrashRecord::quarantined(base::TimePoint Now) const {
  std::vector<base::Fingerprint> Found;
  for (const auto &[Content, History] : this->newestHistories()) {
    if (isQuarantined(Now, *History) && Found.size() < MaxReports) {
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
    return Now - Entry.second.LastCrash > QuarantineDuration;
  });
}

} // namespace hickorycrank::forward
