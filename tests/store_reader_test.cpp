// Tests StoreReader over loopback sockets with the platform's dialect.
#include "config/settings_func.h"
#include "daemon/store_reader_base.h"
#include "daemon/suspend_clock_func.h"
#include "fleet/view_freshness_func.h"
#include "platform/dialect_func.h"
#include "scripted_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

ScriptedReply makeReply(const std::string &Status, const std::string &Body) {
  return {"HTTP/1.1 " + Status + "\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body};
}

/** A stand-in store that never answers one watch, then recovers. */
class UnresponsiveStore {
public:
  /** @param UnansweredWatch Number of the unanswered watch, from 1; earlier
   * ones get status 503. */
  explicit UnresponsiveStore(int UnansweredWatch)
      : UnansweredWatch(UnansweredWatch) {}
  ~UnresponsiveStore() { this->Ended = true; }

  ScriptedReply answer(const std::string &Head) {
    if (Head.find("/kv-range") != std::string::npos) {
      return makeReply("200 OK", R"({"items":[],"has-more":false,"as-of":5})");
    }
    int Watch = ++this->Watches;
    if (Watch < this->UnansweredWatch) {
      return makeReply("503 Service Unavailable", "{}");
    }
    if (Watch == this->UnansweredWatch) {
      this->UnansweredSince = base::Clock::now();
      while (!this->Ended) {
        std::this_thread::sleep_for(10ms);
      }
      return {"", true};
    }
    return makeReply("200 OK", R"({"as-of":6,"events":[
      {"key":"servers/i-1","deleted":true,"revision":6}]})");
  }

  void end() { this->Ended = true; }
  base::TimePoint unansweredSince() const { return this->UnansweredSince; }

private:
  int UnansweredWatch;
  std::atomic<int> Watches{0};
  std::atomic<bool> Ended{false};
  std::atomic<base::TimePoint> UnansweredSince{};
};

} // namespace

// Guards against learning of a leaving server only after a full watch timeout,
// because a recovered store never answers a call made during its outage.
TEST_CASE("an unanswered watch delays changes only briefly", "[fleet]") {
  // Either the store has failed before, or the reader has just started from a
  // revision learnt from its peers.
  bool FromKnownRevision = GENERATE(false, true);
  UnresponsiveStore Store(FromKnownRevision ? 1 : 2);
  ScriptedServer Platform(
      [&](const std::string &Head) { return Store.answer(Head); });
  boost::asio::io_context Context;
  std::optional<base::TimePoint> LearnedAt;
  auto Reader = std::make_shared<daemon::StoreReader>(
      Context, *config::parseEndpoint(Platform.address()),
      platform::makeDialect().Store, 1, fleet::makeReadTiming(3s),
      daemon::StoreReaderCallbacks{[&](const discovery::Update &Update) {
                                     if (!Update.Changes.empty() &&
                                         !LearnedAt) {
                                       LearnedAt = base::Clock::now();
                                     }
                                   },
                                   [](base::TimePoint) {}});
  Reader->resume({0, FromKnownRevision ? 5U : 0U});
  base::TimePoint GiveUp = base::Clock::now() + 10s;
  while (!LearnedAt && base::Clock::now() < GiveUp) {
    Context.run_for(10ms);
  }
  Reader->stop();
  Store.end();
  REQUIRE(LearnedAt);
  CHECK(*LearnedAt - Store.unansweredSince() < 3s);
}

// Guards against a reader that the other instances rely on although the store
// has not answered its watch: the reader counts as failed, and says of no time
// after its last answered call that its view is complete.
TEST_CASE("a reader whose watch is unanswered is not healthy", "[fleet]") {
  UnresponsiveStore Store(1);
  ScriptedServer Platform(
      [&](const std::string &Head) { return Store.answer(Head); });
  boost::asio::io_context Context;
  fleet::ReadTiming Timing = fleet::makeReadTiming(1s);
  std::optional<base::TimePoint> VerifiedAt;
  auto Reader = std::make_shared<daemon::StoreReader>(
      Context, *config::parseEndpoint(Platform.address()),
      platform::makeDialect().Store, 1, Timing,
      daemon::StoreReaderCallbacks{
          [](const discovery::Update &) {},
          [&](base::TimePoint Time) { VerifiedAt = Time; }});
  base::TimePoint StartedAt = daemon::suspendAwareNow();
  Reader->resume({});
  for (int I = 0; I < 5'000 && !Reader->isHealthy(); ++I) {
    Context.run_for(1ms);
  }
  CHECK(Reader->isHealthy());
  REQUIRE(VerifiedAt);
  CHECK(*VerifiedAt >= StartedAt);
  base::TimePoint Listed = *VerifiedAt;
  Context.run_for(Timing.ReaderAge + 20ms);
  CHECK_FALSE(Reader->isHealthy());
  CHECK(*VerifiedAt == Listed);
  Reader->stop();
  Store.end();
}

// Guards against memory that grows while a server sends a chunk's extension
// without end: the parser does not limit its length.
TEST_CASE("an endless chunk extension ends the exchange", "[fleet]") {
  std::string Bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
      std::string(8U << 20U, 'a');
  ScriptedServer Server(
      [&](const std::string &) { return ScriptedReply{Bytes}; });
  boost::asio::io_context Context;
  auto Pool = std::make_shared<net::HttpPool>(
      Context, *config::parseEndpoint(Server.address()), net::PoolLimits{});
  std::optional<net::ExchangeResult> Result;
  Pool->send({}, base::Clock::now() + 5s, /*Fresh=*/false,
             [&](net::ExchangeResult Ended) { Result = std::move(Ended); });
  Context.run_for(3s);
  REQUIRE(Result);
  const auto *Failure = std::get_if<net::ExchangeError>(&*Result);
  REQUIRE(Failure != nullptr);
  CHECK(Failure->Fault == net::ExchangeFault::Garbage);
}
