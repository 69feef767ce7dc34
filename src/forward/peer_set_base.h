#ifndef HICKORYCRANK_FORWARD_PEER_SET_BASE_H
#define HICKORYCRANK_FORWARD_PEER_SET_BASE_H

#include "base/random_base.h"
#include "base/time_type.h"
#include "forward/placement_type.h"
#include "forward/server_type.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace hickorycrank::forward {

/** Another instance that forwards requests for this one. */
struct PeerEntry {
  std::string Address; ///< "IP:port" that takes relayed requests.
  base::FailureDomainId Domain;
};

/** A peer and the relays to it. */
struct Peer {
  ServerKey Key; ///< Of the peer's connections; unrelated to those of servers.
  PeerEntry Entry;
  bool Listed = true;         ///< Whether it accepts relays.
  uint32_t Outstanding = 0;   ///< Relays that have not ended.
  base::TimePoint AvoidUntil; ///< After a failed relay.
  /** Time until which it is avoided for a route, by the route's name: it has
   * refused a relay because it could send it to no server. */
  std::map<std::string, base::TimePoint> RouteAvoidUntil;
};

/** The instances to which this one relays requests. */
class PeerSet {
public:
  /** Maximum number of relays to one peer at the same time. */
  static constexpr uint32_t MaxOutstanding = 64;

  /**
   * Replaces the list of peers that accept relays.
   * @param Entries The peers.
   */
  void apply(const std::vector<PeerEntry> &Entries);

  /**
   * Chooses the peer with the fewest relays of this instance; the own failure
   * domain is slightly preferred.
   * @param Now Current time.
   * @param Route Name of the route of the request.
   * @param Domain Failure domain of this instance.
   * @param Avoid Peers that already had the request.
   * @param Generator Source of random tie-breaking.
   * @param Allowed Failure domains that the route allows.
   * @return A peer, or nullptr if none may be used now.
   */
  Peer *choose(base::TimePoint Now, const std::string &Route,
               const base::FailureDomainId &Domain,
               std::span<const ServerKey> Avoid, base::Random &Generator,
               const DomainFilter &Allowed = nullptr);

  /** @param Key A key. @return The peer, or nullptr. */
  Peer *find(ServerKey Key);

  /**
   * Records the end of a relay.
   * @param Now Current time.
   * @param Key The peer.
   * @param Failed Whether the peer could not be reached or did not answer.
   */
  void recordEnd(base::TimePoint Now, ServerKey Key, bool Failed);

  /**
   * Records that a peer could send a relayed request to no server.
   * @param Now Current time.
   * @param Key The peer.
   * @param Route Name of the request's route.
   */
  void recordUnsent(base::TimePoint Now, ServerKey Key,
                    const std::string &Route);

private:
  std::map<std::string, Peer> ByAddress;
  uint64_t NextKey = 1;
};

} // namespace hickorycrank::forward

#endif
