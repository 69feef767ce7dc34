#ifndef HICKORYCRANK_DAEMON_SERVER_LIST_FUNC_H
#define HICKORYCRANK_DAEMON_SERVER_LIST_FUNC_H

#include "net/backend_codec_func.h"
#include "peers/server_list_type.h"

namespace hickorycrank::daemon {

/**
 * Checks whether an entry of the platform's list is a live entry instance.
 * @param Entry The entry.
 * @return Whether it is an entry instance that is not leaving.
 */
bool isLiveInstance(const net::InstanceListing &Entry);

/**
 * Extracts the backend servers and the number of live entry instances from the
 * platform's list.
 * @param List The platform's list.
 * @return The list that instances store and pass on to peers.
 */
peers::ServerList toServerList(const net::InstanceList &List);

} // namespace hickorycrank::daemon

#endif
