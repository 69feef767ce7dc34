#include "daemon/fleet_node_base.h"

#include "config/settings_func.h"
#include "daemon/log_func.h"
#include "net/fleet_codec_func.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace hickorycrank::daemon {

namespace asio = boost::asio;
using asio::ip::udp;
using base::Clock;

namespace {

/** Time to copy a view from another instance; a slow one is left for another.
 */
constexpr base::Duration PullTimeout = std::chrono::milliseconds(800);
constexpr std::chrono::milliseconds PullConnectTimeout(300);
/** A starting instance is heard, and hears the others, sooner. */
constexpr base::Duration StartTime = std::chrono::milliseconds(1'000);
constexpr base::Duration StartPeriod = std::chrono::milliseconds(50);

} // namespace

FleetNode::FleetNode(asio::io_context &Context,
                     const config::GatewaySettings &Own, uint64_t Seed,
                     FleetCallbacks Handlers)
    : Context(Context), Own(Own), Handlers(std::move(Handlers)),
      Members(Clock::now(), config::toString(Own.Heartbeats), Own.Domain, Seed),
      Socket(Context), StartedAt(Clock::now()) {
  udp::endpoint Where(asio::ip::make_address(Own.Heartbeats.Address),
                      Own.Heartbeats.Port);
  this->Socket.open(Where.protocol());
  this->Socket.bind(Where);
  this->Socket.non_blocking(true);
  this->setSeeds(Own.Seeds);
}

void FleetNode::start() { this->receive(); }

void FleetNode::stop() {
  this->Stopped = true;
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  if (this->Pull) {
    this->Pull->releaseCallbacks();
  }
}

void FleetNode::setSeeds(const std::vector<config::Endpoint> &Seeds) {
  std::vector<std::string> Addresses;
  Addresses.reserve(Seeds.size());
  for (const config::Endpoint &Seed : Seeds) {
    Addresses.push_back(
        config::toString({Seed.Address, this->Own.Heartbeats.Port}));
  }
  this->Members.setSeedAddresses(std::move(Addresses));
}

void FleetNode::tick(base::TimePoint Now) {
  bool Starting = Now - this->StartedAt < StartTime;
  base::Duration Period =
      Starting ? StartPeriod : fleet::Roster::HeartbeatPeriod;
  if (Now - this->SentAt >= Period) {
    this->announce(Now);
  }
}

void FleetNode::announce(base::TimePoint Now) {
  this->SentAt = Now;
  fleet::Heartbeat Message = this->Handlers.Describe();
  Message.Address = config::toString(this->Own.Heartbeats);
  Message.ControlAddress = config::toString(this->Own.Control);
  Message.Domain = this->Own.Domain;
  Message.Peers = this->Members.sampleAddresses();
  std::string Bytes = net::encodeHeartbeat(Message);
  for (const std::string &Target : this->Members.chooseTargets(Now)) {
    auto Where = config::parseEndpoint(Target);
    if (!Where) {
      continue;
    }
    boost::system::error_code Failure;
    this->Socket.send_to(
        asio::buffer(Bytes),
        udp::endpoint(asio::ip::make_address(Where->Address), Where->Port), 0,
        Failure);
    // A lost heartbeat is followed by the next one; only successes count.
    this->Counters.Sent += Failure ? 0 : 1;
  }
}

bool FleetNode::catchUp(base::TimePoint Now, uint64_t ChangedAt, bool Reading) {
  auto Ahead = this->Members.findInstanceWithNewerView(Now, ChangedAt, Reading);
  if (!Ahead || this->Pull || this->Stopped) {
    return false;
  }
  auto Where = config::parseEndpoint(Ahead->ControlAddress);
  if (!Where) {
    return false;
  }
  ++this->Counters.Pulls;
  logEvent(LogLevel::Info, "view.behind",
           {{"own", std::to_string(ChangedAt)},
            {"peer", Ahead->ControlAddress},
            {"peer_changed_at", std::to_string(Ahead->LastChangeRevision)}});
  net::PoolLimits Limits;
  Limits.MaxConnections = 1;
  Limits.ConnectTimeout = PullConnectTimeout;
  this->Pull = std::make_shared<net::HttpPool>(this->Context, *Where, Limits);
  net::HttpRequest Request;
  Request.Path = std::string(UpdatePath) + "?" + SinceParameter + "=" +
                 std::to_string(this->Handlers.Revision());
  this->Pull->send(std::move(Request), Clock::now() + PullTimeout, true,
                   [Weak = this->weak_from_this(), Stable = Ahead->StoreStable](
                       const net::ExchangeResult &Result) {
                     auto Self = Weak.lock();
                     if (Self && !Self->Stopped) {
                       Self->onPulled(Result, Stable);
                     }
                   });
  return true;
}

void FleetNode::onPulled(const net::ExchangeResult &Result, bool StoreStable) {
  // The pool is released after this callback, which it is running.
  asio::post(this->Context, [Ended = std::exchange(this->Pull, nullptr)] {});
  const auto *Response = std::get_if<net::HttpResponse>(&Result);
  if (Response == nullptr || Response->Status != 200) {
    ++this->Counters.PullsFailed;
    return;
  }
  auto Decoded = net::decodeUpdate(Response->Body);
  if (!Decoded) {
    ++this->Counters.PullsFailed;
    logEvent(LogLevel::Warning, "view.bad_update",
             {{"error", Decoded.error().Message}});
    return;
  }
  this->Handlers.OnUpdate(Decoded.value(), StoreStable);
}

void FleetNode::receive() {
  this->Socket.async_receive_from(
      asio::buffer(this->Datagram), this->Sender,
      [Weak = this->weak_from_this()](boost::system::error_code Failure,
                                      size_t Count) {
        auto Self = Weak.lock();
        if (!Self || Self->Stopped ||
            Failure == asio::error::operation_aborted) {
          return;
        }
        // Errors are those of earlier datagrams whose target has no listener.
        if (!Failure) {
          Self->onDatagram(Count);
        }
        Self->receive();
      });
}

void FleetNode::onDatagram(size_t Count) {
  auto Decoded = net::decodeHeartbeat({this->Datagram.data(), Count});
  if (!Decoded) {
    ++this->Counters.Malformed;
    return;
  }
  ++this->Counters.Received;
  this->Members.onHeartbeat(Clock::now(), Decoded.value());
  this->Handlers.OnHeartbeat(Decoded.value());
}

} // namespace hickorycrank::daemon
