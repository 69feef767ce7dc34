#ifndef HICKORYCRANK_DAEMON_SUSPEND_CLOCK_FUNC_H
#define HICKORYCRANK_DAEMON_SUSPEND_CLOCK_FUNC_H

#include "base/time_type.h"

namespace hickorycrank::daemon {

/**
 * Reads a monotonic clock that also advances while the machine is suspended, so
 * that the callers' remaining time and the age of the view are correct after a
 * resume.
 * @return Current time.
 */
base::TimePoint suspendAwareNow();

} // namespace hickorycrank::daemon

#endif
