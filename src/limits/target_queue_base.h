#ifndef HICKORYCRANK_LIMITS_TARGET_QUEUE_BASE_H
#define HICKORYCRANK_LIMITS_TARGET_QUEUE_BASE_H

#include "base/time_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace hickorycrank::limits {

/** A part of a call that waits for a server of a service. Entries are compared
 * in the order of the members. */
struct WaitingPart {
  base::TimePoint Target; ///< Time by which the caller should have the answer.
  uint32_t Priority = 0;  ///< 0 is the most urgent.
  uint64_t Call = 0;
  uint32_t Part = 0;

  auto operator<=>(const WaitingPart &) const = default;
};

/** How fast a service accepts what waits for it. */
struct ServicePace {
  base::Duration Interval{};  ///< Between the starts of two attempts.
  base::Duration Execution{}; ///< From the start of an attempt to its reply.
};

/**
 * Parts that wait for a server of one service. As long as all of them can meet
 * their targets, the earliest target goes first, whatever its priority.
 * Otherwise the most urgent goes first, and parts that miss their targets in
 * any case go last. One start in LeastUrgentTurn is the least urgent's.
 */
class TargetQueue {
public:
  /** One in this number of starts goes to the least urgent part while not all
   * targets can be met. */
  static constexpr uint32_t LeastUrgentTurn = 10;

  /** Adds a part that may be waiting already. @param Entry The part. */
  void push(const WaitingPart &Entry) { this->Entries.insert(Entry); }

  /**
   * Removes a part that has started or no longer waits.
   * @param Entry The part; ignored if it does not wait.
   * @param Started Whether it has started.
   */
  void remove(const WaitingPart &Entry, bool Started);

  /**
   * Finds the part that starts next.
   * @param Now Current time.
   * @param Pace How fast the service accepts parts.
   * @return The part, or nothing if none waits.
   */
  std::optional<WaitingPart> next(base::TimePoint Now,
                                  const ServicePace &Pace) const;

  /**
   * Counts the parts that would start before another one.
   * @param Entry The other part.
   * @return Parts that are due earlier.
   */
  size_t countAhead(const WaitingPart &Entry) const;

  /** @return The part with the earliest target; the queue is not empty. */
  const WaitingPart &first() const { return *this->Entries.begin(); }

  /** @return Number of parts that wait. */
  size_t size() const { return this->Entries.size(); }

private:
  /** @return Whether all parts that can still meet their targets do so if the
   * earliest target goes first. */
  bool meetsTargets(base::TimePoint Now, const ServicePace &Pace) const;

  std::set<WaitingPart> Entries;
  uint32_t StartsSinceTurn = 0; ///< Since the least urgent part's last turn.
};

} // namespace hickorycrank::limits

#endif
