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
 * One entry instance: servers for callers and operators, the platform's
 * reader, the tier and the timer service. Runs on an io_context that its owner
 * runs on as many threads as it likes.
 */
class Instance : public std::enable_shared_from_this<Instance> {
public:
  /**
   * Binds the addresses; serves nothing yet.
   * @param Context Runs everything.
   * @param Own Settings of the process.
   * @throws boost::system::system_error if an address cannot be bound.
   */
  Instance(boost::asio::io_context &Context, const config::Settings &Own);
  /** Must run after the last thread has left the io_context. */
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  /** Starts to serve; ready once a configuration is in force. */
  void start();

  /**
   * Stops gracefully: not ready at once, peers told, requests in progress
   * finish, bounded by the longest deadline in force.
   * @param Done Called once nothing is in progress.
   */
  void stop(std::function<void()> Done);

  /** @param Call Reaches other instances from now on. */
  void setPeerCall(PeerCall Call) {
    this->Tickets->setPeerCall(std::move(Call));
  }
  /** @return Serves calls of other instances. */
  PeerCallHandler peerCallHandler() { return this->Tickets->peerCallHandler(); }
  /** @return Incarnation of this process. */
  base::Incarnation incarnation() const { return this->Peers->process(); }
  /** Stops at once and tells nobody, as a crash would; for tests. */
  void abort();

  /** @return The tier. */
  Tier &tier() { return this->Serving; }
  /** @return Where callers connect. */
  config::Endpoint callers() const { return this->CallerServer.endpoint(); }
  /** @return Where operators connect. */
  config::Endpoint admin() const { return this->AdminServer.endpoint(); }
  /** @return Where other instances connect. */
  config::Endpoint peers() const { return this->Peers->endpoint(); }
  /** @return What this instance knows together with its peers. */
  PeerNode &peerNode() { return *this->Peers; }
  /** @return Calls to the platform so far. */
  uint64_t platformCalls() const {
    return this->Reader ? this->Reader->calls() : 0;
  }

private:
  void scheduleTick();
  void startPlatformReader();
  void startPeers();
  void startTimers();
  bool onTexts(const config::ConfigurationTexts &Texts);
  void reportConflict(base::Revision Number);
  void updateReadiness();
  std::string findDocument(const std::string &Digest);
  void waitUntilIdle(base::TimePoint Limit, std::function<void()> Done);

  boost::asio::io_context &Context;
  std::shared_ptr<PeerNode> Peers;
  Tier Serving;
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
