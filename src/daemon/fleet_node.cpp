#include "daemon/fleet_node_base.h"

#include "config/settings_func.h"
#include "daemon/log_func.h"
#include "net/fleet_codec_func.h"

#include <boost/asio/buffer.hpp>
#include <cmath>
#include <utility>

namespace hickorycrank::daemon {

namespace asio = boost::asio;
using asio::ip::udp;
using base::Clock;

namespace {

/** Timeout of a view pull until its data arrives, and for each pause in it, so
 * that a silent instance does not block pulls from others. */
constexpr std::chrono::milliseconds PullTimeout(800);
/** Status of an answer that refuses a pull because of other transfers. */
constexpr unsigned BusyStatus = 503;
constexpr std::chrono::milliseconds PullConnectTimeout(300);
/** A starting instance sends heartbeats more often, so that it and its peers
 * discover each other sooner. */
constexpr base::Duration StartupTime = std::chrono::milliseconds(1'000);
constexpr base::Duration StartupPeriod = std::chrono::milliseconds(50);

} // namespace

FleetNode::FleetNode(asio::io_context &Context,
                     const config::GatewaySettings &Settings,
                     uint64_t RandomSeed, FleetCallbacks Callbacks)
    : Context(Context), Settings(Settings), Callbacks(std::move(Callbacks)),
      Members(Clock::now(), config::toString(Settings.Heartbeats),
              Settings.Domain, RandomSeed),
      Socket(Context), StartedAt(Clock::now()) {
  udp::endpoint Destination(asio::ip::make_address(Settings.Heartbeats.Address),
                            Settings.Heartbeats.Port);
  this->Socket.open(Destination.protocol());
  this->Socket.bind(Destination);
  this->Socket.non_blocking(true);
  this->setSeeds(Settings.Seeds);
}

void FleetNode::start() { this->receive(); }

void FleetNode::stop() {
  this->Stopped = true;
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  if (this->PullPool) {
    this->PullPool->releaseCallbacks();
  }
}

void FleetNode::setSeeds(const std::vector<config::Endpoint> &Seeds) {
  std::vector<std::string> Addresses;
  Addresses.reserve(Seeds.size());
  for (const config::Endpoint &Seed : Seeds) {
    Addresses.push_back(
        config::toString({Seed.Address, this->Settings.Heartbeats.Port}));
  }
  this->Members.setSeedAddresses(std::move(Addresses));
}

void FleetNode::tick(base::TimePoint Now) {
  bool Starting = Now - this->StartedAt < StartupTime;
  base::Duration Period =
      Starting ? StartupPeriod : fleet::Roster::HeartbeatPeriod;
  if (Now - this->SentAt >= Period) {
    this->sendHeartbeats(Now);
  }
}

void FleetNode::sendHeartbeats(base::TimePoint Now) {
  this->SentAt = Now;
  fleet::Heartbeat Message = this->Callbacks.MakeHeartbeat();
  Message.Address = config::toString(this->Settings.Heartbeats);
  Message.ControlAddress = config::toString(this->Settings.Control);
  Message.Domain = this->Settings.Domain;
  Message.Peers = this->Members.sampleAddresses();
  std::string Bytes = net::encodeHeartbeat(Message);
  for (const std::string &Target : this->Members.chooseTargets(Now)) {
    auto Destination = config::parseEndpoint(Target);
    if (!Destination) {
      continue;
    }
    boost::system::error_code Failure;
    this->Socket.send_to(
        asio::buffer(Bytes),
        udp::endpoint(asio::ip::make_address(Destination->Address),
                      Destination->Port),
        0, Failure);
    // Send errors are ignored: the next heartbeat follows soon.
    this->Counters.Sent += Failure ? 0 : 1;
  }
}

bool FleetNode::pullNewerView(base::TimePoint Now,
                              const discovery::StorePosition &ChangedAt,
                              bool Reading) {
  auto Ahead = this->Members.findInstanceWithNewerView(Now, ChangedAt, Reading);
  if (!Ahead || this->PullPool || this->Stopped) {
    return false;
  }
  auto Destination = config::parseEndpoint(Ahead->ControlAddress);
  if (!Destination) {
    return false;
  }
  ++this->Counters.Pulls;
  logEvent(LogLevel::Info, "view.behind",
           {{"own", std::to_string(ChangedAt.Revision)},
            {"own_epoch", std::to_string(ChangedAt.Epoch)},
            {"peer", Ahead->ControlAddress},
            {"peer_changed_at", std::to_string(Ahead->LastChange.Revision)},
            {"peer_epoch", std::to_string(Ahead->LastChange.Epoch)}});
  net::PoolLimits Limits;
  Limits.MaxConnections = 1;
  Limits.ConnectTimeout = PullConnectTimeout;
  Limits.StallTimeout = PullTimeout;
  this->PullPool =
      std::make_shared<net::HttpPool>(this->Context, *Destination, Limits);
  net::HttpRequest Request;
  discovery::StorePosition Since = this->Callbacks.Position();
  Request.Path = std::string(UpdatePath) + "?" + SinceParameter + "=" +
                 std::to_string(Since.Revision) + "&" + EpochParameter + "=" +
                 std::to_string(Since.Epoch);
  this->PullPool->send(
      std::move(Request), Clock::now() + PullTimeout, /*Fresh=*/true,
      [Weak = this->weak_from_this(), Source = *Ahead,
       StartedAt = Clock::now()](const net::ExchangeResult &Result) {
        auto Self = Weak.lock();
        if (Self && !Self->Stopped) {
          Self->onPulled(Result, Source, StartedAt);
        }
      });
  return true;
}

void FleetNode::onPulled(const net::ExchangeResult &Result,
                         const fleet::Heartbeat &Source,
                         base::TimePoint StartedAt) {
  // The pool is calling this function, so it is destroyed afterwards.
  asio::post(this->Context,
             [Ended = std::exchange(this->PullPool, nullptr)] {});
  const auto *Response = std::get_if<net::HttpResponse>(&Result);
  if (Response == nullptr || Response->Status != 200) {
    bool Busy = Response != nullptr && Response->Status == BusyStatus;
    this->Members.onCopyFailed(Clock::now(), Source.Address, Busy);
    if (Busy) {
      ++this->Counters.PullsRefused;
      return;
    }
    ++this->Counters.PullsFailed;
    logEvent(LogLevel::Warning, "view.pull_failed",
             {{"peer", Source.ControlAddress},
              {"reason", net::failureReason(Result)},
              {"took_ms", std::to_string(std::lround(base::toMilliseconds(
                              Clock::now() - StartedAt)))}});
    return;
  }
  auto Decoded = net::decodeUpdate(Response->Body);
  if (!Decoded) {
    ++this->Counters.PullsFailed;
    logEvent(LogLevel::Warning, "view.bad_update",
             {{"error", Decoded.error().Message}});
    this->Members.onCopyFailed(Clock::now(), Source.Address, /*Busy=*/false);
    return;
  }
  this->Callbacks.OnUpdate(Decoded.value(), Source.StoreStable);
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
        // Errors are ICMP reports of earlier datagrams to closed ports.
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
    this->EventLog.log(Clock::now(), LogLevel::Warning, "heartbeat.malformed",
                       {{"sender", this->Sender.address().to_string()},
                        {"reason", Decoded.error().Message}});
    return;
  }
  ++this->Counters.Received;
  this->onHeartbeat(Decoded.value());
}

void FleetNode::onHeartbeat(const fleet::Heartbeat &Received) {
  this->Members.onHeartbeat(Clock::now(), Received);
  this->Callbacks.OnHeartbeat(Received);
}

} // namespace hickorycrank::daemon
