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
  static constexpr base::Duration Period = std::chrono::milliseconds(250);

  /**
   * Creates a roster.
   * @param Own Address of this instance for heartbeats.
   * @param Seed For the choice of targets.
   */
  Roster(std::string Own, uint64_t Seed);

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
   * @return Addresses of instances and of seeds that have not answered.
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
   * Finds an instance whose view has been ahead for longer than the platform
   * usually takes to deliver a change.
   * @param Now Current time.
   * @param ChangedAt Revision of the last change of the own view.
   * @return The heartbeat of the instance with the newest view, or nothing.
   */
  std::optional<Heartbeat> findAhead(base::TimePoint Now, uint64_t ChangedAt);

  /** @return Known addresses, at most as many as a heartbeat carries. */
  std::vector<std::string> addresses() const;

private:
  struct Peer {
    Heartbeat Last;
    base::TimePoint HeardAt;
  };

  std::string Own;
  base::Random Generator;
  std::vector<std::string> Seeds;
  std::map<std::string, Peer> Peers;
  /** Addresses that others named and that have not been heard. */
  std::map<std::string, base::TimePoint> Hearsay;
  base::TimePoint AheadSince = base::TimePoint::max();
  uint64_t AheadOf = 0; ///< Own revision at AheadSince.
};

} // namespace hickorycrank::fleet

#endif
