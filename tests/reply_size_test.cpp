// Tests the memory that unfinished replies take on many connections.
#include "net/upstream_pool_base.h"
#include "scripted_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

const std::string AttemptField = "X-Attempt";

/** Counts how the attempts of a pool ended. */
class CountingPool {
public:
  CountingPool()
      : Pool(this->Context, headers(),
             {[this](const forward::AttemptRef &, forward::ServerKey,
                     forward::Reply &&) { ++this->Replies; },
              [this](const forward::AttemptRef &, forward::ServerKey,
                     forward::AttemptFailure) { ++this->Failures; },
              [](const forward::AttemptRef &, forward::ServerKey,
                 forward::AttemptFailure) {},
              [](forward::ServerKey, bool) {}}) {}

  void send(uint64_t Number, const std::string &Address) {
    auto Source = std::make_shared<net::UpstreamRequest>();
    Source->AttemptId = "id" + std::to_string(Number);
    Source->IdHash = Number;
    Source->Message.target("/");
    Source->Message.set(AttemptField, Source->AttemptId);
    net::UpstreamAttempt Next;
    Next.Order.Ref = {Number, 0, 0};
    Next.Order.Server = forward::ServerKey(Number);
    Next.Order.Address = Address;
    Next.Order.Remaining = 10s;
    Next.Source = Source;
    this->Pool.send(std::move(Next));
  }

  /** Runs the connections until a counter reaches a number, or for 30 s, and
   * then a little longer. @return Most bytes of unfinished replies. */
  uint64_t runUntil(const int &Counter, int Number) {
    uint64_t Most = 0;
    base::TimePoint End = base::Clock::now() + 30s;
    bool Reached = false;
    while (base::Clock::now() < End) {
      if (!Reached && Counter >= Number) {
        Reached = true;
        End = base::Clock::now() + 200ms;
      }
      this->Context.run_for(5ms);
      Most = std::max(Most, this->Pool.unfinishedBytes());
    }
    return Most;
  }

  static net::ForwardHeaders headers() {
    net::ForwardHeaders Names;
    Names.AttemptId = AttemptField;
    Names.Remaining = "X-Remaining";
    Names.Signature = "X-Signature";
    Names.ExpectedServer = "X-Server";
    return Names;
  }

  boost::asio::io_context Context;
  net::UpstreamPool Pool;
  int Replies = 0;
  int Failures = 0;
};

/** @return A script that sends a part of a reply that never ends. */
ScriptedServer::Script unfinished(size_t Bytes) {
  return [Bytes](const std::string &) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" +
                         std::string(Bytes, 'a')};
  };
}

} // namespace

// Guards against running out of memory while many servers send replies that do
// not end, each too small to be rejected by itself.
TEST_CASE("unfinished replies are bounded over all connections", "[gateway]") {
  constexpr uint64_t Faulty = 200;
  ScriptedServer Hanging(unfinished(250'000));
  ScriptedServer Sound([](const std::string &Head) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\n" + AttemptField + ": " +
                         fieldOf(Head, AttemptField) +
                         "\r\nContent-Length: 20000\r\n\r\n" +
                         std::string(20'000, 'b')};
  });
  CountingPool Test;
  for (uint64_t I = 1; I <= Faulty; ++I) {
    Test.send(I, Hanging.address());
  }
  constexpr uint64_t OneRead = 4'096;
  CHECK(Test.runUntil(Test.Failures, 60) <=
        net::UpstreamPool::MaxUnfinishedBytes + OneRead);
  // 50 MB were sent, and only the largest replies were given up.
  CHECK(Test.Failures >= 60);
  CHECK(Test.Failures < static_cast<int>(Faulty));
  for (uint64_t I = 1; I <= 20; ++I) {
    Test.send(1'000 + I, Sound.address());
  }
  Test.runUntil(Test.Replies, 20);
  CHECK(Test.Replies == 20);
}

// Guards against a sum that drifts, so that replies are given up although
// nothing is unfinished.
TEST_CASE("a finished or failed reply no longer counts", "[gateway]") {
  ScriptedServer Closing([](const std::string &) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\nContent-Length: 8000\r\n\r\n" +
                             std::string(4'000, 'a'),
                         true};
  });
  CountingPool Test;
  for (uint64_t I = 1; I <= 10; ++I) {
    Test.send(I, Closing.address());
  }
  Test.runUntil(Test.Failures, 10);
  CHECK(Test.Failures == 10);
  CHECK(Test.Pool.unfinishedBytes() == 0);
}
