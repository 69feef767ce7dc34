#ifndef HICKORYCRANK_FORWARD_ROUTE_TABLE_FUNC_H
#define HICKORYCRANK_FORWARD_ROUTE_TABLE_FUNC_H

#include "forward/route_type.h"

#include <string>
#include <string_view>
#include <unordered_set>

namespace hickorycrank::forward {

/**
 * Finds the route of a request: the longest prefix of the path among the
 * routes of the host.
 * @param Table The configuration.
 * @param Host Value of the Host header; a port is ignored.
 * @param Target Request target; what follows '?' is ignored.
 * @return The route, or nullptr.
 */
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Target);

/**
 * Counts the services whose replies an answer needs.
 * @param Source A route.
 * @return Smallest number of shards whose share is at least MinShardShare; 1
 *   for a route that does not fan out.
 */
size_t requiredParts(const Route &Source);

/**
 * Finds the routes whose requests can give way at busy servers: another route
 * asks one of their shards and has at most half of their target.
 * @param Table The configuration.
 * @return Their names.
 */
std::unordered_set<std::string> findDeferrable(const RouteTable &Table);

} // namespace hickorycrank::forward

#endif
