#ifndef HICKORYCRANK_PEERS_SERVER_LIST_TYPE_H
#define HICKORYCRANK_PEERS_SERVER_LIST_TYPE_H

#include "base/id_type.h"
#include "routing/server_type.h"

#include <cstdint>
#include <vector>

namespace hickorycrank::peers {

/** One backend server of a service, as the platform lists it. */
struct ServerEntry {
  base::ServiceId Service;
  routing::ServerListing Server;
};

/** What the platform's list holds on backend servers, at one version. */
struct ServerList {
  uint64_t Version = 0;   ///< Of the platform's list; 0: none.
  uint32_t Instances = 0; ///< Live entry instances on the list.
  std::vector<ServerEntry> Servers;
};

/** Asks for the part of the list that begins at one server. */
struct ServerPull {
  uint64_t Version = 0;
  uint32_t First = 0; ///< Position in the list.
};

/** Answers a ServerPull; its version may be another one than was asked. */
struct ServerPush {
  uint64_t Version = 0;
  uint32_t Instances = 0;
  uint32_t Total = 0; ///< Servers on the whole list.
  uint32_t First = 0; ///< Position of the first one in this part.
  std::vector<ServerEntry> Servers;
};

} // namespace hickorycrank::peers

#endif
