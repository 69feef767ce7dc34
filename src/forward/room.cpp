#include "forward/replica_func.h"
#include "forward/room_func.h"

#include <algorithm>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Fraction of their target within which the expected time of more urgent
 * requests must stay; the rest allows for errors of the estimate. */
constexpr double UrgentTargetShare = 0.85;
/** Bounds of the time until a caller may send a refused request again. */
constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(2'000);
/** Minimum interval over which refused callers return, as a fraction of the
 * target latency. */
constexpr double MinSpreadShare = 0.25;

} // namespace

limits::ServicePace estimatePace(TimePoint Now, const ServicePool &Pool,
                                 Duration TypicalLatency) {
  limits::ServicePace Pace;
  Pace.Execution = Duration::max();
  double EndsPerMs = 0;
  for (const Server *Entry : Pool.Servers) {
    if (!isInUse(Now, *Entry)) {
      continue;
    }
    Duration Expected = expectedTime(Now, *Entry, TypicalLatency);
    Pace.Execution = std::min(Pace.Execution, Expected);
    EndsPerMs += static_cast<double>(Entry->Outstanding.size()) /
                 std::max(1e-3, base::toMilliseconds(Expected));
  }
  if (Pace.Execution == Duration::max()) {
    Pace.Execution = TypicalLatency;
  }
  Pace.Interval =
      EndsPerMs > 0 ? base::fromMilliseconds(1 / EndsPerMs) : Pace.Execution;
  return Pace;
}

Duration expectedTimeInQueue(const limits::ServicePace &Pace, size_t Ahead) {
  return Pace.Execution + Pace.Interval * static_cast<int64_t>(Ahead + 1);
}

bool isPressed(TimePoint Now, const ServicePool &Pool, Duration TypicalLatency,
               const UrgentDemand &Urgent) {
  double LimitMs = base::toMilliseconds(Urgent.Target) * UrgentTargetShare;
  auto Servers = static_cast<double>(std::count_if(
      Pool.Servers.begin(), Pool.Servers.end(),
      [Now](const Server *Entry) { return isInUse(Now, *Entry); }));
  bool AnyCapable = false;
  for (const Server *Entry : Pool.Servers) {
    if (!isInUse(Now, *Entry)) {
      continue;
    }
    double ExecutionMs =
        base::toMilliseconds(executionTime(Now, *Entry, Urgent.Typical));
    AnyCapable = AnyCapable || ExecutionMs <= LimitMs;
    // Other instances send parts of such requests to the other servers.
    double Additional =
        1 + Urgent.FleetPerSecond * ExecutionMs / (1'000 * Servers);
    Duration Wait = queueingTime(Now, *Entry, TypicalLatency, Additional);
    if (ExecutionMs + base::toMilliseconds(Wait) <= LimitMs) {
      return false;
    }
  }
  return AnyCapable;
}

Duration returnTime(TimePoint Now, const limits::RouteDemand &Demand) {
  double Refused = limits::perSecond(Demand.Refused, Now);
  double Admitted =
      std::max(1.0, limits::perSecond(Demand.Offered, Now) - Refused);
  return std::chrono::duration_cast<Duration>(limits::RateTimeConstant *
                                              (Refused / Admitted));
}

std::chrono::milliseconds chooseRetryAfter(Duration RoomIn, Duration Target,
                                           base::Random &Generator) {
  RoomIn = std::clamp(RoomIn, MinRetryAfter, MaxRetryAfter);
  double SpreadMs = std::max(base::toMilliseconds(RoomIn),
                             base::toMilliseconds(Target) * MinSpreadShare);
  Duration Wait = RoomIn + base::fromMilliseconds(SpreadMs * Generator.unit());
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

} // namespace hickorycrank::forward
