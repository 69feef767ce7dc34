#include "forward/server_speed_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;
using base::toMilliseconds;

namespace {

/** Bounds of the lasting factor. Machines of one service differ by less; a
 * server beyond them is in trouble, which the factor of the moment tells. */
constexpr double MinLasting = 0.6;
constexpr double MaxLasting = 1.6;
/** Relative change of the lasting factor by the first observation and by later
 * ones. */
constexpr double FirstStep = 0.2;
constexpr double LeastStep = 0.02;
/** Number of observations after which the first step has halved. */
constexpr double StepHalving = 4;
/** Half-life of the lasting factor without observations. */
constexpr Duration LastingHalfLife = std::chrono::minutes(2);
/** Weight of an observation in the factor of the moment. */
constexpr double MomentSmoothing = 0.25;
/** Upper bound of a ratio to the lasting factor: a single pause says little. */
constexpr double MaxMoment = 4;
/** Weight and upper bound if an attempt that was sent after a slow reply is
 * slow too: a pause would have ended, so the server itself is slow. */
constexpr double RepeatedSmoothing = 0.5;
constexpr double MaxRepeatedMoment = 16;
/** Ratio to the lasting factor above which a single reply may be due to a
 * pause, and its weight. */
constexpr double OutlierRatio = 2.5;
constexpr double OutlierSmoothing = 0.12;
constexpr double MinMoment = 0.5;
/** Ratio to the lasting factor above which a reply counts as slow. */
constexpr double SlowRatio = 1.8;
/** Bounds of the half-life of the factor of the moment. Within them it is the
 * time for which the server has been slow: a state of the machine that has
 * lasted for some time is expected to last for about as long again. */
constexpr Duration MinMomentHalfLife = std::chrono::milliseconds(300);
constexpr Duration MaxMomentHalfLife = std::chrono::seconds(4);

double decay(double Value, Duration Age, Duration HalfLife) {
  double Weight = std::exp2(-toMilliseconds(Age) / toMilliseconds(HalfLife));
  return 1 + (Value - 1) * Weight;
}

double lastingNow(const ServerSpeed &Speed, TimePoint Now) {
  return decay(Speed.Lasting, Now - Speed.LastingAt, LastingHalfLife);
}

double momentNow(const ServerSpeed &Speed, TimePoint Now) {
  Duration SlowFor = Speed.SlowSince == TimePoint::max()
                         ? Duration::zero()
                         : Speed.MomentAt - Speed.SlowSince;
  return decay(Speed.Moment, Now - Speed.MomentAt,
               std::clamp(SlowFor, MinMomentHalfLife, MaxMomentHalfLife));
}

/** Moves the running median towards an observation by one step at most, so that
 * the size of an outlier does not matter. */
void observeLasting(ServerSpeed &Speed, TimePoint Now, double Ratio) {
  double Current = lastingNow(Speed, Now);
  double Step =
      std::max(LeastStep, FirstStep / (1 + Speed.Observations / StepHalving));
  Current = std::clamp(Ratio, Current / (1 + Step), Current * (1 + Step));
  Speed.Lasting = std::clamp(Current, MinLasting, MaxLasting);
  Speed.LastingAt = Now;
  ++Speed.Observations;
}

void observeMoment(ServerSpeed &Speed, TimePoint Now, double Relative,
                   bool Repeated) {
  double Current = momentNow(Speed, Now);
  // A server that was slow for long is as fast as its latest replies.
  bool Recovered = Relative < SlowRatio && Current > MaxMoment;
  double Weight = Repeated || Recovered     ? RepeatedSmoothing
                  : Relative > OutlierRatio ? OutlierSmoothing
                                            : MomentSmoothing;
  double Bounded =
      std::clamp(Relative, MinMoment, Repeated ? MaxRepeatedMoment : MaxMoment);
  Speed.Moment = Current + Weight * (Bounded - Current);
  Speed.MomentAt = Now;
}

} // namespace

void observeSpeed(ServerSpeed &Speed, TimePoint Now, double Ratio,
                  bool LowerBound, TimePoint SentAt) {
  double Relative = Ratio / lastingNow(Speed, Now);
  double Current = momentNow(Speed, Now);
  if (LowerBound && Relative <= Current) {
    return;
  }
  observeLasting(Speed, Now, Ratio);
  bool Slow = Relative >= SlowRatio;
  bool Repeated = Slow && Speed.SlowReplyAt && SentAt >= *Speed.SlowReplyAt;
  observeMoment(Speed, Now, Relative, Repeated);
  if (!Slow) {
    Speed.SlowSince = TimePoint::max();
    Speed.SlowReplyAt.reset();
    return;
  }
  Speed.SlowSince = std::min(Speed.SlowSince, Now);
  if (Repeated || !Speed.SlowReplyAt) {
    Speed.SlowReplyAt = Now;
  }
}

double currentSlowness(const ServerSpeed &Speed, TimePoint Now) {
  return lastingNow(Speed, Now) * momentNow(Speed, Now);
}

} // namespace hickorycrank::forward
