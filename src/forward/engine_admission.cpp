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

void Engine::refuse(CallId Id, const Refusal &Refused, Actions &Out,
                    CallSummary Summary) {
  ++this->Counters.Refusals[static_cast<size_t>(Refused.Reason)];
  Summary.Version = this->Table ? this->Table->Version : 0;
  Out.push_back(RespondCall{Id, Refused, std::move(Summary)});
}

bool Engine::admit(TimePoint Now, Call &CurrentCall, Actions &Out) {
  bool Tests = !CurrentCall.Relayed &&
               this->Links.tryTest(Now, CurrentCall.MatchedRoute->Idempotent);
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
    uncountUnsentRelay(Now, CurrentCall);
    this->refuse(CurrentCall.Id, {unsentReason(CurrentCall), false, Wait}, Out,
                 summarise(CurrentCall));
    this->Calls.erase(CurrentCall.Id.Value);
    return false;
  }
  for (Part *Entry : UnavailableParts) {
    this->omitPart(CurrentCall, *Entry);
  }
  return !CurrentCall.MatchedRoute->fansOut() ||
         this->admitByQueueLength(Now, CurrentCall,
                                  MaxOmitted - UnavailableParts.size(), Out);
}

bool Engine::admitByQueueLength(TimePoint Now, Call &CurrentCall,
                                size_t MaxOmitted, Actions &Out) {
  auto OmitThreshold = std::chrono::duration_cast<Duration>(
      CurrentCall.MatchedRoute->TargetLatency * OmitThresholdShare);
  auto RefuseThreshold = std::chrono::duration_cast<Duration>(
      CurrentCall.MatchedRoute->TargetLatency * RefuseThresholdShare);
  Duration TypicalLatency = this->typicalLatency(*CurrentCall.MatchedRoute);
  std::vector<std::pair<Duration, Part *>> LateParts;
  size_t Overloaded = 0;
  for (Part &Entry : CurrentCall.Parts) {
    Server *Best =
        Entry.Phase == PartPhase::Waiting
            ? this->choose(Now, CurrentCall, Entry, ServerChoice::Any)
            : nullptr;
    if (Best == nullptr) {
      continue;
    }
    Duration Expected = expectedTime(Now, *Best, TypicalLatency);
    if (Expected > OmitThreshold) {
      LateParts.emplace_back(Expected, &Entry);
    }
    // Without outstanding attempts of this instance the estimate may be out of
    // date, and only a new attempt can correct it.
    Overloaded +=
        Expected > RefuseThreshold && hasLongQueue(Now, *Best) ? 1 : 0;
  }
  if (Overloaded > MaxOmitted) {
    uncountUnsentRelay(Now, CurrentCall);
    this->refuse(CurrentCall.Id,
                 {RefusalReason::Overloaded, false, OverloadRetryAfter}, Out,
                 summarise(CurrentCall));
    this->Calls.erase(CurrentCall.Id.Value);
    return false;
  }
  std::sort(LateParts.begin(), LateParts.end(), std::greater<>());
  LateParts.resize(std::min(LateParts.size(), MaxOmitted));
  for (auto &[Expected, Entry] : LateParts) {
    this->omitPart(CurrentCall, *Entry);
  }
  return true;
}

void Engine::omitPart(Call &CurrentCall, Part &OmittedPart) {
  OmittedPart.Phase = PartPhase::Failed;
  ++CurrentCall.Failed;
  ++this->Counters.ShardsLeftOut;
}

} // namespace hickorycrank::forward
