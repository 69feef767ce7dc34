#ifndef HICKORYCRANK_LIMITS_SERVER_MEMORY_FUNC_H
#define HICKORYCRANK_LIMITS_SERVER_MEMORY_FUNC_H

#include <algorithm>
#include <cstdint>

namespace hickorycrank::limits {

/** Number of request bodies of the largest size that one instance has at one
 * server at the same time. Servers do not state their memory, and all instances
 * send to the same one; a few of the largest requests for each instance are
 * what a server must expect under the published limit on bodies. */
inline constexpr uint64_t LargestBodiesAtServer = 4;
/** Lower bound of the limit: where the largest body is small, many fit into any
 * server, and the limit on connections applies first. */
inline constexpr uint64_t MinBodyBytesAtServer = 262'144;

/**
 * Finds the limit of request bodies at one server, from this instance.
 * @param MaxBodyBytes Published maximum of a caller's request body.
 * @return Maximum of the bytes of all bodies together.
 */
inline uint64_t maxBodyBytesAtServer(uint64_t MaxBodyBytes) {
  return std::max(MinBodyBytesAtServer, LargestBodiesAtServer * MaxBodyBytes);
}

/**
 * Checks whether a server may be sent another request body.
 * @param Held Bytes of the bodies that this instance has at the server.
 * @param Added Bytes of the new body.
 * @param Maximum Limit of the sum in bytes.
 * @return Whether it fits. A server that has no body gets any: the published
 *   limit may have been lowered since the request arrived.
 */
inline bool fitsAtServer(uint64_t Held, uint64_t Added, uint64_t Maximum) {
  return Added == 0 || Held == 0 || Held + Added <= Maximum;
}

} // namespace hickorycrank::limits

#endif
