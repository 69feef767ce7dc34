#ifndef HICKORYCRANK_DAEMON_GATEWAY_BASE_H
#define HICKORYCRANK_DAEMON_GATEWAY_BASE_H

#include "base/timer_service_base.h"
#include "config/gateway_settings_type.h"
#include "daemon/fleet_node_base.h"
#include "daemon/log_limit_base.h"
#include "daemon/store_reader_base.h"
#include "discovery/view_base.h"
#include "forward/engine_base.h"
#include "metrics/registry_base.h"
#include "net/forward_server_base.h"
#include "net/http_server_base.h"
#include "net/upstream_pool_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace hickorycrank::daemon {

/** How a deployment's callers, servers, balancer and store are spoken to. */
struct GatewayDialect {
  net::ForwardHeaders Headers;
  std::string ReadinessPath; ///< Asked by the balancer.
  discovery::StoreProtocol Store;
};

/**
 * An entry instance that forwards requests by route. Everything runs on the
 * thread of the io_context: an instance has a share of one core, and a second
 * thread would only add switches and locks.
 */
class Gateway : public std::enable_shared_from_this<Gateway> {
public:
  /**
   * Binds all addresses; serves nothing yet.
   * @param Context Runs the instance.
   * @param Own Settings of the process.
   * @param Dialect How the surroundings are spoken to.
   * @throws boost::system::system_error if an address cannot be bound.
   */
  Gateway(boost::asio::io_context &Context, config::GatewaySettings Own,
          GatewayDialect Dialect);
  ~Gateway();

  /** Begins to serve and to read the store. */
  void start();

  /**
   * Stops gracefully: not ready at once, then no new connections, then done.
   * @param Done Called once nothing is in progress, or when the grace time is
   *   nearly over.
   */
  void stop(std::function<void()> Done);

  /** Takes changed settings; addresses stay as they were bound.
   * @param Changed The settings. */
  void reload(const config::GatewaySettings &Changed);

  /** @return Whether the balancer may send callers here. */
  bool isReady() const;
  /** @return Metrics as Prometheus text. */
  std::string renderMetrics() const;
  /** @return Where callers connect. */
  config::Endpoint callers() const { return this->Callers.endpoint(); }

private:
  /** A caller's request in progress. */
  struct Pending {
    net::ForwardToken Token = 0;
    std::shared_ptr<const net::UpstreamRequest> Source;
    base::TimePoint ArrivedAt;
  };
  /** A decoded item of the view. */
  struct DecodedServer {
    uint64_t Revision = 0;
    std::optional<forward::ServerEntry> Entry;
  };

  // Callers and servers (gateway.cpp).
  void onRequest(net::ForwardToken Token, net::ForwardRequest &&Request);
  void onCallerGone(net::ForwardToken Token);
  void carryOut(forward::Actions &&Decided);
  void respond(const forward::RespondCall &Decided);
  void logResult(const Pending &Ended, const forward::RespondCall &Decided,
                 base::Duration Took);
  void scheduleWake();
  void wake();
  void startTimers();
  void scheduleTick();
  void finishStop();
  void updateIsolation(base::TimePoint Now);

  // View of the platform (gateway_view.cpp).
  void onUpdate(const discovery::Update &Newer, bool Reliable);
  void chooseReader(base::TimePoint Now);
  void applyView();
  void applyConfiguration();
  void applyServers();
  void onHeartbeat(const fleet::Heartbeat &Received);
  fleet::Heartbeat describe() const;
  void handleControl(const net::HttpCall &Call);

  boost::asio::io_context &Context;
  config::GatewaySettings Own;
  GatewayDialect Dialect;
  forward::Engine Engine;
  discovery::View View;
  net::UpstreamPool Upstream;
  net::ForwardServer Callers;
  net::HttpServer Readiness;
  net::HttpServer Control;
  std::shared_ptr<FleetNode> Fleet;
  std::shared_ptr<StoreReader> Reader;
  base::TimerService Timers;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer WakeTimer;
  base::TimePoint WakeAt = base::TimePoint::max();
  std::unordered_map<uint64_t, Pending> Calls; ///< By call.
  std::unordered_map<net::ForwardToken, uint64_t> CallByToken;
  std::map<std::string, DecodedServer> DecodedServers;
  uint64_t ConfigurationRevision = 0;
  bool ServersKnown = false;
  /** Cut off from other failure domains and unable to serve all routes. */
  bool Isolated = false;
  metrics::Registry Metrics;
  LogLimit Limit;
  bool Stopping = false;
  base::TimePoint CloseAt; ///< When the balancer sends no more callers.
  base::TimePoint StopAt;  ///< When the grace time is nearly over.
  std::function<void()> OnStopped;
};

/**
 * Reads the clock that goes on while the machine is suspended, so that the
 * time that callers still wait is right afterwards.
 * @return Current time.
 */
base::TimePoint suspendAwareNow();

} // namespace hickorycrank::daemon

#endif
