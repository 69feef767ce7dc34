#ifndef HICKORYCRANK_DAEMON_SERVICE_SHARD_BASE_H
#define HICKORYCRANK_DAEMON_SERVICE_SHARD_BASE_H

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

/** What an operator sees of one backend server. */
struct ServerStatus {
  std::string Server;
  std::string Phase;
  uint32_t Outstanding = 0;
  double LatencyMs = 0;
  double SuccessRate = 1;
  double Limit = 0;
  size_t Connections = 0;
};

/** What an operator sees of one backend service. */
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
 * servers. The engine's actions are carried out in the order in which they
 * were decided, by one thread at a time and without the engine's lock.
 */
class ServiceShard : public std::enable_shared_from_this<ServiceShard> {
public:
  using Callback = std::function<void(query::Response)>;
  using FactCallback = std::function<void(const query::PublishFact &)>;

  /**
   * Creates the shard.
   * @param Context Runs connections and callbacks.
   * @param Doc The backend service.
   * @param Options Options of the engine.
   * @param OnFact Called for each fact to publish.
   */
  ServiceShard(boost::asio::io_context &Context, const config::ServiceDoc &Doc,
               query::EngineOptions Options, FactCallback OnFact);

  /**
   * Accepts a request.
   * @param Source The request.
   * @param Done Called exactly once, unless the query is cancelled.
   * @return Name of the query.
   */
  base::QueryId submit(std::shared_ptr<const query::Request> Source,
                       Callback Done);

  /** Gives up a query; its callback is not called. @param Query The query. */
  void cancel(base::QueryId Query);

  /** Lets time pass. @param Event Current time and any pause. */
  void tick(const base::Tick &Event);

  /** Calls of refreshReports() that ask every backend server once. */
  static constexpr uint32_t ReportSteps = 20;

  /**
   * Asks the next part of the backend servers for their reports. All at once,
   * 450 reports kept the thread busy for 80 ms and delayed queries.
   */
  void refreshReports();

  /**
   * Takes the platform's list.
   * @param Listed Servers of this service.
   */
  void applyList(const std::vector<routing::ServerListing> &Listed);

  /** Takes a fact from another instance. @param Fact The fact. */
  void applyFact(const query::PublishFact &Fact);

  /** @param Share Connections to one server from now on. */
  void setConnectionShare(uint32_t Share);

  /** Breaks references to this shard; when the io_context has ended. */
  void release();

  /** @return What an operator sees. */
  ServiceStatus status() const;

private:
  /** Connections to one backend server. */
  struct ServerLink {
    std::shared_ptr<net::HttpPool> Work;    ///< Searches.
    std::shared_ptr<net::HttpPool> Control; ///< Reports and cancellations.
  };

  /** An exchange in progress, to be able to cancel it. */
  struct ExchangeRecord {
    std::shared_ptr<net::HttpPool> Pool;
    std::shared_ptr<net::HttpPool> Control; ///< Of the same backend server.
    net::ExchangeId Exchange = 0;
  };

  void enqueue(query::Actions &&Decided);
  void drainOutbox();
  void perform(query::SendAttempt &Attempt);
  void perform(query::CancelAttempt &Attempt);
  void perform(query::CloseConnections &Order);
  void perform(query::ProbeServer &Order);
  void perform(query::Respond &Order);
  void perform(query::PublishFact &Order);
  void onSearchDone(const query::AttemptRef &Ref, base::AttemptId Id,
                    const std::string &OrderBy, net::ExchangeResult Result);
  void onProbeDone(base::ServerIndex Server, net::ExchangeResult Result);
  ServerLink &link(const std::string &Address);

  boost::asio::io_context &Context;
  base::ServiceId Name;
  net::PoolLimits WorkLimits;
  FactCallback OnFact;

  mutable std::mutex Mutex; ///< Guards the members below.
  query::Engine Engine;
  std::deque<query::Action> Outbox;
  bool OutboxBusy = false;
  uint32_t ReportStep = 0; ///< Next call of refreshReports(), modulo the count.
  uint64_t NextQuery = 1;
  std::unordered_map<base::QueryId, Callback> Callbacks;

  mutable std::mutex LinksMutex; ///< Guards the members below.
  std::map<std::string, ServerLink> Links;
  std::map<base::AttemptId, ExchangeRecord> Exchanges;
};

} // namespace hickorycrank::daemon

#endif
