#ifndef HICKORYCRANK_PEERS_MEMBERSHIP_BASE_H
#define HICKORYCRANK_PEERS_MEMBERSHIP_BASE_H

#include "base/random_base.h"
#include "base/time_type.h"
#include "peers/message_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hickorycrank::peers {

/** Times and counts of the failure detector. */
struct MembershipRules {
  base::Duration Period = std::chrono::seconds(1);
  base::Duration AckTimeout = std::chrono::milliseconds(300);
  base::Duration SuspicionTime = std::chrono::seconds(3);
  base::Duration ForgetTime = std::chrono::seconds(60);
  uint32_t IndirectProbes = 3;
  /** Every so many periods an instance held dead is probed instead, so that
   * two sides find each other again after a partition. */
  uint32_t DeadProbeInterval = 5;
  /** Transmissions of one update, times the binary logarithm of the fleet. */
  uint32_t Transmissions = 3;
  size_t MaxMembers = 4'096;
  size_t MaxUpdates = 16; ///< Members in one frame.
};

/** One probe to send. */
struct Probe {
  base::InstanceId Target;
  std::string Address;
  uint64_t Sequence = 0;
  /** The direct probe went unanswered: use a new connection, and ask these
   * instances to probe as well. Empty for the first probe. */
  std::vector<Member> Helpers;
  bool Retry = false;
};

/** What the failure detector counts. */
struct MembershipCounters {
  uint64_t Probes = 0;
  uint64_t Suspicions = 0; ///< Raised by this instance.
  uint64_t Deaths = 0;     ///< Seen by this instance, by whatever way.
  uint64_t Refutations = 0;
};

/** A member and when it reached its state. */
struct MemberRecord {
  Member View;
  base::TimePoint Since;  ///< Of the state.
  bool Listed = false;    ///< Live on the platform's list.
  uint32_t Remaining = 0; ///< Transmissions of this state still to make.
};

/**
 * Failure detector and member list of one instance, after SWIM. A process has
 * a number for its incarnation, which tickets depend on, and a second one that
 * it raises to refute a suspicion; both order what is said about it.
 */
class Membership {
public:
  /**
   * Starts with this instance alone.
   * @param Own This instance.
   * @param Rules Times and counts.
   * @param Seed For the order of probes.
   */
  Membership(Member Own, MembershipRules Rules, uint64_t Seed);

  /**
   * Takes the platform's list, which seeds members and keeps them known.
   * @param Now Current time.
   * @param Entries Live entry instances; this one is ignored.
   */
  void applyListing(base::TimePoint Now, const std::vector<Member> &Entries);

  /**
   * Takes what another instance says about a member.
   * @param Now Current time.
   * @param Update The statement.
   * @return Whether it was news.
   */
  bool apply(base::TimePoint Now, const Member &Update);

  /**
   * Lets time pass.
   * @param Now Current time.
   * @return Probes to send.
   */
  std::vector<Probe> tick(base::TimePoint Now);

  /**
   * Takes an Ack.
   * @param Sequence Its sequence number.
   */
  void onAck(uint64_t Sequence);

  /**
   * Distrusts this view after a pause: what timed out meanwhile proves
   * nothing about the others.
   * @param Now Time at the end of the pause.
   */
  void onPause(base::TimePoint Now);

  /** Announces that this instance stops; cannot be taken back. */
  void leave();

  /**
   * Chooses updates to piggyback and counts them as sent.
   * @param Recipient Its own state is included unless it is Alive.
   * @return At most MaxUpdates members.
   */
  std::vector<Member> takeUpdates(const base::InstanceId &Recipient);

  /** @return Whether updates exist that have not been sent at all, once. */
  bool takeFresh();

  /**
   * Draws live members.
   * @param Count How many at most.
   * @param Except Left out.
   * @return Distinct members.
   */
  std::vector<Member> drawLive(size_t Count, const base::InstanceId &Except);

  /** @return Members that are Alive or Suspect, without this instance. */
  std::vector<Member> live() const;
  /** @return All members by id, without this instance. */
  const std::map<base::InstanceId, MemberRecord> &all() const {
    return this->Members;
  }
  /** @param Id An instance. @return Its record, or nullptr. */
  const MemberRecord *find(const base::InstanceId &Id) const;
  /** @return This instance. */
  const Member &own() const { return this->Own; }
  /** @return Whether suspicions are withheld after a pause. */
  bool distrustsItself() const { return this->Distrust; }
  /** @return What was counted so far. */
  const MembershipCounters &counters() const { return this->Counters; }

private:
  /** The probe of this period. */
  struct Outstanding {
    base::InstanceId Target;
    uint64_t Sequence = 0;
    base::TimePoint Sent;
    bool Retried = false;
  };

  bool refute(const Member &Update);
  void enter(base::TimePoint Now, MemberRecord &Record, MemberState State);
  void expire(base::TimePoint Now);
  void finishProbe(base::TimePoint Now);
  std::optional<base::InstanceId> nextTarget();
  std::optional<base::InstanceId> drawDead();
  uint32_t transmissions() const;

  Member Own;
  MembershipRules Rules;
  base::Random Generator;
  std::map<base::InstanceId, MemberRecord> Members;
  bool Fresh = false;
  bool Distrust = false;
  std::vector<base::InstanceId> Order; ///< Rest of the present round.
  std::optional<Outstanding> Current;
  std::optional<base::TimePoint> NextPeriod;
  uint64_t NextSequence = 1;
  uint64_t FirstTrusted = 0; ///< Acks of older probes prove nothing.
  uint64_t Periods = 0;
  MembershipCounters Counters;
};

/**
 * Tells whether a statement about a member replaces another one.
 * @param Known The present statement.
 * @param Update The other one.
 * @return Whether Update wins.
 */
bool supersedes(const Member &Known, const Member &Update);

/**
 * Names a state.
 * @param State The state.
 * @return Stable lower-case name.
 */
const char *toString(MemberState State);

} // namespace hickorycrank::peers

#endif
