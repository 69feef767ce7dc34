#include "forward/crash_record_base.h"

#include "base/digest_func.h"

#include <algorithm>
#include <iterator>

namespace hickorycrank::forward {

namespace {

/** A refused connection within this time after a broken one confirms a crash.
 */
constexpr base::Duration ConfirmationWindow = std::chrono::milliseconds(1'500);
/** A later start of the server that is listed within this time confirms a
 * crash: servers are back after some seconds, and the store may be late. */
constexpr base::Duration RestartWindow = std::chrono::seconds(15);
/** Limits the broken attempts at one server; more have the same cause. */
constexpr size_t MaxBrokenAttempts = 64;
/** Number of separate calls with crashes after which their content is
 * quarantined. */
constexpr size_t MinCrashedCalls = 2;
/** Limits the calls in doubt with the same content. */
constexpr size_t MaxDoubtedCalls = 16;
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

uint64_t CrashRecord::hashService(std::string_view Name) {
  return base::stableHash(Name) | 1U; // 0 is unknown.
}

void CrashRecord::recordBroken(base::TimePoint Now, ServerKey Server,
                               uint64_t Call, base::Fingerprint Content,
                               std::string_view Service) {
  std::vector<BrokenAttempt> &Known = this->BrokenAttempts[Server];
  if (Known.size() >= MaxBrokenAttempts) {
    Known.erase(Known.begin());
  }
  Known.push_back({Now, Call, Content, hashService(Service)});
}

void CrashRecord::recordUnreachable(base::TimePoint Now, ServerKey Server) {
  auto Found = this->BrokenAttempts.find(Server);
  if (Found == this->BrokenAttempts.end()) {
    return;
  }
  std::erase_if(Found->second, [&](const BrokenAttempt &Entry) {
    bool Recent = Now - Entry.BrokenAt <= ConfirmationWindow;
    if (Recent) {
      this->countCrash(Now, Server, Entry,
                       this->LinksLost ? Evidence::Doubted
                                       : Evidence::Observed);
    }
    return Recent;
  });
  if (Found->second.empty()) {
    this->BrokenAttempts.erase(Found);
  }
}

void CrashRecord::recordRestart(base::TimePoint Now, ServerKey Server) {
  auto Found = this->BrokenAttempts.find(Server);
  if (Found != this->BrokenAttempts.end()) {
    for (const BrokenAttempt &Entry : Found->second) {
      // Connections also break when the links are lost.
      if (!this->LinksLost && Now - Entry.BrokenAt <= RestartWindow) {
        this->countCrash(Now, Server, Entry, Evidence::Confirmed);
      }
    }
    this->BrokenAttempts.erase(Found);
  }
  for (auto &[Content, History] : this->Histories) {
    std::vector<CrashedCall> Doubted;
    std::erase_if(History.Calls, [&](const CrashedCall &Entry) {
      bool Confirms = Entry.Kind == Evidence::Doubted && Entry.Server == Server;
      if (Confirms) {
        Doubted.push_back(Entry);
      }
      return Confirms;
    });
    for (CrashedCall &Entry : Doubted) {
      Entry.Kind = Evidence::Confirmed;
      ++this->Counters.Confirmed;
      this->addCall(Content, History, Entry);
    }
  }
}

void CrashRecord::recordReply(base::TimePoint Now, base::Fingerprint Content,
                              std::string_view Service) {
  uint64_t Replied = hashService(Service);
  this->Replies.record(Now, Content, Replied);
  auto Found = this->Histories.find(Content);
  if (Found == this->Histories.end()) {
    return;
  }
  this->Counters.Cleared +=
      std::erase_if(Found->second.Calls, [&](const CrashedCall &Entry) {
        return Entry.Service == Replied;
      });
  if (Found->second.Calls.empty()) {
    this->Histories.erase(Found);
  }
}

void CrashRecord::countCrash(base::TimePoint Now, ServerKey Server,
                             const BrokenAttempt &Ended, Evidence Kind) {
  if (this->Replies.contains(Now, Ended.Content, Ended.Service)) {
    ++this->Counters.Cleared;
    return;
  }
  if (this->Histories.size() >= MaxHistories) {
    return;
  }
  CrashHistory &History = this->Histories[Ended.Content];
  History.LastCrash = Now;
  if (this->addCall(Ended.Content, History,
                    {Ended.Call, Now, Kind, Server, Ended.Service})) {
    ++this->Counters.Calls;
    this->Counters.Doubted += Kind == Evidence::Doubted ? 1 : 0;
    this->Counters.Confirmed += Kind == Evidence::Confirmed ? 1 : 0;
  }
}

size_t CrashRecord::countCalls(const CrashHistory &History) {
  return static_cast<size_t>(std::count_if(
      History.Calls.begin(), History.Calls.end(),
      [](const auto &Entry) { return Entry.Kind != Evidence::Doubted; }));
}

bool CrashRecord::addCall(base::Fingerprint Content, CrashHistory &History,
                          const CrashedCall &Added) {
  if (Added.Kind == Evidence::Doubted) {
    // Each server may confirm the call.
    if (History.Calls.size() >= MinCrashedCalls + MaxDoubtedCalls) {
      return false;
    }
    History.Calls.push_back(Added);
    return true;
  }
  bool Known = std::any_of(
      History.Calls.begin(), History.Calls.end(), [&](const auto &Entry) {
        return Entry.Call == Added.Call && Entry.Kind != Evidence::Doubted;
      });
  if (Known || countCalls(History) >= MinCrashedCalls) {
    return false;
  }
  History.Calls.push_back(Added);
  if (countCalls(History) == MinCrashedCalls) {
    this->NewQuarantines.push_back(Content);
  }
  return true;
}

bool CrashRecord::isQuarantined(base::TimePoint Now,
                                const CrashHistory &History) {
  return countCalls(History) >= MinCrashedCalls &&
         Now < History.LastCrash + QuarantineDuration;
}

void CrashRecord::quarantine(base::TimePoint Now, base::Fingerprint Content) {
  if (this->Histories.size() >= MaxHistories ||
      this->isQuarantined(Now, Content)) {
    return;
  }
  CrashHistory &History = this->Histories[Content];
  History.LastCrash = Now;
  for (uint64_t Call = 0; countCalls(History) < MinCrashedCalls; ++Call) {
    this->addCall(Content, History, {Call, Now, Evidence::FromPeer, {}, {}});
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
  for (size_t I = 0; I < Report.Calls.size(); ++I) {
    uint64_t Service = I < Report.Services.size() ? Report.Services[I] : 0;
    if (!this->Replies.contains(Now, Report.Content, Service)) {
      this->addCall(Report.Content, History,
                    {Report.Calls[I], Now, Evidence::FromPeer, {}, Service});
    }
  }
  if (History.Calls.empty()) {
    this->Histories.erase(Found);
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

bool CrashRecord::isReportable(base::TimePoint Now, const CrashedCall &Entry) {
  switch (Entry.Kind) {
  case Evidence::FromPeer:
  case Evidence::Confirmed:
    return true;
  case Evidence::Observed:
    return Now - Entry.RecordedAt >= ReportDelay;
  case Evidence::Doubted:
    return false;
  }
  return false;
}

std::vector<CrashReport> CrashRecord::reports(base::TimePoint Now,
                                              bool Last) const {
  std::vector<CrashReport> Found;
  for (const auto &[Content, History] : this->newestHistories()) {
    CrashReport Report;
    Report.Content = Content;
    Report.Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - History->LastCrash);
    for (const CrashedCall &Entry : History->Calls) {
      bool IsDue = isReportable(Now, Entry) ||
                   (Last && Entry.Kind == Evidence::Observed);
      if (IsDue) {
        Report.Calls.push_back(Entry.Call);
        Report.Services.push_back(Entry.Service);
      }
    }
    bool Expired = Report.Age >= QuarantineDuration;
    if (!Expired && !Report.Calls.empty() && Found.size() < MaxReports) {
      Found.push_back(std::move(Report));
    }
  }
  return Found;
}

void CrashRecord::setLinksLost(base::TimePoint Now, bool Lost) {
  this->LinksLost = Lost;
  if (!Lost) {
    return;
  }
  for (auto &[Content, History] : this->Histories) {
    for (CrashedCall &Entry : History.Calls) {
      if (Entry.Kind == Evidence::Observed && !isReportable(Now, Entry)) {
        Entry.Kind = Evidence::Doubted;
        ++this->Counters.Doubted;
      }
    }
  }
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
    return Now - Entry.second.back().BrokenAt > RestartWindow;
  });
  for (auto &[Content, History] : this->Histories) {
    std::erase_if(History.Calls, [&](const CrashedCall &Entry) {
      return Entry.Kind == Evidence::Doubted &&
             Now - Entry.RecordedAt > RestartWindow;
    });
  }
  std::erase_if(this->Histories, [&](const auto &Entry) {
    return Entry.second.Calls.empty() ||
           Now - Entry.second.LastCrash > QuarantineDuration;
  });
}

} // namespace hickorycrank::forward
