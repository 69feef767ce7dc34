#include "routing/server_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::routing {

using base::Duration;
using base::TimePoint;

namespace {

/** Weight of one observation in the moving averages of latency and success
 * rate. */
constexpr double Smoothing = 0.1;
constexpr double ShedDecreaseFactor = 0.7;

/** Below this success rate two consecutive failures are enough for an ejection.
 */
constexpr double MinSuccessRate = 0.3;

/** Below this mean success rate the failure is the service's, not single
 * servers'. */
constexpr double MinServiceSuccessRate = 0.5;

/**
 * Tells whether the service as a whole is healthy. If most servers fail,
 * ejecting some of them does not help and delays the recovery.
 * @param Servers Directory.
 * @return Whether the mean success rate of live servers is high enough.
 */
bool isServiceHealthy(const Directory &Servers) {
  double Sum = 0;
  double Count = 0;
  for (const ServerState &Server : Servers.servers()) {
    if (Server.Phase == ServerPhase::Live) {
      Sum += Server.SuccessRate;
      Count += 1;
    }
  }
  return Sum >= MinServiceSuccessRate * Count;
}

/**
 * Tells whether enough replicas of each shard remain if one more server is
 * ejected.
 * @param Servers Directory.
 * @param Index Server to eject.
 * @param Now Current time.
 * @return Whether at most a third of each shard's replicas would be unusable.
 */
bool ejectionKeepsReplicas(const Directory &Servers, base::ServerIndex Index,
                           TimePoint Now) {
  for (const VersionReport &Holding : Servers.at(Index).Versions) {
    auto Version = Servers.versions().find(Holding.ShardLayout->Version);
    if (Version == Servers.versions().end()) {
      continue;
    }
    for (base::ShardIndex Shard : Holding.Holds) {
      const auto &Holders = Version->second.Holders[Shard.Value];
      size_t Lost = 1;
      for (base::ServerIndex Other : Holders) {
        if (Other != Index && !isUsable(Servers.at(Other), Now)) {
          ++Lost;
        }
      }
      if (Lost * 3 > Holders.size()) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

void recordOutcome(ServerState &Server, Outcome Result, Duration Latency,
                   TimePoint Now) {
  bool Success = Result == Outcome::Success;
  Server.SuccessRate +=
      Smoothing * ((Success ? 1.0 : 0.0) - Server.SuccessRate);
  if (!Success) {
    // Load shedding is not a fault of the server.
    Server.ConsecutiveFailures += Result == Outcome::Failure ? 1 : 0;
    return;
  }
  Server.ConsecutiveFailures = 0;
  Server.Ejections = 0;
  Server.ObservedAt = Now;
  double Observed = base::toMilliseconds(Latency);
  if (Server.Latency == 0) {
    Server.Latency = Observed;
  } else {
    Server.Latency += Smoothing * (Observed - Server.Latency);
  }
}

void recordCancelled(ServerState &Server, Duration Waited, TimePoint Now) {
  Server.ObservedAt = Now;
  Server.Latency += Smoothing * base::toMilliseconds(Waited);
}

void adaptLimit(ServerState &Server, Outcome Result, double Share) {
  if (Result == Outcome::Shed) {
    Server.Limit *= ShedDecreaseFactor;
  } else if (Result == Outcome::Success) {
    // Success below the limit does not show that a higher limit is safe.
    bool InUse = static_cast<double>(Server.Outstanding) + 1 >= Server.Limit;
    Server.Limit += InUse ? 1.0 / Server.Limit : 0;
  }
  Server.Limit = std::clamp(Server.Limit, 1.0, std::max(1.0, Share));
}

bool ejectIfFailing(Directory &Servers, base::ServerIndex Index,
                    TimePoint Now) {
  const Policy &Rules = Servers.policy();
  ServerState &Server = Servers.at(Index);
  bool Failing =
      Server.ConsecutiveFailures >= Rules.EjectAfter ||
      (Server.SuccessRate < MinSuccessRate && Server.ConsecutiveFailures > 1);
  if (!Rules.Ejection || !Failing || !isUsable(Server, Now) ||
      !isServiceHealthy(Servers) ||
      !ejectionKeepsReplicas(Servers, Index, Now)) {
    return false;
  }
  Duration Span = Rules.EjectTime;
  for (uint32_t I = 0; I < Server.Ejections && Span < Rules.MaxEjectTime; ++I) {
    Span *= 2;
  }
  Server.EjectedUntil = Now + std::min(Span, Rules.MaxEjectTime);
  Server.RampStartedAt = Server.EjectedUntil;
  Server.ConsecutiveFailures = 0;
  ++Server.Ejections;
  return true;
}

double rampWeight(const ServerState &Server, const Policy &Rules,
                  TimePoint Now) {
  if (Now >= Server.RampStartedAt + Rules.RampDuration) {
    return 1;
  }
  double Done = base::toMilliseconds(Now - Server.RampStartedAt) /
                base::toMilliseconds(Rules.RampDuration);
  return Rules.InitialRampWeight +
         (1 - Rules.InitialRampWeight) * std::max(0.0, Done);
}

double expectedCost(const ServerState &Server, const Policy &Rules,
                    double TypicalLatency, TimePoint Now) {
  double Latency = TypicalLatency;
  if (Server.Latency > 0) {
    double Age = base::toMilliseconds(Now - Server.ObservedAt) /
                 base::toMilliseconds(Rules.LatencyHalfLife);
    Latency += (Server.Latency - TypicalLatency) * std::exp2(-Age);
  }
  double Success = std::max(Server.SuccessRate, 0.05);
  if (Success < 1) {
    // Fast failures must not lower the cost of a server.
    Latency =
        std::max(Latency, TypicalLatency * (1 - Success) + Latency * Success);
  }
  double Cost = (Server.Outstanding + 1.0) * Latency / (Success * Success);
  Cost /= rampWeight(Server, Rules, Now);
  if (Rules.UseReports) {
    double Age = base::toMilliseconds(Now - Server.ReportedAt) /
                 base::toMilliseconds(Rules.ReportHalfLife);
    double Load = std::clamp(Server.ReportedLoad, 0.0, 1.0);
    Cost *= 1 + Rules.ReportInfluence * (2 * Load - 1) * std::exp2(-Age);
  }
  return Cost;
}

bool isUsable(const ServerState &Server, TimePoint Now) {
  return Server.Phase == ServerPhase::Live && Now >= Server.EjectedUntil &&
         Now >= Server.ShedUntil;
}

bool hasCapacity(const ServerState &Server, const Policy &Rules,
                 TimePoint Now) {
  if (!isUsable(Server, Now) || Server.ReservedFor) {
    return false;
  }
  return !Rules.ConcurrencyLimit ||
         Server.Outstanding + 1.0 <= std::floor(Server.Limit);
}

} // namespace hickorycrank::routing
