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
  bool NewConnection = false; ///< The open one may have gone silent.
};

/** Apply a fact from another instance. */
struct ApplyFact {
  query::PublishFact Fact;
};

/** Validate a configuration from a peer and put it in force. */
struct OfferConfiguration {
  config::ConfigurationTexts Texts;
  config::ConfigurationVersion Version;
};

/** Use a list of servers from a peer unless the platform has given one. */
struct OfferServers {
  ServerList List;
};

/** Report that a peer has another content under the revision in force. */
struct ReportConflict {
  base::InstanceId Peer;
};

/** Hand a call to the part that serves calls of other instances. */
struct DeliverCall {
  Member From;
  ForwardOnce Call;
};

/** Hand a reply to the call that waits for it. */
struct DeliverReply {
  base::InstanceId From;
  ForwardOnceReply Reply;
};

using Action =
    std::variant<SendMessage, ApplyFact, OfferConfiguration, OfferServers,
                 ReportConflict, DeliverCall, DeliverReply>;
using Actions = std::vector<Action>;

/** Times and counts of a node. */
struct NodeOptions {
  MembershipRules Membership;
  size_t GossipTargets = 3;   ///< Peers that learn news at once.
  size_t MaxFacts = 1'024;    ///< Remembered.
  size_t FactsPerFrame = 8;   ///< Piggybacked on other messages.
  size_t FactsPerGossip = 64; ///< In a message of their own.
  base::Duration MaxLifetime = std::chrono::minutes(15); ///< Of a fact.
  /** Smallest time between two rounds of news, which bounds their cost. */
  base::Duration GossipInterval = std::chrono::milliseconds(20);
  /** Time between pings of a starting instance, which learns from each. */
  base::Duration JoinInterval = std::chrono::milliseconds(250);
  size_t JoinTargets = 8;
};

/** What a node counts. */
struct NodeCounters {
  uint64_t Misdelivered = 0; ///< Messages for another instance.
  uint64_t StaleProcess = 0; ///< Messages of a process that was replaced.
  uint64_t FactsLearnt = 0;
  uint64_t Pulls = 0;
  uint64_t ServerPulls = 0;
  uint64_t Conflicts = 0;
};

/**
 * What one instance knows together with its peers: members, facts and the
 * configuration. Events and the current time come in, actions go out.
 */
class Node {
public:
  /**
   * Starts a node that knows nobody.
   * @param Now Current time.
   * @param Own This instance.
   * @param Rules Times and counts.
   * @param Seed For all draws.
   */
  Node(base::TimePoint Now, const Member &Own, const NodeOptions &Rules,
       uint64_t Seed);

  /**
   * Takes the platform's list.
   * @param Now Current time.
   * @param Entries Live entry instances.
   */
  void onListing(base::TimePoint Now, const std::vector<Member> &Entries);

  /**
   * Takes the backend servers of the platform's list, which peers may pull.
   * @param List The servers.
   */
  void onServers(ServerList List) { this->Servers.setListed(std::move(List)); }

  /**
   * Takes an authenticated message.
   * @param Now Current time.
   * @param Message The message.
   * @param Out Receives actions.
   */
  void onMessage(base::TimePoint Now, const Envelope &Message, Actions &Out);

  /**
   * Lets time pass.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onTick(base::TimePoint Now, Actions &Out);

  /** Distrusts the own view after a pause. @param Now Time at its end. */
  void onPause(base::TimePoint Now) { this->Members.onPause(Now); }

  /**
   * Spreads a fact of this instance.
   * @param Now Current time.
   * @param Fact The fact.
   */
  void publish(base::TimePoint Now, const query::PublishFact &Fact);

  /**
   * Records that a configuration is in force and spreads it.
   * @param Version Its version.
   * @param Texts Its texts.
   */
  void onInForce(const config::ConfigurationVersion &Version,
                 ConfigSync::Texts Texts);

  /** Records a version as not valid. @param Version The version. */
  void refuse(const config::ConfigurationVersion &Version) {
    this->Spread.refuse(Version);
  }

  /** Records that the platform gave its configuration. */
  void onPlatformRead() { this->PlatformRead = true; }

  /**
   * Announces that this instance stops.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void leave(base::TimePoint Now, Actions &Out);

  /**
   * Writes a message to a known instance.
   * @param Now Current time.
   * @param Target The instance.
   * @param Content What to send.
   * @return The message, or nothing if the instance is not known.
   */
  std::optional<SendMessage>
  compose(base::TimePoint Now, const base::InstanceId &Target, Body Content);

  /**
   * Applies the start rule; a verdict never goes back to NotReady.
   * @param Now Current time.
   * @return The verdict.
   */
  StartReadiness evaluateReadiness(base::TimePoint Now);

  /** @return The last verdict of judge(). */
  StartReadiness readiness() const { return this->Verdict; }

  /** @return Whether this instance watches the platform. */
  bool isReader() const;

  /** @return Members and failure detector. */
  const Membership &members() const { return this->Members; }
  /** @return What was counted so far. */
  const NodeCounters &counters() const { return this->Counters; }
  /** @return Facts remembered. */
  size_t factCount() const { return this->News.size(); }

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
  void observeSender(base::TimePoint Now, const Envelope &Message,
                     Actions &Out);
  void applySpread(base::TimePoint Now, const Member &Peer, SpreadStep Step,
                   Actions &Out);
  void handle(base::TimePoint Now, const Member &From, const Body &Content,
              Actions &Out);
  void onServerPush(base::TimePoint Now, const Member &From,
                    const ServerPush &Push, Actions &Out);
  void onAck(base::TimePoint Now, const Ack &Received, Actions &Out);
  void onPingRequest(base::TimePoint Now, const Member &From,
                     const PingRequest &Request, Actions &Out);
  void gossip(base::TimePoint Now, Actions &Out);
  void join(base::TimePoint Now, Actions &Out);
  uint32_t transmissions() const;

  NodeOptions Rules;
  Membership Members;
  FactStore News;
  ConfigSync Spread;
  ServerListSync Servers;
  std::map<uint64_t, Relay> Relays; ///< By sequence of the relayed Ping.
  uint64_t NextRelay;
  bool Fresh = false; ///< News that no peer has been told.
  base::TimePoint NextGossip;
  base::TimePoint NextJoin;
  base::TimePoint Started;
  bool PlatformRead = false;
  bool ListRead = false;
  size_t ListedPeers = 0;
  std::map<base::InstanceId, bool> Answered; ///< Whether each was ready.
  StartReadiness Verdict = StartReadiness::NotReady;
  NodeCounters Counters;
};

} // namespace hickorycrank::peers

#endif
