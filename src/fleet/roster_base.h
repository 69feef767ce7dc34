#ifndef HICKORYCRANK_FLEET_ROSTER_BASE_H
#define HICKORYCRANK_FLEET_ROSTER_BASE_H

#include "base/random_base.h"
#include "base/time_type.h"
#include "fleet/fleet_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::fleet {

/**
 * The instances that this one knows. They find each other through a few seed
 * addresses and through the addresses in each other's heartbeats; there is no
 * list of planned instances, since any of them may be replaced at any time.
 */
class Roster {
public:
  /** Period of heartbeats. */
  static constexpr base::Duration HeartbeatPeriod =
      std::chrono::milliseconds(250);

  /**
   * Creates a roster.
   * @param Now Current time.
   * @param Own Address of this instance for heartbeats.
   * @param Domain Failure domain of this instance.
   * @param Seed For the choice of targets.
   */
  Roster(base::TimePoint Now, std::string Own, base::FailureDomainId Domain,
         uint64_t Seed);

  /** Replaces the seeds. @param Addresses Where to look for instances. */
  void setSeeds(std::vector<std::string> Addresses);

  /**
   * Takes a heartbeat.
   * @param Now Current time.
   * @param Received The heartbeat.
   */
  void onHeartbeat(base::TimePoint Now, const Heartbeat &Received);

  /**
   * Chooses where to send this period's heartbeat.
   * @param Now Current time.
   * @return The instances of the own failure domain, some of the others, and
   *   addresses that have not been heard.
   */
  std::vector<std::string> targets(base::TimePoint Now);

  /**
   * Counts the instances that may be using backend servers.
   * @param Now Current time.
   * @return Instances heard of lately, with this one, and at least as many as
   *   there are seeds.
   */
  size_t instances(base::TimePoint Now) const;

  /**
   * Finds an instance whose view is ahead; one of the own failure domain if
   * there is any.
   * @param Now Current time.
   * @param LastChangeRevision Revision of the last change of the own view.
   * @param Reading Whether this instance reads the store; then its own watch
   *   gets some time to deliver the change.
   * @return The last heartbeat of that instance, or nothing.
   */
  std::optional<Heartbeat>
  findNewerView(base::TimePoint Now, uint64_t LastChangeRevision, bool Reading);

  /**
   * Decides whether this instance reads the store. One instance of each
   * failure domain does, so that the number of calls does not grow with the
   * fleet; others take over in a fixed order if it loses the store.
   * @param Now Current time.
   * @param HasView Whether this instance knows anything from the store.
   * @return Whether to read.
   */
  bool shouldReadStore(base::TimePoint Now, bool HasView);

  /**
   * Tells whether this failure domain seems cut off from the others.
   * @param Now Current time.
   * @return Whether instances of other failure domains were heard before and
   *   none is heard any more.
   */
  bool isPartitioned(base::TimePoint Now) const;

  /** @return Some known addresses, for a heartbeat. */
  std::vector<std::string> addresses();

private:
  struct Peer {
    Heartbeat Last;
    base::TimePoint HeardAt;
  };

  const Heartbeat *newest(base::TimePoint Now, uint64_t LastChangeRevision,
                          bool OwnDomain) const;
  void shuffle(std::vector<std::string> &Addresses);

  std::string Own;
  base::FailureDomainId Domain;
  base::TimePoint StartedAt;
  base::Random Generator;
  std::vector<std::string> Seeds;
  std::map<std::string, Peer> Peers;
  /** Addresses that others named and that have not been heard. */
  std::map<std::string, base::TimePoint> Hearsay;
  base::TimePoint AheadSince = base::TimePoint::max();
  uint64_t AheadOf = 0; ///< Own revision at AheadSince.
  /** Since when no instance before this one reads the store. */
  base::TimePoint UnreadSince;
};

} // namespace hickorycrank::fleet

#endif
