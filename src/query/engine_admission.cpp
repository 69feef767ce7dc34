#include "query/engine_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorycrank::query {

using base::Duration;
using base::TimePoint;
using config::TemplateDoc;

namespace {

/** Retry-after while no index version is known or no server of a needed shard
 * is reachable. */
constexpr std::chrono::milliseconds UnavailableRetryAfter(1'000);
/** Bounds of the retry-after of refusals because of load. */
constexpr std::chrono::milliseconds MinOverloadRetryAfter(20);
constexpr std::chrono::milliseconds MaxOverloadRetryAfter(5'000);
/** Latency assumed before any has been observed. */
constexpr Duration DefaultLatency = std::chrono::milliseconds(5);

/**
 * Rounds a duration up to milliseconds and clamps it to the bounds of a
 * retry-after.
 * @param Span The duration.
 * @return Milliseconds.
 */
std::chrono::milliseconds toRetryAfter(Duration Span) {
  auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Span);
  return std::clamp(Rounded, MinOverloadRetryAfter, MaxOverloadRetryAfter);
}

} // namespace

Engine::Engine(EngineOptions Given)
    : Options(std::move(Given)), Generator(Options.Seed),
      ServerDirectory(Options.Rules, Options.ServerConcurrency),
      Budget(Options.Rules.ExtraShare, Options.Rules.HedgeShare,
             Options.Rules.ExtraFloor),
      Suspects(Options.Rules.QuarantineTime) {
  if (!this->Options.NewAttemptId) {
    this->Options.NewAttemptId = [this] {
      return base::AttemptId{this->Generator.next(), this->Generator.next()};
    };
  }
}

void Engine::refuse(base::QueryId Query, Refusal Reason, Actions &Out) {
  ++this->Counters.Refusals[static_cast<size_t>(Reason.Kind)];
  Out.emplace_back(Respond{Query, std::move(Reason)});
}

void Engine::onRequest(TimePoint Now, base::QueryId Query,
                       std::shared_ptr<const Request> Source, Actions &Out) {
  ++this->Counters.Queries;
  if (Source->Deadline <= Now) {
    this->refuse(Query,
                 {RefusalKind::DeadlinePassed, ExecutionState::NotRun,
                  std::nullopt,
                  "the deadline has passed; send it with a later one"},
                 Out);
    return;
  }
  if (auto Until =
          this->Suspects.quarantinedUntil(Now, Source->Parameters.Content)) {
    this->refuse(Query,
                 {RefusalKind::Quarantined, ExecutionState::NotRun,
                  std::chrono::ceil<std::chrono::milliseconds>(*Until - Now),
                  "this request crashed backend servers; change it"},
                 Out);
    return;
  }
  if (this->joinIdentical(Now, Query, *Source)) {
    return;
  }
  const TemplateDoc &Template = *Source->Template;
  routing::ShardRequest Wanted{Template.Selection, Source->Parameters.Key,
                               Template.ShardNames};
  auto Pinned =
      routing::chooseVersion(this->ServerDirectory, Wanted, Template.Snapshot,
                             base::VersionId(0), Now);
  if (!Pinned) {
    this->refuse(Query,
                 {RefusalKind::NoSnapshot, ExecutionState::NotRun,
                  UnavailableRetryAfter,
                  "no backend server serves this service yet; retry later"},
                 Out);
    return;
  }
  if (auto Reason = this->checkAdmission(Now, *Source, *Pinned)) {
    this->refuse(Query, std::move(*Reason), Out);
    return;
  }
  auto Added = std::make_unique<QueryState>();
  Added->Id = Query;
  Added->ArrivedAt = Now;
  Added->Pinned = std::move(*Pinned);
  Added->Slots.resize(Added->Pinned.Needed.size());
  for (size_t I = 0; I < Added->Slots.size(); ++I) {
    Added->Slots[I].Shard = Added->Pinned.Needed[I];
  }
  if (Template.Idempotent) {
    this->RunningByContent[Source->Parameters.Content] = Query;
  }
  Added->Source = std::move(Source);
  QueryState &State = *Added;
  this->Queries.emplace(Query, std::move(Added));
  this->chooseMode(State);
  this->startSlots(Now, State, Out);
  if (!this->concludeIfDone(Now, Query, Out)) {
    this->scheduleWakeUp(Now, State);
  }
}

bool Engine::joinIdentical(TimePoint Now, base::QueryId Query,
                           const Request &Source) {
  auto Found = this->RunningByContent.find(Source.Parameters.Content);
  if (!Source.Template->Idempotent || Found == this->RunningByContent.end()) {
    return false;
  }
  QueryState *First = this->find(Found->second);
  if (First == nullptr || First->Source->Template != Source.Template ||
      First->Source->Deadline > Source.Deadline ||
      First->Source->Deadline <= Now) {
    return false;
  }
  First->Joined.push_back(Query);
  ++this->Counters.Joined;
  return true;
}

std::optional<Refusal>
Engine::checkAdmission(TimePoint Now, const Request &Source,
                       const routing::PinnedVersion &Pinned) {
  const TemplateDoc &Template = *Source.Template;
  auto Needed = static_cast<double>(Pinned.Needed.size());
  if (static_cast<double>(Pinned.Reachable) < Template.CoverageFloor * Needed) {
    return Refusal{RefusalKind::NoServer, ExecutionState::NotRun,
                   UnavailableRetryAfter,
                   "too few shards can be reached; retry later"};
  }
  if (!this->Options.Rules.Admission) {
    return std::nullopt;
  }
  if (this->Queue.size() + Pinned.Needed.size() > this->Options.MaxWaiting &&
      this->Queue.size() != 0) {
    return Refusal{RefusalKind::QueueFull, ExecutionState::NotRun,
                   toRetryAfter(this->Latencies.mean(DefaultLatency) * 10),
                   "too many requests wait; retry later"};
  }
  double Capacity = 0;
  TimePoint FirstFree = TimePoint::max();
  for (const routing::ServerState &Server : this->ServerDirectory.servers()) {
    if (routing::isUsable(Server, Now)) {
      Capacity += std::floor(Server.Limit);
    } else if (Server.Phase == routing::ServerPhase::Live) {
      FirstFree =
          std::min(FirstFree, std::max(Server.ShedUntil, Server.EjectedUntil));
    }
  }
  Duration Wait = Duration::zero();
  Duration MeanLatency = this->Latencies.mean(DefaultLatency);
  if (Capacity > 0) {
    limits::QueueDepth Ahead =
        this->Queue.count(Template.Priority, Source.Organisation->Name);
    // Fair queueing serves the organisations in turn, so the backlog of another
    // organisation delays this request by at most one turn per turn of its own.
    uint64_t Organisations = Ahead.Organisations + (Ahead.Own == 0 ? 1 : 0);
    double TurnsAhead = std::min(static_cast<double>(Ahead.Total),
                                 static_cast<double>(Ahead.Own + 1) *
                                     static_cast<double>(Organisations));
    Wait = base::fromMilliseconds(TurnsAhead *
                                  base::toMilliseconds(MeanLatency) / Capacity);
  } else if (FirstFree != TimePoint::max()) {
    Wait = FirstFree - Now;
  }
  if (Now + Wait + MeanLatency <= Source.Deadline) {
    return std::nullopt;
  }
  return Refusal{RefusalKind::Overloaded, ExecutionState::NotRun,
                 toRetryAfter(Wait),
                 "the backend servers are busy; retry after the given time"};
}

void Engine::chooseMode(QueryState &Query) {
  const config::BoundParameters &Parameters = Query.Source->Parameters;
  const routing::Policy &Rules = this->Options.Rules;
  if (Rules.IsolateSuspects && this->Suspects.isSuspect(Parameters.Content)) {
    Query.Mode = QueryMode::Suspect;
  } else if (Rules.Canary && Query.Slots.size() >= Rules.WideShards &&
             !this->Suspects.hasRun(Query.Source->Template->Canary ==
                                            config::CanaryRule::Content
                                        ? Parameters.Content
                                        : Parameters.Shape)) {
    Query.Mode = QueryMode::Canary;
  }
}

void Engine::onCancel(TimePoint Now, base::QueryId Id, Actions &Out) {
  QueryState *Query = this->find(Id);
  if (Query == nullptr) {
    for (auto &[OtherId, Other] : this->Queries) {
      std::erase(Other->Joined, Id);
    }
    return;
  }
  if (!Query->Joined.empty()) {
    return; // Joined requests wait for the same answer.
  }
  // A non-idempotent request may already be running; its outcome is kept
  // for a repeat by the same caller.
  if (!Query->Source->Template->Idempotent) {
    return;
  }
  this->discard(Now, *Query, Out);
}

} // namespace hickorycrank::query
