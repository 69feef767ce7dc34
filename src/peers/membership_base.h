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

/** Options of the failure detector. */
struct MembershipOptions {
  base::Duration Period = std::chrono::seconds(1);
  base::Duration AckTimeout = std::chrono::milliseconds(300);
  base::Duration SuspicionTimeout = std::chrono::seconds(3);
  /** How long dead and departed members are kept. */
  base::Duration RetentionTime = std::chrono::seconds(60);
  uint32_t IndirectProbes = 3;
  /** Every DeadProbeInterval-th period probes a dead member instead of a live
   * one, so that both sides of a partition rejoin after it heals. */
  uint32_t DeadProbeInterval = 5;
  /** An update is sent TransmissionFactor times the binary logarithm of the
   * fleet size. */
  uint32_t TransmissionFactor = 3;
  size_t MaxMembers = 4'096;
  size_t MaxUpdatesPerFrame = 16;
};

/** A probe to send. */
struct Probe {
  base::InstanceId Target;
  std::string Address;
  uint64_t Sequence = 0;
  /** Members to ask for an indirect probe because the direct probe was not
   * acknowledged. Empty for the first probe. */
  std::vector<Member> IndirectProbers;
  bool NewConnection = false; ///< Send the probe over a new connection.
};

/** Counters of the failure detector. */
struct MembershipCounters {
  uint64_t Probes = 0;
  uint64_t Suspicions = 0; ///< Raised by this instance.
  uint64_t Deaths = 0;     ///< Declared here or learnt from peers.
  uint64_t Refutations = 0;
};

/** Local record of a member. */
struct MemberRecord {
  Member View;                    ///< Latest known state.
  base::TimePoint Since;          ///< Time of the last state change.
  bool Listed = false;            ///< Listed as live by the platform.
  uint32_t TransmissionsLeft = 0; ///< Remaining sends of this state.
};

/**
 * Failure detector and member list of one instance, after SWIM. Updates about a
 * process are ordered by two numbers: its incarnation, which tickets depend on,
 * and a refutation number, which the process increments to refute a suspicion.
 */
class Membership {
public:
  /**
   * Creates a member list that holds only this instance.
   * @param Own This instance.
   * @param Options Options of the failure detector.
   * @param Seed Seed of the random probe order.
   */
  Membership(Member Own, MembershipOptions Options, uint64_t Seed);

  /**
   * Applies the platform's list of instances. Unknown ones are added, and
   * listed members are not removed when they are dead.
   * @param Now Current time.
   * @param Entries Live entry instances; this instance is skipped.
   */
  void applyPlatformList(base::TimePoint Now,
                         const std::vector<Member> &Entries);

  /**
   * Applies an update about a member that another instance sent.
   * @param Now Current time.
   * @param Update The update.
   * @return True if it changed the view of the member or was refuted.
   */
  bool apply(base::TimePoint Now, const Member &Update);

  /**
   * Processes timeouts and starts the probe of a new period.
   * @param Now Current time.
   * @return Probes to send.
   */
  std::vector<Probe> tick(base::TimePoint Now);

  /**
   * Handles an Ack.
   * @param Sequence Its sequence number.
   */
  void onAck(uint64_t Sequence);

  /**
   * Withholds suspicions after a pause of this process until a probe sent after
   * it is acknowledged: timeouts during the pause say nothing about the peers.
   * @param Now Time at the end of the pause.
   */
  void onPause(base::TimePoint Now);

  /** Announces that this instance stops. This cannot be undone. */
  void leave();

  /**
   * Selects updates to piggyback on a message and counts them as sent.
   * @param Recipient The receiver. If it is Suspect or Dead, its own state is
   *     included so that it can refute, unless suspicions are withheld.
   * @return At most MaxUpdatesPerFrame members.
   */
  std::vector<Member> takeUpdatesFor(const base::InstanceId &Recipient);

  /** Resets the flag for unsent changes. @return Its value before. */
  bool takeUnsentFlag();

  /**
   * Selects live members at random.
   * @param Count Maximum number of members.
   * @param Excluded An instance that is not selected; an empty id excludes
   * none.
   * @return Distinct members.
   */
  std::vector<Member> sampleLive(size_t Count,
                                 const base::InstanceId &Excluded);

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
  bool withholdsSuspicions() const { return this->WithholdSuspicions; }
  /** @return The counters. */
  const MembershipCounters &counters() const { return this->Counters; }

private:
  /** The probe of the current period, not acknowledged yet. */
  struct OutstandingProbe {
    base::InstanceId Target;
    uint64_t Sequence = 0;
    base::TimePoint Sent;
    bool Retried = false;
  };

  bool refute(const Member &Update);
  void transitionTo(base::TimePoint Now, MemberRecord &Record,
                    MemberState State);
  void expire(base::TimePoint Now);
  void finishProbe(base::TimePoint Now);
  std::optional<base::InstanceId> nextProbeTarget();
  std::optional<base::InstanceId> sampleDead();
  uint32_t transmissions() const;

  Member Own;
  MembershipOptions Options;
  base::Random Generator;
  std::map<base::InstanceId, MemberRecord> Members;
  bool HasUnsentChanges = false;
  bool WithholdSuspicions = false;
  /** Targets left in this round; the last one is next. */
  std::vector<base::InstanceId> ProbeOrder;
  std::optional<OutstandingProbe> CurrentProbe;
  std::optional<base::TimePoint> NextPeriod;
  uint64_t NextSequence = 1;
  uint64_t FirstSequenceAfterPause = 0; ///< Older Acks are ignored.
  uint64_t PeriodCount = 0;
  MembershipCounters Counters;
};

/**
 * Checks whether an update about a member replaces the known state.
 * @param Known The known state.
 * @param Update The update.
 * @return Whether Update takes precedence.
 */
bool supersedes(const Member &Known, const Member &Update);

/**
 * Returns the name of a state.
 * @param State The state.
 * @return Stable lower-case name.
 */
const char *toString(MemberState State);

} // namespace hickorycrank::peers

#endif
