#include "query/engine_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::query {

using base::ServerIndex;
using base::TimePoint;
using routing::Outcome;

namespace {

/** Pause after shedding when the server does not say how long. */
constexpr std::chrono::milliseconds DefaultShedTime(50);
/** Time for which a suspicion travels between instances. */
constexpr std::chrono::seconds SuspicionLifetime(10);
/** Longest pause that a server may ask for. */
constexpr std::chrono::milliseconds MaxShedTime(5'000);

} // namespace

QueryState *Engine::find(base::QueryId Query) {
  auto Found = this->Queries.find(Query);
  return Found == this->Queries.end() ? nullptr : Found->second.get();
}

AttemptState *Engine::findAttempt(const AttemptRef &Ref, QueryState *&Query) {
  Query = this->find(Ref.Query);
  if (Query == nullptr || Ref.Round != Query->Round ||
      Ref.Slot >= Query->Slots.size() ||
      Ref.Index >= Query->Slots[Ref.Slot].Attempts.size()) {
    return nullptr;
  }
  AttemptState &Attempt = Query->Slots[Ref.Slot].Attempts[Ref.Index];
  return Attempt.Live ? &Attempt : nullptr;
}

void Engine::settle(TimePoint Now, AttemptState &Attempt, Outcome Ended) {
  Attempt.Live = false;
  routing::ServerState &Server = this->Servers.at(Attempt.Server);
  base::Duration Latency = Now - Attempt.SentAt;
  routing::adaptLimit(Server, Ended, this->Options.ConnectionShare);
  --Server.Outstanding;
  if (Attempt.SentAt < this->LastPause) {
    return; // The latency includes the pause of this process.
  }
  routing::recordOutcome(Server, Ended, Latency, Now);
  if (Ended == Outcome::Success) {
    if (!Attempt.Hedge) {
      this->Latencies.record(Latency);
    }
  } else if (Ended == Outcome::Failure &&
             routing::ejectIfFailing(this->Servers, Attempt.Server, Now)) {
    ++this->Counters.Ejections;
  }
}

bool Engine::onReply(TimePoint Now, const AttemptRef &Ref, Reply Received,
                     Actions &Out) {
  QueryState *Query = nullptr;
  AttemptState *Attempt = this->findAttempt(Ref, Query);
  if (Attempt == nullptr) {
    ++this->Counters.LateReplies;
    return true;
  }
  if (Received.Echo != Attempt->Id) {
    ++this->Counters.WrongEchoes;
    this->onAttemptFailed(Now, Ref, FailureKind::WrongEcho, true, Out);
    return false;
  }
  bool Merges = Received.Status == ReplyStatus::Ok ||
                Received.Status == ReplyStatus::Partial;
  if (Merges && Received.Version != Query->Pinned.Version) {
    ++this->Counters.WrongVersions;
    this->onAttemptFailed(Now, Ref, FailureKind::InvalidReply, true, Out);
    return false;
  }
  ServerIndex From = Attempt->Server;
  std::optional<routing::ServerReport> Report = std::move(Received.Report);
  if (Received.Ran == ExecutionState::MayHaveRun || Merges) {
    Query->MayHaveRun = true;
  }
  if (Attempt->Fresh && this->Servers.at(From).ConnectionSuspect) {
    // A new connection works where an old one was silent: the others of that
    // generation are not trusted either.
    this->Servers.at(From).ConnectionSuspect = false;
    Out.emplace_back(CloseConnections{From, this->Servers.at(From).Address});
  }
  switch (Received.Status) {
  case ReplyStatus::Ok:
  case ReplyStatus::Partial:
    this->settle(Now, *Attempt, Outcome::Success);
    this->takeAnswer(Now, *Query, Ref.Slot, Ref.Index, std::move(Received),
                     Out);
    break;
  case ReplyStatus::Shed: {
    routing::ServerState &Server = this->Servers.at(From);
    Server.ShedUntil =
        Now +
        std::min(Received.RetryAfter.value_or(DefaultShedTime), MaxShedTime);
    this->settle(Now, *Attempt, Outcome::Shed);
    this->slotFailed(Now, *Query, Ref.Slot, RetryReason::Shed,
                     Received.Ran == ExecutionState::NotRun, Out);
    break;
  }
  case ReplyStatus::VersionGone:
    this->settle(Now, *Attempt, Outcome::Success);
    this->Servers.dropVersion(From, Query->Pinned.Version);
    this->slotFailed(Now, *Query, Ref.Slot, RetryReason::VersionGone,
                     Received.Ran == ExecutionState::NotRun, Out);
    break;
  case ReplyStatus::Expired:
  case ReplyStatus::Cancelled:
  case ReplyStatus::Error:
    this->settle(Now, *Attempt, Outcome::Failure);
    this->slotFailed(Now, *Query, Ref.Slot, RetryReason::Error,
                     Query->Source->Template->Idempotent, Out);
    break;
  }
  this->concludeIfDone(Now, Ref.Query, Out);
  if (Report) {
    this->onServerReport(Now, *Report, Out);
  }
  this->pump(Now, From, Out);
  this->runSuspects(Now, Out);
  return true;
}

void Engine::takeAnswer(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                        uint32_t AttemptIndex, Reply &&Received, Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  this->Counters.HedgeWins += Target.Attempts[AttemptIndex].Hedge ? 1 : 0;
  this->cancelSlot(Now, Query, SlotIndex, CancelReason::Superseded, Out);
  this->dequeue(Query, Target);
  Target.Phase = SlotPhase::Answered;
  Target.Partial = Received.Status == ReplyStatus::Partial;
  Target.Records = Received.Records;
  Target.RecordsTotal = Received.RecordsTotal;
  Target.Rows = std::move(Received.Rows);
  ++Query.AnsweredSlots;
  const config::BoundParameters &Parameters = Query.Source->Parameters;
  if (Query.AnsweredSlots == 1) {
    this->Suspects.recordRun(Query.Source->Template->Canary ==
                                     config::CanaryRule::Content
                                 ? Parameters.Content
                                 : Parameters.Shape);
  }
  if (Query.Mode == QueryMode::Suspect) {
    this->Suspects.clear(Parameters.Content);
    this->releaseSuspect(Now, Query, Out);
  }
  if (Query.Mode != QueryMode::Normal) {
    Query.Mode = QueryMode::Normal;
    this->startSlots(Now, Query, Out);
    this->scheduleWake(Now, Query);
  }
}

void Engine::cancelSlot(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                        CancelReason Reason, Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  for (uint32_t I = 0; I < Target.Attempts.size(); ++I) {
    AttemptState &Attempt = Target.Attempts[I];
    if (!Attempt.Live) {
      continue;
    }
    Attempt.Live = false;
    Query.MayHaveRun = true;
    routing::ServerState &Server = this->Servers.at(Attempt.Server);
    --Server.Outstanding;
    if (Attempt.SentAt >= this->LastPause) {
      routing::recordCancelled(Server, Now - Attempt.SentAt, Now);
    }
    Out.emplace_back(CancelAttempt{{Query.Id, SlotIndex, I, Query.Round},
                                   Attempt.Id,
                                   Attempt.Server,
                                   Reason});
  }
}

void Engine::onServerList(TimePoint Now,
                          const std::vector<routing::ServerListing> &Listed,
                          Actions &Out) {
  for (ServerIndex Index : this->Servers.applyList(Now, Listed)) {
    Out.emplace_back(ProbeServer{Index, this->Servers.at(Index).Address});
  }
}

void Engine::onServerReport(TimePoint Now, const routing::ServerReport &Report,
                            Actions &Out) {
  auto Index = this->Servers.find(Report.Server);
  routing::DirectoryChange Change = this->Servers.applyReport(Now, Report);
  if (!Index) {
    return;
  }
  if (Change.NewIncarnation) {
    this->confirmCrash(Now, *Index, Out);
  } else if (!Change.Appeared) {
    // The same process still answers, so the resets were the network's.
    this->Resets.erase(*Index);
  }
  if (Change.NeedsVersions) {
    Out.emplace_back(ProbeServer{*Index, this->Servers.at(*Index).Address});
  }
  if (Change.NowLeaving) {
    Out.emplace_back(PublishFact{FactKind::ServerLeaving,
                                 Report.Server,
                                 Report.Process,
                                 {},
                                 std::chrono::minutes(10)});
  }
  if (Change.Appeared) {
    this->pump(Now, *Index, Out);
    this->runSuspects(Now, Out);
  }
}

void Engine::onProbeFailed(TimePoint Now, ServerIndex Server, Actions &Out) {
  bool WasLive = this->Servers.markDown(Now, Server);
  if (WasLive || this->Resets.count(Server) != 0) {
    this->confirmCrash(Now, Server, Out);
  }
}

void Engine::confirmCrash(TimePoint Now, ServerIndex Server, Actions &Out) {
  auto Found = this->Resets.find(Server);
  if (Found == this->Resets.end()) {
    return;
  }
  bool Isolated = Found->second.Isolated;
  std::vector<base::Fingerprint> InFlight = std::move(Found->second.Requests);
  this->Resets.erase(Found);
  std::sort(InFlight.begin(), InFlight.end());
  InFlight.erase(std::unique(InFlight.begin(), InFlight.end()), InFlight.end());
  ++this->Counters.Crashes;
  this->Suspects.recordCrash(Now, InFlight, Isolated);
  const routing::ServerState &State = this->Servers.at(Server);
  Out.emplace_back(PublishFact{FactKind::ServerCrashed,
                               State.Id,
                               State.Process,
                               {},
                               std::chrono::seconds(10)});
  for (base::Fingerprint Request : InFlight) {
    if (this->Suspects.quarantinedUntil(Now, Request)) {
      Out.emplace_back(PublishFact{FactKind::Quarantined,
                                   {},
                                   {},
                                   Request,
                                   this->Options.Rules.QuarantineTime});
    } else {
      Out.emplace_back(
          PublishFact{FactKind::Suspected, {}, {}, Request, SuspicionLifetime});
    }
  }
  if (!this->Options.Rules.IsolateSuspects) {
    return;
  }
  // Queries in progress that are suspects now go on alone.
  for (auto &[Id, Query] : this->Queries) {
    if (Query->Mode != QueryMode::Suspect &&
        this->Suspects.isSuspect(Query->Source->Parameters.Content)) {
      Query->Mode = QueryMode::Suspect;
      for (Slot &Target : Query->Slots) {
        if (Target.Phase == SlotPhase::Waiting) {
          this->dequeue(*Query, Target);
          Target.Phase = SlotPhase::Held;
        } else if (Target.Phase == SlotPhase::Backoff) {
          Target.RetryAt = Now; // The verdict that it waited for is known.
        }
      }
      this->SuspectQueue.push_back(Id);
    }
  }
  this->runSuspects(Now, Out);
}

void Engine::onFact(TimePoint Now, const PublishFact &Fact, Actions &Out) {
  switch (Fact.Kind) {
  case FactKind::ServerLeaving:
    this->Servers.markLeaving(Fact.Server, Fact.Process);
    break;
  case FactKind::ServerCrashed:
    if (auto Index = this->Servers.find(Fact.Server)) {
      Out.emplace_back(ProbeServer{*Index, this->Servers.at(*Index).Address});
    }
    break;
  case FactKind::Suspected:
    this->Suspects.suspect(Now, Fact.Request);
    break;
  case FactKind::Quarantined:
    this->Suspects.quarantine(Now + Fact.Lifetime, Fact.Request);
    break;
  }
}

} // namespace hickorycrank::query
