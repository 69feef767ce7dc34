#ifndef HICKORYCRANK_PEERS_START_RULE_FUNC_H
#define HICKORYCRANK_PEERS_START_RULE_FUNC_H

#include "base/time_type.h"

#include <cstddef>

namespace hickorycrank::peers {

/** Conditions that decide whether a starting instance may serve. */
struct StartConditions {
  base::Duration TimeSinceStart{}; ///< Of the process.
  bool HasConfiguration = false;   ///< A valid configuration is active.
  /** A peer has advertised a newer configuration that is not active yet. */
  bool NewerAdvertised = false;
  bool PlatformRead = false;      ///< Configuration read from the platform.
  bool ListRead = false;          ///< List of instances read from the platform.
  size_t ListedPeers = 0;         ///< Other live entry instances on the list.
  size_t PeersAnswered = 0;       ///< Peers heard from since the start.
  bool ReadyPeerAnswered = false; ///< One of them has met the start rule.
};

/** Readiness of a starting instance. */
enum class StartReadiness {
  NotReady,
  ReadyUnconfirmed, ///< Serves although no peer confirmed the configuration.
  Ready,
};

/** Maximum wait for a peer to confirm the configuration. */
inline constexpr base::Duration ConfirmationTimeout = std::chrono::seconds(15);
/** Wait for the platform before confirmation by peers alone is enough. */
inline constexpr base::Duration PlatformTimeout = std::chrono::seconds(2);
/** If this many peers have answered and none is ready, the whole fleet is taken
 * to be starting. */
inline constexpr size_t ColdStartPeerCount = 8;

/**
 * Decides whether an instance may serve. A peer that is also starting may have
 * the same stale configuration, so its confirmation counts only if the whole
 * fleet appears to be starting.
 * @param Conditions The conditions.
 * @return The readiness.
 */
StartReadiness evaluateStart(const StartConditions &Conditions);

} // namespace hickorycrank::peers

#endif
