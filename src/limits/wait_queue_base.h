#ifndef HICKORYCRANK_LIMITS_WAIT_QUEUE_BASE_H
#define HICKORYCRANK_LIMITS_WAIT_QUEUE_BASE_H

#include "base/id_type.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorycrank::limits {

/** A sub-query waiting for a backend server with free capacity. Entries are
 * compared in the order of the members. */
struct WaitEntry {
  uint32_t Priority = 5; ///< 0 is the highest priority.
  double StartTag = 0;   ///< Virtual start time in start-time fair queueing.
  uint64_t Sequence = 0; ///< Order of arrival.
  base::QueryId Query;
  uint32_t Slot = 0; ///< Index of the sub-query in the query's list of shards.

  auto operator<=>(const WaitEntry &) const = default;
};

/** Queue lengths that a new sub-query would encounter. */
struct QueueDepth {
  uint64_t Total = 0; ///< Waiting at this or a higher priority.
  uint64_t Own = 0;   ///< Of the same organisation, at exactly this priority.
  uint64_t Organisations = 0; ///< Organisations waiting at this priority.
};

/**
 * Queue of waiting sub-queries for each shard, ordered by priority and then by
 * start-time fair queueing among organisations, so that a large batch of one
 * organisation cannot starve another.
 */
class WaitQueue {
public:
  /** A shard of one index version. */
  using ShardKey = std::pair<base::VersionId, base::ShardIndex>;

  /**
   * Adds a sub-query.
   * @param Key Shard that it needs.
   * @param Priority Its priority; 0 is the highest, 9 the lowest.
   * @param Organisation Organisation that sent the query.
   * @param Weight Fair-queueing weight of the organisation.
   * @param Query Query that it belongs to.
   * @param Slot Index among the query's shards.
   * @return The entry, which is needed to remove it.
   */
  WaitEntry push(const ShardKey &Key, uint32_t Priority,
                 const base::OrganisationId &Organisation, double Weight,
                 base::QueryId Query, uint32_t Slot);

  /**
   * Removes a sub-query that is about to be sent or has been cancelled.
   * @param Key Shard that it needs.
   * @param Organisation Organisation that sent the query.
   * @param Entry Entry returned by push().
   */
  void remove(const ShardKey &Key, const base::OrganisationId &Organisation,
              const WaitEntry &Entry);

  /**
   * Returns the next sub-query for a shard without removing it.
   * @param Key The shard.
   * @return The first entry, or nothing if none is waiting.
   */
  std::optional<WaitEntry> front(const ShardKey &Key) const;

  /**
   * Returns the lengths of the queues ahead of a new sub-query.
   * @param Priority Its priority.
   * @param Organisation Organisation that sent the query.
   * @return The queue lengths.
   */
  QueueDepth count(uint32_t Priority,
                   const base::OrganisationId &Organisation) const;

  /** @return Number of waiting sub-queries. */
  size_t size() const { return this->Size; }

private:
  static constexpr uint32_t PriorityCount = 10;

  /** State of fair queueing among the organisations at one priority. */
  struct PriorityClass {
    double VirtualTime = 0;
    std::map<base::OrganisationId, double> LastFinishTags;
    std::map<base::OrganisationId, uint64_t> Waiting;
    uint64_t Total = 0;
  };

  std::map<ShardKey, std::set<WaitEntry>> Shards;
  PriorityClass PriorityClasses[PriorityCount];
  size_t Size = 0;
  uint64_t NextSequence = 0;
};

} // namespace hickorycrank::limits

#endif
