#ifndef HICKORYCRANK_STANDIN_LOAD_GENERATOR_BASE_H
#define HICKORYCRANK_STANDIN_LOAD_GENERATOR_BASE_H

#include "base/time_type.h"
#include "config/settings_type.h"
#include "net/http_pool_base.h"
#include "standin/load_type.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/**
 * Sends queries to entry instances at planned times, whether or not earlier
 * ones have been answered (open loop), so that a stall is not hidden by fewer
 * requests. Instances are used in turn; one that refuses with shutting_down
 * gets no more requests, as behind the platform's load balancer, and the
 * refused request goes to another instance. A request that needs a ticket is
 * sent again with the one that its refusal carries.
 */
class LoadGenerator {
public:
  /**
   * Creates a generator that sends nothing yet.
   * @param Context Runs the connections; must run on other threads.
   * @param Targets Callers' addresses of the entry instances.
   * @param Seed Of arrival times and parameters.
   */
  LoadGenerator(boost::asio::io_context &Context,
                const std::vector<config::Endpoint> &Targets, uint64_t Seed);

  /**
   * Sends workloads and waits for all responses.
   * @param Plan The workloads.
   * @param Length Time during which requests arrive.
   * @return Results by template.
   */
  std::map<std::string, LoadResult> run(const std::vector<Workload> &Plan,
                                        std::chrono::milliseconds Length);

  /**
   * Sends one query to the next instance and waits for the response.
   * @param Source Workload that gives template, credential and parameters.
   * @return Body of the response; empty if there was none.
   */
  std::string sendOne(const Workload &Source);

private:
  /** One planned request. */
  struct Arrival {
    base::TimePoint When;
    net::HttpRequest Request;
    std::string Template;
    uint32_t Forwards = 0; ///< Times it was refused by a stopping instance.
  };

  /** One entry instance as the load balancer sees it. */
  struct Target {
    std::shared_ptr<net::HttpPool> Pool;
    bool Stopping = false;
  };

  std::vector<Arrival> planArrivals(const std::vector<Workload> &Plan,
                                    std::chrono::milliseconds Length);
  net::HttpRequest makeRequest(const Workload &Source);
  size_t nextTarget();
  void send(const std::shared_ptr<Arrival> &Sent);
  void onResult(const std::shared_ptr<Arrival> &Sent, size_t From,
                const net::ExchangeResult &Result);
  void record(const Arrival &Sent, const std::string &Body);

  base::Random Generator;
  std::mutex Mutex; ///< Guards the members below.
  std::condition_variable Changed;
  std::vector<Target> Targets;
  size_t Turn = 0;
  uint64_t InProgress = 0;
  std::map<std::string, LoadResult> Results;
};

} // namespace hickorycrank::standin

#endif
