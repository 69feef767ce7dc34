#ifndef HICKORYCRANK_DAEMON_PEER_CALL_TYPE_H
#define HICKORYCRANK_DAEMON_PEER_CALL_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <functional>
#include <string>
#include <variant>

namespace hickorycrank::daemon {

/** Why a call to another instance has no reply. */
enum class PeerCallError {
  NotSent, ///< No byte has left; the other instance did not act on it.
  NoReply, ///< The other instance may have acted on it.
};

/** Reply bytes, or why there are none. */
using PeerCallResult = std::variant<std::string, PeerCallError>;

/**
 * Sends opaque bytes to an instance and calls back exactly once, by the
 * deadline, without locks held.
 */
using PeerCall = std::function<void(
    const base::InstanceId &Target, base::Incarnation Process,
    std::string Payload, base::TimePoint Deadline,
    std::function<void(PeerCallResult)> Done)>;

/** Serves calls of other instances; must call Reply exactly once. */
using PeerCallHandler = std::function<void(
    std::string Payload, std::function<void(std::string)> Reply)>;

} // namespace hickorycrank::daemon

#endif
