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

/** The backend servers on one version of the platform's list. */
struct ServerList {
  uint64_t Version = 0;   ///< Version of the platform's list; 0: none.
  uint32_t Instances = 0; ///< Live entry instances on the list.
  std::vector<ServerEntry> Servers;
};

/** Requests the part of the list that begins at a given position. */
struct ServerPull {
  uint64_t Version = 0;
  uint32_t First = 0; ///< Position of the first server requested.
};

/** Reply to a ServerPull; its version may differ from the requested one. */
struct ServerPush {
  uint64_t Version = 0;
  uint32_t Instances = 0;
  uint32_t Total = 0; ///< Number of servers on the complete list.
  uint32_t First = 0; ///< Position of the first server of this part.
  std::vector<ServerEntry> Servers;
};

} // namespace hickorycrank::peers

#endif
