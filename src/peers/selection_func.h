#ifndef HICKORYCRANK_PEERS_SELECTION_FUNC_H
#define HICKORYCRANK_PEERS_SELECTION_FUNC_H

#include "base/id_type.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hickorycrank::peers {

/** Number of instances of each failure domain that watch the platform. */
inline constexpr size_t ReadersPerDomain = 2;

/**
 * Chooses instances by rendezvous hashing: when one joins or leaves, only
 * choices that involve it change.
 * @param Key Key of the choice; seeds the hash.
 * @param Candidates The instances.
 * @param Count Maximum number of instances.
 * @return The chosen instances, highest rank first.
 */
std::vector<base::InstanceId>
chooseInstances(std::string_view Key,
                const std::vector<base::InstanceId> &Candidates, size_t Count);

/**
 * Checks whether an instance is a reader, one of those that watch the platform
 * for their failure domain.
 * @param Domain The failure domain.
 * @param Own The instance.
 * @param LivePeers Its live peers in the failure domain.
 * @return Whether it is a reader.
 */
bool isReader(const base::FailureDomainId &Domain, const base::InstanceId &Own,
              const std::vector<base::InstanceId> &LivePeers);

/**
 * Chooses the backend servers that an instance keeps connections to. Each
 * server is chosen by exactly InstancesPerServer instances (or all, if there
 * are fewer), which keeps it within its connection limit. The number of servers
 * per instance varies.
 * @param Own The instance.
 * @param Instances All instances, this one included.
 * @param Servers All backend servers.
 * @param InstancesPerServer Number of instances connected to each server.
 * @return The chosen servers, in the order of Servers.
 */
std::vector<base::ServerId> chooseSubset(
    const base::InstanceId &Own, const std::vector<base::InstanceId> &Instances,
    const std::vector<base::ServerId> &Servers, size_t InstancesPerServer);

} // namespace hickorycrank::peers

#endif
