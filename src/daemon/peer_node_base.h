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

/** Callbacks to the owner of a PeerNode, called without locks held. */
struct PeerNodeCallbacks {
  /** Receives a fact about a backend server from another instance. */
  std::function<void(const query::PublishFact &)> OnFact;
  /** Receives a configuration from another instance; returns whether it is
   * valid. */
  std::function<bool(const config::ConfigurationTexts &)> OnConfiguration;
  /** Receives a list of backend servers from another instance. */
  std::function<void(const peers::ServerList &)> OnServers;
  /** Reports an instance that has different content under the revision in
   * force. */
  std::function<void(const base::InstanceId &)> OnConflict;
};

/** Snapshot of the peer state for the status page and metrics. */
struct PeerStatus {
  base::Incarnation Process; ///< Incarnation of this process.
  bool Unconfirmed = false;  ///< No peer has confirmed the configuration.
  bool Reader = false;       ///< Whether this instance watches the platform.
  std::vector<peers::MemberRecord> Members;
  peers::MembershipCounters Membership;
  peers::NodeCounters Node;
  size_t Facts = 0;
  size_t Connections = 0;
  std::vector<std::pair<const char *, uint64_t>> Transport;
};

/**
 * Executes the actions of the state machine peers::Node: sends its messages
 * over the transport and notifies the rest of the instance. Thread-safe.
 */
class PeerNode : public std::enable_shared_from_this<PeerNode> {
public:
  /** Period at which the owner calls tick(). */
  static constexpr std::chrono::milliseconds TickPeriod{20};

  /**
   * Binds the address for peers without exchanging messages.
   * @param Context Runs all I/O.
   * @param Settings Settings of the process.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  PeerNode(boost::asio::io_context &Context, const config::Settings &Settings);

  /**
   * Starts exchanging messages with peers; called once, before the first
   * tick().
   * @param Callbacks Callbacks to the owner.
   */
  void start(PeerNodeCallbacks Callbacks);
  /** Notifies peers that this instance leaves; messages are still answered. */
  void leave();
  /** Closes all connections; calls in progress fail. */
  void stop();

  /** Advances timers. @param Event Current time and whether a pause of the
   * process was detected. */
  void tick(const base::Tick &Event);

  /** Applies the platform's list. @param List All listed instances. */
  void applyInstances(const net::InstanceList &List);

  /** Records that the platform has returned its configuration. */
  void onPlatformRead();

  /** Disseminates a fact of this instance. @param Fact The fact. */
  void publish(const query::PublishFact &Fact);

  /**
   * Records and disseminates the configuration in force.
   * @param Version Its version.
   * @param Texts Its texts.
   */
  void
  setConfiguration(const config::ConfigurationVersion &Version,
                   std::shared_ptr<const config::ConfigurationTexts> Texts);

  /** Re-evaluates whether this instance may start serving.
   * @return The verdict; never returns to NotReady. */
  peers::StartReadiness updateStartVerdict();
  /** @return Whether this instance watches the platform. */
  bool isReader() const;

  /**
   * Calls another instance; see PeerCallFunction.
   * @param Target The instance.
   * @param Process Incarnation that may execute the call; others reject it.
   * @param Payload Payload for the remote handler.
   * @param Deadline Time by which Done is called.
   * @param Done Called exactly once.
   */
  void call(const base::InstanceId &Target, base::Incarnation Process,
            std::string Payload, base::TimePoint Deadline,
            std::function<void(PeerCallResult)> Done);

  /** @return call() as a PeerCallFunction; keeps this node alive. */
  PeerCallFunction peerCall();

  /** Sets the handler for calls from other instances.
   * @param Handler The handler; nullptr rejects calls as not executed. */
  void setCallHandler(PeerCallHandler Handler);

  /** @return Incarnation of this process. */
  base::Incarnation process() const { return this->Process; }
  /** @return Snapshot of the peer state. */
  PeerStatus status() const;
  /** @return Endpoint of the peer listener. */
  config::Endpoint endpoint() const { return this->Transport->endpoint(); }
  /** @return The transport, for tests. */
  net::PeerTransport &transport() { return *this->Transport; }

private:
  /** A call that awaits its reply. */
  struct Call {
    base::InstanceId Target;
    std::function<void(PeerCallResult)> Done;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };

  void receive(const peers::Envelope &Message);
  void executeActions(peers::Actions &Actions);
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
