#ifndef HICKORYCRANK_NET_FLEET_CODEC_FUNC_H
#define HICKORYCRANK_NET_FLEET_CODEC_FUNC_H

#include "base/error_type.h"
#include "discovery/item_type.h"
#include "fleet/fleet_type.h"

#include <string>
#include <string_view>

namespace hickorycrank::net {

/** @param Source A heartbeat. @return One datagram. */
std::string encodeHeartbeat(const fleet::Heartbeat &Source);

/**
 * Reads a heartbeat.
 * @param Bytes One datagram.
 * @return The heartbeat, or Protocol if the bytes are not one.
 */
base::Result<fleet::Heartbeat> decodeHeartbeat(std::string_view Bytes);

/** @param Source An update of a view. @return Its bytes. */
std::string encodeUpdate(const discovery::Update &Source);

/**
 * Reads an update of a view.
 * @param Bytes A whole update.
 * @return The update, or Protocol if the bytes are not one.
 */
base::Result<discovery::Update> decodeUpdate(std::string_view Bytes);

} // namespace hickorycrank::net

#endif
