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

/** One sub-query that waits for a backend server with capacity. */
struct WaitEntry {
  uint32_t Priority = 5; ///< 0 is served first.
  double StartTag = 0;   ///< Virtual start time of fair queueing.
  uint64_t Sequence = 0; ///< Order of arrival.
  base::QueryId Query;
  uint32_t Slot = 0; ///< Position among the query's shards.

  auto operator<=>(const WaitEntry &) const = default;
};

/** Sub-queries of one organisation at one priority. */
struct QueueDepth {
  uint64_t Total = 0; ///< Waiting at this priority or a more important one.
  uint64_t Own = 0;   ///< Of these, the organisation's at this priority.
  uint64_t Organisations = 0; ///< Organisations that wait at this priority.
};

/**
 * Sub-queries that wait, per shard, in the order of priority and then of
 * start-time fair queueing over organisations, so that the sweep of one
 * organisation cannot starve another.
 */
class WaitQueue {
public:
  /** A shard of one index version. */
  using ShardKey = std::pair<base::VersionId, base::ShardIndex>;

  /**
   * Adds a sub-query.
   * @param Key Shard it needs.
   * @param Priority Its priority, 0 to 9.
   * @param Organisation Who sent it.
   * @param Weight Share of the organisation.
   * @param Query Query it belongs to.
   * @param Slot Position among the query's shards.
   * @return The entry, needed to remove it.
   */
  WaitEntry push(const ShardKey &Key, uint32_t Priority,
                 const base::OrganisationId &Organisation, double Weight,
                 base::QueryId Query, uint32_t Slot);

  /**
   * Removes a sub-query, whether it is sent or given up.
   * @param Key Shard it needs.
   * @param Organisation Who sent it.
   * @param Entry The entry.
   */
  void remove(const ShardKey &Key, const base::OrganisationId &Organisation,
              const WaitEntry &Entry);

  /**
   * Finds the sub-query to serve next on one shard.
   * @param Key The shard.
   * @return The entry, or nothing.
   */
  std::optional<WaitEntry> front(const ShardKey &Key) const;

  /**
   * Counts what waits ahead of a new sub-query.
   * @param Priority Its priority.
   * @param Organisation Who sent it.
   * @return The counts.
   */
  QueueDepth count(uint32_t Priority,
                   const base::OrganisationId &Organisation) const;

  /** @return Number of sub-queries that wait. */
  size_t size() const { return this->Size; }

private:
  static constexpr uint32_t PriorityCount = 10;

  /** Fair queueing among the organisations at one priority. */
  struct Class {
    double VirtualTime = 0;
    std::map<base::OrganisationId, double> LastFinish;
    std::map<base::OrganisationId, uint64_t> Waiting;
    uint64_t Total = 0;
  };

  std::map<ShardKey, std::set<WaitEntry>> Shards;
  Class Classes[PriorityCount];
  size_t Size = 0;
  uint64_t NextSequence = 0;
};

} // namespace hickorycrank::limits

#endif
