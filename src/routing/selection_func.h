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

/** Which shards a query needs, before a layout has been pinned. */
struct ShardRequest {
  config::ShardSelection Selection = config::ShardSelection::All;
  std::string Key;                ///< For ByKey.
  std::vector<std::string> Names; ///< For Listed.
};

/** An index version pinned for a query. */
struct PinnedVersion {
  base::VersionId Version;
  std::shared_ptr<const Layout> ShardLayout;
  std::vector<base::ShardIndex> Needed;
  size_t Reachable = 0; ///< Needed shards with a replica that may be used.
};

/**
 * Resolves the shards that a query needs in one layout. A key selects
 * stableHash(key) modulo the number of shards.
 * @param Wanted The query's selection.
 * @param Shards The layout.
 * @return Positions in the layout; a listed name that it lacks is left out.
 */
std::vector<base::ShardIndex> resolveShards(const ShardRequest &Wanted,
                                            const Layout &Shards);

/**
 * Chooses the index version of a query. Complete: the newest one of which
 * every needed shard has two usable replicas; if there is none, the newest one
 * with a replica of each; if there is none, the one with the best coverage, the
 * newest of several.
 * @param Servers Directory of the service.
 * @param Wanted The query's selection.
 * @param Rule Rule of the template.
 * @param NewerThan Only versions above this one, for a restart.
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
 * @param Exclude Servers already tried, avoided where others are left.
 * @param Own Failure domain that is preferred while it has capacity.
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
