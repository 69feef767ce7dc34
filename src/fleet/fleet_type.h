#ifndef HICKORYCRANK_FLEET_FLEET_TYPE_H
#define HICKORYCRANK_FLEET_FLEET_TYPE_H

#include "base/id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorycrank::fleet {

/** What an instance tells the others at a fixed period. */
struct Heartbeat {
  std::string Address;        ///< "IP:port" for heartbeats.
  std::string ControlAddress; ///< "IP:port" that serves snapshots of the view.
  bool Leaving = false;
  uint64_t LastChangeRevision = 0; ///< Revision of the last change of its view.
  base::FailureDomainId Domain;
  bool StoreHealthy = false;      ///< Its last call to the store succeeded.
  bool StoreStable = false;       ///< No call has failed for some seconds.
  std::vector<std::string> Peers; ///< Some addresses that the sender knows.
  std::vector<base::Fingerprint> Quarantined; ///< Crashing requests.
};

} // namespace hickorycrank::fleet

#endif
