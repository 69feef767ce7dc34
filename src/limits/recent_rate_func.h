#ifndef HICKORYCRANK_LIMITS_RECENT_RATE_FUNC_H
#define HICKORYCRANK_LIMITS_RECENT_RATE_FUNC_H

#include "base/time_type.h"

#include <cmath>

namespace hickorycrank::limits {

/** Time constant of a recent rate. It follows a burst of some seconds and does
 * not count a single request for long. */
inline constexpr base::Duration RateTimeConstant = std::chrono::seconds(1);

/** Rate of events, weighted by their age. */
struct RecentRate {
  double PerSecond = 0; ///< At the time of the last event.
  base::TimePoint At;   ///< Time of the last event.
};

/**
 * Returns a rate at a later time.
 * @param Rate The rate.
 * @param Now Current time.
 * @return Events per second.
 */
inline double perSecond(const RecentRate &Rate, base::TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Rate.At).count();
  double Constant = std::chrono::duration<double>(RateTimeConstant).count();
  return Rate.PerSecond * std::exp(-Age / Constant);
}

/**
 * Counts an event.
 * @param Rate The rate.
 * @param Now Current time.
 */
inline void recordEvent(RecentRate &Rate, base::TimePoint Now) {
  double Constant = std::chrono::duration<double>(RateTimeConstant).count();
  Rate.PerSecond = perSecond(Rate, Now) + 1 / Constant;
  Rate.At = Now;
}

/** Requests of one route that this instance received. */
struct RouteDemand {
  RecentRate Offered;
  RecentRate Yielded; ///< Refused in favour of more urgent routes.
  RecentRate Refused; ///< Refused for lack of room, including Yielded.
};

/** Share of the requests of each route that is never refused in favour of more
 * urgent routes, so that the least urgent are not starved. */
inline constexpr double MinAdmittedShare = 0.2;

/**
 * Checks whether one more request of a route may be refused in favour of more
 * urgent routes.
 * @param Demand Recent requests of the route, including this one.
 * @param Now Current time.
 * @return Whether the route then still has its minimum share.
 */
inline bool mayYield(const RouteDemand &Demand, base::TimePoint Now) {
  RecentRate Yielded = Demand.Yielded;
  recordEvent(Yielded, Now);
  return perSecond(Yielded, Now) <=
         (1 - MinAdmittedShare) * perSecond(Demand.Offered, Now);
}

} // namespace hickorycrank::limits

#endif
