#ifndef HICKORYCRANK_DAEMON_SERVICE_ENGINE_BASE_H
#define HICKORYCRANK_DAEMON_SERVICE_ENGINE_BASE_H

#include "base/timer_service_base.h"
#include "config/document_type.h"
#include "net/backend_codec_func.h"
#include "net/http_pool_base.h"
#include "query/engine_base.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorycrank::daemon {

/** State of one backend server for the status page and metrics. */
struct ServerStatus {
  std::string Server;
  std::string Phase;
  uint32_t Outstanding = 0;
  double LatencyMs = 0;
  double SuccessRate = 1;
  double Limit = 0;
  size_t Connections = 0;
};

/** State of one backend service for the status page and metrics. */
struct ServiceStatus {
  std::string Service;
  size_t LiveQueries = 0;
  size_t Waiting = 0;
  double HedgeDelayMs = 0;
  query::EngineCounters Counters;
  std::vector<ServerStatus> Servers;
};

/**
 * The engine of one backend service with its lock, and the connections to its
 * servers. The engine's actions are executed in the order in which it returned
 * them, by one thread at a time and without holding the engine's lock.
 */
class ServiceEngine : public std::enable_shared_from_this<ServiceEngine> {
public:
  using Callback = std::function<void(query::Response)>;
  using FactCallback = std::function<void(const query::PublishFact &)>;

  /**
   * Creates the shard.
   * @param Context Runs connections and callbacks.
   * @param Doc Configuration of the backend service.
   * @param Options Options of the engine.
   * @param OnFact Called for each fact to publish.
   */
  ServiceEngine(boost::asio::io_context &Context, const config::ServiceDoc &Doc,
                query::EngineOptions Options, FactCallback OnFact);

  /**
   * Accepts a request.
   * @param Source The request.
   * @param Done Called exactly once, unless the query is cancelled.
   * @return Id of the query.
   */
  base::QueryId submit(std::shared_ptr<const query::Request> Source,
                       Callback Done);

  /** Cancels a query; its callback is not called. @param Query The query. */
  void cancel(base::QueryId Query);

  /** Advances timers. @param Event Current time and whether a pause of the
   * process was detected. */
  void tick(const base::Tick &Event);

  /** Number of refreshReports() calls that poll every backend server once. */
  static constexpr uint32_t ReportSteps = 20;

  /**
   * Requests load reports from the next 1/ReportSteps of the backend servers.
   * Requesting all reports at once, from 450 servers, kept the thread busy for
   * 80 ms and delayed queries.
   */
  void refreshReports();

  /**
   * Applies the platform's server list.
   * @param Listed Servers of this service.
   */
  void applyList(const std::vector<routing::ServerListing> &Listed);

  /** Applies a fact from another instance. @param Fact The fact. */
  void applyFact(const query::PublishFact &Fact);

  /** Sets this instance's share of connections to each server.
   * @param Share Maximum number of connections to one server. */
  void setConnectionShare(uint32_t Share);

  /** Breaks reference cycles; called after the io_context has stopped. */
  void release();

  /** @return Snapshot of the service state. */
  ServiceStatus status() const;

private:
  /** Connections to one backend server. */
  struct ServerLink {
    std::shared_ptr<net::HttpPool> Search;  ///< Searches.
    std::shared_ptr<net::HttpPool> Control; ///< Reports and cancellations.
  };

  /** An exchange in progress, kept so that it can be cancelled. */
  struct ExchangeRecord {
    std::shared_ptr<net::HttpPool> Pool;
    std::shared_ptr<net::HttpPool> Control; ///< Of the same backend server.
    net::ExchangeId Exchange = 0;
  };

  void enqueue(query::Actions &&Actions);
  void drainOutbox();
  void perform(query::SendAttempt &Attempt);
  void perform(query::CancelAttempt &Attempt);
  void perform(query::CloseConnections &Action);
  void perform(query::ProbeServer &Action);
  void perform(query::Respond &Action);
  void perform(query::PublishFact &Action);
  void onSearchDone(const query::AttemptRef &Ref, base::AttemptId Id,
                    const std::string &OrderBy, net::ExchangeResult Result);
  void onProbeDone(base::ServerIndex Server, net::ExchangeResult Result);
  ServerLink &link(const std::string &Address);

  boost::asio::io_context &Context;
  base::ServiceId Name;
  net::PoolLimits SearchLimits;
  FactCallback OnFact;

  mutable std::mutex Mutex; ///< Guards the members below.
  query::Engine Engine;
  std::deque<query::Action> Outbox;
  bool OutboxDraining = false;
  uint32_t ReportStep = 0; ///< Group of servers, below ReportSteps, that
                           ///< refreshReports() polls next.
  uint64_t NextQuery = 1;
  std::unordered_map<base::QueryId, Callback> Callbacks;

  mutable std::mutex LinksMutex; ///< Guards the members below.
  std::map<std::string, ServerLink> Links;
  std::map<base::AttemptId, ExchangeRecord> Exchanges;
};

} // namespace hickorycrank::daemon

#endif
