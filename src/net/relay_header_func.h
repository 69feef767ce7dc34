#ifndef HICKORYCRANK_NET_RELAY_HEADER_FUNC_H
#define HICKORYCRANK_NET_RELAY_HEADER_FUNC_H

#include "forward/call_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorycrank::net {

/** Header field of a relayed request: the servers that may already have it. */
inline constexpr const char *RelayTriedField = "Relay-Tried-Servers";
/** Header field of the answer to a relayed request that was sent to no server.
 */
inline constexpr const char *RelayUnsentField = "Relay-Unsent";

/** Maximum size of the value of RelayTriedField: two servers at each of several
 * hundred shards. The HTTP library cannot hold fields of more than 64 KiB. */
inline constexpr uint32_t MaxRelayTriedBytes = 32'768;

/**
 * Writes the value of RelayTriedField.
 * @param Tried The servers; those of one service follow each other.
 * @return "SERVICE=ID,ID;SERVICE=ID", each name percent-encoded; nothing if it
 *   is longer than MaxRelayTriedBytes.
 */
std::optional<std::string>
encodeTriedServers(const std::vector<forward::TriedServer> &Tried);

/**
 * Reads the value of RelayTriedField.
 * @param Text The value; entries without a service or an id are ignored.
 * @return The servers.
 */
std::vector<forward::TriedServer> decodeTriedServers(std::string_view Text);

} // namespace hickorycrank::net

#endif
