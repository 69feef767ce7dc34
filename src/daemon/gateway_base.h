#ifndef HICKORYCRANK_DAEMON_GATEWAY_BASE_H
#define HICKORYCRANK_DAEMON_GATEWAY_BASE_H

#include "base/timer_service_base.h"
#include "config/gateway_settings_type.h"
#include "daemon/fleet_node_base.h"
#include "daemon/log_limit_base.h"
#include "daemon/store_reader_base.h"
#include "discovery/view_base.h"
#include "fleet/transfer_limit_base.h"
#include "fleet/view_freshness_type.h"
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

/** Protocol details of a deployment: header names, readiness path and store. */
struct GatewayDialect {
  net::ForwardHeaders Headers;
  std::string ReadinessPath; ///< Polled by the load balancer.
  discovery::StoreProtocol Store;
};

/**
 * An entry instance that forwards HTTP requests by route, with FleetNode and
 * StoreReader; Instance executes query templates instead. Everything runs on
 * the thread of the io_context: an instance gets a share of one core, so a
 * second thread would only add context switches and locking.
 */
class Gateway : public std::enable_shared_from_this<Gateway> {
public:
  /**
   * Binds all addresses without accepting connections.
   * @param Context Runs the instance.
   * @param Settings Settings of the process.
   * @param Dialect Protocol details of the deployment.
   * @throws boost::system::system_error if an address cannot be bound.
   */
  Gateway(boost::asio::io_context &Context, config::GatewaySettings Settings,
          GatewayDialect Dialect);
  ~Gateway();

  /** Starts accepting connections and reading the store. */
  void start();

  /**
   * Shuts down gracefully: readiness fails at once, the listener closes after
   * the load balancer has removed the instance, then requests drain.
   * @param Done Called once all requests have finished, or shortly before the
   *   grace period ends.
   */
  void stop(std::function<void()> Done);

  /** Applies changed settings; the bound addresses stay.
   * @param Changed The new settings. */
  void reload(const config::GatewaySettings &Changed);

  /** @return Whether the load balancer may route callers here. */
  bool isReady() const;
  /** @return All metrics in the Prometheus text format. */
  std::string renderMetrics() const;
  /** @return Endpoint of the caller listener. */
  config::Endpoint callerEndpoint() const {
    return this->CallerServer.endpoint();
  }

private:
  /** Where a request came from. */
  struct RequestSource {
    net::ForwardServer *Server = nullptr;
    net::ForwardToken Token = 0;
    auto operator<=>(const RequestSource &) const = default;
  };
  /** A request in progress, of a caller or relayed by another instance. */
  struct Pending {
    RequestSource Origin;
    std::shared_ptr<const net::UpstreamRequest> Source;
    base::TimePoint ArrivedAt;
    base::Duration Remaining{}; ///< Until the caller's deadline, at ArrivedAt.
    base::Fingerprint Content;
  };
  /** A decoded server item of the view, cached by its position. */
  struct DecodedServer {
    discovery::StorePosition Position;
    std::optional<forward::ServerEntry> Entry;
  };

  // Request forwarding (gateway.cpp).
  net::ForwardServer::Callbacks serverCallbacks(net::ForwardServer &Server);
  /** @return Logs the bytes that a listener rejects.
   * @param Listener Its name in the log. */
  net::RejectionHandler rejectionLog(const char *Listener);
  void logBadReply(const char *Event, const std::string &Address,
                   const std::string &Reason);
  void onRequest(const RequestSource &Origin, net::ForwardRequest &&Request);
  void onCallerGone(const RequestSource &Origin);
  void executeActions(forward::Actions &&Actions);
  void execute(const forward::SendAttempt &Send);
  void execute(const forward::RelayRequest &Request);
  /** Ends a relay whose list of tried servers does not fit a header field. */
  void failRelay(const forward::RelayRequest &Request);
  void execute(const forward::LogRateLimit &Limit);
  void execute(const forward::LogColdState &State);
  void execute(const forward::LogReachability &Links);
  void execute(const forward::LogQuarantine &Refused);
  void respond(const forward::RespondCall &Outcome);
  void logResult(const Pending &Ended, const forward::RespondCall &Outcome,
                 base::Duration Took);
  void scheduleWake();
  void wake();
  void startTimers();
  void scheduleTick();
  void finishStop();
  void updateIsolation(base::TimePoint Now);
  void updatePeers(base::TimePoint Now);

  // Memory held for slow callers and servers (gateway_memory.cpp).
  void startMemoryLimit();
  void onMemoryExceeded();
  void closeLargestHolders();

  // Configuration and server discovery (gateway_view.cpp).
  void onUpdate(const discovery::Update &Update, bool StoreStable);
  void updateReaderRole(base::TimePoint Now);
  void applyView();
  void applyConfiguration();
  void applyEvacuations();
  void applyServers();
  void execute(const forward::LogServerDeclines &Statement);
  void onHeartbeat(const fleet::Heartbeat &Received);
  fleet::Heartbeat makeHeartbeat() const;
  void handleControl(const net::HttpCall &Call);

  boost::asio::io_context &Context;
  config::GatewaySettings Settings;
  GatewayDialect Dialect;
  std::shared_ptr<limits::MemoryLedger> Ledger;
  bool ReleasePending = false; ///< closeLargestHolders() has been scheduled.
  forward::Engine Engine;
  discovery::View View;
  net::UpstreamPool Upstream;
  net::UpstreamPool PeerLinks; ///< To the instances that forward for this one.
  net::ForwardServer CallerServer;
  net::ForwardServer RelayServer; ///< Takes the requests of other instances.
  net::HttpServer ReadinessServer;
  net::HttpServer ControlServer;
  fleet::TransferLimit Transfers; ///< Of view updates to other instances.
  uint64_t UpdatesRefused = 0;    ///< Because of other transfers.
  std::shared_ptr<FleetNode> Fleet;
  std::shared_ptr<StoreReader> Reader;
  base::TimerService Timers;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer WakeTimer;
  base::TimePoint WakeAt = base::TimePoint::max();
  std::unordered_map<uint64_t, Pending> Calls; ///< By call id.
  std::map<RequestSource, uint64_t> CallBySource;
  std::map<std::string, DecodedServer> DecodedServers;
  discovery::StorePosition ConfigurationPosition; ///< Last one decoded.
  fleet::ViewFreshness Freshness;
  bool ServersKnown = false;
  /** Whether no heartbeats arrive from other failure domains and some shards
   * are unreachable. */
  bool Isolated = false;
  metrics::Registry Metrics;
  LogLimit EventLog; ///< Limits the rate of each event.
  bool Stopping = false;
  base::TimePoint CloseAt; ///< When the load balancer has removed the instance.
  base::TimePoint StopAt;  ///< End of the grace period, less ExitMargin.
  std::function<void()> OnStopped; ///< Set from stop() until it has finished.
};

} // namespace hickorycrank::daemon

#endif
