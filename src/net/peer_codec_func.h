#ifndef HICKORYCRANK_NET_PEER_CODEC_FUNC_H
#define HICKORYCRANK_NET_PEER_CODEC_FUNC_H

#include "base/error_type.h"
#include "peers/message_type.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorycrank::net {

/** Largest frame in bytes: a value of 1 MB and what surrounds it. */
inline constexpr size_t MaxPeerFrameBytes = 1'310'720;

/** Largest payload of a call to another instance, in bytes. */
inline constexpr size_t MaxPeerPayloadBytes = 1'048'576;

/**
 * Writes a message as a frame without its length: an HMAC-SHA256 of 32 bytes,
 * then a PeerFrame of thrift/peer.thrift in the compact protocol.
 * @param Message The message.
 * @param Key Secret shared by the instances.
 * @return The bytes.
 */
std::string encodePeerFrame(const peers::Envelope &Message,
                            std::string_view Key);

/**
 * Reads a frame without its length. Nothing is parsed before the HMAC has been
 * found right.
 * @param Frame The bytes.
 * @param Key Secret shared by the instances.
 * @return The message; or an error of kind Unauthorised, Protocol, or Stale if
 *     the sender's release requires a newer one.
 */
base::Result<peers::Envelope> decodePeerFrame(std::string_view Frame,
                                              std::string_view Key);

} // namespace hickorycrank::net

#endif
