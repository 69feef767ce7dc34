#ifndef HICKORYCRANK_FLEET_FLEET_TYPE_H
#define HICKORYCRANK_FLEET_FLEET_TYPE_H

#include "base/id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorycrank::fleet {

/** What an instance tells the others at a fixed period. */
struct Heartbeat {
  std::string Address; ///< "IP:port" for heartbeats.
  std::string Control; ///< "IP:port" that serves snapshots of the view.
  base::Incarnation Process;
  bool Leaving = false;
  uint64_t ChangedAt = 0;         ///< Revision of the last change of its view.
  bool StoreHealthy = false;      ///< The sender reads the platform's store.
  std::vector<std::string> Peers; ///< Addresses that the sender knows.
  std::vector<base::Fingerprint> Quarantined; ///< Crashing requests.
};

} // namespace hickorycrank::fleet

#endif
