#ifndef HICKORYCRANK_PEERS_CONFIG_SYNC_BASE_H
#define HICKORYCRANK_PEERS_CONFIG_SYNC_BASE_H

#include "base/time_type.h"
#include "config/acceptance_type.h"
#include "config/document_type.h"
#include "peers/message_type.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::peers {

/** What the caller must do after a peer advertised or sent a configuration. */
struct ConfigSyncStep {
  std::optional<ConfigPull> Request; ///< Request to send to the same peer.
  /** All texts listed in one manifest, not validated yet. */
  std::optional<config::ConfigurationTexts> Complete;
  config::ConfigurationVersion CompleteVersion; ///< Version of Complete.
  /** The peer has other content under the active revision; set only the first
   * time that its version is advertised. */
  bool Conflict = false;
};

/**
 * Pulls newer configurations from peers: first the manifest, then only the
 * documents whose digest is not known locally. At most one pull is active.
 */
class ConfigSync {
public:
  using Texts = std::shared_ptr<const config::ConfigurationTexts>;

  /**
   * Records the active configuration. A version that does not supersede the
   * recorded one is ignored.
   * @param Version Its version.
   * @param InForceTexts Its texts, served to peers on request.
   */
  void setInForce(const config::ConfigurationVersion &Version,
                  Texts InForceTexts);

  /**
   * Marks a version as invalid, so that it is not pulled again.
   * @param Version The version.
   */
  void refuse(const config::ConfigurationVersion &Version);

  /**
   * Handles the version that a peer advertises and starts a pull if it is
   * newer.
   * @param Now Current time.
   * @param Peer The peer.
   * @param Advertised The active version of that peer.
   * @return What to do.
   */
  ConfigSyncStep onAdvertised(base::TimePoint Now, const base::InstanceId &Peer,
                              const config::ConfigurationVersion &Advertised);

  /**
   * Serves a peer's pull.
   * @param Pull The pull.
   * @return The manifest or the requested documents that are available; nothing
   * if no configuration is active.
   */
  std::optional<ConfigPush> onPull(const ConfigPull &Pull) const;

  /**
   * Handles the reply to a pull. Content that does not match its digest is
   * dropped.
   * @param Now Current time.
   * @param Peer The sender.
   * @param Push The reply.
   * @return What to do.
   */
  ConfigSyncStep onPush(base::TimePoint Now, const base::InstanceId &Peer,
                        const ConfigPush &Push);

  /** @return The active version. */
  const config::ConfigurationVersion &inForce() const { return this->Version; }
  /** @return Whether a peer advertised a newer version that was not refused. */
  bool newerAdvertised() const;

private:
  /** State of the active pull. */
  struct PendingPull {
    base::InstanceId Peer;
    config::ConfigurationVersion Version;
    config::ConfigurationTexts Texts;
    std::vector<std::string> Missing; ///< Digests not received yet.
    base::TimePoint Deadline; ///< After this, another peer may be asked.
  };

  bool isRefused(const config::ConfigurationVersion &Candidate) const;
  ConfigPull nextRequest() const;
  bool acceptManifest(const ConfigPush &Push);
  ConfigSyncStep continuePull(base::TimePoint Now);

  config::ConfigurationVersion Version;
  Texts InForceTexts;
  /** Newest version that a peer advertised. */
  std::optional<config::ConfigurationVersion> NewestAdvertised;
  std::optional<PendingPull> Current; ///< The active pull, if any.
  std::deque<config::ConfigurationVersion> RefusedVersions;
  std::deque<config::ConfigurationVersion> ReportedConflicts; ///< Versions.
};

} // namespace hickorycrank::peers

#endif
