#ifndef HICKORYCRANK_DAEMON_FLEET_NODE_BASE_H
#define HICKORYCRANK_DAEMON_FLEET_NODE_BASE_H

#include "config/gateway_settings_type.h"
#include "daemon/log_limit_base.h"
#include "discovery/item_type.h"
#include "fleet/capacity_func.h"
#include "fleet/roster_base.h"
#include "net/http_pool_base.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>

namespace hickorycrank::daemon {

/** Callbacks by which a FleetNode queries and notifies its owner. */
struct FleetCallbacks {
  /** Builds the next heartbeat; the node fills in the addresses and peers. */
  std::function<fleet::Heartbeat()> MakeHeartbeat;
  std::function<void(const fleet::Heartbeat &)> OnHeartbeat;
  /** Returns the position of the local view. */
  std::function<discovery::StorePosition()> Position;
  /** Receives a view update from another instance. StoreStable tells whether
   * that instance has read the store without recent failures. */
  std::function<void(const discovery::Update &, bool StoreStable)> OnUpdate;
};

/** Counters of heartbeats and view pulls. */
struct FleetCounters {
  uint64_t Sent = 0;
  uint64_t Received = 0;
  uint64_t Malformed = 0;
  uint64_t Pulls = 0;
  uint64_t PullsFailed = 0;
  uint64_t PullsRefused = 0; ///< By instances that send to others.
};

/**
 * Exchanges heartbeats with the other instances and pulls the view of an
 * instance whose view is newer. Not thread-safe: all calls must come from the
 * thread that runs the io_context.
 */
class FleetNode : public std::enable_shared_from_this<FleetNode> {
public:
  /** Path at an instance's control endpoint that serves view updates. */
  static constexpr const char *UpdatePath = "/fleet/view";
  /** Query parameter of UpdatePath: revision that the requester has. */
  static constexpr const char *SinceParameter = "since";
  static constexpr const char *EpochParameter = "epoch"; ///< Of "since".
  /** Period at which the owner calls tick(). */
  static constexpr std::chrono::milliseconds TickPeriod{50};

  /**
   * Binds the UDP address for heartbeats.
   * @param Context Runs the node.
   * @param Settings Settings of the process.
   * @param RandomSeed Seed of the random number generator.
   * @param Callbacks Callbacks to the owner.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  FleetNode(boost::asio::io_context &Context,
            const config::GatewaySettings &Settings, uint64_t RandomSeed,
            FleetCallbacks Callbacks);

  /** Starts receiving heartbeats. */
  void start();
  /** Cancels all I/O; no callback is called afterwards. */
  void stop();
  /** Replaces the list of instances to send the first heartbeats to.
   * @param Seeds Their endpoints; the ports are replaced by the heartbeat port.
   */
  void setSeeds(const std::vector<config::Endpoint> &Seeds);
  /** Sends heartbeats if they are due. @param Now Current time. */
  void tick(base::TimePoint Now);
  /** Sends heartbeats immediately. @param Now Current time. */
  void sendHeartbeats(base::TimePoint Now);
  /** Records a heartbeat of another instance. @param Received The heartbeat. */
  void onHeartbeat(const fleet::Heartbeat &Received);
  /**
   * Starts pulling the view of an instance whose view is newer, if any.
   * @param Now Current time.
   * @param ChangedAt Position of the last change in the local view.
   * @param Reading Whether this instance reads the store.
   * @return Whether a pull was started.
   */
  bool pullNewerView(base::TimePoint Now,
                     const discovery::StorePosition &ChangedAt, bool Reading);

  /** Decides whether this instance should read the store; see
   * fleet::Roster::shouldReadStore(). */
  bool shouldRead(base::TimePoint Now, bool HasView, base::Duration ViewAge,
                  const fleet::ReadTiming &Timing) {
    return this->Members.shouldReadStore(Now, HasView, ViewAge, Timing);
  }

  /** @param Now Current time. @return Whether heartbeats from all other
   * failure domains have stopped. */
  bool hasLostOtherDomains(base::TimePoint Now) const {
    return this->Members.isPartitioned(Now);
  }

  /** @param Now Current time. @return The last heartbeats of the instances that
   * forward the requests of others. */
  std::vector<const fleet::Heartbeat *>
  relayTargets(base::TimePoint Now) const {
    return this->Members.relayTargets(Now);
  }

  /** @param Now Current time. @return Number of live instances, including
   * this one. */
  size_t instances(base::TimePoint Now) const {
    return this->Members.countInstances(Now);
  }
  /** @param Now Current time. @return The instances that may send requests to
   * cold servers. */
  limits::ColdMembers coldMembers(base::TimePoint Now) {
    return this->Members.coldMembers(Now);
  }
  /** @param Now Current time. @return Number of live instances of the own
   * failure domain, including this one. */
  size_t domainInstances(base::TimePoint Now) const {
    return this->Members.countDomainInstances(Now);
  }
  /** @param Now Current time. @return The part of common limits that this
   * instance takes, relative to an equal part. */
  double capacityWeight(base::TimePoint Now) const {
    return this->Members.capacityWeight(
        Now, fleet::toCapacity(this->Settings.Size.CpuCores));
  }
  /** @param Now Current time. @param Senders The instances that may send
   * requests. @return Part of the slack of common limits; 0 if it is unknown.
   */
  double slackPart(base::TimePoint Now,
                   const limits::ColdMembers &Senders) const {
    return this->Members.slackPart(
        Now, fleet::toCapacity(this->Settings.Size.CpuCores), Senders);
  }
  /** @return The counters. */
  const FleetCounters &counters() const { return this->Counters; }

private:
  /** Far above the size of a heartbeat. A longer datagram is truncated and
   * then rejected as malformed. */
  static constexpr size_t MaxDatagramBytes = 16'384;

  void receive();
  void onDatagram(size_t Count);
  void onPulled(const net::ExchangeResult &Result,
                const fleet::Heartbeat &Source, base::TimePoint StartedAt);

  boost::asio::io_context &Context;
  config::GatewaySettings Settings;
  FleetCallbacks Callbacks;
  fleet::Roster Members;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, MaxDatagramBytes> Datagram;
  std::shared_ptr<net::HttpPool> PullPool; ///< Set while a pull is in progress.
  base::TimePoint StartedAt;
  base::TimePoint SentAt;
  bool Stopped = false;
  LogLimit EventLog; ///< Limits the rate of lines about datagrams.
  FleetCounters Counters;
};

} // namespace hickorycrank::daemon

#endif
