#ifndef HICKORYCRANK_FORWARD_PLACEMENT_FUNC_H
#define HICKORYCRANK_FORWARD_PLACEMENT_FUNC_H

#include "forward/call_type.h"
#include "forward/placement_type.h"
#include "forward/server_set_base.h"

#include <chrono>
#include <optional>

namespace hickorycrank::forward {

/** Retry-after time of a call that no server may receive because of placement.
 * Only an operator can change that, which takes longer. */
inline constexpr std::chrono::milliseconds PlacementRetryAfter(1'000);

/**
 * Finds the failure domains that may receive the requests of a route.
 * @param RouteConfig The route.
 * @param Regions Region of each failure domain; one without a region is not
 *   allowed if the route names regions.
 * @return The failure domains, or nullptr if the route names no regions.
 */
DomainFilter allowedDomains(const Route &RouteConfig, const RegionMap &Regions);

/**
 * Checks whether a failure domain may receive the requests of a route.
 * @param Allowed Failure domains that the route allows.
 * @param Domain The failure domain.
 * @return Whether it may.
 */
bool isAllowed(const DomainFilter &Allowed,
               const base::FailureDomainId &Domain);

/**
 * Checks whether a server may receive new requests of a route. Servers that
 * leave, that are misdirected or whose failure domain is evacuated may not.
 * @param Backend The server.
 * @param Allowed Failure domains that the route allows.
 * @return Whether it may.
 */
bool isUsable(const Server &Backend, const DomainFilter &Allowed);

/**
 * Finds why placement leaves no server of a service for a route.
 * @param Pool Servers of the service.
 * @param Allowed Failure domains that the route allows.
 * @return The obstacle, or None if placement is not the reason.
 */
PlacementObstacle findObstacle(const ServicePool &Pool,
                               const DomainFilter &Allowed);

/**
 * Finds the refusal reason of a call that could be sent to no server.
 * @param Refused The call.
 * @return Reason, or nothing if the parts that placement leaves are enough for
 *   an answer.
 */
std::optional<RefusalReason> placementRefusal(const Call &Refused);

/**
 * Marks the servers in evacuated failure domains, and only these.
 * @param Servers All servers.
 * @param Evacuated The evacuated failure domains; unknown ones are allowed.
 */
void markEvacuated(ServerSet &Servers, const DomainSet &Evacuated);

/** Servers in evacuated failure domains, for the metrics. */
struct EvacuationLoad {
  size_t Servers = 0;
  size_t Attempts = 0; ///< Of this instance, sent before the evacuation.
};

/**
 * Counts the evacuated servers and the attempts that are still running there.
 * @param Servers All servers.
 * @return The counts.
 */
EvacuationLoad countEvacuated(const ServerSet &Servers);

/**
 * Records how long a server wants no requests after a rejection.
 * @param Now Current time.
 * @param Backend The server.
 * @param Received A reply of this server.
 * @return Time for which it gets no requests, or nothing if the reply is no
 *   rejection that states one.
 */
std::optional<std::chrono::milliseconds>
recordRetryAfter(base::TimePoint Now, Server &Backend, const Reply &Received);

/**
 * Finds when the first of a service's servers wants requests again.
 * @param Now Current time.
 * @param Pool Servers of the service.
 * @param Allowed Failure domains that the route allows.
 * @return Time, or nothing unless all usable and reachable servers have asked
 *   for a pause.
 */
std::optional<base::TimePoint> pausedUntil(base::TimePoint Now,
                                           const ServicePool &Pool,
                                           const DomainFilter &Allowed);

/**
 * Finds when the first of the pauses ends that keep a call from being sent.
 * @param Refused The call.
 * @return Time, or nothing if the parts whose servers have not asked for a
 *   pause are enough for an answer.
 */
std::optional<base::TimePoint> firstPauseEnd(const Call &Refused);

} // namespace hickorycrank::forward

#endif
