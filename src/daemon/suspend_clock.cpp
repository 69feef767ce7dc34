#include "daemon/suspend_clock_func.h"

#include <ctime>

namespace hickorycrank::daemon {

base::TimePoint suspendAwareNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return base::TimePoint(std::chrono::seconds(Now.tv_sec) +
                         std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace hickorycrank::daemon
