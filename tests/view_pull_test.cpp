// Tests the transfer of view updates between instances over loopback sockets.
#include "config/settings_func.h"
#include "daemon/fleet_node_base.h"
#include "net/fleet_codec_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace hickorycrank;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr size_t LargeValueBytes = 800'000;

/** @return A view update with one large configuration. */
discovery::Update largeUpdate() {
  discovery::Update Result;
  Result.Position = {1, 9};
  Result.LastChange = {1, 9};
  Result.Complete = true;
  Result.Changes.push_back({{discovery::ItemKind::Configuration,
                             "",
                             std::string(LargeValueBytes, 'x'),
                             {1, 9}},
                            false});
  return Result;
}

/** Sends one response in equal pieces with a pause before each. */
class SlowPeer {
public:
  SlowPeer(std::string Body, int Pieces, std::chrono::milliseconds Pause)
      : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Sending([this, Body = std::move(Body), Pieces, Pause] {
          this->send(Body, Pieces, Pause);
        }) {}
  ~SlowPeer() { this->Sending.join(); }
  SlowPeer(const SlowPeer &) = delete;
  SlowPeer &operator=(const SlowPeer &) = delete;

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

private:
  void send(const std::string &Body, int Pieces,
            std::chrono::milliseconds Pause) {
    tcp::socket Socket(this->Context);
    this->Acceptor.accept(Socket);
    boost::asio::streambuf Head;
    boost::system::error_code Failure;
    boost::asio::read_until(Socket, Head, "\r\n\r\n", Failure);
    std::string Response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    size_t PieceBytes = Response.size() / static_cast<size_t>(Pieces) + 1;
    for (size_t At = 0; At < Response.size() && !Failure; At += PieceBytes) {
      std::this_thread::sleep_for(Pause);
      boost::asio::write(Socket,
                         boost::asio::buffer(Response.substr(At, PieceBytes)),
                         Failure);
    }
  }

  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::thread Sending;
};

} // namespace

// Guards against a pull that is given up and begun again while its data
// arrives: on a slow link it would never end.
TEST_CASE("a view update that arrives slowly is received whole", "[fleet]") {
  SlowPeer Peer(net::encodeUpdate(largeUpdate()), 12, 120ms);
  boost::asio::io_context Context;
  config::GatewaySettings Settings;
  Settings.Domain = base::FailureDomainId("a");
  Settings.Heartbeats = *config::parseEndpoint("127.0.0.1:0");
  std::optional<discovery::Update> Received;
  auto Node = std::make_shared<daemon::FleetNode>(
      Context, Settings, 1,
      daemon::FleetCallbacks{
          [] { return fleet::Heartbeat(); }, [](const fleet::Heartbeat &) {},
          [] { return discovery::StorePosition(); },
          [&](const discovery::Update &Update, bool) { Received = Update; }});
  fleet::Heartbeat Ahead;
  Ahead.Address = "127.0.0.1:9";
  Ahead.ControlAddress = Peer.address();
  Ahead.Domain = Settings.Domain;
  Ahead.LastChange = {1, 9};
  Node->onHeartbeat(Ahead);
  REQUIRE(Node->pullNewerView(base::Clock::now(), {1, 5}, false));
  Context.run_for(4s);
  Node->stop();
  REQUIRE(Received);
  CHECK(Received->Changes.front().ChangedItem.Value.size() == LargeValueBytes);
  CHECK(Node->counters().PullsFailed == 0);
}
