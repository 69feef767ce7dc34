#include "forward/cold_state_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::forward {

using base::TimePoint;
using base::toMilliseconds;

namespace {

/** Execution time of a cold server relative to a warm one. */
constexpr double ColdFactor = 1.6;
/** Half-life of the stated execution time, which changes many times a second.
 */
constexpr double WorkHalfLifeMs = 100;
/** Bounds of the stated execution time, as a factor of the usual one. A value
 * outside is taken as the bound: it must neither attract all requests nor
 * exclude a server for longer than a few half-lives. */
constexpr double MinWorkFactor = 0.5;
constexpr double MaxWorkFactor = 5;
constexpr double PercentPerFactor = 100;

TimePoint endOfCold(TimePoint Now, std::chrono::milliseconds Remaining) {
  return Now + std::clamp(Remaining, std::chrono::milliseconds(0), MaxColdTime);
}

} // namespace

bool isCold(TimePoint Now, const Server &Backend) {
  return Now < Backend.ColdUntil;
}

void startCold(TimePoint Now, Server &Backend,
               std::chrono::milliseconds UsualTime) {
  Backend.ColdUntil =
      endOfCold(Now, Backend.Entry.ColdRemaining.value_or(UsualTime));
}

void restateCold(TimePoint Now, Server &Backend, const ServerEntry &Entry) {
  if (!Entry.ColdRemaining ||
      Entry.ColdRemaining == Backend.Entry.ColdRemaining) {
    return;
  }
  TimePoint Until = endOfCold(Now, *Entry.ColdRemaining);
  if (Backend.ColdByReply && Until <= Backend.ColdUntil) {
    return;
  }
  Backend.ColdUntil = Until;
  Backend.ColdByReply = false;
}

void recordCold(TimePoint Now, Server &Backend,
                std::chrono::milliseconds Remaining) {
  Backend.ColdUntil = endOfCold(Now, Remaining);
  Backend.ColdByReply = true;
}

bool isColdLimited(TimePoint Now, const Server &Backend) {
  return Backend.ColdShare && isCold(Now, Backend);
}

TimePoint coldTurnAt(TimePoint Now, const Server &Backend) {
  return isColdLimited(Now, Backend)
             ? std::min(limits::nextColdTurn(*Backend.ColdShare, Now),
                        Backend.ColdUntil)
             : Now;
}

void recordStatedWork(TimePoint Now, Server &Backend,
                      const LoadReport &Report) {
  if (!Report.WorkPercent) {
    return;
  }
  Backend.WorkFactor = std::clamp(*Report.WorkPercent / PercentPerFactor,
                                  MinWorkFactor, MaxWorkFactor);
  Backend.WorkStatedAt = Now;
}

double statedSlowness(TimePoint Now, const Server &Backend) {
  double Slowness = isCold(Now, Backend) ? ColdFactor : 1;
  if (Backend.WorkFactor != 1) {
    double Weight =
        std::exp2(-toMilliseconds(Now - Backend.WorkStatedAt) / WorkHalfLifeMs);
    Slowness *= 1 + (Backend.WorkFactor - 1) * Weight;
  }
  return Slowness;
}

double withoutStatedSlowness(double Ratio, double Slowness, double Current) {
  if (Slowness >= 1) {
    return Ratio <= Current ? Ratio : std::max(Current, Ratio / Slowness);
  }
  return Ratio >= Current ? Ratio : std::min(Current, Ratio / Slowness);
}

} // namespace hickorycrank::forward
