#include "forward/engine_base.h"
#include "forward/placement_func.h"
#include "forward/replica_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::forward {

using base::TimePoint;

void Engine::onEvacuations(DomainSet Evacuated) {
  this->Evacuated = std::move(Evacuated);
  markEvacuated(this->Servers, this->Evacuated);
  this->AssignmentsDue = true;
}

void Engine::setRegions(RegionMap Regions) {
  this->Options.Regions = std::move(Regions);
  this->updateFilters();
}

void Engine::updateFilters() {
  this->Filters.clear();
  if (!this->Table) {
    return;
  }
  for (const Route &Entry : this->Table->Routes) {
    if (DomainFilter Allowed = allowedDomains(Entry, this->Options.Regions)) {
      this->Filters[&Entry] = std::move(Allowed);
    }
  }
}

bool Engine::canReach(TimePoint Now, const Route &RouteConfig,
                      const std::string &Shard) {
  const ServicePool &Pool = this->Servers.pool(Shard);
  auto Filter = this->Filters.find(&RouteConfig);
  DomainFilter Allowed =
      Filter == this->Filters.end() ? nullptr : Filter->second;
  if (hasUsableReplica(Pool, Allowed)) {
    return !unreachableUntil(Now, Pool, Allowed);
  }
  return findObstacle(Pool, Allowed) != PlacementObstacle::None;
}

std::chrono::milliseconds Engine::notRunRetryAfter(TimePoint Now,
                                                   const Call &CurrentCall) {
  if (auto End = firstPauseEnd(CurrentCall)) {
    auto Wait = std::chrono::ceil<std::chrono::milliseconds>(*End - Now);
    return std::max(Wait, OverloadRetryAfter);
  }
  return placementRefusal(CurrentCall) ? PlacementRetryAfter
                                       : OverloadRetryAfter;
}

} // namespace hickorycrank::forward
