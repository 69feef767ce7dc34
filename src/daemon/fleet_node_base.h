#ifndef HICKORYCRANK_DAEMON_FLEET_NODE_BASE_H
#define HICKORYCRANK_DAEMON_FLEET_NODE_BASE_H

#include "config/gateway_settings_type.h"
#include "discovery/item_type.h"
#include "fleet/roster_base.h"
#include "net/http_pool_base.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>

namespace hickorycrank::daemon {

/** What the node asks of and tells its owner. */
struct FleetCallbacks {
  /** State to tell others; addresses and peers are filled in by the node. */
  std::function<fleet::Heartbeat()> Describe;
  std::function<void(const fleet::Heartbeat &)> OnHeartbeat;
  /** Revision of the own view. */
  std::function<uint64_t()> Revision;
  /** What another instance knows, and whether its store is reliable. */
  std::function<void(const discovery::Update &, bool StoreStable)> OnUpdate;
};

/** What a node counts. */
struct FleetCounters {
  uint64_t Sent = 0;
  uint64_t Received = 0;
  uint64_t Malformed = 0;
  uint64_t Pulls = 0;
  uint64_t PullsFailed = 0;
};

/**
 * Exchanges heartbeats with the other instances, and copies the view of one
 * that is ahead. Runs on one thread, that of the io_context.
 */
class FleetNode : public std::enable_shared_from_this<FleetNode> {
public:
  /** Path of updates at an instance's control endpoint. */
  static constexpr const char *UpdatePath = "/fleet/view";
  /** Query parameter of it: revision of the view to be updated. */
  static constexpr const char *SinceParameter = "since";
  /** Period at which the owner calls tick(). */
  static constexpr std::chrono::milliseconds TickPeriod{50};

  /**
   * Binds the address for heartbeats.
   * @param Context Runs the node.
   * @param Own Settings of the process.
   * @param Seed For random choices.
   * @param Handlers What to ask of and tell the owner.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  FleetNode(boost::asio::io_context &Context,
            const config::GatewaySettings &Own, uint64_t Seed,
            FleetCallbacks Handlers);

  /** Begins to receive. */
  void start();
  /** Ends all calls; the callbacks are not called afterwards. */
  void stop();
  /** Replaces the seeds. @param Seeds Control endpoints of instances. */
  void setSeeds(const std::vector<config::Endpoint> &Seeds);
  /** Sends heartbeats that are due. @param Now Current time. */
  void tick(base::TimePoint Now);
  /** Sends heartbeats at once. @param Now Current time. */
  void announce(base::TimePoint Now);
  /**
   * Copies the view of an instance that is ahead.
   * @param Now Current time.
   * @param ChangedAt Revision of the last change of the own view.
   * @param Reading Whether this instance reads the store.
   * @return Whether an instance is ahead.
   */
  bool catchUp(base::TimePoint Now, uint64_t ChangedAt, bool Reading);

  /** @param Now Current time. @param HasView Whether anything is known.
   * @return Whether this instance reads the store. */
  bool shouldRead(base::TimePoint Now, bool HasView) {
    return this->Members.shouldReadStore(Now, HasView);
  }

  /** @param Now Current time. @return Whether the instances of all other
   * failure domains have fallen silent. */
  bool isCutOff(base::TimePoint Now) const {
    return this->Members.isPartitioned(Now);
  }

  /** @param Now Current time. @return Instances including this one. */
  size_t instances(base::TimePoint Now) const {
    return this->Members.countInstances(Now);
  }
  /** @return What was counted so far. */
  const FleetCounters &counters() const { return this->Counters; }

private:
  /** A heartbeat is far smaller; a longer datagram is cut and refused. */
  static constexpr size_t MaxDatagramBytes = 16'384;

  void receive();
  void onDatagram(size_t Count);
  void onPulled(const net::ExchangeResult &Result, bool StoreStable);

  boost::asio::io_context &Context;
  config::GatewaySettings Own;
  FleetCallbacks Handlers;
  fleet::Roster Members;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, MaxDatagramBytes> Datagram;
  std::shared_ptr<net::HttpPool> Pull; ///< While a view is being copied.
  base::TimePoint StartedAt;
  base::TimePoint SentAt;
  bool Stopped = false;
  FleetCounters Counters;
};

} // namespace hickorycrank::daemon

#endif
