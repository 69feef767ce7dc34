#ifndef HICKORYCRANK_ROUTING_DIRECTORY_BASE_H
#define HICKORYCRANK_ROUTING_DIRECTORY_BASE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "routing/policy_type.h"
#include "routing/server_type.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace hickorycrank::routing {

/** Servers that hold each shard of one index version. */
struct VersionState {
  std::shared_ptr<const Layout> ShardLayout;
  /** Servers by shard index. */
  std::vector<std::vector<base::ServerIndex>> Holders;
  uint32_t Reporters = 0;             ///< Servers that report this layout.
  bool HasConflictingLayouts = false; ///< A server reported another layout.
};

/** What changed when a report was applied. */
struct DirectoryChange {
  bool BecameLive = false;     ///< The server became able to take work.
  bool StartedLeaving = false; ///< The server began to leave.
  bool NewIncarnation = false; ///< The process was replaced or restarted.
  /** The versions of a new process are unknown; request a full report. */
  bool NeedsVersions = false;
};

/**
 * The backend servers of one service, and the index versions they hold.
 * Maintains three invariants: leaving is permanent for an incarnation, an older
 * incarnation never replaces a newer one, and a stale list never overrides a
 * server's own report.
 */
class Directory {
public:
  /**
   * Creates an empty directory.
   * @param Rules Policy in force.
   * @param InitialLimit Concurrency limit of a new server.
   */
  Directory(Policy Rules, double InitialLimit);

  /**
   * Applies the platform's list, which may be stale.
   * @param Now Current time.
   * @param Listed All servers of this service in the list.
   * @return New or restarted servers, which need a probe.
   */
  std::vector<base::ServerIndex>
  applyList(base::TimePoint Now, const std::vector<ServerListing> &Listed);

  /**
   * Applies a server's own report.
   * @param Now Current time.
   * @param Report The report.
   * @return What changed.
   */
  DirectoryChange applyReport(base::TimePoint Now, const ServerReport &Report);

  /**
   * Marks a server as leaving, permanently for the incarnation.
   * @param Server Name of the server.
   * @param Process Incarnation that is leaving.
   * @return Whether this was not known before.
   */
  bool markLeaving(const base::ServerId &Server, base::Incarnation Process);

  /**
   * Marks a server as down until a probe succeeds.
   * @param Now Current time.
   * @param Server The server.
   * @return Whether it was not down before.
   */
  bool markDown(base::TimePoint Now, base::ServerIndex Server);

  /**
   * Removes one version from a server that no longer serves it.
   * @param Server The server.
   * @param Version The version.
   */
  void dropVersion(base::ServerIndex Server, base::VersionId Version);

  /**
   * Finds a server by name.
   * @param Server Its name.
   * @return Its position, or nothing.
   */
  std::optional<base::ServerIndex> find(const base::ServerId &Server) const;

  /** @param Index A position. @return The server's state. */
  ServerState &at(base::ServerIndex Index) {
    return this->Servers[Index.Value];
  }
  /** @param Index A position. @return The server's state. */
  const ServerState &at(base::ServerIndex Index) const {
    return this->Servers[Index.Value];
  }

  /** @return All servers ever listed; positions never change. */
  std::vector<ServerState> &servers() { return this->Servers; }
  /** @return All servers ever listed; positions never change. */
  const std::vector<ServerState> &servers() const { return this->Servers; }

  /** @return Versions held by any server, oldest first. */
  const std::map<base::VersionId, VersionState> &versions() const {
    return this->Versions;
  }

  /** @return The policy in force. */
  const Policy &policy() const { return this->Rules; }

private:
  void rebuildVersions();
  /** Adds a server's shards to the version index. */
  void addHoldings(base::ServerIndex Index);
  /**
   * Removes a server's shards from the version index. The index is updated
   * server by server because rebuilding it for each of the first reports of N
   * servers costs O(N^2).
   * @param Index The server.
   * @return Whether a conflicting layout may replace the removed one, so that
   *   the index must be rebuilt.
   */
  bool removeHoldings(base::ServerIndex Index);
  /** Replaces a server's shards in its state and in the version index. */
  void replaceHoldings(base::ServerIndex Index,
                       std::vector<VersionReport> Holdings);
  /**
   * Replaces layouts by equal ones that are already stored. Each report is
   * decoded to a layout of its own; sharing stores equal ones once.
   */
  void shareLayouts(std::vector<VersionReport> &Holdings) const;

  Policy Rules;
  double InitialLimit;
  std::vector<ServerState> Servers;
  std::unordered_map<base::ServerId, base::ServerIndex> ByName;
  std::map<base::VersionId, VersionState> Versions;
};

} // namespace hickorycrank::routing

#endif
