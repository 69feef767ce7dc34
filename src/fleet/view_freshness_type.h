#ifndef HICKORYCRANK_FLEET_VIEW_FRESHNESS_TYPE_H
#define HICKORYCRANK_FLEET_VIEW_FRESHNESS_TYPE_H

#include "base/time_type.h"
#include "discovery/store_position_type.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace hickorycrank::fleet {

/** A statement of another instance: its view, whose last change is LastChange,
 * holds all that the store acknowledged before VerifiedAt. */
struct FreshnessClaim {
  discovery::StorePosition LastChange;
  base::TimePoint VerifiedAt;
};

/** Up to which time a view of the store is known to be complete. All times are
 * of a clock that also advances while the machine is suspended. */
struct ViewFreshness {
  /** The own view holds all that the store acknowledged before. */
  std::optional<base::TimePoint> VerifiedAt;
  /** Latest claims about views that are ahead of the own one, by instance. */
  std::map<std::string, FreshnessClaim> PendingClaims;
};

/** When an instance stops relying on others to read the store. */
struct ReadTiming {
  /** Duration of a reader's watch, after which its view is verified again. */
  std::chrono::milliseconds WatchWait{};
  /** Age of the view above which a reader counts as failed. */
  std::chrono::milliseconds ReaderAge{};
  /** Added to ReaderAge for each instance that is to take over before. */
  std::chrono::milliseconds TakeoverStep{};
  /** Age of the view above which every instance reads by itself. */
  std::chrono::milliseconds MaxViewAge{};
};

} // namespace hickorycrank::fleet

#endif
