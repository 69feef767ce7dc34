#ifndef HICKORYCRANK_FORWARD_ROUTE_TYPE_H
#define HICKORYCRANK_FORWARD_ROUTE_TYPE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorycrank::forward {

/** A service that a route can select, with its weight. */
struct WeightedService {
  std::string Service;
  double Weight = 1; ///< Relative share of the requests.
};

/** Routing of the requests to one host and path prefix. */
struct Route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  bool Idempotent = false; ///< Requests may be executed more than once.
  std::chrono::milliseconds Timeout{1'000}; ///< Maximum time to an answer.
  /** Target latency of an answer. */
  std::chrono::milliseconds TargetLatency{1'000};
  uint32_t MaxAttempts = 1; ///< Maximum distinct servers per shard and request.
  uint32_t Priority = 0;    ///< Rank under overload; 0 is the most urgent.
  /** Regions whose servers and instances may receive the request; empty if all
   * may. */
  std::vector<std::string> AllowedRegions;
  std::vector<WeightedService> Choices; ///< One is selected per request.
  /** Names of the services that hold the shards; each request is sent to all
   * of them. Empty if a request is sent to one of Choices. */
  std::vector<std::string> Shards;
  uint32_t TopK = 0;        ///< Maximum number of records in a merged answer.
  double MinShardShare = 1; ///< Minimum fraction of the shards in an answer.

  /** @return Whether requests fan out to shards. */
  bool fansOut() const { return !this->Shards.empty(); }
};

/** Published settings of a service. */
struct ServiceSpec {
  uint32_t MaxConnections = 8; ///< To each server, from all instances together.
  /** Time for which a server is cold after it has started. */
  std::chrono::milliseconds ColdTime{0};
  /** Requests per second that a cold server accepts from all instances
   * together; 0 if the service states no limit. */
  double ColdRate = 0;
};

/** Limits on the requests and connections of callers. */
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 256 * 1024;
  std::chrono::milliseconds HeaderTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

/** One version of the published configuration; immutable once activated. */
struct RouteTable {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<std::string, ServiceSpec> Services;
  CallerLimits Limits;
};

} // namespace hickorycrank::forward

#endif
