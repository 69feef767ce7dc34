#ifndef HICKORYCRANK_CONFIG_GATEWAY_SETTINGS_TYPE_H
#define HICKORYCRANK_CONFIG_GATEWAY_SETTINGS_TYPE_H

#include "base/id_type.h"
#include "config/settings_type.h"
#include "limits/cold_share_func.h"
#include "limits/shared_budget_base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickorycrank::config {

/** Resources of this instance; 0 stands for one that the settings do not name.
 */
struct InstanceSize {
  double CpuCores = 0;          ///< Share of a core, may be a fraction.
  uint64_t MemoryBytes = 0;     ///< The process is killed beyond it.
  uint32_t FileDescriptors = 0; ///< Including those for files.
  double LinkMegabits = 0;      ///< Per second.
};

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
  /** Region of each failure domain; empty if the settings name none. */
  std::map<base::FailureDomainId, std::string> Regions;
  limits::ColdLimits Cold;
  InstanceSize Size;
};

} // namespace hickorycrank::config

#endif
