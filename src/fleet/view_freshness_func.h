#ifndef HICKORYCRANK_FLEET_VIEW_FRESHNESS_FUNC_H
#define HICKORYCRANK_FLEET_VIEW_FRESHNESS_FUNC_H

#include "fleet/fleet_type.h"
#include "fleet/view_freshness_type.h"

namespace hickorycrank::fleet {

/**
 * Derives the timing from the time within which a change must be in force.
 * @param ApplyBound From the store's acknowledgement; it leaves time for an
 *   instance's own call after MaxViewAge.
 * @return The timing.
 */
ReadTiming makeReadTiming(std::chrono::milliseconds ApplyBound);

/**
 * Records that the own reading of the store has verified the view.
 * @param Freshness Of the own view.
 * @param VerifiedAt The view holds all that was acknowledged before.
 */
void recordOwnRead(ViewFreshness &Freshness, base::TimePoint VerifiedAt);

/**
 * Records what another instance's heartbeat says about its view. It holds for
 * the own view too, once that has the other's last change.
 * @param Freshness Of the own view.
 * @param Now Current time.
 * @param Received The heartbeat.
 * @param OwnLastChange Position of the last change in the own view.
 */
void recordClaim(ViewFreshness &Freshness, base::TimePoint Now,
                 const Heartbeat &Received,
                 const discovery::StorePosition &OwnLastChange);

/**
 * Takes over the claims about views that the own one has caught up with.
 * @param Freshness Of the own view.
 * @param OwnLastChange Position of the last change in the own view.
 */
void applyPendingClaims(ViewFreshness &Freshness,
                        const discovery::StorePosition &OwnLastChange);

/**
 * @param Freshness Of the own view.
 * @param Now Current time.
 * @return Time for which changes may have gone unnoticed; the longest duration
 *   if the view has never been verified.
 */
base::Duration viewAge(const ViewFreshness &Freshness, base::TimePoint Now);

} // namespace hickorycrank::fleet

#endif
