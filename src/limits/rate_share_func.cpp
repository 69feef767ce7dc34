#include "limits/rate_share_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::limits {

using base::Duration;
using base::TimePoint;

namespace {

/** @return Time between two turns of one instance. */
Duration turnInterval(const RateShare &Share, size_t Instances) {
  double Count = static_cast<double>(std::max<size_t>(1, Instances));
  double Seconds = Count / std::max(Share.PerSecond, MinRatePerSecond);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/** @return Start of the first turn that may still be used. */
TimePoint firstUsableTurn(const RateShare &Share, TimePoint Now,
                          size_t Instances) {
  TimePoint Oldest = Now - SavedTurnTime;
  if (Share.NextTurnAt >= Oldest) {
    return Share.NextTurnAt;
  }
  Duration Interval = std::max(turnInterval(Share, Instances), Duration(1));
  auto Lost = (Oldest - Share.NextTurnAt + Interval - Duration(1)) / Interval;
  return Share.NextTurnAt + Interval * Lost;
}

} // namespace

RateShare startRateShare(TimePoint Now, double PerSecond, size_t Instances,
                         base::Random &Generator) {
  RateShare Share{PerSecond, Now};
  Share.NextTurnAt += std::chrono::duration_cast<Duration>(
      turnInterval(Share, Instances) * Generator.unit());
  return Share;
}

TimePoint nextTurn(const RateShare &Share, TimePoint Now, size_t Instances) {
  return std::max(Now, firstUsableTurn(Share, Now, Instances));
}

void takeTurn(RateShare &Share, TimePoint Now, size_t Instances) {
  Share.NextTurnAt =
      firstUsableTurn(Share, Now, Instances) + turnInterval(Share, Instances);
}

} // namespace hickorycrank::limits
