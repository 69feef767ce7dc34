#include "forward/engine_base.h"
#include "forward/placement_func.h"
#include "forward/replica_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Retry-after time; a lost server is usually restarted or replaced within it.
 */
constexpr std::chrono::milliseconds NoServerRetryAfter(1'000);

/** A shard whose expected reply time exceeds this fraction of the route's
 * target latency may be omitted. The margin below the target allows for errors
 * of the estimate: a sub-request whose reply arrives too late to be used still
 * delays all others at that shard. */
constexpr double OmitThresholdShare = 0.85;
/** A call is refused if the expected reply time of a required shard exceeds
 * this fraction of the route's target latency. It is above 1 because the
 * estimate is inexact and a late answer is more useful to a caller than a
 * refusal. */
constexpr double RefuseThresholdShare = 1.2;

/** @return Expected reply time above which a call is refused. A late reply of a
 * single server still serves its caller until the deadline, and waiting for it
 * occupies no other servers. */
Duration refuseThreshold(TimePoint Now, const Call &CurrentCall) {
  auto BeyondTarget = std::chrono::duration_cast<Duration>(
      CurrentCall.MatchedRoute->TargetLatency * RefuseThresholdShare);
  return CurrentCall.MatchedRoute->fansOut()
             ? BeyondTarget
             : std::max(BeyondTarget, CurrentCall.Deadline - Now);
}

} // namespace

const std::string &
Engine::chooseService(const Route &MatchedRoute,
                      const std::vector<TriedServer> &Tried) {
  for (const WeightedService &Choice : MatchedRoute.Choices) {
    if (!Tried.empty() && Tried.front().Service == Choice.Service) {
      return Choice.Service;
    }
  }
  if (MatchedRoute.Choices.size() == 1) {
    return MatchedRoute.Choices.front().Service;
  }
  // Smooth weighted round-robin keeps the shares exact even over few requests.
  auto &Credits = this->RoundRobinCredits[MatchedRoute.Name];
  double Total = 0;
  const WeightedService *Best = &MatchedRoute.Choices.front();
  for (const WeightedService &Choice : MatchedRoute.Choices) {
    Total += Choice.Weight;
    Credits[Choice.Service] += Choice.Weight;
    if (Credits[Choice.Service] > Credits[Best->Service]) {
      Best = &Choice;
    }
  }
  Credits[Best->Service] -= Total;
  return Best->Service;
}

void Engine::refuseUnsent(CallId Id, RefusalReason Reason,
                          std::optional<std::chrono::milliseconds> RetryAfter,
                          Actions &Out) {
  ++this->Counters.Refusals[static_cast<size_t>(Reason)];
  CallSummary Summary;
  Summary.Version = this->Table ? this->Table->Version : 0;
  Out.push_back(
      RespondCall{Id, Refusal{Reason, false, RetryAfter}, std::move(Summary)});
}

bool Engine::admit(TimePoint Now, Call &CurrentCall, Actions &Out) {
  bool Idempotent = CurrentCall.MatchedRoute->Idempotent;
  bool Tests = this->Links.isLost() && !CurrentCall.Relayed &&
               (!Idempotent || this->mayRepeat(Now, CurrentCall)) &&
               this->Links.tryTest(Now, Idempotent);
  if (this->Links.isLost() && !Tests && this->tryRelay(Now, CurrentCall, Out)) {
    return true;
  }
  std::vector<Part *> UnavailableParts; // No server accepts an attempt in time.
  size_t Unreachables = 0;
  TimePoint RetryAt = Now + NoServerRetryAfter;
  for (Part &Entry : CurrentCall.Parts) {
    auto Unreachable = unreachableUntil(Now, *Entry.Pool, CurrentCall.Allowed);
    auto Limited = rateLimitedUntil(Now, *Entry.Pool, this->LimitParts,
                                    CurrentCall.Allowed);
    this->setRateLimited(Now, Entry,
                         Limited && isWaitTooLong(*Limited, CurrentCall));
    Entry.PausedUntil = pausedUntil(Now, *Entry.Pool, CurrentCall.Allowed);
    Unreachables += Unreachable ? 1 : 0;
    if (!hasUsableReplica(*Entry.Pool, CurrentCall.Allowed) ||
        Entry.RateLimited ||
        (Unreachable && CurrentCall.MatchedRoute->fansOut())) {
      auto Until = Limited ? Limited : Unreachable;
      RetryAt = std::min(RetryAt, Until.value_or(RetryAt));
      UnavailableParts.push_back(&Entry);
    }
  }
  size_t MaxOmitted =
      CurrentCall.Parts.size() - requiredParts(*CurrentCall.MatchedRoute);
  if (Unreachables > MaxOmitted && this->tryRelay(Now, CurrentCall, Out)) {
    return true;
  }
  if (UnavailableParts.size() > MaxOmitted) {
    RetryAt = std::max(RetryAt, firstPauseEnd(CurrentCall).value_or(RetryAt));
    auto Wait = std::chrono::ceil<std::chrono::milliseconds>(RetryAt - Now);
    uncountUnsentRelay(CurrentCall);
    this->respond(CurrentCall, Refusal{unsentReason(CurrentCall), false, Wait},
                  Out);
    return false;
  }
  for (Part *Entry : UnavailableParts) {
    this->omitPart(CurrentCall, *Entry);
  }
  return this->admitByQueueLength(Now, CurrentCall,
                                  MaxOmitted - UnavailableParts.size(), Out);
}

Duration Engine::expectedInQueue(TimePoint Now, const Call &CurrentCall,
                                 uint32_t Index) {
  const Part &CurrentPart = CurrentCall.Parts[Index];
  limits::ServicePace Pace = estimatePace(
      Now, *CurrentPart.Pool, this->typicalLatency(*CurrentCall.MatchedRoute));
  size_t Ahead =
      CurrentPart.Pool->Waiting.countAhead(waitingPart(CurrentCall, Index));
  return expectedTimeInQueue(Pace, Ahead);
}

bool Engine::admitByQueueLength(TimePoint Now, Call &CurrentCall,
                                size_t MaxOmitted, Actions &Out) {
  const Route &MatchedRoute = *CurrentCall.MatchedRoute;
  auto OmitThreshold = std::chrono::duration_cast<Duration>(
      MatchedRoute.TargetLatency * OmitThresholdShare);
  Duration RefuseThreshold = refuseThreshold(Now, CurrentCall);
  Duration TypicalLatency = this->typicalLatency(MatchedRoute);
  auto Urgent = this->urgentDemands(Now, MatchedRoute);
  std::vector<size_t> Pressed(Urgent.size());
  std::vector<std::pair<Duration, Part *>> LateParts;
  size_t Overloaded = 0;
  for (uint32_t I = 0; I < CurrentCall.Parts.size(); ++I) {
    Part &Entry = CurrentCall.Parts[I];
    if (Entry.Phase != PartPhase::Waiting) {
      continue;
    }
    const Server *Best =
        this->choose(Now, CurrentCall, Entry, ServerChoice::Any);
    Duration Expected = Best != nullptr
                            ? expectedTime(Now, *Best, TypicalLatency)
                            : this->expectedInQueue(Now, CurrentCall, I);
    if (Expected > OmitThreshold) {
      LateParts.emplace_back(Expected, &Entry);
    }
    // Without outstanding attempts of this instance the estimate may be out of
    // date, and only a new attempt can correct it.
    bool Known = Best == nullptr || hasLongQueue(Now, *Best);
    Overloaded += Expected > RefuseThreshold && Known ? 1 : 0;
    for (size_t J = 0; J < Urgent.size(); ++J) {
      const UrgentDemand &Demand = Urgent[J].second;
      bool TooLate = Best == nullptr
                         ? Expected > Demand.Target
                         : isPressed(Now, *Entry.Pool, TypicalLatency, Demand);
      Pressed[J] += TooLate ? 1 : 0;
    }
  }
  std::sort(LateParts.begin(), LateParts.end(), std::greater<>());
  if (Overloaded > MaxOmitted) {
    Duration Accepted =
        MatchedRoute.fansOut() ? OmitThreshold : RefuseThreshold;
    Duration RoomIn = LateParts[MaxOmitted].first - Accepted;
    this->refuseForQueue(CurrentCall, RefusalReason::Overloaded, RoomIn, Out);
    return false;
  }
  if (this->yieldsToUrgent(Now, CurrentCall, Urgent, Pressed)) {
    this->refuseForQueue(CurrentCall, RefusalReason::LowerPriority,
                         TypicalLatency, Out);
    return false;
  }
  LateParts.resize(std::min(LateParts.size(), MaxOmitted));
  for (auto &[Expected, Entry] : LateParts) {
    this->omitPart(CurrentCall, *Entry);
  }
  return true;
}

void Engine::countRefusal(const Call &CurrentCall, RefusalReason Reason) {
  auto Index = static_cast<size_t>(Reason);
  ++this->Counters.Refusals[Index];
  uint32_t Priority = CurrentCall.MatchedRoute->Priority;
  ++this->Counters.RefusalsByPriority[Priority][Index];
}

void Engine::refuseForQueue(Call &CurrentCall, RefusalReason Reason,
                            Duration RoomIn, Actions &Out) {
  limits::RouteDemand &Demand = this->Demands[CurrentCall.MatchedRoute->Name];
  limits::recordEvent(Demand.Refused, CurrentCall.ArrivedAt);
  RoomIn = std::max(RoomIn, returnTime(CurrentCall.ArrivedAt, Demand));
  Refusal Refused{Reason, false,
                  chooseRetryAfter(RoomIn,
                                   CurrentCall.MatchedRoute->TargetLatency,
                                   this->Generator)};
  uncountUnsentRelay(CurrentCall);
  this->respond(CurrentCall, Refused, Out);
}

void Engine::omitPart(Call &CurrentCall, Part &OmittedPart) {
  OmittedPart.Phase = PartPhase::Failed;
  ++CurrentCall.Failed;
  ++this->Counters.ShardsLeftOut;
}

} // namespace hickorycrank::forward
