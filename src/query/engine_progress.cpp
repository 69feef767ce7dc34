#include "query/engine_base.h"
#include "query/merge_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorycrank::query {

using base::Duration;
using base::TimePoint;

namespace {

/** Longest time between two looks at a query that waits for capacity. */
constexpr Duration MaxWakeInterval = std::chrono::milliseconds(20);
/** Shortest time between two looks at one query. */
constexpr Duration MinWakeInterval = std::chrono::microseconds(100);
constexpr Duration QuarantineExpiryInterval = std::chrono::seconds(10);
/** Hedge delays after which a query with enough coverage stops waiting. */
constexpr int EarlyStopDelays = 2;

/**
 * Share of the needed shards that answered.
 * @param Query The query.
 * @return From 0 to 1.
 */
double coveredShare(const QueryState &Query) {
  return static_cast<double>(Query.AnsweredSlots) /
         static_cast<double>(Query.Slots.size());
}

/**
 * Share of the needed shards that can still answer.
 * @param Query The query.
 * @return From 0 to 1.
 */
double reachableShare(const QueryState &Query) {
  return 1 - static_cast<double>(Query.FailedSlots) /
                 static_cast<double>(Query.Slots.size());
}

/**
 * Counts coverage per shard of the pinned layout. Records are known only if
 * every needed shard reported them.
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
  for (const Slot &Target : Query.Slots) {
    if (Target.Phase != SlotPhase::Answered) {
      Covered.Missing.push_back(
          Query.Pinned.ShardLayout->Shards[Target.Shard.Value]);
      ExpectedKnown = false;
      continue;
    }
    ExpectedKnown = ExpectedKnown && Target.RecordsTotal.has_value();
    AnsweredKnown = AnsweredKnown && Target.Records.has_value();
    Expected += Target.RecordsTotal.value_or(0);
    Answered += Target.Records.value_or(0);
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
  if (Now >= this->NextExpiry) {
    this->NextExpiry = Now + QuarantineExpiryInterval;
    this->Suspects.expire(Now);
  }
  for (uint32_t I = 0; I < this->Servers.servers().size(); ++I) {
    routing::ServerState &Server = this->Servers.servers()[I];
    bool NeedsProbe = Server.Phase == routing::ServerPhase::Down ||
                      Server.Phase == routing::ServerPhase::Unknown;
    if (NeedsProbe && Now >= Server.NextProbe) {
      // Half to one and a half seconds, so that instances do not coincide.
      Server.NextProbe =
          Now + std::chrono::milliseconds(500 + this->Generator.below(1000));
      Out.emplace_back(ProbeServer{base::ServerIndex(I), Server.Address});
    }
    if (this->Queue.size() != 0) {
      this->pump(Now, base::ServerIndex(I), Out);
    }
  }
  while (!this->Wakes.empty() && this->Wakes.top().When <= Now) {
    base::QueryId Id = this->Wakes.top().Query;
    this->Wakes.pop();
    this->advance(Now, Id, Out);
  }
  this->runSuspects(Now, Out);
}

void Engine::onPause(TimePoint Now, Actions &Out) {
  ++this->Counters.Pauses;
  this->LastPause = Now;
  for (routing::ServerState &Server : this->Servers.servers()) {
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
  for (uint32_t I = 0; I < this->Servers.servers().size(); ++I) {
    const routing::ServerState &Server = this->Servers.servers()[I];
    if (Server.Phase != routing::ServerPhase::Gone) {
      Out.emplace_back(ProbeServer{base::ServerIndex(I), Server.Address});
    }
  }
}

void Engine::advance(TimePoint Now, base::QueryId Id, Actions &Out) {
  QueryState *Query = this->find(Id);
  if (Query == nullptr || Query->NextWake > Now) {
    return;
  }
  Query->NextWake = TimePoint::max();
  if (Now >= Query->Source->Deadline) {
    this->conclude(Now, *Query, Out);
    return;
  }
  this->advanceSlots(Now, *Query, Out);
  if (!this->concludeIfDone(Now, Id, Out)) {
    this->scheduleWake(Now, *Query);
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
    Slot &Target = Query.Slots[I];
    switch (Target.Phase) {
    case SlotPhase::Held:
    case SlotPhase::Answered:
    case SlotPhase::Failed:
      break;
    case SlotPhase::Waiting:
      if (TooLate || !this->hasLiveHolder(Query.Pinned.Version, Target.Shard)) {
        this->dequeue(Query, Target);
        this->giveUpSlot(Target, Query);
      }
      break;
    case SlotPhase::Backoff:
      if (Target.RetryAt <= Now) {
        this->retryOrGiveUp(Now, Query, I, Out);
      }
      break;
    case SlotPhase::InFlight:
      this->timeOutAttempts(Now, Query, I, Out);
      if (MayHedge && !Target.Hedged && Target.Phase == SlotPhase::InFlight &&
          Now >= Target.Attempts.back().SentAt + HedgeDelay) {
        this->hedge(Now, Query, I, Out);
      }
      break;
    }
  }
}

void Engine::replaceCanary(TimePoint Now, QueryState &Query, Actions &Out) {
  auto IsActive = [](const Slot &Target) {
    return Target.Phase == SlotPhase::Waiting ||
           Target.Phase == SlotPhase::InFlight ||
           Target.Phase == SlotPhase::Backoff;
  };
  auto IsHeld = [](const Slot &Target) {
    return Target.Phase == SlotPhase::Held;
  };
  bool Started = false;
  // Without another canary the held slots would wait for the deadline.
  while (Query.Mode == QueryMode::Canary &&
         std::any_of(Query.Slots.begin(), Query.Slots.end(), IsHeld) &&
         std::none_of(Query.Slots.begin(), Query.Slots.end(), IsActive)) {
    this->startSlots(Now, Query, Out);
    Started = true;
  }
  if (Started) {
    this->scheduleWake(Now, Query);
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
  bool Hopeless = reachableShare(*Query) < Template.CoverageFloor;
  bool EnoughCoverage =
      Template.CoverageGoal < 1 && Query->AnsweredSlots > 0 &&
      coveredShare(*Query) >= Template.CoverageGoal &&
      Now >= Query->ArrivedAt + this->hedgeDelay() * EarlyStopDelays;
  if (!AllSettled && !Hopeless && !EnoughCoverage) {
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
  auto Running = this->Running.find(Query.Source->Parameters.Content);
  if (Running != this->Running.end() && Running->second == Query.Id) {
    this->Running.erase(Running);
  }
  this->releaseSuspect(Now, Query, Out);
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
  for (Slot &Target : Query.Slots) {
    RowsByShard.push_back(std::move(Target.Rows));
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
  for (const Slot &Target : Query.Slots) {
    InFlight = InFlight || Target.Phase == SlotPhase::InFlight;
    bool Failed = Target.Phase == SlotPhase::Failed;
    // Held slots were kept back by this process, not by busy servers.
    bool WasHeld = Target.Phase == SlotPhase::Held;
    NeverSent += Target.Attempts.empty() && !WasHeld ? 1 : 0;
    Shed += Failed && Target.LastReason == RetryReason::Shed ? 1 : 0;
    Unreachable += Failed && Target.LastReason == RetryReason::Connect ? 1 : 0;
  }
  bool Ran = Query.MayHaveRun || InFlight;
  Reason.Ran = Ran ? ExecutionState::MayHaveRun : ExecutionState::NotRun;
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

void Engine::scheduleWake(TimePoint Now, QueryState &Query) {
  TimePoint Next = Query.Source->Deadline;
  Duration HedgeDelay = this->hedgeDelay();
  Duration Limit = this->attemptTimeout();
  const config::TemplateDoc &Template = *Query.Source->Template;
  bool MayHedge = this->Options.Rules.Hedge && Template.Idempotent;
  if (Template.CoverageGoal < 1) {
    TimePoint Stop = Query.ArrivedAt + HedgeDelay * EarlyStopDelays;
    Next = Stop > Now ? std::min(Next, Stop) : Next;
  }
  for (const Slot &Target : Query.Slots) {
    if (Target.Phase == SlotPhase::Backoff) {
      Next = std::min(Next, Target.RetryAt);
    } else if (Target.Phase == SlotPhase::Waiting) {
      Next = std::min(Next, Now + MaxWakeInterval);
    } else if (Target.Phase == SlotPhase::InFlight) {
      TimePoint Sent = Target.Attempts.back().SentAt;
      TimePoint HedgeAt = Sent + HedgeDelay;
      if (MayHedge && !Target.Hedged) {
        // A denied hedge is tried again at the next look.
        Next = std::min(Next, HedgeAt > Now ? HedgeAt : Now + MaxWakeInterval);
      }
      Next = std::min(Next, std::max(Sent, this->LastPause) + Limit);
    }
  }
  this->wakeBy(Now, Query, Next);
}

void Engine::wakeBy(TimePoint Now, QueryState &Query, TimePoint When) {
  When = std::max(When, Now + MinWakeInterval);
  if (When < Query.NextWake) {
    Query.NextWake = When;
    this->Wakes.push({When, Query.Id});
  }
}

} // namespace hickorycrank::query
