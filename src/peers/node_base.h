#ifndef HICKORYCRANK_PEERS_NODE_BASE_H
#define HICKORYCRANK_PEERS_NODE_BASE_H

#include "peers/config_sync_base.h"
#include "peers/fact_store_base.h"
#include "peers/membership_base.h"
#include "peers/message_type.h"
#include "peers/server_list_sync_base.h"
#include "peers/start_rule_func.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hickorycrank::peers {

/** Send a message to an instance. */
struct SendMessage {
  std::string Address;
  Envelope Message;
  /** Open a new connection, because the existing one may be broken. */
  bool NewConnection = false;
};

/** Apply a fact from another instance. */
struct ApplyFact {
  query::PublishFact Fact;
};

/** Validate a configuration from a peer and activate it. */
struct OfferConfiguration {
  config::ConfigurationTexts Texts;
  config::ConfigurationVersion Version;
};

/** Use a list of servers from a peer unless the platform has supplied one. */
struct OfferServers {
  ServerList List;
};

/** Report that a peer has different content under the active revision. */
struct ReportConflict {
  base::InstanceId Peer;
};

/** Pass a forwarded call to the component that executes such calls. */
struct DeliverCall {
  Member From;
  ForwardOnce Call;
};

/** Pass a reply to the call that waits for it. */
struct DeliverReply {
  base::InstanceId From;
  ForwardOnceReply Reply;
};

using Action =
    std::variant<SendMessage, ApplyFact, OfferConfiguration, OfferServers,
                 ReportConflict, DeliverCall, DeliverReply>;
using Actions = std::vector<Action>;

/** Options of a node. */
struct NodeOptions {
  MembershipOptions Membership;
  size_t GossipFanOut = 3;  ///< Peers that are sent new facts at once.
  size_t MaxFacts = 1'024;  ///< Capacity of the fact store.
  size_t FactsPerFrame = 8; ///< Maximum number piggybacked on another message.
  size_t FactsPerGossip = 64; ///< Maximum number in a gossip message.
  base::Duration MaxFactLifetime = std::chrono::minutes(15);
  /** Minimum time between two rounds of gossip, which bounds their cost. */
  base::Duration GossipInterval = std::chrono::milliseconds(20);
  /** Time between rounds of pings of a starting instance, which learns from
   * each reply. */
  base::Duration JoinInterval = std::chrono::milliseconds(250);
  size_t JoinFanOut = 8; ///< Peers pinged in each of these rounds.
};

/** Counters of a node. */
struct NodeCounters {
  uint64_t Misdelivered = 0; ///< Messages addressed to another instance.
  uint64_t StaleProcess = 0; ///< Messages of a replaced process.
  uint64_t FactsLearnt = 0;
  uint64_t Pulls = 0;
  uint64_t ServerPulls = 0;
  uint64_t Conflicts = 0;
};

/**
 * Gossip protocol of one instance: shares members, facts, configuration and
 * server list with its peers and decides when the instance is ready. It takes
 * events and the current time and returns actions; it does no input or output
 * itself.
 */
class Node {
public:
  /**
   * Creates a node that knows no peers.
   * @param Now Current time.
   * @param Own This instance.
   * @param Options Options of the node.
   * @param Seed Seed of all random choices.
   */
  Node(base::TimePoint Now, const Member &Own, const NodeOptions &Options,
       uint64_t Seed);

  /**
   * Applies the platform's list of instances.
   * @param Now Current time.
   * @param Entries Live entry instances.
   */
  void onListing(base::TimePoint Now, const std::vector<Member> &Entries);

  /**
   * Applies the backend servers on the platform's list, which peers may pull.
   * @param List The servers.
   */
  void onServers(ServerList List) {
    this->ServerSync.setPlatformList(std::move(List));
  }

  /**
   * Handles an authenticated message.
   * @param Now Current time.
   * @param Message The message.
   * @param Out Receives actions.
   */
  void onMessage(base::TimePoint Now, const Envelope &Message, Actions &Out);

  /**
   * Processes timers.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onTick(base::TimePoint Now, Actions &Out);

  /**
   * Withholds suspicions after a pause of this process.
   * @param Now Time at the end of the pause.
   */
  void onPause(base::TimePoint Now) { this->Members.onPause(Now); }

  /**
   * Gossips a fact of this instance.
   * @param Now Current time.
   * @param Fact The fact.
   */
  void publish(base::TimePoint Now, const query::PublishFact &Fact);

  /**
   * Records the active configuration and advertises it to peers.
   * @param Version Its version.
   * @param Texts Its texts.
   */
  void onInForce(const config::ConfigurationVersion &Version,
                 ConfigSync::Texts Texts);

  /**
   * Marks a configuration version as invalid, so that it is not pulled again.
   * @param Version The version.
   */
  void refuse(const config::ConfigurationVersion &Version) {
    this->ConfigurationSync.refuse(Version);
  }

  /** Records that the configuration was read from the platform. */
  void onPlatformRead() { this->PlatformRead = true; }

  /**
   * Announces to peers that this instance stops.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void leave(base::TimePoint Now, Actions &Out);

  /**
   * Builds a message to a known instance.
   * @param Now Current time.
   * @param Target The instance.
   * @param Content The message body.
   * @return The message, or nothing if the instance is not known.
   */
  std::optional<SendMessage>
  compose(base::TimePoint Now, const base::InstanceId &Target, Body Content);

  /**
   * Applies the start rule. The result never returns to NotReady.
   * @param Now Current time.
   * @return The readiness.
   */
  StartReadiness evaluateReadiness(base::TimePoint Now);

  /** @return The last result of evaluateReadiness(). */
  StartReadiness readiness() const { return this->Readiness; }

  /** @return Whether this instance watches the platform for its domain. */
  bool isReader() const;

  /** @return The member list and failure detector. */
  const Membership &members() const { return this->Members; }
  /** @return The counters. */
  const NodeCounters &counters() const { return this->Counters; }
  /** @return Number of stored facts. */
  size_t factCount() const { return this->KnownFacts.size(); }

private:
  /** A Ping sent on behalf of another instance. */
  struct Relay {
    base::InstanceId Requester;
    uint64_t Sequence = 0;
    base::TimePoint Expiry;
  };

  Envelope envelope(base::TimePoint Now, const base::InstanceId &Recipient,
                    Body Content, size_t MaxFacts);
  void send(base::TimePoint Now, const Member &Target, Body Content,
            Actions &Out);
  void applySenderState(base::TimePoint Now, const Envelope &Message,
                        Actions &Out);
  void applyConfigStep(base::TimePoint Now, const Member &Peer,
                       ConfigSyncStep Step, Actions &Out);
  void handle(base::TimePoint Now, const Member &From, const Body &Content,
              Actions &Out);
  void onServerPush(base::TimePoint Now, const Member &From,
                    const ServerPush &Push, Actions &Out);
  void onAck(base::TimePoint Now, const Ack &AckMessage, Actions &Out);
  void onPingRequest(base::TimePoint Now, const Member &From,
                     const PingRequest &Request, Actions &Out);
  void gossip(base::TimePoint Now, Actions &Out);
  void join(base::TimePoint Now, Actions &Out);
  uint32_t transmissions() const;

  NodeOptions Options;
  Membership Members;
  FactStore KnownFacts;
  ConfigSync ConfigurationSync;
  ServerListSync ServerSync;
  std::map<uint64_t, Relay> Relays; ///< By sequence number of the relayed Ping.
  uint64_t NextRelaySequence;
  bool HasUnsentChanges = false; ///< Facts or configuration not gossiped yet.
  base::TimePoint NextGossip;
  base::TimePoint NextJoin;
  base::TimePoint Started;
  bool PlatformRead = false;
  bool ListRead = false;
  size_t ListedPeers = 0;
  /** Peers heard from while starting, and whether each was ready. */
  std::map<base::InstanceId, bool> PeerReadiness;
  StartReadiness Readiness = StartReadiness::NotReady;
  NodeCounters Counters;
};

} // namespace hickorycrank::peers

#endif
