#ifndef HICKORYCRANK_FORWARD_PLACEMENT_TYPE_H
#define HICKORYCRANK_FORWARD_PLACEMENT_TYPE_H

#include "base/id_type.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace hickorycrank::forward {

using DomainSet = std::set<base::FailureDomainId>;

/** Region of each failure domain. */
using RegionMap = std::map<base::FailureDomainId, std::string>;

/** Failure domains that may receive the requests of a route; nullptr stands
 * for all. Shared by the calls of a route, which outlive a configuration. */
using DomainFilter = std::shared_ptr<const DomainSet>;

/** Why no listed server of a service may receive a request although some are
 * neither leaving nor misdirected. */
enum class PlacementObstacle {
  None,      ///< There is such a server, or none is listed.
  Region,    ///< All are outside the route's allowed regions.
  Evacuated, ///< All that are in an allowed region are evacuated.
};

} // namespace hickorycrank::forward

#endif
