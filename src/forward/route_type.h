#ifndef HICKORYCRANK_FORWARD_ROUTE_TYPE_H
#define HICKORYCRANK_FORWARD_ROUTE_TYPE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorycrank::forward {

/** One service among those that a route chooses from. */
struct WeightedService {
  std::string Service;
  double Weight = 1; ///< Share of the requests, relative to the other choices.
};

/** Where requests of one host and path prefix go. */
struct Route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  bool Idempotent = false; ///< Requests may run more than once.
  std::chrono::milliseconds Timeout{1'000}; ///< Longest time to an answer.
  std::chrono::milliseconds Target{1'000};  ///< Time of a punctual answer.
  uint32_t MaxAttempts = 1; ///< Backend servers per shard and request.
  std::vector<WeightedService> Choices; ///< One is chosen for each request.
  std::vector<std::string> Shards;      ///< All are asked, if not empty.
  uint32_t TopK = 0;        ///< Records of an answer merged from shards.
  double MinShardShare = 1; ///< Smallest share of shards in an answer.

  /** @return Whether an answer is merged from all shards. */
  bool fansOut() const { return !this->Shards.empty(); }
};

/** What is published about a service besides its servers. */
struct ServiceSpec {
  uint32_t MaxConnections = 8; ///< Of one server, from all instances together.
};

/** Limits that protect an instance from its callers. */
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 256 * 1024;
  std::chrono::milliseconds HeaderTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

/** One version of the published configuration. Immutable once in force. */
struct RouteTable {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<std::string, ServiceSpec> Services;
  CallerLimits Limits;
};

} // namespace hickorycrank::forward

#endif
