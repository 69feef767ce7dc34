#ifndef HICKORYCRANK_LIMITS_RATE_SHARE_FUNC_H
#define HICKORYCRANK_LIMITS_RATE_SHARE_FUNC_H

#include "base/random_base.h"
#include "base/time_type.h"

#include <cstddef>

namespace hickorycrank::limits {

/**
 * This instance's share of a rate limit that a backend server states for all
 * instances together. The instances do not coordinate: each sends one request
 * in every interval of (instances / limit), at its own phase. A turn that is
 * not used within SavedTurnTime is lost, so that many instances cannot spend
 * saved turns at the same moment.
 */
struct RateShare {
  double PerSecond = 0;       ///< Limit for all instances together.
  base::TimePoint NextTurnAt; ///< Start of the next unused turn.
};

/** Time for which an unused turn may still be used. In any four seconds the
 * instances send at most five times the limit, below the tolerated six. */
inline constexpr base::Duration SavedTurnTime = std::chrono::milliseconds(500);
/** Lower bound of a limit. An instance learns only from replies that a server
 * has raised its limit, so it must send it some requests. */
inline constexpr double MinRatePerSecond = 0.5;

/**
 * Starts a share at a random phase.
 * @param Now Current time.
 * @param PerSecond Limit for all instances together.
 * @param Instances Number of instances, at least 1.
 * @param Generator Source of the phase.
 * @return The share.
 */
RateShare startRateShare(base::TimePoint Now, double PerSecond,
                         size_t Instances, base::Random &Generator);

/**
 * Finds this instance's next turn.
 * @param Share The share.
 * @param Now Current time.
 * @param Instances Number of instances, at least 1.
 * @return Now if a request may be sent, otherwise the start of the next turn.
 */
base::TimePoint nextTurn(const RateShare &Share, base::TimePoint Now,
                         size_t Instances);

/**
 * Uses a turn; call it for each request that is sent.
 * @param Share The share.
 * @param Now Current time.
 * @param Instances Number of instances, at least 1.
 */
void takeTurn(RateShare &Share, base::TimePoint Now, size_t Instances);

} // namespace hickorycrank::limits

#endif
