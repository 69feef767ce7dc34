#include "forward/cold_state_func.h"
#include "forward/engine_base.h"
#include "forward/placement_func.h"
#include "forward/replica_func.h"
#include "limits/server_memory_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Hedge delay relative to the typical latency. Apart from paused or slow
 * servers, few replies take longer. */
constexpr double HedgeDelayFactor = 2.0;
/** Bounds of the hedge delay, as fractions of the route's target latency. */
constexpr double MinHedgeDelayShare = 0.12;
constexpr double MaxHedgeDelayShare = 0.4;
/** Assumed latency of a route without enough replies, as a fraction of its
 * target latency. */
constexpr double AssumedLatencyShare = 0.2;
/** Interval between checks for an available server. */
constexpr Duration BusyRecheckDelay = std::chrono::milliseconds(5);
/** Maximum time for which the first attempt of a deferrable request is held
 * back instead of waiting in a server's queue, as a fraction of the target
 * latency. */
constexpr double MaxDeferralShare = 0.25;
/** Maximum time for which an attempt waits until a server accepts it under its
 * rate limit, as a fraction of the target latency. */
constexpr double MaxRateLimitWaitShare = 0.25;
/** Interval between queue checks for a deferred part; a fifth of the typical
 * duration of an attempt of a deferrable request. */
constexpr Duration DeferRecheckDelay = std::chrono::milliseconds(4);
/** Interval between checks of an exhausted retry budget. */
constexpr Duration BudgetRecheckDelay = std::chrono::milliseconds(50);
/** Delay before retrying a broken attempt. If the request crashes servers, the
 * attempts at other shards also break within this time. */
constexpr Duration BrokenRetryDelay = std::chrono::milliseconds(6);
/** Backoff before the second retry; doubled for each further retry. */
constexpr Duration RetryBackoff = std::chrono::milliseconds(20);
constexpr uint32_t MaxBackoffDoublings = 5;
/** Maximum number of retries of a part. */
constexpr uint32_t MaxRetries = 4;
/** If attempts broke at this fraction of the shards, the call is assumed to
 * crash servers and is not retried. */
constexpr double CrashShare = 0.5;
/** Minimum number of shards with broken attempts for this assumption. */
constexpr size_t MinCrashShards = 4;
/** Fraction of the connections that may be used; the rest is reserved, for
 * example for an instance that has just started. */
constexpr double UsableConnectionShare = 0.9;
/** Smallest part of an instance, relative to an equal part. */
constexpr double MinCapacityWeight = 0.5;

/** Servers discard a part of a fan-out after this multiple of the route's
 * target latency, because the answer has usually been sent without it by then.
 */
constexpr int PartTimeoutFactor = 2;
/** Minimum timeout for a part of a fan-out. */
constexpr Duration MinPartTimeout = std::chrono::milliseconds(100);

/** @return Whether enough parts had broken attempts to suspect that the request
 * crashes servers. */
bool looksLikeCrash(const Call &CurrentCall) {
  auto Broken =
      std::count_if(CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
                    [](const Part &Entry) { return Entry.Broken > 0; });
  auto Count = static_cast<size_t>(Broken);
  return Count >= MinCrashShards &&
         static_cast<double>(Count) >=
             CrashShare * static_cast<double>(CurrentCall.Parts.size());
}

/** @return Limit of the request bodies at one server, in bytes. */
uint64_t maxBodyBytes(const Call &CurrentCall) {
  return limits::maxBodyBytesAtServer(CurrentCall.Table->Limits.MaxBodyBytes);
}

} // namespace

Duration Engine::typicalLatency(const Route &MatchedRoute) {
  auto Default = std::chrono::duration_cast<Duration>(
      MatchedRoute.TargetLatency * AssumedLatencyShare);
  return this->Latencies[MatchedRoute.Name].quantile(0.5, Default);
}

Duration Engine::hedgeDelay(const Route &MatchedRoute) {
  auto Delay = std::chrono::duration_cast<Duration>(
      this->typicalLatency(MatchedRoute) * HedgeDelayFactor);
  auto MinDelay = std::chrono::duration_cast<Duration>(
      MatchedRoute.TargetLatency * MinHedgeDelayShare);
  auto MaxDelay = std::chrono::duration_cast<Duration>(
      MatchedRoute.TargetLatency * MaxHedgeDelayShare);
  return std::clamp(Delay, MinDelay, MaxDelay);
}

uint32_t Engine::maxOutstanding(const ServicePool &Pool) const {
  double Usable = Pool.MaxConnections * UsableConnectionShare;
  double Equal = Usable / static_cast<double>(this->Instances);
  // The smallest instances take one connection even if their part is less, so
  // the parts differ only where each gets a whole one.
  double Allowed = Equal * MinCapacityWeight >= 1
                       ? Usable / static_cast<double>(this->LimitParts)
                       : Equal;
  return std::max(1U, static_cast<uint32_t>(Allowed));
}

uint32_t Engine::connectionShare(ServerKey Key) {
  Server *Backend = this->Servers.find(Key);
  return Backend == nullptr
             ? 1
             : this->maxOutstanding(this->Servers.pool(Backend->Entry.Service));
}

Duration Engine::attemptTimeout(TimePoint Now, const Call &CurrentCall) const {
  Duration Remaining = CurrentCall.Deadline - Now;
  if (!CurrentCall.MatchedRoute->fansOut()) {
    return Remaining;
  }
  TimePoint UsefulUntil =
      CurrentCall.ArrivedAt +
      CurrentCall.MatchedRoute->TargetLatency * PartTimeoutFactor;
  return UsefulUntil - Now >= MinPartTimeout
             ? std::min(Remaining, UsefulUntil - Now)
             : Remaining;
}

uint32_t distinctServers(const Part &Counted) {
  boost::container::small_vector<std::string_view, 4> Distinct;
  auto Add = [&Distinct](std::string_view Id) {
    if (std::find(Distinct.begin(), Distinct.end(), Id) == Distinct.end()) {
      Distinct.push_back(Id);
    }
  };
  for (const base::ServerId &Id : Counted.TriedElsewhere) {
    Add(Id.Value);
  }
  for (const Attempt &Entry : Counted.Attempts) {
    if (Entry.MayHaveArrived) {
      Add(Entry.ServerId.Value);
    }
  }
  return static_cast<uint32_t>(Distinct.size());
}

Server *Engine::choose(TimePoint Now, const Call &CurrentCall,
                       const Part &CurrentPart, ServerChoice Choice) {
  boost::container::small_vector<ServerKey, 4> Tried;
  if (Choice != ServerChoice::Any) {
    for (const Attempt &Entry : CurrentPart.Attempts) {
      Tried.push_back(Entry.Server);
    }
    for (const base::ServerId &Id : CurrentPart.TriedElsewhere) {
      if (const Server *Known = this->Servers.find(Id)) {
        Tried.push_back(Known->Key);
      }
    }
  }
  ReplicaCriteria Criteria;
  Criteria.Now = Now;
  Criteria.Expected = this->typicalLatency(*CurrentCall.MatchedRoute);
  Criteria.Domain = this->Options.Domain;
  Criteria.MaxOutstanding = this->maxOutstanding(*CurrentPart.Pool);
  Criteria.Instances = this->LimitParts;
  Criteria.Avoid = {Tried.data(), Tried.size()};
  Criteria.Allowed = CurrentCall.Allowed;
  Criteria.Idempotent = CurrentCall.MatchedRoute->Idempotent;
  // A hedge would use up the rate that first attempts need.
  Criteria.WithoutRateLimit = Choice == ServerChoice::ForHedge;
  Criteria.BodyBytes = CurrentCall.BodyBytes;
  Criteria.MaxBodyBytes = maxBodyBytes(CurrentCall);
  return chooseReplica(*CurrentPart.Pool, Criteria, this->Generator);
}

Server *Engine::chooseForAttempt(TimePoint Now, const Call &CurrentCall,
                                 const Part &CurrentPart) {
  if (distinctServers(CurrentPart) < CurrentCall.MatchedRoute->MaxAttempts) {
    Server *Untried =
        this->choose(Now, CurrentCall, CurrentPart, ServerChoice::Untried);
    return Untried != nullptr
               ? Untried
               : this->choose(Now, CurrentCall, CurrentPart, ServerChoice::Any);
  }
  return this->chooseTried(Now, CurrentCall, CurrentPart);
}

Server *Engine::chooseTried(TimePoint Now, const Call &CurrentCall,
                            const Part &CurrentPart) {
  Server *Last = nullptr;
  auto Consider = [&](Server *Tried) {
    if (Tried != nullptr && Tried->Entry.Service == CurrentPart.Pool->Service &&
        isUsable(*Tried, CurrentCall.Allowed) &&
        acceptsAt(Now, *Tried, this->LimitParts) <= Now &&
        hasRoomForBody(*Tried, CurrentCall.BodyBytes,
                       maxBodyBytes(CurrentCall))) {
      Last = Tried;
    }
  };
  for (const base::ServerId &Id : CurrentPart.TriedElsewhere) {
    Consider(this->Servers.find(Id));
  }
  for (const Attempt &Entry : CurrentPart.Attempts) {
    if (Entry.MayHaveArrived) {
      Consider(this->Servers.find(Entry.Server));
    }
  }
  return Last;
}

bool Engine::isWaitTooLong(TimePoint Until, const Call &CurrentCall) {
  auto MaxWait = std::chrono::duration_cast<Duration>(
      CurrentCall.MatchedRoute->TargetLatency * MaxRateLimitWaitShare);
  return Until - CurrentCall.ArrivedAt > MaxWait;
}

void Engine::waitForServer(TimePoint Now, Call &CurrentCall,
                           Part &CurrentPart) {
  bool MayBecomeAvailable =
      distinctServers(CurrentPart) < CurrentCall.MatchedRoute->MaxAttempts &&
      hasUsableReplica(*CurrentPart.Pool, CurrentCall.Allowed);
  auto Limited = rateLimitedUntil(Now, *CurrentPart.Pool, this->LimitParts,
                                  CurrentCall.Allowed);
  this->setRateLimited(Now, CurrentPart, Limited.has_value());
  CurrentPart.PausedUntil =
      pausedUntil(Now, *CurrentPart.Pool, CurrentCall.Allowed);
  if (!MayBecomeAvailable ||
      (Limited && isWaitTooLong(*Limited, CurrentCall))) {
    CurrentPart.Phase = PartPhase::Failed;
    ++CurrentCall.Failed;
    return;
  }
  CurrentPart.WakeAt = std::max(Now + BusyRecheckDelay, Limited.value_or(Now));
}

bool Engine::shouldDefer(TimePoint Now, const Call &CurrentCall,
                         const Server &Backend) {
  auto MaxDeferral = std::chrono::duration_cast<Duration>(
      CurrentCall.MatchedRoute->TargetLatency * MaxDeferralShare);
  return CurrentCall.Deferrable && Now - CurrentCall.ArrivedAt < MaxDeferral &&
         hasLongQueue(Now, Backend);
}

void Engine::startAttempt(TimePoint Now, Call &CurrentCall, uint32_t Index,
                          Actions &Out) {
  Part &CurrentPart = CurrentCall.Parts[Index];
  if (this->Crashes.isQuarantined(Now, CurrentCall.Content)) {
    CurrentPart.Phase = PartPhase::Failed;
    ++CurrentCall.Failed;
    return;
  }
  Server *Backend = this->chooseForAttempt(Now, CurrentCall, CurrentPart);
  limits::WaitingPart Entry = waitingPart(CurrentCall, Index);
  if (Backend == nullptr) {
    this->waitForServer(Now, CurrentCall, CurrentPart);
    if (CurrentPart.Phase == PartPhase::Waiting) {
      CurrentPart.Pool->Waiting.push(Entry);
    }
    return;
  }
  if (CurrentPart.PossiblyDelivered == 0 &&
      this->isReserved(Now, CurrentCall, CurrentPart)) {
    ++this->Counters.Reserved;
    CurrentPart.Pool->Waiting.push(Entry);
    CurrentPart.WakeAt = Now + BusyRecheckDelay;
    return;
  }
  if (CurrentPart.PossiblyDelivered == 0 &&
      shouldDefer(Now, CurrentCall, *Backend)) {
    // Counts each part once: WakeAt is unset before the first check.
    this->Counters.Deferred += CurrentPart.WakeAt == TimePoint() ? 1 : 0;
    CurrentPart.WakeAt = Now + DeferRecheckDelay;
    CurrentPart.Pool->Waiting.push(Entry);
    return;
  }
  if (CurrentPart.PossiblyDelivered > 0) {
    if (!CurrentPart.Pool->Budget.tryTake(limits::ExtraAttemptKind::Retry,
                                          this->Options.Extra, this->Share,
                                          Now)) {
      ++this->Counters.RetriesDenied;
      CurrentPart.WakeAt = Now + BudgetRecheckDelay;
      return;
    }
    ++this->Counters.Retries;
  }
  CurrentPart.Pool->Waiting.remove(Entry, true);
  this->send(Now, CurrentCall, Index, *Backend, Out);
}

void Engine::send(TimePoint Now, Call &CurrentCall, uint32_t Index,
                  Server &Backend, Actions &Out) {
  Part &CurrentPart = CurrentCall.Parts[Index];
  AttemptRef Ref{CurrentCall.Id.Value, Index,
                 static_cast<uint32_t>(CurrentPart.Attempts.size())};
  CurrentPart.Attempts.push_back({Backend.Key, Backend.Entry.Id, Now});
  ++CurrentPart.PossiblyDelivered;
  ++CurrentPart.PossiblyRun;
  CurrentPart.Phase = PartPhase::InFlight;
  CurrentPart.WakeAt = Now + this->hedgeDelay(*CurrentCall.MatchedRoute);
  Backend.Borrowed = !Backend.Assigned;
  this->Counters.Borrowed += Backend.Borrowed ? 1 : 0;
  Backend.Outstanding.push_back(
      {Ref, Now, this->typicalLatency(*CurrentCall.MatchedRoute),
       CurrentCall.BodyBytes, CurrentCall.Content});
  if (Backend.RateLimit) {
    limits::takeTurn(*Backend.RateLimit, Now, this->LimitParts);
  }
  if (isColdLimited(Now, Backend)) {
    limits::takeColdTurn(*Backend.ColdShare, Now);
  }
  this->Links.recordAttempt(Now);
  ++this->Counters.Attempts;
  Out.push_back(SendAttempt{Ref, Backend.Key, Backend.Entry.Id,
                            Backend.Entry.Address,
                            this->attemptTimeout(Now, CurrentCall),
                            CurrentCall.MatchedRoute->Idempotent});
}

void Engine::hedge(TimePoint Now, Call &CurrentCall, uint32_t Index,
                   Actions &Out) {
  Part &CurrentPart = CurrentCall.Parts[Index];
  // Other servers are as silent, but a peer may reach them.
  if (this->Links.isLost() && this->tryRelay(Now, CurrentCall, Out)) {
    return;
  }
  if (!CurrentCall.MatchedRoute->Idempotent || CurrentPart.Hedged ||
      distinctServers(CurrentPart) >= CurrentCall.MatchedRoute->MaxAttempts ||
      looksLikeCrash(CurrentCall) ||
      this->Crashes.isQuarantined(Now, CurrentCall.Content)) {
    CurrentPart.WakeAt = TimePoint::max();
    return;
  }
  Server *Backend =
      this->choose(Now, CurrentCall, CurrentPart, ServerChoice::ForHedge);
  // A hedge that would be queued only adds to the load that delayed the first
  // attempt.
  if (Backend == nullptr || isStalled(Now, *Backend) ||
      !hasFreeSlot(Now, *Backend)) {
    CurrentPart.WakeAt = Now + BusyRecheckDelay;
    return;
  }
  if (!CurrentPart.Pool->Budget.tryTake(limits::ExtraAttemptKind::Hedge,
                                        this->Options.Extra, this->Share,
                                        Now)) {
    ++this->Counters.HedgesDenied;
    CurrentPart.WakeAt = Now + BudgetRecheckDelay;
    return;
  }
  ++this->Counters.Hedges;
  CurrentPart.Hedged = true;
  this->send(Now, CurrentCall, Index, *Backend, Out);
  CurrentPart.WakeAt = TimePoint::max();
}

void Engine::retryOrFail(TimePoint Now, Call &CurrentCall, uint32_t Index,
                         Actions &Out) {
  Part &CurrentPart = CurrentCall.Parts[Index];
  bool Live =
      std::any_of(CurrentPart.Attempts.begin(), CurrentPart.Attempts.end(),
                  [](const Attempt &Entry) { return Entry.Live; });
  if (Live) {
    return;
  }
  if (this->Links.isLost() && this->tryRelay(Now, CurrentCall, Out)) {
    return;
  }
  bool MayRepeat =
      CurrentCall.MatchedRoute->Idempotent || CurrentPart.PossiblyRun == 0;
  if (!MayRepeat || CurrentPart.Retries >= MaxRetries ||
      looksLikeCrash(CurrentCall) ||
      this->Crashes.isQuarantined(Now, CurrentCall.Content)) {
    CurrentPart.Phase = PartPhase::Failed;
    ++CurrentCall.Failed;
    return;
  }
  ++CurrentPart.Retries;
  CurrentPart.Phase = PartPhase::Waiting;
  CurrentPart.WakeAt = Now;
  if (CurrentPart.Retries > 1) {
    uint32_t Doublings = std::min(CurrentPart.Retries - 2, MaxBackoffDoublings);
    Duration Backoff = RetryBackoff * (1U << Doublings);
    CurrentPart.WakeAt += std::chrono::duration_cast<Duration>(
        Backoff * (0.5 + 0.5 * this->Generator.unit()));
  } else if (CurrentPart.Broken > 0 && CurrentCall.MatchedRoute->fansOut()) {
    CurrentPart.WakeAt += BrokenRetryDelay;
  }
  if (CurrentPart.WakeAt <= Now) {
    this->startAttempt(Now, CurrentCall, Index, Out);
  }
}

void Engine::abandonLiveAttempts(Call &CurrentCall, uint32_t Index,
                                 Actions &Out) {
  Part &CurrentPart = CurrentCall.Parts[Index];
  for (uint32_t I = 0; I < CurrentPart.Attempts.size(); ++I) {
    Attempt &Entry = CurrentPart.Attempts[I];
    if (!Entry.Live) {
      continue;
    }
    Entry.Live = false;
    Out.push_back(
        AbandonAttempt{{CurrentCall.Id.Value, Index, I}, Entry.Server});
  }
}

} // namespace hickorycrank::forward
