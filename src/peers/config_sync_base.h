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

/** What to do about a configuration that a peer has shown or sent. */
struct SpreadStep {
  std::optional<ConfigPull> Ask; ///< To send to the same peer.
  /** A whole set of texts under one manifest, not validated yet. */
  std::optional<config::ConfigurationTexts> Whole;
  config::ConfigurationVersion WholeVersion;
  bool Conflict = false; ///< First sight of an equal revision that differs.
};

/**
 * Pulls newer configurations from peers: first the manifest, then only the
 * documents that are not known by digest. One pull at a time.
 */
class ConfigSync {
public:
  using Texts = std::shared_ptr<const config::ConfigurationTexts>;

  /**
   * Records the configuration in force.
   * @param Version Its version.
   * @param Held Its texts, which peers may pull.
   */
  void setInForce(const config::ConfigurationVersion &Version, Texts Held);

  /** Ignores a version that is not valid. @param Version The version. */
  void refuse(const config::ConfigurationVersion &Version);

  /**
   * Compares a version that a peer shows.
   * @param Now Current time.
   * @param Peer The peer.
   * @param Shown The version in force there.
   * @return What to do.
   */
  SpreadStep onShown(base::TimePoint Now, const base::InstanceId &Peer,
                     const config::ConfigurationVersion &Shown);

  /**
   * Serves a peer's pull.
   * @param Pull The pull.
   * @return What is held of it; nothing if no configuration is in force.
   */
  std::optional<ConfigPush> onPull(const ConfigPull &Pull) const;

  /**
   * Takes the answer to a pull; what does not match its digest is dropped.
   * @param Now Current time.
   * @param Peer The sender.
   * @param Push The answer.
   * @return What to do.
   */
  SpreadStep onPush(base::TimePoint Now, const base::InstanceId &Peer,
                    const ConfigPush &Push);

  /** @return The version in force. */
  const config::ConfigurationVersion &inForce() const { return this->Version; }
  /** @return Whether a peer has shown a newer one that was not refused. */
  bool newerShown() const;

private:
  /** A version that is being pulled. */
  struct Pulling {
    base::InstanceId Peer;
    config::ConfigurationVersion Version;
    config::ConfigurationTexts Texts;
    std::vector<std::string> Missing; ///< Digests still to pull.
    base::TimePoint Deadline;         ///< Then another peer may take over.
  };

  bool isRefused(const config::ConfigurationVersion &Other) const;
  ConfigPull next() const;
  bool takeManifest(const ConfigPush &Push);
  SpreadStep proceed(base::TimePoint Now);

  config::ConfigurationVersion Version;
  Texts Held;
  std::optional<config::ConfigurationVersion> Newest; ///< Shown by a peer.
  std::optional<Pulling> Current;
  std::deque<config::ConfigurationVersion> Refused;
  std::deque<config::ConfigurationVersion> Reported; ///< Conflicts.
};

} // namespace hickorycrank::peers

#endif
