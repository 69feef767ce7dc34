#include "forward/engine_base.h"
#include "forward/server_subset_func.h"

#include <algorithm>

namespace hickorycrank::forward {

void Engine::onDomainInstances(size_t Instances) {
  Instances = std::max<size_t>(1, Instances);
  this->AssignmentsDue |= this->DomainInstances != Instances;
  this->DomainInstances = Instances;
}

void Engine::updateAssignments(Actions &Out) {
  if (!this->AssignmentsDue) {
    return;
  }
  this->AssignmentsDue = false;
  SubsetCriteria Criteria;
  Criteria.Instance = this->Options.Instance;
  Criteria.Domain = this->Options.Domain;
  Criteria.Instances = this->Instances;
  Criteria.Weight = this->CapacityWeight;
  Criteria.DomainInstances = this->DomainInstances;
  for (ServicePool *Pool : this->Servers.pools()) {
    for (ServerKey Dropped : assignServers(*Pool, Criteria)) {
      Out.push_back(CloseServerConnections{Dropped});
    }
  }
}

void Engine::returnBorrowed(Actions &Out) {
  for (const auto &[Id, Backend] : this->Servers.all()) {
    if (!Backend->Borrowed || Backend->Probing ||
        !Backend->Outstanding.empty()) {
      continue;
    }
    Backend->Borrowed = false;
    if (!Backend->Assigned) {
      Out.push_back(CloseServerConnections{Backend->Key});
    }
  }
}

size_t Engine::assignedServers() const {
  const auto &All = this->Servers.all();
  return static_cast<size_t>(
      std::count_if(All.begin(), All.end(),
                    [](const auto &Entry) { return Entry.second->Assigned; }));
}

} // namespace hickorycrank::forward
