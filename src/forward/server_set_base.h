#ifndef HICKORYCRANK_FORWARD_SERVER_SET_BASE_H
#define HICKORYCRANK_FORWARD_SERVER_SET_BASE_H

#include "forward/server_type.h"
#include "limits/shared_budget_base.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorycrank::forward {

/** The backend servers of one service. */
struct ServicePool {
  std::vector<Server *> Servers; ///< Those that are listed.
  uint32_t MaxConnections = 8;   ///< Of one server, from all instances.
  limits::SharedBudget Budget;
};

/**
 * All backend servers that this instance knows. A server that is no longer
 * listed is kept until its outstanding attempts have ended.
 */
class ServerSet {
public:
  /**
   * Replaces the list of servers. An entry with another start time, service or
   * address under a known id is a new lifetime with a new key.
   * @param Now Current time.
   * @param Entries All listed servers.
   * @return Keys of lifetimes that ended.
   */
  std::vector<ServerKey> apply(base::TimePoint Now,
                               const std::vector<ServerEntry> &Entries);

  /**
   * Finds the servers of a service.
   * @param Service Name of the service.
   * @return Its pool, which stays valid as long as this set.
   */
  ServicePool &pool(const std::string &Service);

  /**
   * Finds a server.
   * @param Key Its key.
   * @return The server, or nullptr if its lifetime has ended.
   */
  Server *find(ServerKey Key);

  /** @return All listed servers, by id. */
  const std::map<std::string, Server *> &all() const { return this->ById; }

  /** @return Number of listed servers. */
  size_t size() const { return this->ById.size(); }

private:
  Server &add(base::TimePoint Now, const ServerEntry &Entry);
  void remove(const std::string &Id);

  std::unordered_map<ServerKey, std::unique_ptr<Server>> Servers;
  std::map<std::string, Server *> ById;
  /** Never erased from: attempts hold references to pools. */
  std::unordered_map<std::string, ServicePool> Pools;
  uint64_t NextKey = 1;
};

} // namespace hickorycrank::forward

#endif
