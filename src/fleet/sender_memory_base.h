#ifndef HICKORYCRANK_FLEET_SENDER_MEMORY_BASE_H
#define HICKORYCRANK_FLEET_SENDER_MEMORY_BASE_H

#include "base/time_type.h"
#include "limits/cold_share_func.h"

#include <map>
#include <string>

namespace hickorycrank::fleet {

/**
 * Remembers which instances may be sending requests to backend servers. The
 * limit of a cold server holds if each instance knows at least all that are
 * running, so instances are remembered for much longer than heartbeats are
 * awaited: one that is cut off from its peers may still reach servers.
 */
class SenderMemory {
public:
  /** Time for which an instance is remembered after its last heartbeat. */
  static constexpr base::Duration Memory = std::chrono::minutes(5);
  /** Time for which an instance that has announced its end is remembered. It
   * goes on serving for a part of it. */
  static constexpr base::Duration LeavingMemory = std::chrono::seconds(10);
  /** Time of listening after which the others are known and know this
   * instance: twelve rounds of heartbeats. */
  static constexpr base::Duration ListenTime = std::chrono::seconds(3);
  /** Time of listening after which most others are known. Instances that start
   * send heartbeats more often. */
  static constexpr base::Duration FirstListenTime = std::chrono::seconds(1);

  /** @param Now Time of the start. */
  explicit SenderMemory(base::TimePoint Now)
      : ListensSince(Now), LastAskedAt(Now) {}

  /**
   * Records that an instance exists.
   * @param Now Current time.
   * @param Address Address of the instance.
   * @param Heard Whether the instance itself was heard.
   */
  void record(base::TimePoint Now, const std::string &Address, bool Heard);

  /**
   * Records that an instance has announced its end.
   * @param Now Current time.
   * @param Address Address of the instance.
   */
  void recordLeaving(base::TimePoint Now, const std::string &Address);

  /**
   * Lists the instances; call it at least every second. After a longer pause,
   * for which the process was probably stopped, it listens anew.
   * @param Now Current time.
   * @param OwnAddress Address of this instance.
   * @return The instances. They have not settled before ListenTime, and most
   *   are not known before FirstListenTime, nor while others are expected and
   *   none has ever been heard.
   */
  limits::ColdMembers members(base::TimePoint Now,
                              const std::string &OwnAddress);

private:
  std::map<std::string, base::TimePoint> Until; ///< End of memory, by address.
  base::TimePoint ListensSince;
  base::TimePoint LastAskedAt;
  bool HasHeard = false; ///< Some other instance was heard.
};

} // namespace hickorycrank::fleet

#endif
