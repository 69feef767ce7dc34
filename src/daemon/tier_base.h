#ifndef HICKORYCRANK_DAEMON_TIER_BASE_H
#define HICKORYCRANK_DAEMON_TIER_BASE_H

#include "base/timer_service_base.h"
#include "config/acceptance_type.h"
#include "config/document_type.h"
#include "config/settings_type.h"
#include "daemon/service_shard_base.h"
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

/** Whether an instance takes requests. */
enum class Readiness {
  Starting, ///< No configuration in force yet.
  Ready,
  Draining, ///< Stops; requests in progress go on.
};

/**
 * What one instance serves: the configuration in force and one shard of state
 * per backend service. Thread-safe.
 */
class Tier {
public:
  /**
   * Creates a tier without configuration.
   * @param Context Runs all I/O.
   * @param Own Settings of the process.
   * @param OnFact Called for each fact that other instances should learn.
   */
  Tier(boost::asio::io_context &Context, const config::Settings &Own,
       ServiceShard::FactCallback OnFact);

  /**
   * Puts a configuration in force if it is newer than the present one.
   * @param Offered A valid configuration.
   * @return The verdict.
   */
  config::Acceptance
  offerConfiguration(std::shared_ptr<const config::Configuration> Offered);

  /** @return The configuration in force, or nullptr. */
  std::shared_ptr<const config::Configuration> configuration() const;

  /** @return What identifies the configuration in force. */
  config::ConfigurationVersion configurationVersion() const;

  /** Takes the platform's list. @param List Live and leaving instances. */
  void applyInstances(const net::InstanceList &List);

  /**
   * Takes the backend servers from a peer's list; ignored once the platform
   * has given its own.
   * @param List The list.
   */
  void applyPeerServers(const peers::ServerList &List);

  /**
   * Finds the shard of a service.
   * @param Service The service.
   * @return The shard, or nullptr if the configuration does not name it.
   */
  std::shared_ptr<ServiceShard> shard(const base::ServiceId &Service) const;

  /** Lets time pass. @param Event Current time and any pause. */
  void tick(const base::Tick &Event);

  /** Asks the next part of the backend servers for their reports. */
  void refreshReports();

  /** Takes a fact from another instance. @param Fact The fact. */
  void applyFact(const query::PublishFact &Fact);

  /** Breaks cyclic references; when the io_context has ended. */
  void release();

  /** @return What an operator sees of each service. */
  std::vector<ServiceStatus> status() const;

  /** @return Longest deadline of the templates in force. */
  std::chrono::milliseconds longestDeadline() const;

  /** @return Settings of the process. */
  const config::Settings &settings() const { return this->Own; }
  /** @return Histograms and counters. */
  metrics::Registry &metrics() { return this->Metrics; }

  std::atomic<Readiness> State{Readiness::Starting};

private:
  /** Gives the list held to the shards, which take only whole lists. */
  void distributeList();
  std::vector<std::shared_ptr<ServiceShard>> shards() const;

  boost::asio::io_context &Context;
  config::Settings Own;
  ServiceShard::FactCallback OnFact;
  metrics::Registry Metrics;
  /** Held while a list goes to the shards, so that none overtakes a later
   * one. Locked before Mutex. */
  std::mutex ListMutex;
  mutable std::mutex Mutex; ///< Guards the members below.
  std::shared_ptr<const config::Configuration> InForce;
  std::map<base::ServiceId, std::shared_ptr<ServiceShard>> Shards;
  peers::ServerList Listed;
  bool ListedByPlatform = false;
  limits::InstanceCounts Instances;
};

} // namespace hickorycrank::daemon

#endif
