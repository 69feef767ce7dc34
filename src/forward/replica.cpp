#include "forward/replica_func.h"

#include "forward/cold_state_func.h"
#include "forward/placement_func.h"
#include "forward/server_speed_func.h"
#include "limits/server_memory_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;
using base::toMilliseconds;

namespace {

/** Weight of a new observation in the smoothed success rate. */
constexpr double Smoothing = 0.25;
/** Half-life of the success rate of a server without new observations. */
constexpr double ObservationHalfLifeMs = 4'000;
/** Half-life of a load report; the typical time that a request spends at a
 * server. */
constexpr double LoadHalfLifeMs = 40;
/** Cost of using another failure domain: the network round-trip time, and a
 * factor that keeps traffic local while local servers are about as fast. */
constexpr double OtherDomainMs = 3;
constexpr double OtherDomainFactor = 1.25;
/** A server is considered stalled if an attempt exceeds its typical latency by
 * this factor plus this margin. */
constexpr double StallFactor = 2.5;
constexpr double StallMarginMs = 12;
/** Expected remaining duration of a stall. */
constexpr double RemainingStallMs = 120;
/** Bounds of the time for which a server is avoided after shedding load. */
constexpr Duration MinBusyDuration = std::chrono::milliseconds(60);
constexpr Duration MaxBusyDuration = std::chrono::milliseconds(1'000);
/** Consecutive failures after which a server is ejected; a failed connection
 * ejects it immediately. */
constexpr uint32_t EjectAfterFailures = 3;
/** Duration of the first ejection; doubled for each further failure. */
constexpr Duration FirstEjection = std::chrono::milliseconds(400);
constexpr uint32_t MaxEjectionDoublings = 3;
/** Typical time for a probe to establish a connection. */
constexpr Duration TypicalProbeTime = std::chrono::milliseconds(50);
/** Lower bounds of the success rate and latency factor in the estimates. */
constexpr double MinSuccessRate = 0.05;
constexpr double MinLatencyFactor = 0.3;
/** Weight of the estimated load in the selection cost, in addition to the
 * expected reply time. */
constexpr double LoadCostWeight = 0.1;
/** A queue is long above this number of attempts per slot, running and waiting.
 * With a lower limit, slots might be idle until the next attempt arrives. */
constexpr double LongQueueAttemptsPerSlot = 2;

double decayTowards(double Value, double Neutral, Duration Age) {
  double Weight = std::exp2(-toMilliseconds(Age) / ObservationHalfLifeMs);
  return Neutral + (Value - Neutral) * Weight;
}

/** @return Estimated number of requests at the server, from its load report and
 * this instance's attempts. */
double estimatedLoad(TimePoint Now, const Server &Backend) {
  auto OwnAttempts = static_cast<double>(Backend.Outstanding.size());
  if (!Backend.Load) {
    return OwnAttempts;
  }
  double Reported = Backend.Load->Running + Backend.Load->Waiting;
  double OtherAttempts = std::max(0.0, Reported - Backend.OutstandingAtLoad);
  // The queue of a slow server changes more slowly.
  double HalfLifeMs =
      LoadHalfLifeMs * std::max(1.0, currentSlowness(Backend.Speed, Now));
  double Weight = std::exp2(-toMilliseconds(Now - Backend.LoadAt) / HalfLifeMs);
  return OwnAttempts + OtherAttempts * Weight;
}

/** @return Estimated time to execute one request, without queueing. */
double executionMs(TimePoint Now, const Server &Backend,
                   Duration TypicalLatency) {
  double Result =
      toMilliseconds(TypicalLatency) *
      std::max(MinLatencyFactor, currentSlowness(Backend.Speed, Now));
  return Result * statedSlowness(Now, Backend);
}

double slotCount(const Server &Backend) {
  return std::max(1U, Backend.Entry.Slots);
}

double expectedMs(TimePoint Now, const Server &Backend,
                  Duration TypicalLatency) {
  double ExecutionMs = executionMs(Now, Backend, TypicalLatency);
  double Queued = estimatedLoad(Now, Backend) + 1 - slotCount(Backend);
  double Result =
      ExecutionMs + ExecutionMs * std::max(0.0, Queued) / slotCount(Backend);
  if (isStalled(Now, Backend) || Now < Backend.BusyUntil) {
    Result += RemainingStallMs;
  }
  return Result;
}

double selectionCost(const Server &Backend, const ReplicaCriteria &Criteria) {
  double Cost = expectedMs(Criteria.Now, Backend, Criteria.Expected);
  // The load adds to the cost even while slots are free, because the requests
  // of other instances are only partly known.
  Cost += executionMs(Criteria.Now, Backend, Criteria.Expected) *
          LoadCostWeight * estimatedLoad(Criteria.Now, Backend) /
          slotCount(Backend);
  if (Backend.Entry.Domain != Criteria.Domain) {
    Cost = Cost * OtherDomainFactor + OtherDomainMs;
  }
  Duration Age = Criteria.Now - Backend.ObservedAt;
  double Success =
      std::max(MinSuccessRate, decayTowards(Backend.SuccessRate, 1, Age));
  return Cost / (Success * Success);
}

/** @return Whether the server was ejected and may be tested by one attempt at a
 * time. */
bool onProbation(const Server &Backend) {
  return Backend.EjectedUntil != TimePoint();
}

bool isWithinRateLimit(const Server &Backend, const ReplicaCriteria &Criteria) {
  bool Limited = Backend.RateLimit || isColdLimited(Criteria.Now, Backend);
  if (Limited && Criteria.WithoutRateLimit) {
    return false;
  }
  return acceptsAt(Criteria.Now, Backend, Criteria.Instances) <= Criteria.Now;
}

bool isCandidate(const Server &Backend, const ReplicaCriteria &Criteria) {
  return isUsable(Backend, Criteria.Allowed) &&
         isWithinRateLimit(Backend, Criteria) &&
         Backend.Outstanding.size() < Criteria.MaxOutstanding &&
         hasRoomForBody(Backend, Criteria.BodyBytes, Criteria.MaxBodyBytes) &&
         std::find(Criteria.Avoid.begin(), Criteria.Avoid.end(), Backend.Key) ==
             Criteria.Avoid.end();
}

/** @return Whether the server is preferred: it is reachable and not ejected, or
 * its ejection has ended and it may be tested by one idempotent request at a
 * time. */
bool isHealthy(const Server &Backend, const ReplicaCriteria &Criteria) {
  if (Backend.Unreachable) {
    return false;
  }
  if (!onProbation(Backend)) {
    return true;
  }
  return Criteria.Idempotent && Criteria.Now >= Backend.EjectedUntil &&
         Backend.Outstanding.empty();
}

/** @return Whether a server that the instance is assigned to is available, now
 * or once its attempts have ended. */
bool hasAvailableAssigned(const ServicePool &Pool,
                          const ReplicaCriteria &Criteria) {
  return std::any_of(
      Pool.Servers.begin(), Pool.Servers.end(), [&](const Server *Entry) {
        return Entry->Assigned && isUsable(*Entry, Criteria.Allowed) &&
               !Entry->Unreachable && !onProbation(*Entry) &&
               !isStalled(Criteria.Now, *Entry) &&
               Criteria.Now >= Entry->BusyUntil &&
               isWithinRateLimit(*Entry, Criteria) &&
               std::find(Criteria.Avoid.begin(), Criteria.Avoid.end(),
                         Entry->Key) == Criteria.Avoid.end();
      });
}

void eject(TimePoint Now, Server &Backend) {
  uint32_t Doublings =
      std::min(Backend.Failures, EjectAfterFailures + MaxEjectionDoublings);
  Doublings =
      Doublings > EjectAfterFailures ? Doublings - EjectAfterFailures : 0;
  Backend.EjectedUntil = Now + FirstEjection * (1U << Doublings);
}

void observeOutcome(TimePoint Now, Server &Backend, double Success) {
  Backend.SuccessRate =
      decayTowards(Backend.SuccessRate, 1, Now - Backend.ObservedAt);
  Backend.SuccessRate += Smoothing * (Success - Backend.SuccessRate);
}

void observeLatency(TimePoint Now, Server &Backend,
                    const OutstandingAttempt &Ended, bool LowerBound) {
  double Expected = std::max(0.5, toMilliseconds(Ended.Expected));
  double Ratio = toMilliseconds(Now - Ended.SentAt) / Expected;
  Ratio = withoutStatedSlowness(Ratio, statedSlowness(Now, Backend),
                                currentSlowness(Backend.Speed, Now));
  observeSpeed(Backend.Speed, Now, Ratio, LowerBound, Ended.SentAt);
}

/** @return Time in which the server executes what it has queued. */
Duration emptyingTime(TimePoint Now, const Server &Backend,
                      Duration TypicalLatency) {
  double Rounds = std::ceil(estimatedLoad(Now, Backend) / slotCount(Backend));
  double Ms = executionMs(Now, Backend, TypicalLatency) * Rounds;
  return std::clamp(base::fromMilliseconds(Ms), MinBusyDuration,
                    MaxBusyDuration);
}

} // namespace

TimePoint acceptsAt(TimePoint Now, const Server &Backend, size_t Instances) {
  TimePoint Turn = std::max(coldTurnAt(Now, Backend), Backend.PausedUntil);
  return Backend.RateLimit ? std::max(Turn, limits::nextTurn(*Backend.RateLimit,
                                                             Now, Instances))
                           : Turn;
}

bool hasRoomForBody(const Server &Backend, uint64_t BodyBytes,
                    uint64_t MaxBodyBytes) {
  if (BodyBytes == 0) {
    return true;
  }
  uint64_t Sum = 0;
  for (const OutstandingAttempt &Entry : Backend.Outstanding) {
    Sum += Entry.BodyBytes;
  }
  return limits::fitsAtServer(Sum, BodyBytes, MaxBodyBytes);
}

Duration expectedTime(TimePoint Now, const Server &Backend,
                      Duration TypicalLatency) {
  return base::fromMilliseconds(expectedMs(Now, Backend, TypicalLatency));
}

Duration executionTime(TimePoint Now, const Server &Backend,
                       Duration TypicalLatency) {
  return base::fromMilliseconds(executionMs(Now, Backend, TypicalLatency));
}

Duration queueingTime(TimePoint Now, const Server &Backend,
                      Duration TypicalLatency, double Additional) {
  double Queued =
      estimatedLoad(Now, Backend) + Additional + 1 - slotCount(Backend);
  double ExecutionMs = executionMs(Now, Backend, TypicalLatency);
  return base::fromMilliseconds(ExecutionMs * std::max(0.0, Queued) /
                                slotCount(Backend));
}

bool hasFreeSlot(TimePoint Now, const Server &Backend) {
  return estimatedLoad(Now, Backend) + 1 <= slotCount(Backend);
}

bool hasLongQueue(TimePoint Now, const Server &Backend) {
  return !Backend.Outstanding.empty() &&
         estimatedLoad(Now, Backend) + 1 >
             slotCount(Backend) * LongQueueAttemptsPerSlot;
}

bool isStalled(TimePoint Now, const Server &Backend) {
  if (Backend.Outstanding.empty()) {
    return false;
  }
  double Slowness = std::clamp(currentSlowness(Backend.Speed, Now), 1.0, 3.0);
  return std::any_of(Backend.Outstanding.begin(), Backend.Outstanding.end(),
                     [&](const OutstandingAttempt &Attempt) {
                       double TypicalMs =
                           toMilliseconds(Attempt.Expected) * Slowness;
                       return toMilliseconds(Now - Attempt.SentAt) >
                              TypicalMs * StallFactor + StallMarginMs;
                     });
}

Server *chooseReplica(const ServicePool &Pool, const ReplicaCriteria &Criteria,
                      base::Random &Generator) {
  Server *Best = nullptr;
  double BestCost = 0;
  bool BestHealthy = false;
  uint32_t Ties = 0;
  bool AssignedOnly = hasAvailableAssigned(Pool, Criteria);
  for (Server *Candidate : Pool.Servers) {
    if (!isCandidate(*Candidate, Criteria) ||
        (AssignedOnly && !Candidate->Assigned)) {
      continue;
    }
    bool Healthy = isHealthy(*Candidate, Criteria);
    if (BestHealthy && !Healthy) {
      continue;
    }
    double Cost = selectionCost(*Candidate, Criteria);
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

bool isInUse(TimePoint Now, const Server &Backend) {
  return isUsable(Backend, nullptr) && !Backend.Unreachable &&
         Backend.Assigned && Backend.PausedUntil <= Now;
}

bool hasUsableReplica(const ServicePool &Pool, const DomainFilter &Allowed) {
  return std::any_of(
      Pool.Servers.begin(), Pool.Servers.end(),
      [&](const Server *Entry) { return isUsable(*Entry, Allowed); });
}

std::optional<TimePoint> unreachableUntil(TimePoint Now,
                                          const ServicePool &Pool,
                                          const DomainFilter &Allowed) {
  std::optional<TimePoint> First;
  for (const Server *Entry : Pool.Servers) {
    if (!isUsable(*Entry, Allowed)) {
      continue;
    }
    if (!Entry->Unreachable) {
      return std::nullopt;
    }
    TimePoint Until = std::max(Entry->EjectedUntil, Now + TypicalProbeTime);
    First = First ? std::min(*First, Until) : Until;
  }
  return First;
}

std::optional<TimePoint> rateLimitedUntil(TimePoint Now,
                                          const ServicePool &Pool,
                                          size_t Instances,
                                          const DomainFilter &Allowed) {
  std::optional<TimePoint> First;
  for (const Server *Entry : Pool.Servers) {
    if (!isUsable(*Entry, Allowed) || Entry->Unreachable) {
      continue;
    }
    TimePoint At = acceptsAt(Now, *Entry, Instances);
    if (At <= Now) {
      return std::nullopt;
    }
    First = First ? std::min(*First, At) : At;
  }
  return First;
}

const OutstandingAttempt *findOutstanding(const Server &Backend,
                                          const AttemptRef &Ref) {
  auto Found = std::find_if(
      Backend.Outstanding.begin(), Backend.Outstanding.end(),
      [&](const OutstandingAttempt &Entry) { return Entry.Ref == Ref; });
  return Found == Backend.Outstanding.end() ? nullptr : &*Found;
}

void recordAttemptEnd(TimePoint Now, Server &Backend, const AttemptRef &Ref,
                      AttemptOutcome Outcome) {
  const OutstandingAttempt *Found = findOutstanding(Backend, Ref);
  if (Found == nullptr) {
    return;
  }
  OutstandingAttempt Ended = *Found;
  Backend.Outstanding.erase(Backend.Outstanding.begin() +
                            (Found - Backend.Outstanding.data()));
  if (Outcome != AttemptOutcome::Abandoned) {
    Backend.Unreachable = Outcome == AttemptOutcome::ConnectFailed;
  }
  switch (Outcome) {
  case AttemptOutcome::Succeeded:
    Backend.Unanswered = false;
    observeOutcome(Now, Backend, 1);
    observeLatency(Now, Backend, Ended, false);
    Backend.Failures = 0;
    Backend.EjectedUntil = TimePoint();
    break;
  case AttemptOutcome::Shed:
    Backend.Unanswered = false;
    observeOutcome(Now, Backend, 0);
    Backend.BusyUntil = Now + emptyingTime(Now, Backend, Ended.Expected);
    Backend.EjectedUntil = TimePoint();
    break;
  case AttemptOutcome::Failed:
    observeOutcome(Now, Backend, 0);
    if (++Backend.Failures >= EjectAfterFailures) {
      eject(Now, Backend);
    }
    break;
  case AttemptOutcome::ConnectFailed:
    observeOutcome(Now, Backend, 0);
    ++Backend.Failures;
    eject(Now, Backend);
    break;
  case AttemptOutcome::Abandoned:
    Backend.Unanswered =
        Backend.Unanswered || Now - Ended.SentAt >= OverdueTime;
    observeLatency(Now, Backend, Ended, true);
    break;
  }
  Backend.ObservedAt = Now;
}

void recordProbeResult(TimePoint Now, Server &Backend, bool Reached) {
  Backend.Probing = false;
  if (!Reached) {
    Backend.Unreachable = true;
    ++Backend.Failures;
    eject(Now, Backend);
    return;
  }
  if (Backend.Unreachable) {
    Backend.Unreachable = false;
    Backend.Failures = 0;
    Backend.EjectedUntil = TimePoint();
  }
}

void recordLoad(TimePoint Now, Server &Backend, const LoadReport &Report) {
  Backend.Load = Report;
  Backend.LoadAt = Now;
  Backend.OutstandingAtLoad = static_cast<uint32_t>(Backend.Outstanding.size());
}

} // namespace hickorycrank::forward
