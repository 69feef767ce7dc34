#ifndef HICKORYCRANK_BASE_TIMER_SERVICE_BASE_H
#define HICKORYCRANK_BASE_TIMER_SERVICE_BASE_H

#include "base/time_type.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace hickorycrank::base {

/** What a subscriber learns from a tick. */
struct Tick {
  TimePoint Now;                 ///< Time of this tick.
  std::optional<Duration> Pause; ///< Length of a gap that ended with this tick.
};

/**
 * Delivers ticks to subscribers at their periods and reports pauses of the
 * process. It reads no clock: its owner calls advance() with the current time.
 */
class TimerService {
public:
  using Callback = std::function<void(const Tick &)>;

  /** A gap longer than this between two calls of advance() is a pause. */
  static constexpr Duration PauseThreshold = std::chrono::milliseconds(250);

  /**
   * Adds a subscriber; it is first called by the next advance().
   * @param Period Smallest time between two calls.
   * @param Subscriber Called without locks held by the service.
   */
  void subscribe(Duration Period, Callback Subscriber);

  /**
   * Calls each subscriber that is due. After a pause every subscriber is
   * called, so that each re-checks what it believes before it acts.
   * @param Now Current time; must not go back.
   */
  void advance(TimePoint Now);

private:
  struct Subscription {
    Duration Period;
    TimePoint NextCall;
    Callback Subscriber;
  };

  std::mutex Mutex;
  std::vector<Subscription> Subscriptions;
  std::optional<TimePoint> LastAdvance;
};

} // namespace hickorycrank::base

#endif
