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

/** Who holds each shard of one index version. */
struct VersionState {
  std::shared_ptr<const Layout> ShardLayout;
  std::vector<std::vector<base::ServerIndex>> Holders; ///< By shard index.
  uint32_t Reporters = 0;       ///< Servers that report this layout.
  bool HasOtherLayouts = false; ///< A server reported another layout.
};

/** What changed when a report or list was applied. */
struct DirectoryChange {
  bool Appeared = false;   ///< A server can take work that could not before.
  bool NowLeaving = false; ///< The server began to leave.
  bool NewIncarnation = false; ///< The process was replaced or restarted.
  /** The versions of a new process are not known; ask for a whole report. */
  bool NeedsVersions = false;
};

/**
 * The backend servers of one service, and the index versions they hold. Keeps
 * three rules: leaving is sticky for an incarnation, an older incarnation
 * never replaces a newer one, and a list that lags never overrides what a
 * server said of itself.
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
   * Applies the platform's list, which may lag.
   * @param Now Current time.
   * @param Listed All servers of this service in the list.
   * @return Servers that are new, and so need a probe.
   */
  std::vector<base::ServerIndex>
  applyList(base::TimePoint Now, const std::vector<ServerListing> &Listed);

  /**
   * Applies what a server says of itself.
   * @param Now Current time.
   * @param Report The report.
   * @return What changed.
   */
  DirectoryChange applyReport(base::TimePoint Now, const ServerReport &Report);

  /**
   * Marks a server as leaving; sticky for the incarnation.
   * @param Server Name of the server.
   * @param Process Incarnation that leaves.
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

  /** @return All servers ever seen; positions never change. */
  std::vector<ServerState> &servers() { return this->Servers; }
  /** @return All servers ever seen; positions never change. */
  const std::vector<ServerState> &servers() const { return this->Servers; }

  /** @return Versions held by any server, oldest first. */
  const std::map<base::VersionId, VersionState> &versions() const {
    return this->Versions;
  }

  /** @return The policy in force. */
  const Policy &policy() const { return this->Rules; }

private:
  void rebuildVersions();
  /** Adds what a server holds to the index of versions. */
  void addHoldings(base::ServerIndex Index);
  /**
   * Removes what a server holds from the index of versions. Changing one
   * server's part keeps the first reports of N servers from costing N squared.
   * @param Index The server.
   * @return Whether a layout that was left out may take the removed one's
   * place, so that the index must be rebuilt.
   */
  bool removeHoldings(base::ServerIndex Index);
  /** Replaces what a server holds, in its state and in the index. */
  void replaceHoldings(base::ServerIndex Index,
                       std::vector<VersionReport> Held);
  /** Each report is decoded to a layout of its own; equal ones are stored once.
   */
  void shareLayouts(std::vector<VersionReport> &Held) const;

  Policy Rules;
  double InitialLimit;
  std::vector<ServerState> Servers;
  std::unordered_map<base::ServerId, base::ServerIndex> ByName;
  std::map<base::VersionId, VersionState> Versions;
};

} // namespace hickorycrank::routing

#endif
