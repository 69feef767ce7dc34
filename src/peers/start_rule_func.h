#ifndef HICKORYCRANK_PEERS_START_RULE_FUNC_H
#define HICKORYCRANK_PEERS_START_RULE_FUNC_H

#include "base/time_type.h"

#include <cstddef>

namespace hickorycrank::peers {

/** What a starting instance knows. */
struct StartView {
  base::Duration Waited{};       ///< Since the process started.
  bool HasConfiguration = false; ///< A valid one is in force.
  /** A peer has shown a newer configuration that is not in force yet. */
  bool NewerShown = false;
  bool PlatformRead = false;  ///< The platform gave its configuration.
  bool ListRead = false;      ///< The platform gave its list of instances.
  size_t ListedPeers = 0;     ///< Live entry instances on the list.
  size_t PeersAnswered = 0;   ///< Peers that showed their configuration.
  bool ReadyAnswered = false; ///< One of them has met the start rule itself.
};

/** Verdict on a starting instance. */
enum class StartReadiness {
  NotReady,
  ReadyUnconfirmed, ///< No peer could confirm what the platform says.
  Ready,
};

/** Longest wait for a peer to confirm the platform's configuration. */
inline constexpr base::Duration ConfirmationTime = std::chrono::seconds(15);
/** Wait for the platform before the peers' word is enough. */
inline constexpr base::Duration PlatformTime = std::chrono::seconds(2);
/** When so many peers have answered and none is ready, all are starting. */
inline constexpr size_t ColdStartSample = 8;

/**
 * Decides whether an instance may serve. A peer that is starting itself may
 * hold the same stale configuration, so its word counts only when the whole
 * fleet seems to be starting.
 * @param View What the instance knows.
 * @return The verdict.
 */
StartReadiness judgeStart(const StartView &View);

} // namespace hickorycrank::peers

#endif
