#ifndef HICKORYCRANK_FORWARD_SERVER_SUBSET_FUNC_H
#define HICKORYCRANK_FORWARD_SERVER_SUBSET_FUNC_H

#include "forward/server_set_base.h"

#include <string>

namespace hickorycrank::forward {

/** What an instance knows when it chooses the servers that it connects to. */
struct SubsetCriteria {
  std::string Instance;         ///< Id of this instance.
  base::FailureDomainId Domain; ///< Failure domain of this instance.
  size_t Instances = 1;         ///< Instances of all failure domains.
  size_t DomainInstances = 1;   ///< Instances of the own failure domain.
  /** Part of the connections that this instance takes, relative to an equal
   * part. */
  double Weight = 1;
};

/** Number of servers that an instance connects to even if the connections of
 * all instances exceed what the servers accept. */
inline constexpr size_t MinSubsetServers = 2;

/**
 * Chooses the servers of a service that an instance connects to and sets
 * Server::Assigned. All servers are chosen unless there are more instances than
 * a server accepts connections. Each instance decides by hashes of its own id
 * and the servers' ids, so that views of the membership which differ only
 * change the number of chosen servers. The chosen servers are in two failure
 * domains or more unless one domain has more than half of the servers.
 * @param Pool The service; its servers are changed.
 * @param Criteria What is known of the instances.
 * @return The servers that were chosen before and are not any more.
 */
std::vector<ServerKey> assignServers(ServicePool &Pool,
                                     const SubsetCriteria &Criteria);

} // namespace hickorycrank::forward

#endif
