#ifndef HICKORYCRANK_PEERS_SERVER_LIST_SYNC_BASE_H
#define HICKORYCRANK_PEERS_SERVER_LIST_SYNC_BASE_H

#include "base/time_type.h"
#include "peers/server_list_type.h"

#include <optional>

namespace hickorycrank::peers {

/** Most servers that a list may hold. */
inline constexpr uint32_t MaxListedServers = 16'384;
/** Most bytes of a name or address; a server with longer ones is left out. */
inline constexpr size_t MaxListedNameBytes = 256;
/** Most servers in one part of a list. */
inline constexpr size_t MaxPushServers = 64;
/** Most bytes of names and addresses in one part; a single server may take
 * more. */
inline constexpr size_t MaxPushNameBytes = 3'072;
/** Time between two pulls of an instance. With parts of at most 3.6 KB, pulls
 * stay below the 10 KB/s that control may cost a daemon. */
inline constexpr base::Duration ServerPullInterval =
    std::chrono::milliseconds(500);
/** Time between two parts that an instance sends, to whichever peers. It is
 * shorter than the interval of pulls because their delays on the way differ. */
inline constexpr base::Duration ServerPushInterval =
    std::chrono::milliseconds(400);

/** A pull and the instance to ask. */
struct ServerAsk {
  base::InstanceId Peer;
  ServerPull Pull;
};

/**
 * Pulls the list of backend servers from one peer at a time, in parts, while
 * the platform has not given it. Once the platform has given its list, no list
 * of a peer is taken.
 */
class ServerListSync {
public:
  /** Starts without a list. @param Started When the process started. */
  explicit ServerListSync(base::TimePoint Started);

  /**
   * Takes the list that the platform gave to this instance.
   * @param List The list; an older one than the platform's last is ignored.
   */
  void setListed(ServerList List);

  /**
   * Notes the version of the list that a peer holds.
   * @param Now Current time.
   * @param Peer The peer.
   * @param Shown Version of its list; 0: none.
   */
  void onShown(base::TimePoint Now, const base::InstanceId &Peer,
               uint64_t Shown);

  /**
   * Decides whether to ask for a part of a list.
   * @param Now Current time.
   * @return What to ask and whom, or nothing.
   */
  std::optional<ServerAsk> tick(base::TimePoint Now);

  /**
   * Serves a peer's pull.
   * @param Now Current time.
   * @param Pull The pull.
   * @return A part of the list; nothing if there is no list or if the last
   *     part was sent too recently.
   */
  std::optional<ServerPush> onPull(base::TimePoint Now, const ServerPull &Pull);

  /**
   * Takes the answer to a pull.
   * @param Now Current time.
   * @param Peer The sender.
   * @param Push The answer.
   * @return The list once it is whole.
   */
  std::optional<ServerList> onPush(base::TimePoint Now,
                                   const base::InstanceId &Peer,
                                   const ServerPush &Push);

  /** @return Version of the list held, from whichever source; 0: none. */
  uint64_t version() const { return this->Held.Version; }

private:
  /** A list that is being pulled. */
  struct Pulling {
    base::InstanceId Peer;
    ServerList Parts;         ///< What has arrived so far.
    base::TimePoint Deadline; ///< Then another peer may take over.
    bool Asked = false;       ///< The next part is on its way.
  };

  ServerList Held;
  bool FromPlatform = false;
  std::optional<Pulling> Current;
  base::TimePoint NextAsk;
  base::TimePoint NextPush;
};

} // namespace hickorycrank::peers

#endif
