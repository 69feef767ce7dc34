#ifndef HICKORYCRANK_PEERS_SERVER_LIST_SYNC_BASE_H
#define HICKORYCRANK_PEERS_SERVER_LIST_SYNC_BASE_H

#include "base/time_type.h"
#include "peers/server_list_type.h"

#include <optional>

namespace hickorycrank::peers {

/** Maximum number of servers on a list. */
inline constexpr uint32_t MaxListedServers = 16'384;
/** Maximum length of a name or address in bytes; servers with longer ones are
 * dropped from the list. */
inline constexpr size_t MaxListedNameBytes = 256;
/** Maximum number of servers in one part of a list. */
inline constexpr size_t MaxPushServers = 64;
/** Maximum bytes of names and addresses in one part. A part with a single
 * server may exceed it. */
inline constexpr size_t MaxPushNameBytes = 3'072;
/** Time between two pulls of an instance. With parts of at most 3.6 KB, pulls
 * stay below the limit of 10 KB/s on the control traffic of an instance. */
inline constexpr base::Duration ServerPullInterval =
    std::chrono::milliseconds(500);
/** Minimum time between two parts that an instance sends, across all peers. It
 * is shorter than the pull interval because network delays vary. */
inline constexpr base::Duration ServerPushInterval =
    std::chrono::milliseconds(400);

/** A pull and the peer to send it to. */
struct ServerListRequest {
  base::InstanceId Peer;
  ServerPull Pull;
};

/**
 * Pulls the list of backend servers in parts, from one peer at a time, until
 * the platform supplies the list. After that, lists sent by peers are ignored.
 */
class ServerListSync {
public:
  /**
   * Creates an object without a list.
   * @param Started Start time of the process.
   */
  explicit ServerListSync(base::TimePoint Started);

  /**
   * Sets the list read from the platform and ends any active pull.
   * @param List The list; ignored if older than the last one of the platform.
   */
  void setPlatformList(ServerList List);

  /**
   * Handles the list version that a peer advertises.
   * @param Now Current time.
   * @param Peer The peer.
   * @param AdvertisedVersion Version of its list; 0: none.
   */
  void onAdvertised(base::TimePoint Now, const base::InstanceId &Peer,
                    uint64_t AdvertisedVersion);

  /**
   * Determines whether a pull is due.
   * @param Now Current time.
   * @return The request to send, or nothing.
   */
  std::optional<ServerListRequest> tick(base::TimePoint Now);

  /**
   * Serves a peer's pull.
   * @param Now Current time.
   * @param Pull The pull.
   * @return A part of the list; nothing if there is no list or if the last
   *     part was sent too recently.
   */
  std::optional<ServerPush> onPull(base::TimePoint Now, const ServerPull &Pull);

  /**
   * Handles the reply to a pull.
   * @param Now Current time.
   * @param Peer The sender.
   * @param Push The reply.
   * @return The list once it is complete.
   */
  std::optional<ServerList> onPush(base::TimePoint Now,
                                   const base::InstanceId &Peer,
                                   const ServerPush &Push);

  /** @return Version of the known list, from either source; 0: none. */
  uint64_t version() const { return this->KnownList.Version; }

private:
  /** State of the active pull. */
  struct PendingPull {
    base::InstanceId Peer;
    ServerList Received;      ///< Servers received so far.
    base::TimePoint Deadline; ///< After this, another peer may be asked.
    bool RequestSent = false; ///< The next part is requested.
  };

  ServerList KnownList;
  bool FromPlatform = false;
  std::optional<PendingPull> Current; ///< The active pull, if any.
  base::TimePoint NextPullTime;
  base::TimePoint NextPushTime;
};

} // namespace hickorycrank::peers

#endif
