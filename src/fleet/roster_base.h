#ifndef HICKORYCRANK_FLEET_ROSTER_BASE_H
#define HICKORYCRANK_FLEET_ROSTER_BASE_H

#include "base/random_base.h"
#include "base/time_type.h"
#include "fleet/fleet_type.h"
#include "fleet/sender_memory_base.h"
#include "fleet/view_freshness_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::fleet {

/**
 * Membership table of the fleet as seen by this instance. Instances discover
 * each other through a few seed addresses and the peer addresses in received
 * heartbeats. There is no static list of instances, because any of them may be
 * replaced at any time.
 */
class Roster {
public:
  /** Interval between heartbeats. */
  static constexpr base::Duration HeartbeatPeriod =
      std::chrono::milliseconds(250);

  /**
   * Creates a roster.
   * @param Now Current time.
   * @param OwnAddress "IP:port" at which this instance receives heartbeats.
   * @param Domain Failure domain of this instance.
   * @param RandomSeed Seed of the random choice of heartbeat targets.
   */
  Roster(base::TimePoint Now, std::string OwnAddress,
         base::FailureDomainId Domain, uint64_t RandomSeed);

  /**
   * Replaces the seed addresses.
   * @param Addresses "IP:port" of instances to contact first.
   */
  void setSeedAddresses(std::vector<std::string> Addresses);

  /**
   * Records a received heartbeat; a leaving instance is removed.
   * @param Now Current time.
   * @param Received The heartbeat.
   */
  void onHeartbeat(base::TimePoint Now, const Heartbeat &Received);

  /**
   * Forgets expired instances and chooses the targets of this period's
   * heartbeat.
   * @param Now Current time.
   * @return Addresses of the instances of the own failure domain, of a random
   *   sample of the others, and of those from which no heartbeat has arrived
   *   yet. If the own failure domain has too many for one period, they take
   *   turns, so that each one gets a heartbeat at a fixed interval.
   */
  std::vector<std::string> chooseTargets(base::TimePoint Now);

  /**
   * Counts the instances that may be using backend servers.
   * @param Now Current time.
   * @return Number of instances with a recent heartbeat, including this one;
   *   at least the number of seed addresses.
   */
  size_t countInstances(base::TimePoint Now) const;

  /**
   * Lists the instances that may send requests to cold servers; call it at
   * least every second.
   * @param Now Current time.
   * @return The instances.
   */
  limits::ColdMembers coldMembers(base::TimePoint Now) {
    return this->Senders.members(Now, this->OwnAddress);
  }

  /**
   * Counts the instances of the own failure domain that may be using backend
   * servers.
   * @param Now Current time.
   * @return Number of them with a recent heartbeat, including this one.
   */
  size_t countDomainInstances(base::TimePoint Now) const;

  /**
   * Computes the part of common limits that this instance takes, relative to an
   * equal part. Instances that state no capacity count as average ones. Those
   * that are counted, but from which no heartbeat has arrived, count as the
   * largest known one, so that the parts of all instances do not exceed the
   * limit while their views are incomplete.
   * @param Now Current time.
   * @param OwnCapacity Of this instance, in thousandths of a core; nothing if
   *   it is unknown.
   * @return The weight; 1 if the capacity is unknown or all are about equal.
   */
  double capacityWeight(base::TimePoint Now,
                        std::optional<uint32_t> OwnCapacity) const;

  /**
   * Computes the part of the slack of common limits that this instance takes.
   * Others that leave or are silent keep their parts as long as SenderMemory
   * remembers them: they may have spent theirs, or go on spending it behind a
   * partition.
   * @param Now Current time.
   * @param OwnCapacity As in capacityWeight().
   * @param Senders The result of coldMembers().
   * @return From 0 to 1; 0 while the others are not known.
   */
  double slackPart(base::TimePoint Now, std::optional<uint32_t> OwnCapacity,
                   const limits::ColdMembers &Senders) const;

  /**
   * Chooses a live instance with the newest view, if that is newer than the own
   * one. Instances of the own failure domain are preferred. The choice is
   * random, so that a large change spreads over the links of all that have it.
   * @param Now Current time.
   * @param LastChange Position of the last change in the own view; 0
   *   if there is none.
   * @param ReadsStore Whether this instance reads the store. If so, its own
   *   watch gets some time to deliver the change first.
   * @return The last heartbeat of that instance, or nothing if no view is newer
   *   or those that have one are to be tried later.
   */
  std::optional<Heartbeat>
  findInstanceWithNewerView(base::TimePoint Now,
                            const discovery::StorePosition &LastChange,
                            bool ReadsStore);

  /**
   * Records that a copy of an instance's view has failed or was refused, so
   * that others are tried first.
   * @param Now Current time.
   * @param Address "IP:port" at which the instance receives heartbeats.
   * @param Busy Whether the instance has refused because of other transfers.
   */
  void onCopyFailed(base::TimePoint Now, const std::string &Address, bool Busy);

  /**
   * Decides whether this instance reads the store. Normally one instance of
   * each failure domain does, so that the number of calls does not grow with
   * the fleet. If it can no longer reach the store, the others take over in the
   * order of their addresses. An instance that gets no copy of a newer view
   * from its peers reads the store itself, and so does one whose view nobody
   * has verified for too long, whatever its peers say of themselves.
   * @param Now Current time.
   * @param HasView Whether this instance has a view of the store.
   * @param ViewAge Time since which changes may be missing in the view.
   * @param Timing Limits of ViewAge.
   * @return Whether to read the store.
   */
  bool shouldReadStore(base::TimePoint Now, bool HasView,
                       base::Duration ViewAge, const ReadTiming &Timing);

  /**
   * Tells whether this instance appears to be partitioned from all other
   * failure domains.
   * @param Now Current time.
   * @return Whether instances of other failure domains are known, but none of
   *   them has sent a heartbeat recently.
   */
  bool isPartitioned(base::TimePoint Now) const;

  /**
   * Lists the live instances that forward the requests of others.
   * @param Now Current time.
   * @return Their last heartbeats.
   */
  std::vector<const Heartbeat *> relayTargets(base::TimePoint Now) const;

  /** @return Random sample of the known addresses, for a heartbeat: some of
   * the own failure domain, whose members need to know each other, and some of
   * all, first those that this instance has sent no heartbeat yet. */
  std::vector<std::string> sampleAddresses();

private:
  struct Peer {
    Heartbeat LastHeartbeat;
    base::TimePoint LastHeardAt;
    base::TimePoint CopyAfter; ///< Its view is not copied before.
    bool Answered = false; ///< It has been sent a heartbeat since it is known.
  };

  /** Whether there is an instance with a newer view, and whether to copy it. */
  struct NewerViews {
    bool Exist = false;                ///< Some live instance has one.
    const Heartbeat *Source = nullptr; ///< To be copied now; null if all wait.
  };

  /**
   * Chooses among the live instances with the newest view.
   * @param Now Current time.
   * @param LastChange The view must be newer than this position.
   * @param SameDomain Whether to search the own failure domain or the others.
   * @return The choice.
   */
  NewerViews findNewerViews(base::TimePoint Now,
                            const discovery::StorePosition &LastChange,
                            bool SameDomain);
  /** An address from which no heartbeat has arrived yet. */
  struct Unconfirmed {
    base::TimePoint LearntAt;
    /** Heartbeats of the own failure domain that have listed it since it was
     * last sent one. They list members of their failure domain far more often
     * than others, whose domains are not known before they answer. */
    uint32_t Mentions = 0;
  };

  /** A peer by its address; points into Peers. */
  using PeerPointer = const std::pair<const std::string, Peer> *;

  template <typename Entry> void shuffle(std::vector<Entry> &Entries);
  /** Moves those that have been sent no heartbeat yet to the front.
   * @return Their number. */
  static size_t putUnansweredFirst(std::vector<PeerPointer> &Entries);
  /** Chooses among the addresses from which no heartbeat has arrived yet. */
  std::vector<std::string> chooseUnconfirmed(size_t Count);
  /** Appends the next instances of the own failure domain, in turn. */
  void addNextOwnDomain(size_t Count, const std::vector<PeerPointer> &OwnDomain,
                        std::vector<std::string> &Targets);
  /** @return Whether a peer has been heard from recently. */
  bool isAlive(base::TimePoint Now, const Peer &KnownPeer) const {
    return Now - KnownPeer.LastHeardAt <= this->HeartbeatTimeout;
  }

  std::string OwnAddress;
  base::FailureDomainId Domain;
  base::TimePoint StartedAt;
  base::Random Generator;
  std::vector<std::string> SeedAddresses;
  /** An instance is considered alive for this time after its last heartbeat. It
   * follows the interval at which the members of a failure domain send to each
   * other; they know about equally many. */
  base::Duration HeartbeatTimeout;
  std::string LastTarget; ///< Own failure domain's last target.
  std::map<std::string, Peer> Peers;
  SenderMemory Senders;
  /** Addresses learnt from heartbeats of others. */
  std::map<std::string, Unconfirmed> UnconfirmedAddresses;
  /** Time since which a live instance has been known to have a newer view;
   * max() if none has. */
  base::TimePoint BehindSince = base::TimePoint::max();
  /** Last change of the own view at BehindSince. */
  discovery::StorePosition BehindPosition;
  /** Since when no instance earlier in the takeover order reads the store. */
  base::TimePoint NoReaderSince;
};

} // namespace hickorycrank::fleet

#endif
