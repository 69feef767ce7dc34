#include "forward/engine_base.h"
#include "forward/replica_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Delay of a hedge relative to the usual latency: few replies but those of
 * paused or slow servers take longer. */
constexpr double HedgeFactor = 2.0;
/** Bounds of the delay of a hedge, as shares of the route's target. */
constexpr double MinHedgeShare = 0.12;
constexpr double MaxHedgeShare = 0.4;
/** Usual latency of a route before any reply, as a share of its target. */
constexpr double AssumedLatencyShare = 0.2;
/** Pause before a part looks for a free server again. */
constexpr Duration BusyPause = std::chrono::milliseconds(5);
/** Longest time for which the first attempt of a deferrable request waits
 * here rather than in a server's queue, as a share of its target. */
constexpr double MaxDeferShare = 0.25;
/** Pause before a deferred part looks at the queues again; a fifth of the
 * usual time that an attempt of such a request takes. */
constexpr Duration DeferPause = std::chrono::milliseconds(4);
/** Pause before a part that the budget holds back asks again. */
constexpr Duration BudgetPause = std::chrono::milliseconds(50);
/** Pause before a broken attempt is repeated. A request that crashes servers
 * breaks its other attempts within this time. */
constexpr Duration BrokenPause = std::chrono::milliseconds(6);
/** Pause before the second retry; doubles with each further one. */
constexpr Duration RetryPause = std::chrono::milliseconds(20);
constexpr uint32_t MaxRetryDoublings = 5;
/** Retries of a part beyond its first attempts. */
constexpr uint32_t MaxRetries = 4;
/** Share of the shards whose attempts broke at which a call is taken for one
 * that crashes servers and is not sent again. */
constexpr double CrashShare = 0.5;
constexpr size_t MinCrashShards = 4;
/** Connections that are left for others, such as an instance just started. */
constexpr double ConnectionReserve = 0.9;

/** Servers drop a fan-out's part that waits for longer than this many targets:
 * by then the answer has usually left without it. */
constexpr int PartTimeFactor = 2;
/** Least time that a server is given for a part. */
constexpr Duration MinPartTime = std::chrono::milliseconds(100);

/** @return Whether so many parts broke that the request itself is suspect. */
bool looksLikeCrash(const Call &Owner) {
  auto Broken =
      std::count_if(Owner.Parts.begin(), Owner.Parts.end(),
                    [](const Part &Entry) { return Entry.Broken > 0; });
  auto Count = static_cast<size_t>(Broken);
  return Count >= MinCrashShards &&
         static_cast<double>(Count) >=
             CrashShare * static_cast<double>(Owner.Parts.size());
}

} // namespace

Duration Engine::usualLatency(const Route &Source) {
  auto Default =
      std::chrono::duration_cast<Duration>(Source.Target * AssumedLatencyShare);
  return this->Latencies[Source.Name].quantile(0.5, Default);
}

Duration Engine::hedgeDelay(const Route &Source) {
  auto Usual = std::chrono::duration_cast<Duration>(this->usualLatency(Source) *
                                                    HedgeFactor);
  auto Least =
      std::chrono::duration_cast<Duration>(Source.Target * MinHedgeShare);
  auto Most =
      std::chrono::duration_cast<Duration>(Source.Target * MaxHedgeShare);
  return std::clamp(Usual, Least, Most);
}

uint32_t Engine::maxOutstanding(const ServicePool &Pool) const {
  double Share = Pool.MaxConnections * ConnectionReserve /
                 static_cast<double>(this->Instances);
  return std::max(1U, static_cast<uint32_t>(Share));
}

uint32_t Engine::connectionShare(ServerKey Key) {
  Server *Target = this->Servers.find(Key);
  return Target == nullptr
             ? 1
             : this->maxOutstanding(this->Servers.pool(Target->Entry.Service));
}

Duration Engine::timeForServer(TimePoint Now, const Call &Owner) const {
  Duration Left = Owner.Deadline - Now;
  if (!Owner.Source->fansOut()) {
    return Left;
  }
  TimePoint Useful = Owner.ArrivedAt + Owner.Source->Target * PartTimeFactor;
  return Useful - Now >= MinPartTime ? std::min(Left, Useful - Now) : Left;
}

Server *Engine::choose(TimePoint Now, const Call &Owner, const Part &Target,
                       bool AvoidTried) {
  boost::container::small_vector<ServerKey, 4> Tried;
  if (AvoidTried) {
    for (const Attempt &Entry : Target.Attempts) {
      Tried.push_back(Entry.Server);
    }
  }
  ReplicaRequest Wanted;
  Wanted.Now = Now;
  Wanted.Expected = this->usualLatency(*Owner.Source);
  Wanted.Domain = this->Options.Domain;
  Wanted.MaxOutstanding = this->maxOutstanding(*Target.Pool);
  Wanted.Avoid = {Tried.data(), Tried.size()};
  Wanted.Idempotent = Owner.Source->Idempotent;
  return chooseReplica(*Target.Pool, Wanted, this->Generator);
}

bool Engine::shouldDefer(TimePoint Now, const Call &Owner, const Server &To) {
  auto Longest = std::chrono::duration_cast<Duration>(Owner.Source->Target *
                                                      MaxDeferShare);
  return Owner.Deferrable && Now - Owner.ArrivedAt < Longest &&
         hasLongQueue(Now, To);
}

void Engine::startAttempt(TimePoint Now, Call &Owner, uint32_t Index,
                          Actions &Out) {
  Part &Target = Owner.Parts[Index];
  Server *To = nullptr;
  if (Target.Distinct < Owner.Source->MaxAttempts) {
    To = this->choose(Now, Owner, Target, true);
    if (To == nullptr) {
      To = this->choose(Now, Owner, Target, false);
    }
  } else {
    for (const Attempt &Entry : Target.Attempts) {
      Server *Tried = this->Servers.find(Entry.Server);
      if (Tried != nullptr && !Tried->Entry.Leaving && !Tried->Misdirected) {
        To = Tried;
      }
    }
  }
  if (To == nullptr) {
    bool Possible = Target.Distinct < Owner.Source->MaxAttempts &&
                    hasUsableReplica(*Target.Pool);
    if (!Possible) {
      Target.Phase = PartPhase::Failed;
      ++Owner.Failed;
      return;
    }
    Target.WakeAt = Now + BusyPause;
    return;
  }
  if (Target.Arrivals == 0 && shouldDefer(Now, Owner, *To)) {
    this->Counters.Deferred += Target.WakeAt == TimePoint() ? 1 : 0;
    Target.WakeAt = Now + DeferPause;
    return;
  }
  if (Target.Arrivals > 0) {
    if (!Target.Pool->Budget.tryTake(limits::ExtraAttemptKind::Retry,
                                     this->Options.Extra, this->Instances,
                                     Now)) {
      ++this->Counters.RetriesDenied;
      Target.WakeAt = Now + BudgetPause;
      return;
    }
    ++this->Counters.Retries;
  }
  this->send(Now, Owner, Index, *To, Out);
}

void Engine::send(TimePoint Now, Call &Owner, uint32_t Index, Server &To,
                  Actions &Out) {
  Part &Target = Owner.Parts[Index];
  bool New = std::none_of(
      Target.Attempts.begin(), Target.Attempts.end(),
      [&](const Attempt &Entry) { return Entry.Server == To.Key; });
  AttemptRef Ref{Owner.Id.Value, Index,
                 static_cast<uint32_t>(Target.Attempts.size())};
  Target.Attempts.push_back({To.Key, Now, true});
  Target.Distinct += New ? 1 : 0;
  ++Target.Arrivals;
  ++Target.PossiblyRun;
  Target.Phase = PartPhase::InFlight;
  Target.WakeAt = Now + this->hedgeDelay(*Owner.Source);
  To.Outstanding.push_back({Ref, Now, this->usualLatency(*Owner.Source)});
  ++this->Counters.Attempts;
  Out.push_back(SendAttempt{Ref, To.Key, To.Entry.Id, To.Entry.Address,
                            this->timeForServer(Now, Owner),
                            Owner.Source->Idempotent});
}

void Engine::hedge(TimePoint Now, Call &Owner, uint32_t Index, Actions &Out) {
  Part &Target = Owner.Parts[Index];
  if (!Owner.Source->Idempotent || Target.Hedged ||
      Target.Distinct >= Owner.Source->MaxAttempts || looksLikeCrash(Owner) ||
      this->Crashes.isQuarantined(Now, Owner.Content)) {
    Target.WakeAt = TimePoint::max();
    return;
  }
  Server *To = this->choose(Now, Owner, Target, true);
  // A hedge that has to queue only adds to the load that made the first late.
  if (To == nullptr || isStalled(Now, *To) || !hasFreeSlot(Now, *To)) {
    Target.WakeAt = Now + BusyPause;
    return;
  }
  if (!Target.Pool->Budget.tryTake(limits::ExtraAttemptKind::Hedge,
                                   this->Options.Extra, this->Instances, Now)) {
    ++this->Counters.HedgesDenied;
    Target.WakeAt = Now + BudgetPause;
    return;
  }
  ++this->Counters.Hedges;
  Target.Hedged = true;
  this->send(Now, Owner, Index, *To, Out);
  Target.WakeAt = TimePoint::max();
}

void Engine::retryOrFail(TimePoint Now, Call &Owner, uint32_t Index,
                         Actions &Out) {
  Part &Target = Owner.Parts[Index];
  bool Live = std::any_of(Target.Attempts.begin(), Target.Attempts.end(),
                          [](const Attempt &Entry) { return Entry.Live; });
  if (Live) {
    return;
  }
  bool MayRepeat = Owner.Source->Idempotent || Target.PossiblyRun == 0;
  if (!MayRepeat || Target.Retries >= MaxRetries || looksLikeCrash(Owner) ||
      this->Crashes.isQuarantined(Now, Owner.Content)) {
    Target.Phase = PartPhase::Failed;
    ++Owner.Failed;
    return;
  }
  ++Target.Retries;
  Target.Phase = PartPhase::Waiting;
  Target.WakeAt = Now;
  if (Target.Retries > 1) {
    uint32_t Doublings = std::min(Target.Retries - 2, MaxRetryDoublings);
    Duration Pause = RetryPause * (1U << Doublings);
    Target.WakeAt += std::chrono::duration_cast<Duration>(
        Pause * (0.5 + 0.5 * this->Generator.unit()));
  } else if (Target.Broken > 0 && Owner.Source->fansOut()) {
    Target.WakeAt += BrokenPause;
  }
  if (Target.WakeAt <= Now) {
    this->startAttempt(Now, Owner, Index, Out);
  }
}

void Engine::abandonLive(Call &Owner, uint32_t Index, Actions &Out) {
  Part &Target = Owner.Parts[Index];
  for (uint32_t I = 0; I < Target.Attempts.size(); ++I) {
    Attempt &Entry = Target.Attempts[I];
    if (!Entry.Live) {
      continue;
    }
    Entry.Live = false;
    Out.push_back(AbandonAttempt{{Owner.Id.Value, Index, I}, Entry.Server});
  }
}

} // namespace hickorycrank::forward
