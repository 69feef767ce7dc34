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

/** Version that this release writes into each frame. */
inline constexpr uint32_t ProtocolVersion = 1;
/** Oldest release that understands what this one sends. */
inline constexpr uint32_t CompatibleVersion = 1;

/** What is believed of an instance; later ones win at equal incarnations. */
enum class MemberState {
  Alive,
  Suspect, ///< Did not answer; it may still refute.
  Dead,    ///< Did not refute in time.
  Leaving, ///< Announced by itself; sticky for its process.
};

inline constexpr size_t MemberStateCount = 4;

/** One instance as instances tell each other about it. */
struct Member {
  base::InstanceId Id;
  std::string Address; ///< "address:port" for peers.
  base::FailureDomainId Domain;
  base::Incarnation Process; ///< 0: known from the platform's list only.
  uint64_t Refutation = 0;   ///< Raised by the process to refute a suspicion.
  MemberState State = MemberState::Alive;

  bool operator==(const Member &) const = default;
};

/** Asks for an Ack. */
struct Ping {
  uint64_t Sequence = 0;
};

/** Answers a Ping or, through a third instance, a PingRequest. */
struct Ack {
  uint64_t Sequence = 0;
};

/** Asks a third instance to probe one that did not answer. */
struct PingRequest {
  uint64_t Sequence = 0;
  base::InstanceId Target;
  std::string Address;
};

/** Carries nothing beyond the envelope. */
struct Facts {};

/** Asks for a manifest or, if documents are wanted, for those. */
struct ConfigPull {
  config::ConfigurationVersion Version;
  std::vector<std::string> Wanted; ///< Digests; empty for the manifest.
};

/** Answers a ConfigPull; may hold fewer documents than were wanted. */
struct ConfigPush {
  config::ConfigurationVersion Version;
  std::string Manifest;
  std::map<std::string, std::string> Documents; ///< Text by digest.
};

/** Carries a call of another part to one process. */
struct ForwardOnce {
  uint64_t Call = 0;
  base::Incarnation Process; ///< Only this process may act on it.
  std::string Payload;
};

/** Answers a ForwardOnce. */
struct ForwardOnceReply {
  uint64_t Call = 0;
  bool Handled = false; ///< False: it was certainly not acted on.
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
  bool SenderReady = false; ///< Its configuration has met the start rule.
  config::ConfigurationVersion ConfigVersion; ///< In force at the sender.
  uint64_t ServerListVersion = 0; ///< Version of the sender's server list.
  std::vector<Member> Members;
  std::vector<query::PublishFact>
      PublishedFacts; ///< Lifetimes are what remains.
  Body Content;
};

} // namespace hickorycrank::peers

#endif
