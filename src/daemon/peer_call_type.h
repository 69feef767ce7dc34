#ifndef HICKORYCRANK_DAEMON_PEER_CALL_TYPE_H
#define HICKORYCRANK_DAEMON_PEER_CALL_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <functional>
#include <string>
#include <variant>

namespace hickorycrank::daemon {

/** Why a call to another instance failed. */
enum class PeerCallError {
  NotSent, ///< No byte was sent; the other instance did not execute the call.
  NoReply, ///< The other instance may have executed the call.
};

/** Reply payload, or the error. */
using PeerCallResult = std::variant<std::string, PeerCallError>;

/**
 * Sends an opaque payload to an instance and calls Done exactly once, by the
 * deadline, without holding locks.
 */
using PeerCallFunction = std::function<void(
    const base::InstanceId &Target, base::Incarnation Process,
    std::string Payload, base::TimePoint Deadline,
    std::function<void(PeerCallResult)> Done)>;

/** Handles calls from other instances; must call Reply exactly once. */
using PeerCallHandler = std::function<void(
    std::string Payload, std::function<void(std::string)> Reply)>;

} // namespace hickorycrank::daemon

#endif
