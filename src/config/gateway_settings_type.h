#ifndef HICKORYCRANK_CONFIG_GATEWAY_SETTINGS_TYPE_H
#define HICKORYCRANK_CONFIG_GATEWAY_SETTINGS_TYPE_H

#include "base/id_type.h"
#include "config/settings_type.h"
#include "limits/shared_budget_base.h"

#include <chrono>
#include <vector>

namespace hickorycrank::config {

/** What an instance that forwards requests by route reads at its start. */
struct GatewaySettings {
  base::InstanceId Instance;
  base::FailureDomainId Domain;
  Endpoint Callers;            ///< Where callers connect.
  Endpoint Readiness;          ///< Where the balancer asks for readiness.
  Endpoint Control;            ///< Snapshots for peers, metrics and status.
  Endpoint Heartbeats;         ///< UDP; the port is the same on all instances.
  Endpoint Store;              ///< The platform's metadata store.
  std::vector<Endpoint> Seeds; ///< Control endpoints of some instances.
  limits::ExtraAttemptLimits
      Extra; ///< Extra attempts of all instances together.
  std::chrono::milliseconds Grace{6'000}; ///< From SIGTERM to SIGKILL.
  /** Time after the store's acknowledgement within which a change must be in
   * force on all instances. */
  std::chrono::milliseconds ChangeBound{3'000};
};

} // namespace hickorycrank::config

#endif
