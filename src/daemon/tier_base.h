#ifndef HICKORYCRANK_DAEMON_TIER_BASE_H
#define HICKORYCRANK_DAEMON_TIER_BASE_H

#include "base/timer_service_base.h"
#include "config/acceptance_type.h"
#include "config/document_type.h"
#include "config/settings_type.h"
#include "daemon/service_engine_base.h"
#include "limits/connection_share_func.h"
#include "metrics/registry_base.h"
#include "net/backend_codec_func.h"
#include "peers/server_list_type.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace hickorycrank::daemon {

/** Whether an instance accepts requests. */
enum class Readiness {
  Starting, ///< No configuration in force yet.
  Ready,
  Draining, ///< Shutting down; requests in progress continue.
};

/**
 * State that an instance serves queries from: the configuration in force and
 * one ServiceEngine per backend service. Thread-safe.
 */
class Tier {
public:
  /**
   * Creates a tier without configuration.
   * @param Context Runs all I/O.
   * @param Settings Settings of the process.
   * @param OnFact Called for each fact to publish to other instances.
   */
  Tier(boost::asio::io_context &Context, const config::Settings &Settings,
       ServiceEngine::FactCallback OnFact);

  /**
   * Puts a configuration in force if it is newer than the current one.
   * @param Offered A valid configuration.
   * @return Whether it was accepted, or why not.
   */
  config::Acceptance
  offerConfiguration(std::shared_ptr<const config::Configuration> Offered);

  /** @return The configuration in force, or nullptr. */
  std::shared_ptr<const config::Configuration> configuration() const;

  /** @return Version of the configuration in force. */
  config::ConfigurationVersion configurationVersion() const;

  /** Applies the platform's list of backend servers and entry instances.
   * @param List Live and leaving instances. */
  void applyInstances(const net::InstanceList &List);

  /**
   * Applies the backend servers of a peer's list; ignored once a list from the
   * platform has been applied.
   * @param List The list.
   */
  void applyPeerServers(const peers::ServerList &List);

  /**
   * Finds the engine of a service.
   * @param Service The service.
   * @return The engine, or nullptr if the configuration does not name it.
   */
  std::shared_ptr<ServiceEngine>
  serviceEngine(const base::ServiceId &Service) const;

  /** Advances timers. @param Event Current time and whether a pause of the
   * process was detected. */
  void tick(const base::Tick &Event);

  /** Requests load reports from the next part of the backend servers; see
   * ServiceEngine::refreshReports(). */
  void refreshReports();

  /** Applies a fact from another instance. @param Fact The fact. */
  void applyFact(const query::PublishFact &Fact);

  /** Breaks reference cycles; called after the io_context has stopped. */
  void release();

  /** @return State of each service for the status page and metrics. */
  std::vector<ServiceStatus> status() const;

  /** @return Longest deadline of the templates in force. */
  std::chrono::milliseconds longestDeadline() const;

  /** @return Settings of the process. */
  const config::Settings &settings() const { return this->Settings; }
  /** @return Histograms and counters. */
  metrics::Registry &metrics() { return this->Metrics; }

  std::atomic<Readiness> State{Readiness::Starting};

private:
  /** Passes the current server list to the engines, which take only complete
   * lists. */
  void distributeList();
  std::vector<std::shared_ptr<ServiceEngine>> serviceEngines() const;

  boost::asio::io_context &Context;
  config::Settings Settings;
  ServiceEngine::FactCallback OnFact;
  metrics::Registry Metrics;
  /** Held while a list is passed to the engines, so that lists arrive in order.
   * Must be locked before Mutex. */
  std::mutex ListMutex;
  mutable std::mutex Mutex; ///< Guards the members below.
  std::shared_ptr<const config::Configuration> InForce;
  std::map<base::ServiceId, std::shared_ptr<ServiceEngine>> Engines;
  peers::ServerList ServerList;
  bool ServersFromPlatform = false;
  limits::InstanceCounts Instances;
};

} // namespace hickorycrank::daemon

#endif
