#include "limits/cold_share_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::limits {

using base::Duration;
using base::TimePoint;

namespace {

/** Requests per second if only one request in any second is tolerated; below 1
 * so that no second contains two. */
constexpr double SingleRequestRate = 0.9;
/** Upper bound of the tolerated requests; far above any server's rate, below
 * what a count can hold. */
constexpr double MaxTolerated = 1e9;
/** Longest interval between turns; cold times are much shorter. */
constexpr double MaxIntervalSeconds = 86'400;

/** @return Well-distributed bits of both keys (finaliser of MurmurHash3). */
uint64_t mix(uint64_t Left, uint64_t Right) {
  uint64_t Bits = Left ^ (Right * 0x9e3779b97f4a7c15U);
  Bits = (Bits ^ (Bits >> 33U)) * 0xff51afd7ed558ccdU;
  Bits = (Bits ^ (Bits >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return Bits ^ (Bits >> 33U);
}

Duration fromSeconds(double Seconds) {
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxIntervalSeconds)));
}

/** @return Number of instances that come before this one at a server. */
size_t rankOf(const ColdMembers &Members, uint64_t Server) {
  uint64_t Own = mix(Members.Own, Server);
  auto Before = std::count_if(
      Members.Others.begin(), Members.Others.end(), [&](uint64_t Other) {
        uint64_t Rank = mix(Other, Server);
        return Rank < Own || (Rank == Own && Other < Members.Own);
      });
  return static_cast<size_t>(Before);
}

} // namespace

uint64_t coldKey(std::string_view Name) {
  uint64_t Key = 0xcbf29ce484222325U; // FNV-1a
  for (char Letter : Name) {
    Key = (Key ^ static_cast<unsigned char>(Letter)) * 0x100000001b3U;
  }
  return Key;
}

ColdPlan planColdShare(double PerSecond, const ColdLimits &Limits,
                       size_t Instances) {
  double Tolerated = std::floor(
      std::min(PerSecond * Limits.Overshoot + Limits.Slack, MaxTolerated));
  if (!(PerSecond > 0) || !(Tolerated >= 1)) {
    return {};
  }
  ColdPlan Plan;
  Plan.PerSecond = PerSecond;
  double Spare = Tolerated - PerSecond;
  if (Spare < 1) {
    Plan.Senders = 1;
    double Most = Tolerated < 2 ? SingleRequestRate : Tolerated - 1;
    Plan.PerSecond = std::min(PerSecond, Most);
    return Plan;
  }
  Plan.Senders = std::min(std::max<size_t>(1, Instances),
                          static_cast<size_t>(std::floor(Spare)));
  double Left = Spare - static_cast<double>(Plan.Senders);
  double Saved =
      std::min(Left / PerSecond,
               std::chrono::duration<double>(MaxSavedColdTime).count());
  Plan.SavedTime =
      std::chrono::floor<Duration>(std::chrono::duration<double>(Saved));
  return Plan;
}

void updateColdShare(ColdShare &Share, double PerSecond,
                     const ColdLimits &Limits, const ColdMembers &Members,
                     uint64_t Server) {
  ColdPlan Plan = planColdShare(PerSecond, Limits, Members.Others.size() + 1);
  Share.Sends = Members.Settled && rankOf(Members, Server) < Plan.Senders;
  if (Plan.Senders == 0) {
    return;
  }
  Duration Interval =
      fromSeconds(static_cast<double>(Plan.Senders) / Plan.PerSecond);
  // The turn after the last request moves with the interval.
  if (Share.NextTurnAt != TimePoint() && Interval > Share.Interval) {
    Share.NextTurnAt += Interval - Share.Interval;
  }
  Share.Interval = Interval;
  Share.SavedTime = Plan.SavedTime;
}

TimePoint nextColdTurn(const ColdShare &Share, TimePoint Now) {
  return Share.Sends ? std::max(Now, Share.NextTurnAt) : TimePoint::max();
}

void takeColdTurn(ColdShare &Share, TimePoint Now) {
  Share.NextTurnAt =
      std::max(Share.NextTurnAt, Now - Share.SavedTime) + Share.Interval;
}

} // namespace hickorycrank::limits
