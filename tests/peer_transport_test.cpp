// Frames between instances on loopback.
#include "loopback.h"

#include "base/digest_func.h"
#include "net/peer_codec_func.h"
#include "net/peer_transport_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using boost::asio::ip::tcp;
using net::PeerCount;

namespace {

constexpr const char *Key = "a-key-for-tests-only";

/** A transport that keeps what it receives. */
struct Station {
  explicit Station(boost::asio::io_context &Context, std::string Name,
                   net::PeerLimits Limits = {})
      : Transport(std::make_shared<net::PeerTransport>(
            Context, config::Endpoint{}, Key, Limits)) {
    this->Self.Id = base::InstanceId(std::move(Name));
    this->Self.Address = config::toString(this->Transport->endpoint());
    this->Self.Domain = base::FailureDomainId("d0");
    this->Self.Process = base::Incarnation(1);
    this->Transport->start([this](const peers::Envelope &Message) {
      std::lock_guard Lock(this->Mutex);
      this->Received.push_back(Message);
    });
  }

  peers::Envelope to(const Station &Other, peers::Body Content) const {
    peers::Envelope Message;
    Message.Sender = this->Self;
    Message.Recipient = Other.Self.Id;
    Message.Content = std::move(Content);
    return Message;
  }

  void send(const Station &Other, uint64_t Sequence) {
    this->Transport->send(Other.Self.Address,
                          this->to(Other, peers::Ping{Sequence}), false);
  }

  size_t received() {
    std::lock_guard Lock(this->Mutex);
    return this->Received.size();
  }

  std::shared_ptr<net::PeerTransport> Transport;
  peers::Member Self;
  std::mutex Mutex;
  std::vector<peers::Envelope> Received;
};

/** Writes raw bytes to a transport as a stranger would. */
tcp::socket writeRaw(boost::asio::io_context &Context, const Station &Target,
                     const std::string &Bytes) {
  tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                  Target.Transport->endpoint().Port});
  boost::asio::write(Socket, boost::asio::buffer(Bytes));
  return Socket;
}

std::string withLength(const std::string &Payload) {
  std::string Frame;
  for (int Shift = 24; Shift >= 0; Shift -= 8) {
    Frame.push_back(static_cast<char>((Payload.size() >> Shift) & 0xFFU));
  }
  return Frame + Payload;
}

} // namespace

// Guards against two connections per pair and against lost frames.
TEST_CASE("one connection carries frames both ways", "[transport]") {
  Runner Running(2);
  Station One(Running.Context, "one");
  Station Two(Running.Context, "two");
  for (uint64_t I = 0; I < 50; ++I) {
    One.send(Two, I);
  }
  REQUIRE(eventually([&] { return Two.received() == 50; }));
  for (uint64_t I = 0; I < 50; ++I) {
    Two.send(One, I);
  }
  REQUIRE(eventually([&] { return One.received() == 50; }));
  CHECK(One.Transport->count(PeerCount::ConnectionsOpened) == 1);
  CHECK(Two.Transport->count(PeerCount::ConnectionsOpened) == 0);
  CHECK(One.Transport->count(PeerCount::ControlBytesSent) ==
        Two.Transport->count(PeerCount::ControlBytesReceived));
  Running.join();
}

// Guards against strangers, faults and oversized claims.
TEST_CASE("bad frames are counted and dropped", "[transport]") {
  Runner Running(2);
  Station One(Running.Context, "one");
  Station Two(Running.Context, "two");
  auto Good = One.to(Two, peers::Ping{1});
  auto Stranger = writeRaw(
      Running.Context, Two,
      withLength(net::encodePeerFrame(Good, "another-key-of-16-bytes")));
  CHECK(eventually(
      [&] { return Two.Transport->count(PeerCount::Unauthenticated) == 1; }));
  auto Huge = writeRaw(Running.Context, Two, std::string("\x7f\xff\xff\xff"));
  CHECK(eventually(
      [&] { return Two.Transport->count(PeerCount::TooLarge) == 1; }));
  std::string Garbage = "not thrift";
  std::string Good4 = withLength(net::encodePeerFrame(Good, Key));
  auto Faulty =
      writeRaw(Running.Context, Two,
               withLength(base::hmacSha256(Key, Garbage) + Garbage) + Good4);
  CHECK(eventually(
      [&] { return Two.Transport->count(PeerCount::Malformed) == 1; }));
  CHECK(eventually([&] { return Two.received() == 1; })); // The one behind it.
  CHECK(Two.Transport->count(PeerCount::FramesReceived) == 1);
  Running.join();
}

// Guards against two releases that misread each other.
TEST_CASE("frames that need a newer release are counted and dropped",
          "[transport]") {
  peers::Envelope Message;
  Message.Sender.Id = base::InstanceId("one");
  Message.Sender.Address = "a:1";
  Message.Sender.Domain = base::FailureDomainId("d0");
  Message.Recipient = base::InstanceId("two");
  Message.Content = peers::Facts{};
  // Fields 1 and 2 are the first four bytes: header, zigzag, header, zigzag.
  std::string Payload = net::encodePeerFrame(Message, Key).substr(32);
  REQUIRE(Payload[1] == 2);
  REQUIRE(Payload[3] == 2);
  Payload[1] = 4; // Protocol 2, compatible with 1: understood.
  CHECK(net::decodePeerFrame(base::hmacSha256(Key, Payload) + Payload, Key)
            .has_value());
  Payload[3] = 4; // Compatible with 2 only.
  auto Read =
      net::decodePeerFrame(base::hmacSha256(Key, Payload) + Payload, Key);
  REQUIRE(Read.has_error());
  CHECK(Read.error().Kind == base::ErrorKind::Stale);
}

// Guards against a call that may have run and is reported as not sent, and
// the other way round.
TEST_CASE("a failed send says whether bytes may have left", "[transport]") {
  Runner Running(2);
  Station One(Running.Context, "one");
  config::Endpoint Closed;
  {
    Station Gone(Running.Context, "gone");
    Closed = Gone.Transport->endpoint();
    Gone.Transport->stop();
    CHECK(eventually([&] { return Gone.Transport->connections() == 0; }));
  }
  std::promise<bool> Failed;
  peers::Envelope Message = One.to(One, peers::ForwardOnce{});
  One.Transport->send(config::toString(Closed), Message, false,
                      [&](bool MayHaveLeft) { Failed.set_value(MayHaveLeft); });
  auto Future = Failed.get_future();
  REQUIRE(Future.wait_for(std::chrono::seconds(5)) ==
          std::future_status::ready);
  CHECK_FALSE(Future.get());
  Running.join();
}

// Guards the tests that depend on the hook.
TEST_CASE("the hook drops and delays frames", "[transport]") {
  Runner Running(2);
  Station One(Running.Context, "one");
  Station Two(Running.Context, "two");
  One.Transport->setFrameHook([](const peers::Envelope &Message) {
    net::FrameFate Fate;
    uint64_t Sequence = std::get<peers::Ping>(Message.Content).Sequence;
    Fate.Drop = Sequence == 1;
    Fate.Delay = std::chrono::milliseconds(Sequence == 2 ? 200 : 0);
    return Fate;
  });
  auto Begin = base::Clock::now();
  One.send(Two, 1);
  One.send(Two, 2);
  One.send(Two, 3);
  REQUIRE(eventually([&] { return Two.received() == 2; }));
  CHECK(base::Clock::now() - Begin >= std::chrono::milliseconds(200));
  std::lock_guard Lock(Two.Mutex);
  CHECK(std::get<peers::Ping>(Two.Received[0].Content).Sequence == 3);
  CHECK(std::get<peers::Ping>(Two.Received[1].Content).Sequence == 2);
  Running.join();
}
