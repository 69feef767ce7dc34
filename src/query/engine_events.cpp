#include "query/engine_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::query {

using base::ServerIndex;
using base::TimePoint;
using routing::Outcome;

namespace {

/** Time without new attempts at a server that shed one and named no
 * retry-after. */
constexpr std::chrono::milliseconds DefaultShedRetryAfter(50);
/** Lifetime of a published suspicion. */
constexpr std::chrono::seconds SuspicionLifetime(10);
/** Upper bound of a server's retry-after. */
constexpr std::chrono::milliseconds MaxShedRetryAfter(5'000);

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

void Engine::completeAttempt(TimePoint Now, AttemptState &Attempt,
                             Outcome Result) {
  Attempt.Live = false;
  routing::ServerState &Server = this->ServerDirectory.at(Attempt.Server);
  base::Duration Latency = Now - Attempt.SentAt;
  routing::adaptLimit(Server, Result, this->Options.ConnectionShare);
  --Server.Outstanding;
  if (Attempt.SentAt < this->LastPause) {
    return; // The latency includes the pause of this process.
  }
  routing::recordOutcome(Server, Result, Latency, Now);
  if (Result == Outcome::Success) {
    if (!Attempt.Hedge) {
      this->Latencies.record(Latency);
    }
  } else if (Result == Outcome::Failure &&
             routing::ejectIfFailing(this->ServerDirectory, Attempt.Server,
                                     Now)) {
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
  bool IsAnswer = Received.Status == ReplyStatus::Ok ||
                  Received.Status == ReplyStatus::Partial;
  if (IsAnswer && Received.Version != Query->Pinned.Version) {
    ++this->Counters.WrongVersions;
    this->onAttemptFailed(Now, Ref, FailureKind::InvalidReply, true, Out);
    return false;
  }
  ServerIndex From = Attempt->Server;
  std::optional<routing::ServerReport> Report = std::move(Received.Report);
  if (Received.Ran == ExecutionState::MayHaveRun || IsAnswer) {
    Query->MayHaveRun = true;
  }
  if (Attempt->NewConnection &&
      this->ServerDirectory.at(From).ConnectionSuspect) {
    // A new connection works where an old one was silent: the other open
    // connections are presumed dead too.
    this->ServerDirectory.at(From).ConnectionSuspect = false;
    Out.emplace_back(
        CloseConnections{From, this->ServerDirectory.at(From).Address});
  }
  switch (Received.Status) {
  case ReplyStatus::Ok:
  case ReplyStatus::Partial:
    this->completeAttempt(Now, *Attempt, Outcome::Success);
    this->recordSlotAnswer(Now, *Query, Ref.Slot, Ref.Index,
                           std::move(Received), Out);
    break;
  case ReplyStatus::Shed: {
    routing::ServerState &Server = this->ServerDirectory.at(From);
    Server.ShedUntil =
        Now + std::min(Received.RetryAfter.value_or(DefaultShedRetryAfter),
                       MaxShedRetryAfter);
    this->completeAttempt(Now, *Attempt, Outcome::Shed);
    this->handleSlotFailure(Now, *Query, Ref.Slot, RetryReason::Shed,
                            Received.Ran == ExecutionState::NotRun, Out);
    break;
  }
  case ReplyStatus::VersionGone:
    this->completeAttempt(Now, *Attempt, Outcome::Success);
    this->ServerDirectory.dropVersion(From, Query->Pinned.Version);
    this->handleSlotFailure(Now, *Query, Ref.Slot, RetryReason::VersionGone,
                            Received.Ran == ExecutionState::NotRun, Out);
    break;
  case ReplyStatus::Expired:
  case ReplyStatus::Cancelled:
  case ReplyStatus::Error:
    this->completeAttempt(Now, *Attempt, Outcome::Failure);
    this->handleSlotFailure(Now, *Query, Ref.Slot, RetryReason::Error,
                            Query->Source->Template->Idempotent, Out);
    break;
  }
  this->concludeIfDone(Now, Ref.Query, Out);
  if (Report) {
    this->onServerReport(Now, *Report, Out);
  }
  this->dispatchWaiting(Now, From, Out);
  this->dispatchSuspects(Now, Out);
  return true;
}

void Engine::recordSlotAnswer(TimePoint Now, QueryState &Query,
                              uint32_t SlotIndex, uint32_t AttemptIndex,
                              Reply &&Received, Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  this->Counters.HedgeWins += ShardSlot.Attempts[AttemptIndex].Hedge ? 1 : 0;
  this->cancelSlot(Now, Query, SlotIndex, CancelReason::Superseded, Out);
  this->dequeue(Query, ShardSlot);
  ShardSlot.Phase = SlotPhase::Answered;
  ShardSlot.Partial = Received.Status == ReplyStatus::Partial;
  ShardSlot.Records = Received.Records;
  ShardSlot.RecordsTotal = Received.RecordsTotal;
  ShardSlot.Rows = std::move(Received.Rows);
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
    this->releaseReservation(Now, Query, Out);
  }
  if (Query.Mode != QueryMode::Normal) {
    Query.Mode = QueryMode::Normal;
    this->startSlots(Now, Query, Out);
    this->scheduleWakeUp(Now, Query);
  }
}

void Engine::cancelSlot(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                        CancelReason Reason, Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  for (uint32_t I = 0; I < ShardSlot.Attempts.size(); ++I) {
    AttemptState &Attempt = ShardSlot.Attempts[I];
    if (!Attempt.Live) {
      continue;
    }
    Attempt.Live = false;
    Query.MayHaveRun = true;
    routing::ServerState &Server = this->ServerDirectory.at(Attempt.Server);
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
  for (ServerIndex Index : this->ServerDirectory.applyList(Now, Listed)) {
    Out.emplace_back(
        ProbeServer{Index, this->ServerDirectory.at(Index).Address});
  }
}

void Engine::onServerReport(TimePoint Now, const routing::ServerReport &Report,
                            Actions &Out) {
  auto Index = this->ServerDirectory.find(Report.Server);
  routing::DirectoryChange Change =
      this->ServerDirectory.applyReport(Now, Report);
  if (!Index) {
    return;
  }
  if (Change.NewIncarnation) {
    this->confirmCrash(Now, *Index, Out);
  } else if (!Change.BecameLive) {
    // The same process still responds, so the network caused the resets.
    this->ResetsByServer.erase(*Index);
  }
  if (Change.NeedsVersions) {
    Out.emplace_back(
        ProbeServer{*Index, this->ServerDirectory.at(*Index).Address});
  }
  if (Change.StartedLeaving) {
    Out.emplace_back(PublishFact{FactKind::ServerLeaving,
                                 Report.Server,
                                 Report.Process,
                                 {},
                                 std::chrono::minutes(10)});
  }
  if (Change.BecameLive) {
    this->dispatchWaiting(Now, *Index, Out);
    this->dispatchSuspects(Now, Out);
  }
}

void Engine::onProbeFailed(TimePoint Now, ServerIndex Server, Actions &Out) {
  bool WasLive = this->ServerDirectory.markDown(Now, Server);
  if (WasLive || this->ResetsByServer.count(Server) != 0) {
    this->confirmCrash(Now, Server, Out);
  }
}

void Engine::confirmCrash(TimePoint Now, ServerIndex Server, Actions &Out) {
  auto Found = this->ResetsByServer.find(Server);
  if (Found == this->ResetsByServer.end()) {
    return;
  }
  bool Isolated = Found->second.Isolated;
  std::vector<base::Fingerprint> InFlight = std::move(Found->second.Requests);
  this->ResetsByServer.erase(Found);
  std::sort(InFlight.begin(), InFlight.end());
  InFlight.erase(std::unique(InFlight.begin(), InFlight.end()), InFlight.end());
  ++this->Counters.Crashes;
  this->Suspects.recordCrash(Now, InFlight, Isolated);
  const routing::ServerState &State = this->ServerDirectory.at(Server);
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
  // Queries in progress that have become suspects continue in isolation.
  for (auto &[Id, Query] : this->Queries) {
    if (Query->Mode != QueryMode::Suspect &&
        this->Suspects.isSuspect(Query->Source->Parameters.Content)) {
      Query->Mode = QueryMode::Suspect;
      for (Slot &ShardSlot : Query->Slots) {
        if (ShardSlot.Phase == SlotPhase::Waiting) {
          this->dequeue(*Query, ShardSlot);
          ShardSlot.Phase = SlotPhase::Held;
        } else if (ShardSlot.Phase == SlotPhase::Backoff) {
          ShardSlot.RetryAt = Now; // The crash that it waited for is confirmed.
        }
      }
      this->SuspectQueue.push_back(Id);
    }
  }
  this->dispatchSuspects(Now, Out);
}

void Engine::onFact(TimePoint Now, const PublishFact &Fact, Actions &Out) {
  switch (Fact.Kind) {
  case FactKind::ServerLeaving:
    this->ServerDirectory.markLeaving(Fact.Server, Fact.Process);
    break;
  case FactKind::ServerCrashed:
    if (auto Index = this->ServerDirectory.find(Fact.Server)) {
      Out.emplace_back(
          ProbeServer{*Index, this->ServerDirectory.at(*Index).Address});
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
