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

/** A store that swallows one watch, then answers again. */
class SwallowingStore {
public:
  /** @param Swallowed Which watch, from 1; those before it are refused. */
  explicit SwallowingStore(int Swallowed) : Swallowed(Swallowed) {}
  ~SwallowingStore() { this->Ended = true; }

  ScriptedReply answer(const std::string &Head) {
    if (Head.find("/kv-range") != std::string::npos) {
      return answered("200 OK", R"({"items":[],"has-more":false,"as-of":5})");
    }
    int Watch = ++this->Watches;
    if (Watch < this->Swallowed) {
      return answered("503 Service Unavailable", "{}");
    }
    if (Watch == this->Swallowed) {
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
  int Swallowed;
  std::atomic<int> Watches{0};
  std::atomic<bool> Ended{false};
  std::atomic<base::TimePoint> SwallowedAt{};
};

} // namespace

// Guards against work that goes on to a leaving server for the whole length of
// a watch because the returned store never answers a call from its outage.
TEST_CASE("a watch that the store swallows delays changes by little",
          "[fleet]") {
  // Either the store has failed before, or the reader has just started with
  // what its peers know.
  bool Started = GENERATE(false, true);
  SwallowingStore Store(Started ? 1 : 2);
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
  Reader->resume(Started ? 5 : 0);
  base::TimePoint GiveUp = base::Clock::now() + 10s;
  while (!LearnedAt && base::Clock::now() < GiveUp) {
    Context.run_for(10ms);
  }
  Reader->stop();
  Store.end();
  REQUIRE(LearnedAt);
  CHECK(*LearnedAt - Store.swallowedAt() < 3s);
}
