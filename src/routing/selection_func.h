#ifndef HICKORYCRANK_ROUTING_SELECTION_FUNC_H
#define HICKORYCRANK_ROUTING_SELECTION_FUNC_H

#include "base/id_type.h"
#include "base/random_base.h"
#include "base/time_type.h"
#include "config/document_type.h"
#include "routing/directory_base.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickorycrank::routing {

/** Shards that a query needs, before a layout is pinned. */
struct ShardRequest {
  config::ShardSelection Selection = config::ShardSelection::All;
  std::string Key;                ///< For ByKey.
  std::vector<std::string> Names; ///< For Listed.
};

/** The index version that all attempts of a query use. */
struct PinnedVersion {
  base::VersionId Version;
  std::shared_ptr<const Layout> ShardLayout;
  std::vector<base::ShardIndex> Needed;
  size_t Reachable = 0; ///< Needed shards with a usable replica.
};

/**
 * Resolves the shards that a query needs in one layout. A key selects
 * stableHash(key) modulo the number of shards.
 * @param Wanted The query's selection.
 * @param ShardLayout The layout.
 * @return Positions in the layout; listed names that it does not contain are
 * omitted.
 */
std::vector<base::ShardIndex> resolveShards(const ShardRequest &Wanted,
                                            const Layout &ShardLayout);

/**
 * Chooses the index version of a query. With SnapshotRule::Complete, this is
 * the newest version with two usable replicas of every needed shard; else the
 * newest with one replica of each; else the one with the best coverage, the
 * newest if several are equal.
 * @param Servers Directory of the service.
 * @param Wanted The query's selection.
 * @param Rule Version rule of the template.
 * @param NewerThan Only versions above this one are considered, for a restart.
 * @param Now Current time.
 * @return The version, or nothing if no server holds any.
 */
std::optional<PinnedVersion> chooseVersion(const Directory &Servers,
                                           const ShardRequest &Wanted,
                                           config::SnapshotRule Rule,
                                           base::VersionId NewerThan,
                                           base::TimePoint Now);

/**
 * Chooses a replica of one shard.
 * @param Servers Directory of the service.
 * @param Version Pinned version.
 * @param Shard Shard of its layout.
 * @param Exclude Servers already tried, used only if no other has capacity.
 * @param Own Failure domain of this instance, which is preferred.
 * @param TypicalLatency Median latency of the service in milliseconds.
 * @param Now Current time.
 * @param Generator Source of random draws.
 * @return A server with capacity, or nothing.
 */
std::optional<base::ServerIndex>
chooseReplica(const Directory &Servers, base::VersionId Version,
              base::ShardIndex Shard,
              std::span<const base::ServerIndex> Exclude,
              const base::FailureDomainId &Own, double TypicalLatency,
              base::TimePoint Now, base::Random &Generator);

} // namespace hickorycrank::routing

#endif
