#ifndef HICKORYCRANK_CONFIG_SETTINGS_TYPE_H
#define HICKORYCRANK_CONFIG_SETTINGS_TYPE_H

#include "base/id_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorycrank::config {

/** An IP number and a TCP port. */
struct Endpoint {
  std::string Address = "127.0.0.1";
  uint16_t Port = 0;
};

/** What one entry instance reads from its settings file at start. */
struct Settings {
  base::InstanceId Instance;
  base::FailureDomainId Domain;
  Endpoint Callers;               ///< Where callers connect.
  Endpoint Admin;                 ///< Where operators connect.
  Endpoint Peers;                 ///< Where other instances connect.
  std::vector<Endpoint> Platform; ///< Replicas of the platform's service.
  std::string PeerKey;            ///< Shared secret between instances.
  uint32_t Threads = 4;
  uint32_t MaxBodyBytes = 64 * 1024;
  uint32_t MaxWaiting = 20'000; ///< Sub-queries waiting, per service.
  uint32_t MaxCallerConnections = 4'096;
  std::chrono::milliseconds RequestReadTimeout{2'000};
  std::chrono::milliseconds IdleTimeout{30'000};
};

} // namespace hickorycrank::config

#endif
