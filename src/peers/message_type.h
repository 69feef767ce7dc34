#ifndef HICKORYCRANK_PEERS_MESSAGE_TYPE_H
#define HICKORYCRANK_PEERS_MESSAGE_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "config/acceptance_type.h"
#include "peers/server_list_type.h"
#include "query/action_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hickorycrank::peers {

/** Protocol version that this release writes into each frame. */
inline constexpr uint32_t ProtocolVersion = 1;
/** Oldest protocol version that can read the frames of this release. */
inline constexpr uint32_t CompatibleVersion = 1;

/** State of a member. At equal incarnation and refutation number, the later
 * enumerator takes precedence; Leaving does so at any refutation number. */
enum class MemberState {
  Alive,
  Suspect, ///< Did not acknowledge a probe; may still refute.
  Dead,    ///< Did not refute the suspicion in time.
  Leaving, ///< Announced by the member; final for its incarnation.
};

inline constexpr size_t MemberStateCount = 4;

/** An instance as described in gossip. */
struct Member {
  base::InstanceId Id;
  std::string Address; ///< "address:port" of its peer listener.
  base::FailureDomainId Domain;
  base::Incarnation Process; ///< 0: known only from the platform's list.
  uint64_t Refutation = 0;   ///< Incremented to refute a suspicion.
  MemberState State = MemberState::Alive;

  bool operator==(const Member &) const = default;
};

/** Probe that is answered with an Ack. */
struct Ping {
  uint64_t Sequence = 0;
};

/** Reply to a Ping or, relayed by a third instance, to a PingRequest. */
struct Ack {
  uint64_t Sequence = 0;
};

/** Asks a third instance to probe a target that did not acknowledge. */
struct PingRequest {
  uint64_t Sequence = 0;
  base::InstanceId Target;
  std::string Address;
};

/** Message whose only content is its envelope: versions, member updates and
 * facts. */
struct Facts {};

/** Requests the manifest of a configuration or some of its documents. */
struct ConfigPull {
  config::ConfigurationVersion Version;
  std::vector<std::string> Wanted; ///< Digests; empty requests the manifest.
};

/** Reply to a ConfigPull; may hold fewer documents than were requested. */
struct ConfigPush {
  config::ConfigurationVersion Version;
  std::string Manifest;
  std::map<std::string, std::string> Documents; ///< Text by digest.
};

/** Forwards a call of another component to one process. */
struct ForwardOnce {
  uint64_t Call = 0;
  base::Incarnation Process; ///< The only incarnation that may execute it.
  std::string Payload;
};

/** Reply to a ForwardOnce. */
struct ForwardOnceReply {
  uint64_t Call = 0;
  bool Handled = false; ///< False: it was certainly not executed.
  std::string Payload;
};

/** Announces that the sender stops. */
struct Leave {};

using Body =
    std::variant<Ping, Ack, PingRequest, Facts, ConfigPull, ConfigPush,
                 ForwardOnce, ForwardOnceReply, Leave, ServerPull, ServerPush>;

/** One message between two instances. */
struct Envelope {
  Member Sender;
  base::InstanceId Recipient;
  bool SenderReady = false; ///< The sender has met the start rule.
  config::ConfigurationVersion ConfigVersion; ///< Active at the sender.
  uint64_t ServerListVersion = 0; ///< Version of the sender's server list.
  std::vector<Member> Members;
  std::vector<query::PublishFact> PublishedFacts; ///< With remaining lifetimes.
  Body Content;
};

} // namespace hickorycrank::peers

#endif
