#ifndef HICKORYCRANK_FORWARD_ROUTE_TABLE_FUNC_H
#define HICKORYCRANK_FORWARD_ROUTE_TABLE_FUNC_H

#include "forward/route_type.h"

#include <string>
#include <string_view>
#include <unordered_set>

namespace hickorycrank::forward {

/**
 * Finds the route of a request, the one of the host with the longest matching
 * path prefix.
 * @param Table The configuration.
 * @param Host Value of the Host header field; a port is ignored.
 * @param Target Request target; the query string is ignored.
 * @return The route, or nullptr if none matches.
 */
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Target);

/**
 * Computes the minimum number of shard replies for an answer.
 * @param RouteConfig A route.
 * @return Smallest number of shards that is at least the fraction MinShardShare
 *   of all; 1 for a route that does not fan out.
 */
size_t requiredParts(const Route &RouteConfig);

/**
 * Finds the routes whose requests can be deferred while servers are busy. A
 * route is deferrable if another route uses one of its shards and has at most
 * half its target latency.
 * @param Table The configuration.
 * @return Names of the deferrable routes.
 */
std::unordered_set<std::string> findDeferrable(const RouteTable &Table);

/**
 * Finds the routes that take precedence over others at the same servers.
 * @param Table The configuration.
 * @return For each route, the routes with a higher rank that use one of its
 *   services or shards; they point into the table. Routes without any are left
 *   out.
 */
std::unordered_map<std::string, std::vector<const Route *>>
findMoreUrgent(const RouteTable &Table);

} // namespace hickorycrank::forward

#endif
