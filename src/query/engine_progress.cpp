#include "query/engine_base.h"
#include "query/merge_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorycrank::query {

using base::Duration;
using base::TimePoint;

namespace {

/** Longest time between two checks of a query that waits for capacity. */
constexpr Duration MaxWakeInterval = std::chrono::milliseconds(20);
/** Shortest time between two checks of one query. */
constexpr Duration MinWakeInterval = std::chrono::microseconds(100);
constexpr Duration QuarantineCleanupInterval = std::chrono::seconds(10);
/** Hedge delays after which a query with enough coverage stops waiting. */
constexpr int EarlyStopDelays = 2;

/**
 * Computes the share of the needed shards that answered.
 * @param Query The query.
 * @return From 0 to 1.
 */
double coveredShare(const QueryState &Query) {
  return static_cast<double>(Query.AnsweredSlots) /
         static_cast<double>(Query.Slots.size());
}

/**
 * Computes the share of the needed shards that answered or can still answer.
 * @param Query The query.
 * @return From 0 to 1.
 */
double reachableShare(const QueryState &Query) {
  return 1 - static_cast<double>(Query.FailedSlots) /
                 static_cast<double>(Query.Slots.size());
}

/**
 * Computes the coverage of the pinned layout. Expected records are known only
 * if every needed shard reported its total.
 * @param Query The query.
 * @return The coverage.
 */
Coverage measureCoverage(const QueryState &Query) {
  Coverage Covered;
  Covered.Expected = static_cast<uint32_t>(Query.Slots.size());
  Covered.Answered = Query.AnsweredSlots;
  uint64_t Expected = 0;
  uint64_t Answered = 0;
  bool ExpectedKnown = true;
  bool AnsweredKnown = true;
  for (const Slot &ShardSlot : Query.Slots) {
    if (ShardSlot.Phase != SlotPhase::Answered) {
      Covered.Missing.push_back(
          Query.Pinned.ShardLayout->Shards[ShardSlot.Shard.Value]);
      ExpectedKnown = false;
      continue;
    }
    ExpectedKnown = ExpectedKnown && ShardSlot.RecordsTotal.has_value();
    AnsweredKnown = AnsweredKnown && ShardSlot.Records.has_value();
    Expected += ShardSlot.RecordsTotal.value_or(0);
    Answered += ShardSlot.Records.value_or(0);
  }
  if (ExpectedKnown) {
    Covered.RecordsExpected = Expected;
  }
  if (AnsweredKnown) {
    Covered.RecordsAnswered = Answered;
  }
  return Covered;
}

} // namespace

void Engine::onTick(TimePoint Now, Actions &Out) {
  if (Now >= this->NextQuarantineCleanup) {
    this->NextQuarantineCleanup = Now + QuarantineCleanupInterval;
    this->Suspects.expire(Now);
  }
  for (uint32_t I = 0; I < this->ServerDirectory.servers().size(); ++I) {
    routing::ServerState &Server = this->ServerDirectory.servers()[I];
    bool NeedsProbe = Server.Phase == routing::ServerPhase::Down ||
                      Server.Phase == routing::ServerPhase::Unknown;
    if (NeedsProbe && Now >= Server.NextProbe) {
      // Jitter from 0.5 to 1.5 s keeps instances from probing at the same time.
      Server.NextProbe =
          Now + std::chrono::milliseconds(500 + this->Generator.below(1000));
      Out.emplace_back(ProbeServer{base::ServerIndex(I), Server.Address});
    }
    if (this->Queue.size() != 0) {
      this->dispatchWaiting(Now, base::ServerIndex(I), Out);
    }
  }
  while (!this->WakeUps.empty() && this->WakeUps.top().When <= Now) {
    base::QueryId Id = this->WakeUps.top().Query;
    this->WakeUps.pop();
    this->advance(Now, Id, Out);
  }
  this->dispatchSuspects(Now, Out);
}

void Engine::onPause(TimePoint Now, Actions &Out) {
  ++this->Counters.Pauses;
  this->LastPause = Now;
  for (routing::ServerState &Server : this->ServerDirectory.servers()) {
    Server.ReportedAt = {};
    Server.ReportedLoad = 0;
    Server.ConsecutiveFailures = 0;
  }
  std::vector<base::QueryId> Expired;
  for (const auto &[Id, Query] : this->Queries) {
    if (Query->Source->Deadline <= Now) {
      Expired.push_back(Id);
    }
  }
  std::sort(Expired.begin(), Expired.end());
  for (base::QueryId Id : Expired) {
    if (QueryState *Query = this->find(Id)) {
      this->conclude(Now, *Query, Out);
    }
  }
  for (uint32_t I = 0; I < this->ServerDirectory.servers().size(); ++I) {
    const routing::ServerState &Server = this->ServerDirectory.servers()[I];
    if (Server.Phase != routing::ServerPhase::Gone) {
      Out.emplace_back(ProbeServer{base::ServerIndex(I), Server.Address});
    }
  }
}

void Engine::advance(TimePoint Now, base::QueryId Id, Actions &Out) {
  QueryState *Query = this->find(Id);
  if (Query == nullptr || Query->NextWakeUp > Now) {
    return;
  }
  Query->NextWakeUp = TimePoint::max();
  if (Now >= Query->Source->Deadline) {
    this->conclude(Now, *Query, Out);
    return;
  }
  this->advanceSlots(Now, *Query, Out);
  if (!this->concludeIfDone(Now, Id, Out)) {
    this->scheduleWakeUp(Now, *Query);
  }
}

void Engine::advanceSlots(TimePoint Now, QueryState &Query, Actions &Out) {
  const routing::Policy &Rules = this->Options.Rules;
  Duration HedgeDelay = this->hedgeDelay();
  Duration Typical = this->Latencies.quantile(0.5, Duration::zero());
  bool TooLate = Rules.Admission && Now + Typical >= Query.Source->Deadline;
  bool MayHedge = Rules.Hedge && Query.Source->Template->Idempotent &&
                  Query.Mode == QueryMode::Normal;
  for (uint32_t I = 0; I < Query.Slots.size(); ++I) {
    Slot &ShardSlot = Query.Slots[I];
    switch (ShardSlot.Phase) {
    case SlotPhase::Held:
    case SlotPhase::Answered:
    case SlotPhase::Failed:
      break;
    case SlotPhase::Waiting:
      if (TooLate ||
          !this->hasLiveReplica(Query.Pinned.Version, ShardSlot.Shard)) {
        this->dequeue(Query, ShardSlot);
        this->failSlot(ShardSlot, Query);
      }
      break;
    case SlotPhase::Backoff:
      if (ShardSlot.RetryAt <= Now) {
        this->retryOrFail(Now, Query, I, Out);
      }
      break;
    case SlotPhase::InFlight:
      this->timeOutAttempts(Now, Query, I, Out);
      if (MayHedge && !ShardSlot.Hedged &&
          ShardSlot.Phase == SlotPhase::InFlight &&
          Now >= ShardSlot.Attempts.back().SentAt + HedgeDelay) {
        this->tryHedge(Now, Query, I, Out);
      }
      break;
    }
  }
}

void Engine::replaceCanary(TimePoint Now, QueryState &Query, Actions &Out) {
  auto IsActive = [](const Slot &ShardSlot) {
    return ShardSlot.Phase == SlotPhase::Waiting ||
           ShardSlot.Phase == SlotPhase::InFlight ||
           ShardSlot.Phase == SlotPhase::Backoff;
  };
  auto IsHeld = [](const Slot &ShardSlot) {
    return ShardSlot.Phase == SlotPhase::Held;
  };
  bool Started = false;
  // If the canary failed, the held slots would otherwise wait until the
  // deadline.
  while (Query.Mode == QueryMode::Canary &&
         std::any_of(Query.Slots.begin(), Query.Slots.end(), IsHeld) &&
         std::none_of(Query.Slots.begin(), Query.Slots.end(), IsActive)) {
    this->startSlots(Now, Query, Out);
    Started = true;
  }
  if (Started) {
    this->scheduleWakeUp(Now, Query);
  }
}

bool Engine::concludeIfDone(TimePoint Now, base::QueryId Id, Actions &Out) {
  QueryState *Query = this->find(Id);
  if (Query == nullptr) {
    return true;
  }
  this->replaceCanary(Now, *Query, Out);
  const config::TemplateDoc &Template = *Query->Source->Template;
  bool AllSettled =
      Query->AnsweredSlots + Query->FailedSlots == Query->Slots.size();
  bool FloorUnreachable = reachableShare(*Query) < Template.CoverageFloor;
  bool EnoughCoverage =
      Template.CoverageGoal < 1 && Query->AnsweredSlots > 0 &&
      coveredShare(*Query) >= Template.CoverageGoal &&
      Now >= Query->ArrivedAt + this->hedgeDelay() * EarlyStopDelays;
  if (!AllSettled && !FloorUnreachable && !EnoughCoverage) {
    return false;
  }
  if (EnoughCoverage && !AllSettled) {
    ++this->Counters.EarlyStops;
  }
  this->conclude(Now, *Query, Out);
  return true;
}

void Engine::conclude(TimePoint Now, QueryState &Query, Actions &Out) {
  Response Result = this->buildResponse(Now, Query);
  auto Count = [this](const Response &Sent) {
    if (const auto *Refused = std::get_if<Refusal>(&Sent)) {
      ++this->Counters.Refusals[static_cast<size_t>(Refused->Kind)];
    } else {
      ++this->Counters.Answers;
    }
  };
  for (base::QueryId Joined : Query.Joined) {
    Count(Result);
    Out.emplace_back(Respond{Joined, Result});
  }
  Count(Result);
  Out.emplace_back(Respond{Query.Id, std::move(Result)});
  this->discard(Now, Query, Out);
}

void Engine::discard(TimePoint Now, QueryState &Query, Actions &Out) {
  for (uint32_t I = 0; I < Query.Slots.size(); ++I) {
    this->cancelSlot(Now, Query, I, CancelReason::Superseded, Out);
    this->dequeue(Query, Query.Slots[I]);
  }
  auto Running = this->RunningByContent.find(Query.Source->Parameters.Content);
  if (Running != this->RunningByContent.end() && Running->second == Query.Id) {
    this->RunningByContent.erase(Running);
  }
  this->releaseReservation(Now, Query, Out);
  this->Queries.erase(Query.Id);
}

Response Engine::buildResponse(TimePoint Now, QueryState &Query) {
  const config::TemplateDoc &Template = *Query.Source->Template;
  double Covered = coveredShare(Query);
  if (Query.AnsweredSlots == 0 || Covered < Template.CoverageFloor) {
    return this->buildRefusal(Now, Query, Covered);
  }
  Answer Result;
  Result.Snapshot = Query.Pinned.Version;
  Result.Covered = measureCoverage(Query);
  Result.Attempts = Query.AttemptsSent;
  std::vector<std::vector<Row>> RowsByShard;
  RowsByShard.reserve(Query.Slots.size());
  for (Slot &ShardSlot : Query.Slots) {
    RowsByShard.push_back(std::move(ShardSlot.Rows));
  }
  Result.Rows = mergeRows(Template, std::move(RowsByShard));
  return Result;
}

Refusal Engine::buildRefusal(TimePoint Now, const QueryState &Query,
                             double Covered) const {
  Refusal Reason;
  bool InFlight = false;
  size_t Shed = 0;
  size_t Unreachable = 0;
  size_t NeverSent = 0;
  for (const Slot &ShardSlot : Query.Slots) {
    InFlight = InFlight || ShardSlot.Phase == SlotPhase::InFlight;
    bool Failed = ShardSlot.Phase == SlotPhase::Failed;
    // Held slots were delayed by this engine, not by busy servers.
    bool WasHeld = ShardSlot.Phase == SlotPhase::Held;
    NeverSent += ShardSlot.Attempts.empty() && !WasHeld ? 1 : 0;
    Shed += Failed && ShardSlot.LastReason == RetryReason::Shed ? 1 : 0;
    Unreachable +=
        Failed && ShardSlot.LastReason == RetryReason::Connect ? 1 : 0;
  }
  bool MayHaveRun = Query.MayHaveRun || InFlight;
  Reason.Ran = MayHaveRun ? ExecutionState::MayHaveRun : ExecutionState::NotRun;
  if (this->Suspects.quarantinedUntil(Now, Query.Source->Parameters.Content)) {
    Reason.Kind = RefusalKind::Quarantined;
    Reason.Remedy = "this request crashed backend servers; change it";
    return Reason;
  }
  Reason.RetryAfter =
      std::chrono::ceil<std::chrono::milliseconds>(this->attemptTimeout());
  if (Now >= Query.Source->Deadline) {
    Reason.Kind = RefusalKind::DeadlineExceeded;
    Reason.Remedy = "the deadline passed; retry later or allow more time";
  } else if (Shed != 0 || NeverSent > Unreachable) {
    Reason.Kind = RefusalKind::Overloaded;
    Reason.Remedy = "the backend servers are busy; retry after the given time";
  } else if (Unreachable != 0) {
    Reason.Kind = RefusalKind::NoServer;
    Reason.Remedy = "too few shards can be reached; retry later";
  } else if (Covered > 0) {
    Reason.Kind = RefusalKind::CoverageTooLow;
    Reason.Remedy = "too few shards answered; retry later";
  } else {
    Reason.Kind = RefusalKind::BackendError;
    Reason.Remedy = "the backend servers failed; retry later";
  }
  return Reason;
}

void Engine::scheduleWakeUp(TimePoint Now, QueryState &Query) {
  TimePoint Next = Query.Source->Deadline;
  Duration HedgeDelay = this->hedgeDelay();
  Duration AttemptTimeout = this->attemptTimeout();
  const config::TemplateDoc &Template = *Query.Source->Template;
  bool MayHedge = this->Options.Rules.Hedge && Template.Idempotent;
  if (Template.CoverageGoal < 1) {
    TimePoint Stop = Query.ArrivedAt + HedgeDelay * EarlyStopDelays;
    Next = Stop > Now ? std::min(Next, Stop) : Next;
  }
  for (const Slot &ShardSlot : Query.Slots) {
    if (ShardSlot.Phase == SlotPhase::Backoff) {
      Next = std::min(Next, ShardSlot.RetryAt);
    } else if (ShardSlot.Phase == SlotPhase::Waiting) {
      Next = std::min(Next, Now + MaxWakeInterval);
    } else if (ShardSlot.Phase == SlotPhase::InFlight) {
      TimePoint Sent = ShardSlot.Attempts.back().SentAt;
      TimePoint HedgeAt = Sent + HedgeDelay;
      if (MayHedge && !ShardSlot.Hedged) {
        // A denied hedge is tried again at the next check.
        Next = std::min(Next, HedgeAt > Now ? HedgeAt : Now + MaxWakeInterval);
      }
      Next = std::min(Next, std::max(Sent, this->LastPause) + AttemptTimeout);
    }
  }
  this->wakeNoLaterThan(Now, Query, Next);
}

void Engine::wakeNoLaterThan(TimePoint Now, QueryState &Query, TimePoint When) {
  When = std::max(When, Now + MinWakeInterval);
  if (When < Query.NextWakeUp) {
    Query.NextWakeUp = When;
    this->WakeUps.push({When, Query.Id});
  }
}

} // namespace hickorycrank::query
