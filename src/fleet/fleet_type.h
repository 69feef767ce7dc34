#ifndef HICKORYCRANK_FLEET_FLEET_TYPE_H
#define HICKORYCRANK_FLEET_FLEET_TYPE_H

#include "base/id_type.h"
#include "discovery/store_position_type.h"
#include "forward/crash_report_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::fleet {

/** Periodic message by which an instance announces itself to the others. */
struct Heartbeat {
  std::string Address;        ///< "IP:port" that receives heartbeats.
  std::string ControlAddress; ///< "IP:port" that serves snapshots of the view.
  bool Leaving = false;       ///< The sender is shutting down.
  discovery::StorePosition LastChange; ///< Of the sender's view.
  base::FailureDomainId Domain;
  bool StoreHealthy = false; ///< The sender's last call to the store succeeded.
  bool StoreStable = false;  ///< No call of the sender to the store has failed
                             ///< for some seconds.
  /** The sender reaches backend servers and forwards the requests of instances
   * that do not, at the TCP port with the number of Address. */
  bool AcceptsRelays = false;
  /** Time since which changes may be missing in the sender's view; nothing if
   * it has never been complete. */
  std::optional<std::chrono::milliseconds> ViewAge;
  std::vector<std::string> Peers; ///< Sample of known addresses.
  /** Fingerprints of requests that crash backend servers; used only if there
   * are no reports, as in heartbeats of older releases. */
  std::vector<base::Fingerprint> QuarantinedFingerprints;
  /** Processor share of the sender in thousandths of a core; nothing if it is
   * unknown, as in heartbeats of older releases. */
  std::optional<uint32_t> Capacity;
  /** Known crashes of backend servers during requests. */
  std::optional<std::vector<forward::CrashReport>> Crashes;
};

} // namespace hickorycrank::fleet

#endif
