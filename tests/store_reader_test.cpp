// Reading of the store over loopback sockets, through the platform's adapter.
#include "config/settings_func.h"
#include "daemon/store_reader_base.h"
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

ScriptedReply answered(const std::string &Status, const std::string &Body) {
  return {"HTTP/1.1 " + Status + "\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body};
}

/** A store that fails once, then swallows one call, then answers again. */
class SwallowingStore {
public:
  ~SwallowingStore() { this->Ended = true; }

  ScriptedReply answer(const std::string &Head) {
    if (Head.find("/kv-range") != std::string::npos) {
      return answered("200 OK", R"({"items":[],"has-more":false,"as-of":5})");
    }
    int Watch = ++this->Watches;
    if (Watch == 1) {
      return answered("503 Service Unavailable", "{}");
    }
    if (Watch == 2) {
      this->SwallowedAt = base::Clock::now();
      while (!this->Ended) {
        std::this_thread::sleep_for(10ms);
      }
      return {"", true};
    }
    return answered("200 OK", R"({"as-of":6,"events":[
      {"key":"servers/i-1","deleted":true,"revision":6}]})");
  }

  void end() { this->Ended = true; }
  base::TimePoint swallowedAt() const { return this->SwallowedAt; }

private:
  std::atomic<int> Watches{0};
  std::atomic<bool> Ended{false};
  std::atomic<base::TimePoint> SwallowedAt{};
};

} // namespace

// Guards against work that goes on to a leaving server for the whole length of
// a watch because the returned store never answers a call from its outage.
TEST_CASE("a watch that the store swallows delays changes by little",
          "[fleet]") {
  SwallowingStore Store;
  ScriptedServer Platform(
      [&](const std::string &Head) { return Store.answer(Head); });
  boost::asio::io_context Context;
  std::optional<base::TimePoint> LearnedAt;
  auto Reader = std::make_shared<daemon::StoreReader>(
      Context, *config::parseEndpoint(Platform.address()),
      platform::makeDialect().Store, 1,
      daemon::StoreReaderCallbacks{[&](const discovery::Update &Newer) {
        if (!Newer.Changes.empty() && !LearnedAt) {
          LearnedAt = base::Clock::now();
        }
      }});
  Reader->resume(0);
  base::TimePoint GiveUp = base::Clock::now() + 10s;
  while (!LearnedAt && base::Clock::now() < GiveUp) {
    Context.run_for(10ms);
  }
  Reader->stop();
  Store.end();
  REQUIRE(LearnedAt);
  CHECK(*LearnedAt - Store.swallowedAt() < 3s);
}
