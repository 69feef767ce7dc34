#ifndef HICKORYCRANK_PEERS_SELECTION_FUNC_H
#define HICKORYCRANK_PEERS_SELECTION_FUNC_H

#include "base/id_type.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hickorycrank::peers {

/** Instances of a failure domain that watch the platform. */
inline constexpr size_t ReadersPerDomain = 2;

/**
 * Chooses instances by rendezvous hash: when one joins or goes, only choices
 * that involve it change.
 * @param Key What they are chosen for.
 * @param Candidates The instances.
 * @param Count How many at most.
 * @return The chosen ones, best first.
 */
std::vector<base::InstanceId>
chooseInstances(std::string_view Key,
                const std::vector<base::InstanceId> &Candidates, size_t Count);

/**
 * Tells whether an instance watches the platform for its failure domain.
 * @param Domain The failure domain.
 * @param Own The instance.
 * @param Others Its live peers in the failure domain.
 * @return Whether it is a reader.
 */
bool isReader(const base::FailureDomainId &Domain, const base::InstanceId &Own,
              const std::vector<base::InstanceId> &Others);

/**
 * Chooses the backend servers that an instance holds connections to. Each
 * server is held by exactly Holders instances (or all, if there are fewer), so
 * that its connection cap bounds the choice; the instances' shares vary.
 * @param Own The instance.
 * @param Instances All instances, this one included.
 * @param Servers All backend servers.
 * @param Holders Instances a server.
 * @return The servers it holds, in the given order.
 */
std::vector<base::ServerId>
chooseSubset(const base::InstanceId &Own,
             const std::vector<base::InstanceId> &Instances,
             const std::vector<base::ServerId> &Servers, size_t Holders);

} // namespace hickorycrank::peers

#endif
