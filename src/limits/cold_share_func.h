#ifndef HICKORYCRANK_LIMITS_COLD_SHARE_FUNC_H
#define HICKORYCRANK_LIMITS_COLD_SHARE_FUNC_H

#include "base/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hickorycrank::limits {

/** Tolerance around the rate that a cold server accepts: in one second it may
 * get Overshoot times that rate and Slack more, from all instances together. */
struct ColdLimits {
  double Overshoot = 1;
  double Slack = 0; ///< In requests.
};

/** The instances that may send requests to servers, as known to this one. They
 * divide the rates of cold servers and the slack of the retry budgets. */
struct ColdMembers {
  uint64_t Own = 0;             ///< Key of this instance.
  std::vector<uint64_t> Others; ///< Keys of the others, each once.
  /** This instance has listened long enough to know the others. */
  bool Settled = false;
  /** This instance has listened long enough to know most of them. */
  bool MostKnown = false;

  bool operator==(const ColdMembers &) const = default;
};

/** How the rate of a cold server is divided. The instances together send at
 * most Senders + PerSecond * (1 s + SavedTime) requests in any one second. */
struct ColdPlan {
  size_t Senders = 0;   ///< Instances that may send requests to the server.
  double PerSecond = 0; ///< Rate of all senders together.
  /** Time for which a sender may use a turn that has passed. */
  base::Duration SavedTime{};
};

/** This instance's share of the rate of one cold server. */
struct ColdShare {
  bool Sends = false; ///< This instance is one of the senders.
  base::Duration Interval{};
  base::Duration SavedTime{};
  base::TimePoint NextTurnAt; ///< Start of the next unused turn.
};

/** Upper bound of ColdPlan::SavedTime. It covers the usual gap between two
 * requests of an instance; a longer one would only make bursts larger. */
inline constexpr base::Duration MaxSavedColdTime =
    std::chrono::milliseconds(250);

/**
 * Computes a key of an instance or server that is equal on all instances.
 * @param Name Its name.
 * @return The key.
 */
uint64_t coldKey(std::string_view Name);

/**
 * Divides the rate of a cold server so that the tolerance holds in any one
 * second, whatever the phases of the instances are.
 * @param PerSecond Rate that the server accepts, in requests per second.
 * @param Limits The tolerance.
 * @param Instances Number of instances, at least 1.
 * @return The plan; without senders if not even one request is tolerated.
 */
ColdPlan planColdShare(double PerSecond, const ColdLimits &Limits,
                       size_t Instances);

/**
 * Adapts a share to the known instances. All instances order the instances of
 * a server in the same way, so an instance that knows at least all that are
 * running never sends beside more than ColdPlan::Senders.
 * @param Share The share; its turns are kept.
 * @param PerSecond Rate that the server accepts, in requests per second.
 * @param Limits The tolerance.
 * @param Members The known instances.
 * @param Server Key of the server.
 */
void updateColdShare(ColdShare &Share, double PerSecond,
                     const ColdLimits &Limits, const ColdMembers &Members,
                     uint64_t Server);

/**
 * Finds this instance's next turn.
 * @param Share The share.
 * @param Now Current time.
 * @return Now if a request may be sent, the start of the next turn, or max() if
 *   this instance is not a sender.
 */
base::TimePoint nextColdTurn(const ColdShare &Share, base::TimePoint Now);

/**
 * Uses a turn; call it for each request that is sent.
 * @param Share The share.
 * @param Now Current time.
 */
void takeColdTurn(ColdShare &Share, base::TimePoint Now);

} // namespace hickorycrank::limits

#endif
