#include "forward/replica_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;
using base::toMilliseconds;

namespace {

/** Weight of a new observation of latency or success. */
constexpr double Smoothing = 0.25;
/** Weight of a latency that a pause may explain, and the largest ratio that
 * counts: a single pause says little about a server's speed. */
constexpr double OutlierSmoothing = 0.12;
constexpr double MaxRatio = 4;
/** Time in which half of what was observed of an idle server is forgotten. */
constexpr double ForgetHalfLifeMs = 4'000;
/** Time in which a load report loses half of its weight; the usual lifetime of
 * a request at a server. */
constexpr double LoadHalfLifeMs = 40;
/** Cost of another failure domain: the two-way delay, and a factor that keeps
 * traffic local while local servers are about as fast. */
constexpr double OtherDomainMs = 3;
constexpr double OtherDomainFactor = 1.25;
/** Factor on the latency of a server that has just started. */
constexpr double ColdFactor = 1.6;
/** An attempt that takes this many times its usual latency, and at least this
 * much longer, shows a stalled server. */
constexpr double StallFactor = 2.5;
constexpr double StallMarginMs = 12;
/** Expected rest of a stall. */
constexpr double StallRestMs = 120;
/** Time that a server which shed load is avoided. */
constexpr Duration BusyTime = std::chrono::milliseconds(60);
/** Failures in a row that eject a server; a refused connection ejects at once.
 */
constexpr uint32_t EjectAfter = 3;
constexpr Duration FirstEjection = std::chrono::milliseconds(400);
constexpr uint32_t MaxEjectionDoublings = 3;
/** Usual time for a probe to open a connection. */
constexpr Duration ProbeTime = std::chrono::milliseconds(50);
constexpr double MinSuccess = 0.05;
constexpr double MinSlowness = 0.3;
/** Share of the wait for a slot that counts while slots are still free. */
constexpr double EarlyWaitShare = 0.1;
/** Attempts a slot, running and waiting, from which on a queue is long: a
 * shorter one may leave slots idle until the next attempt arrives. */
constexpr double LongQueueRounds = 2;

double fade(double Value, double Neutral, Duration Age) {
  double Weight = std::exp2(-toMilliseconds(Age) / ForgetHalfLifeMs);
  return Neutral + (Value - Neutral) * Weight;
}

/** @return Requests at the server, from its report and from own attempts. */
double estimatedLoad(TimePoint Now, const Server &Target) {
  auto Own = static_cast<double>(Target.Outstanding.size());
  if (!Target.Load) {
    return Own;
  }
  double Reported = Target.Load->Running + Target.Load->Waiting;
  double Others = std::max(0.0, Reported - Target.OutstandingAtLoad);
  double Weight =
      std::exp2(-toMilliseconds(Now - Target.LoadAt) / LoadHalfLifeMs);
  return Own + Others * Weight;
}

double serviceMs(TimePoint Now, const Server &Target, Duration Usual) {
  Duration Age = Now - Target.ObservedAt;
  double Result = toMilliseconds(Usual) *
                  std::max(MinSlowness, fade(Target.Slowness, 1, Age));
  return Now < Target.ColdUntil ? Result * ColdFactor : Result;
}

double slots(const Server &Target) { return std::max(1U, Target.Entry.Slots); }

double expectedMs(TimePoint Now, const Server &Target, Duration Usual) {
  double Service = serviceMs(Now, Target, Usual);
  double Queued = estimatedLoad(Now, Target) + 1 - slots(Target);
  double Result = Service + Service * std::max(0.0, Queued) / slots(Target);
  if (isStalled(Now, Target) || Now < Target.BusyUntil) {
    Result += StallRestMs;
  }
  return Result;
}

double expectedCost(const Server &Target, const ReplicaRequest &Wanted) {
  double Cost = expectedMs(Wanted.Now, Target, Wanted.Expected);
  // A part of the wait counts before the slots are full, because the requests
  // of other instances are known only in part.
  Cost += serviceMs(Wanted.Now, Target, Wanted.Expected) * EarlyWaitShare *
          estimatedLoad(Wanted.Now, Target) / slots(Target);
  if (Target.Entry.Domain != Wanted.Domain) {
    Cost = Cost * OtherDomainFactor + OtherDomainMs;
  }
  Duration Age = Wanted.Now - Target.ObservedAt;
  double Success = std::max(MinSuccess, fade(Target.Success, 1, Age));
  return Cost / (Success * Success);
}

bool isUsable(const Server &Target) {
  return !Target.Entry.Leaving && !Target.Misdirected;
}

/** @return Whether one attempt at a time tests a server that failed. */
bool onProbation(const Server &Target) {
  return Target.EjectedUntil != TimePoint();
}

bool isCandidate(const Server &Target, const ReplicaRequest &Wanted) {
  return isUsable(Target) &&
         Target.Outstanding.size() < Wanted.MaxOutstanding &&
         std::find(Wanted.Avoid.begin(), Wanted.Avoid.end(), Target.Key) ==
             Wanted.Avoid.end();
}

bool isHealthy(const Server &Target, const ReplicaRequest &Wanted) {
  if (Target.Unreachable) {
    return false;
  }
  if (!onProbation(Target)) {
    return true;
  }
  return Wanted.Idempotent && Wanted.Now >= Target.EjectedUntil &&
         Target.Outstanding.empty();
}

void eject(TimePoint Now, Server &Target) {
  uint32_t Doublings =
      std::min(Target.Failures, EjectAfter + MaxEjectionDoublings);
  Doublings = Doublings > EjectAfter ? Doublings - EjectAfter : 0;
  Target.EjectedUntil = Now + FirstEjection * (1U << Doublings);
}

void observe(TimePoint Now, Server &Target, double Success) {
  Target.Success = fade(Target.Success, 1, Now - Target.ObservedAt);
  Target.Success += Smoothing * (Success - Target.Success);
}

void observeLatency(TimePoint Now, Server &Target,
                    const OutstandingAttempt &Ended, bool LowerBound) {
  double Expected = std::max(0.5, toMilliseconds(Ended.Expected));
  double Ratio = toMilliseconds(Now - Ended.SentAt) / Expected;
  double Known = fade(Target.Slowness, 1, Now - Target.ObservedAt);
  if (LowerBound && Ratio <= Known) {
    return;
  }
  double Weight = Ratio > StallFactor ? OutlierSmoothing : Smoothing;
  Target.Slowness = Known + Weight * (std::min(Ratio, MaxRatio) - Known);
}

} // namespace

Duration expectedTime(TimePoint Now, const Server &Target, Duration Usual) {
  return base::fromMilliseconds(expectedMs(Now, Target, Usual));
}

bool hasFreeSlot(TimePoint Now, const Server &Target) {
  return estimatedLoad(Now, Target) + 1 <= slots(Target);
}

bool hasLongQueue(TimePoint Now, const Server &Target) {
  return !Target.Outstanding.empty() &&
         estimatedLoad(Now, Target) + 1 > slots(Target) * LongQueueRounds;
}

bool isStalled(TimePoint Now, const Server &Target) {
  for (const OutstandingAttempt &Attempt : Target.Outstanding) {
    double Usual = toMilliseconds(Attempt.Expected) *
                   std::clamp(Target.Slowness, 1.0, 3.0);
    if (toMilliseconds(Now - Attempt.SentAt) >
        Usual * StallFactor + StallMarginMs) {
      return true;
    }
  }
  return false;
}

Server *chooseReplica(const ServicePool &Pool, const ReplicaRequest &Wanted,
                      base::Random &Generator) {
  Server *Best = nullptr;
  double BestCost = 0;
  bool BestHealthy = false;
  uint32_t Ties = 0;
  for (Server *Candidate : Pool.Servers) {
    if (!isCandidate(*Candidate, Wanted)) {
      continue;
    }
    bool Healthy = isHealthy(*Candidate, Wanted);
    if (BestHealthy && !Healthy) {
      continue;
    }
    double Cost = expectedCost(*Candidate, Wanted);
    if (Best == nullptr || (Healthy && !BestHealthy) || Cost < BestCost) {
      Best = Candidate;
      BestCost = Cost;
      BestHealthy = Healthy;
      Ties = 1;
      continue;
    }
    if (Cost == BestCost && Generator.below(++Ties) == 0) {
      Best = Candidate;
    }
  }
  return Best;
}

bool hasUsableReplica(const ServicePool &Pool) {
  return std::any_of(Pool.Servers.begin(), Pool.Servers.end(),
                     [](const Server *Entry) { return isUsable(*Entry); });
}

std::optional<TimePoint> unreachableUntil(TimePoint Now,
                                          const ServicePool &Pool) {
  std::optional<TimePoint> First;
  for (const Server *Entry : Pool.Servers) {
    if (!isUsable(*Entry)) {
      continue;
    }
    if (!Entry->Unreachable) {
      return std::nullopt;
    }
    TimePoint Until = std::max(Entry->EjectedUntil, Now + ProbeTime);
    First = First ? std::min(*First, Until) : Until;
  }
  return First;
}

void settleAttempt(TimePoint Now, Server &Target, const AttemptRef &Ref,
                   AttemptOutcome Outcome) {
  auto Found = std::find_if(
      Target.Outstanding.begin(), Target.Outstanding.end(),
      [&](const OutstandingAttempt &Entry) { return Entry.Ref == Ref; });
  if (Found == Target.Outstanding.end()) {
    return;
  }
  OutstandingAttempt Ended = *Found;
  Target.Outstanding.erase(Found);
  if (Outcome != AttemptOutcome::Abandoned) {
    Target.Unreachable = Outcome == AttemptOutcome::ConnectFailed;
  }
  switch (Outcome) {
  case AttemptOutcome::Succeeded:
    observe(Now, Target, 1);
    observeLatency(Now, Target, Ended, false);
    Target.Failures = 0;
    Target.EjectedUntil = TimePoint();
    break;
  case AttemptOutcome::Shed:
    observe(Now, Target, 0);
    Target.BusyUntil = Now + BusyTime;
    Target.EjectedUntil = TimePoint();
    break;
  case AttemptOutcome::Failed:
    observe(Now, Target, 0);
    if (++Target.Failures >= EjectAfter) {
      eject(Now, Target);
    }
    break;
  case AttemptOutcome::ConnectFailed:
    observe(Now, Target, 0);
    ++Target.Failures;
    eject(Now, Target);
    break;
  case AttemptOutcome::Abandoned:
    observeLatency(Now, Target, Ended, true);
    break;
  }
  Target.ObservedAt = Now;
}

void settleProbe(TimePoint Now, Server &Target, bool Reached) {
  Target.Probing = false;
  if (!Reached) {
    Target.Unreachable = true;
    ++Target.Failures;
    eject(Now, Target);
    return;
  }
  if (Target.Unreachable) {
    Target.Unreachable = false;
    Target.Failures = 0;
    Target.EjectedUntil = TimePoint();
  }
}

void recordLoad(TimePoint Now, Server &Target, const LoadReport &Report) {
  Target.Load = Report;
  Target.LoadAt = Now;
  Target.OutstandingAtLoad = static_cast<uint32_t>(Target.Outstanding.size());
}

} // namespace hickorycrank::forward
