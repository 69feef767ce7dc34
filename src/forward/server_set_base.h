#ifndef HICKORYCRANK_FORWARD_SERVER_SET_BASE_H
#define HICKORYCRANK_FORWARD_SERVER_SET_BASE_H

#include "base/random_base.h"
#include "forward/server_type.h"
#include "limits/shared_budget_base.h"
#include "limits/target_queue_base.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorycrank::forward {

/** The backend servers of one service. */
struct ServicePool {
  std::string Service;           ///< Name of the service.
  std::vector<Server *> Servers; ///< Currently listed servers.
  uint32_t MaxConnections = 8; ///< To each server, from all instances together.
  /** Time for which a server is cold after its start. */
  std::chrono::milliseconds ColdTime{0};
  double ColdRate = 0; ///< Of a cold server, from all instances; 0: no limit.
  limits::SharedBudget Budget;
  limits::TargetQueue Waiting; ///< Parts that wait for one of the servers.
};

/** An incarnation of a backend server that is no longer listed. */
struct EndedIncarnation {
  ServerKey Key;
  std::string Service;
  uint64_t StartedAt = 0;  ///< In Unix ms; not 0.
  base::TimePoint EndedAt; ///< When it was first not listed.
  std::vector<OutstandingAttempt> Outstanding; ///< At EndedAt.
};

/**
 * All listed backend servers, by service, id and key.
 */
class ServerSet {
public:
  /** @param Seed Seed of the budgets' first credits. */
  explicit ServerSet(uint64_t Seed = 1) : Generator(Seed) {}

  /**
   * Replaces the list of servers. If the start time, service or address of a
   * known id has changed, the entry is a new incarnation of the server and gets
   * a new key. A server that has reported that it leaves stays leaving, even if
   * an older entry of the same start is listed again.
   * @param Now Current time.
   * @param Entries All listed servers.
   * @return Keys of the incarnations that ended.
   */
  std::vector<ServerKey> apply(base::TimePoint Now,
                               const std::vector<ServerEntry> &Entries);

  /**
   * Returns the incarnations that have ended without leaving and whose servers
   * have since been listed with a later start.
   * @return Those that were found since the last call.
   */
  std::vector<EndedIncarnation> takeRestarted() {
    return std::exchange(this->Restarted, {});
  }

  /**
   * Records that a server has stated in a reply that it is leaving. It stays so
   * for the rest of this incarnation.
   * @param Now Current time.
   * @param Backend The server.
   */
  void recordLeaving(base::TimePoint Now, Server &Backend);

  /**
   * Returns the servers of a service, creating an empty pool if needed.
   * @param Service Name of the service.
   * @return The pool, valid for the lifetime of this set.
   */
  ServicePool &pool(const std::string &Service);

  /**
   * Finds a server.
   * @param Key Its key.
   * @return The server, or nullptr if this incarnation has ended.
   */
  Server *find(ServerKey Key);

  /**
   * Finds a server by its id.
   * @param Id Its id.
   * @return The listed incarnation, or nullptr.
   */
  Server *find(const base::ServerId &Id);

  /** @return All services with or without servers, in no particular order. */
  std::vector<ServicePool *> pools();

  /** @return All listed servers, by id. */
  const std::map<std::string, Server *> &all() const { return this->ById; }

  /** @return Number of listed servers. */
  size_t size() const { return this->ById.size(); }

private:
  /** The start of a server that has reported that it leaves. */
  struct Departure {
    uint64_t StartedAt = 0;   ///< In Unix ms.
    base::TimePoint ListedAt; ///< When an entry of this start was last listed.
  };

  bool hasDeparted(base::TimePoint Now, const ServerEntry &Entry);
  Server &add(base::TimePoint Now, const ServerEntry &Entry);
  void remove(base::TimePoint Now, const std::string &Id);
  /** Notices that a listed entry has started later than an incarnation that
   * ended without leaving. */
  void findRestart(const ServerEntry &Entry);

  std::unordered_map<ServerKey, std::unique_ptr<Server>> Servers;
  std::map<std::string, Server *> ById;
  /** Entries are never erased, because calls hold pointers to pools. */
  std::unordered_map<std::string, ServicePool> Pools;
  std::unordered_map<std::string, Departure> Departures; ///< By id.
  /** Incarnations that ended without leaving, by id. */
  std::unordered_map<std::string, EndedIncarnation> Ended;
  std::vector<EndedIncarnation> Restarted;
  base::Random Generator;
  bool FirstListed = false; ///< A list with servers has been applied.
  uint64_t NextKey = 1;
};

} // namespace hickorycrank::forward

#endif
