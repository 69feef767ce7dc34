#ifndef HICKORYCRANK_DAEMON_PEER_NODE_BASE_H
#define HICKORYCRANK_DAEMON_PEER_NODE_BASE_H

#include "base/timer_service_base.h"
#include "config/document_type.h"
#include "config/settings_type.h"
#include "daemon/peer_call_type.h"
#include "net/backend_codec_func.h"
#include "net/peer_transport_base.h"
#include "peers/node_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorycrank::daemon {

/** What the node tells its owner. Called without locks held. */
struct PeerNodeCallbacks {
  /** A fact from another instance. */
  std::function<void(const query::PublishFact &)> OnFact;
  /** A configuration from another instance; returns whether it is valid. */
  std::function<bool(const config::ConfigurationTexts &)> OnConfiguration;
  /** A list of backend servers from another instance. */
  std::function<void(const peers::ServerList &)> OnServers;
  /** Another instance has other content under the revision in force. */
  std::function<void(const base::InstanceId &)> OnConflict;
};

/** What an operator sees of the peers. */
struct PeerStatus {
  base::Incarnation Process; ///< Of this instance.
  bool Unconfirmed = false;  ///< No peer has confirmed the configuration.
  bool Reader = false;       ///< Watches the platform.
  std::vector<peers::MemberRecord> Members;
  peers::MembershipCounters Membership;
  peers::NodeCounters Node;
  size_t Facts = 0;
  size_t Connections = 0;
  std::vector<std::pair<const char *, uint64_t>> Transport;
};

/**
 * Connects the decisions of peers::Node with the transport and with the rest
 * of an instance. Thread-safe.
 */
class PeerNode : public std::enable_shared_from_this<PeerNode> {
public:
  /** Period at which the owner calls tick(). */
  static constexpr std::chrono::milliseconds TickPeriod{20};

  /**
   * Binds the address for peers; talks to nobody yet.
   * @param Context Runs all I/O.
   * @param Own Settings of the process.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  PeerNode(boost::asio::io_context &Context, const config::Settings &Own);

  /**
   * Begins to talk to peers; called once, before the first tick().
   * @param Callbacks What to tell the owner.
   */
  void start(PeerNodeCallbacks Callbacks);
  /** Tells peers that this instance stops; goes on answering. */
  void leave();
  /** Closes all connections; calls in progress fail. */
  void stop();

  /** Lets time pass. @param Event Current time and any pause. */
  void tick(const base::Tick &Event);

  /** Takes the platform's list. @param List All listed instances. */
  void applyInstances(const net::InstanceList &List);

  /** Records that the platform gave its configuration. */
  void onPlatformRead();

  /** Spreads a fact of this instance. @param Fact The fact. */
  void publish(const query::PublishFact &Fact);

  /**
   * Records and spreads the configuration in force.
   * @param Version Its version.
   * @param Texts Its texts.
   */
  void onInForce(const config::ConfigurationVersion &Version,
                 std::shared_ptr<const config::ConfigurationTexts> Texts);

  /** @return Verdict of the start rule; never goes back to NotReady. */
  peers::StartReadiness judge();
  /** @return Whether this instance watches the platform. */
  bool isReader() const;

  /**
   * Calls another instance; see PeerCall.
   * @param Target The instance.
   * @param Process The only process that may act on the call.
   * @param Payload Bytes for its handler.
   * @param Deadline Time by which Done is called.
   * @param Done Called exactly once.
   */
  void call(const base::InstanceId &Target, base::Incarnation Process,
            std::string Payload, base::TimePoint Deadline,
            std::function<void(PeerCallResult)> Done);

  /** @return The same as a PeerCall; keeps this node alive. */
  PeerCall caller();

  /** Serves calls of other instances. @param Handler What serves them. */
  void setCallHandler(PeerCallHandler Handler);

  /** @return This process's incarnation. */
  base::Incarnation process() const { return this->Process; }
  /** @return What an operator sees. */
  PeerStatus status() const;
  /** @return Where other instances connect. */
  config::Endpoint endpoint() const { return this->Transport->endpoint(); }
  /** @return The transport, for tests. */
  net::PeerTransport &transport() { return *this->Transport; }

private:
  /** A call without reply. */
  struct Call {
    base::InstanceId Target;
    std::function<void(PeerCallResult)> Done;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };

  void receive(const peers::Envelope &Message);
  void carryOut(peers::Actions &Decided);
  void offer(const peers::OfferConfiguration &Offer);
  void serveCall(const peers::DeliverCall &Delivery);
  void finishCall(uint64_t Id, PeerCallResult Result);
  void onReply(const peers::DeliverReply &Delivery);
  void sendTo(const base::InstanceId &Target, peers::Body Content);

  boost::asio::io_context &Context;
  PeerNodeCallbacks Callbacks;
  base::Incarnation Process;
  std::shared_ptr<net::PeerTransport> Transport;
  mutable std::mutex Mutex; ///< Guards the members below.
  peers::Node Node;
  PeerCallHandler Handler;
  std::unordered_map<uint64_t, Call> Calls;
  uint64_t NextCall = 1;
};

} // namespace hickorycrank::daemon

#endif
