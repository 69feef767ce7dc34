#ifndef HICKORYCRANK_DAEMON_INSTANCE_BASE_H
#define HICKORYCRANK_DAEMON_INSTANCE_BASE_H

#include "base/timer_service_base.h"
#include "config/document_type.h"
#include "config/settings_type.h"
#include "daemon/peer_call_type.h"
#include "daemon/peer_node_base.h"
#include "daemon/platform_reader_base.h"
#include "daemon/ticket_service_base.h"
#include "daemon/tier_base.h"
#include "net/http_server_base.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace hickorycrank::daemon {

/**
 * One entry instance that executes query templates (Gateway forwards HTTP
 * requests instead): the HTTP servers for callers and operators, the platform
 * reader, the tier and the timer service. The owner may run the io_context on
 * any number of threads.
 */
class Instance : public std::enable_shared_from_this<Instance> {
public:
  /**
   * Binds the addresses without accepting connections.
   * @param Context Runs all I/O and timers.
   * @param Settings Settings of the process.
   * @throws boost::system::system_error if an address cannot be bound.
   */
  Instance(boost::asio::io_context &Context, const config::Settings &Settings);
  /** Must be called after the last thread has left the io_context. */
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  /** Starts serving; the instance is ready once a configuration is in force. */
  void start();

  /**
   * Shuts down gracefully: readiness fails at once, peers are notified, and
   * requests in progress may finish within the longest deadline in force.
   * @param Done Called once no request is in progress.
   */
  void stop(std::function<void()> Done);

  /** Sets how other instances are called. @param Call The call function. */
  void setPeerCallFunction(PeerCallFunction Call) {
    this->Tickets->setPeerCallFunction(std::move(Call));
  }
  /** @return Handler for calls from other instances. */
  PeerCallHandler peerCallHandler() { return this->Tickets->peerCallHandler(); }
  /** @return Incarnation of this process. */
  base::Incarnation incarnation() const { return this->Peers->process(); }
  /** Stops at once without notifying peers, like a crash; for tests. */
  void abort();

  /** @return The tier. */
  Tier &tier() { return this->QueryTier; }
  /** @return Endpoint of the caller listener. */
  config::Endpoint callerEndpoint() const {
    return this->CallerServer.endpoint();
  }
  /** @return Endpoint of the admin listener. */
  config::Endpoint adminEndpoint() const {
    return this->AdminServer.endpoint();
  }
  /** @return Endpoint of the peer listener. */
  config::Endpoint peerEndpoint() const { return this->Peers->endpoint(); }
  /** @return The node that exchanges state with the peers. */
  PeerNode &peerNode() { return *this->Peers; }
  /** @return Number of calls made to the platform. */
  uint64_t platformCalls() const {
    return this->Reader ? this->Reader->calls() : 0;
  }

private:
  void scheduleTick();
  void startPlatformReader();
  void startPeers();
  void startTimers();
  /** Puts a configuration in force unless a newer one is. @param Texts Its
   * texts.
   * @return Whether it is valid. */
  bool applyConfiguration(const config::ConfigurationTexts &Texts);
  void reportConflict(base::Revision Number);
  void updateReadiness();
  std::string findDocument(const std::string &Digest);
  void waitUntilIdle(base::TimePoint Limit, std::function<void()> Done);

  boost::asio::io_context &Context;
  std::shared_ptr<PeerNode> Peers;
  Tier QueryTier;
  std::shared_ptr<TicketService> Tickets;
  net::HttpServer CallerServer;
  net::HttpServer AdminServer;
  std::shared_ptr<PlatformReader> Reader;
  base::TimerService Timers;
  boost::asio::steady_timer TickTimer;
  std::atomic<bool> Stopped{false};
  std::mutex TextsMutex; ///< Guards InForceTexts.
  std::shared_ptr<const config::ConfigurationTexts> InForceTexts;
};

} // namespace hickorycrank::daemon

#endif
