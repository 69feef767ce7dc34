// Loads and losses that forward::Engine meets, each on virtual time. A comment
// names the pattern.
#include "forward_harness.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <utility>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AttemptFailure;
using forward::RefusalReason;

namespace {

/** Lets every connection to the first two shards fail. */
void loseTwoShards(ForwardHarness &Test) {
  for (int I = 0; I < 3; ++I) {
    Test.ask("wide.example", "/wide/x");
    for (int Round = 0; Round < 4; ++Round) {
      for (const auto &Sent : Test.take<forward::SendAttempt>()) {
        if (Sent.Ref.Part < 2) {
          Test.fail(Sent, AttemptFailure::NotSent);
        }
      }
    }
  }
}

} // namespace

// Pattern: one shard lost most of its servers and cannot keep up. Guards
// against a queue there that makes every answer late.
TEST_CASE("a shard that is overloaded is left out while the share allows it",
          "[forward]") {
  ForwardHarness Test = ForwardHarness::tenShards();
  // Each of the shard's three servers reports a long queue.
  for (int I = 0; I < 3; ++I) {
    Test.ask("wide.example", "/wide/x");
    Test.pass(10ms);
    for (const auto &Sent : Test.take<forward::SendAttempt>()) {
      forward::Reply Received = ForwardHarness::good("sig");
      if (Sent.Ref.Part == 3) {
        Received.Load = forward::LoadReport{3, 100, 3};
      }
      Test.reply(Sent, Received);
    }
  }
  Test.take<forward::RespondCall>();
  Test.take<forward::SendAttempt>();
  Test.ask("wide.example", "/wide/x");
  auto Sent = Test.take<forward::SendAttempt>();
  CHECK(Sent.size() == 9);
  for (const auto &Entry : Sent) {
    CHECK(Entry.Ref.Part != 3);
    Test.reply(Entry, ForwardHarness::good("sig"));
  }
  auto Final = Test.take<forward::RespondCall>();
  REQUIRE(Final.size() == 1);
  REQUIRE(ForwardHarness::merged(Final[0]) != nullptr);
  CHECK(ForwardHarness::merged(Final[0])->Missing == 1);
  // The estimate fades, so that the shard is asked again.
  Test.pass(1s);
  Test.ask("wide.example", "/wide/x");
  CHECK(Test.take<forward::SendAttempt>().size() == 10);
}

// Pattern: two shards of ten have lost most of their servers and only one may
// be missing. Guards against queues there in which every request waits until
// it times out, and against refusals after the queues are gone.
TEST_CASE("a request is refused at once if needed shards are overloaded",
          "[forward]") {
  ForwardHarness Test = ForwardHarness::tenShards();
  std::vector<forward::SendAttempt> Queued;
  std::deque<std::pair<base::TimePoint, forward::SendAttempt>> Running;
  size_t Asked = 0;
  std::vector<forward::RespondCall> Final;
  // A request each 2 ms; eight shards reply after 20 ms.
  for (; Final.empty() && Asked < 100; ++Asked) {
    Test.ask("wide.example", "/wide/x");
    for (const auto &Sent : Test.take<forward::SendAttempt>()) {
      if (Sent.Ref.Part == 3 || Sent.Ref.Part == 4) {
        Queued.push_back(Sent);
      } else {
        Running.emplace_back(Test.Now + 20ms, Sent);
      }
    }
    Final = Test.take<forward::RespondCall>();
    Test.pass(2ms);
    for (; !Running.empty() && Running.front().first <= Test.Now;
         Running.pop_front()) {
      Test.reply(Running.front().second, ForwardHarness::good("sig"));
    }
  }
  REQUIRE(Final.size() == 1);
  const forward::Refusal *Refused = ForwardHarness::refusal(Final[0]);
  REQUIRE(Refused != nullptr);
  CHECK(Refused->Reason == RefusalReason::Overloaded);
  CHECK_FALSE(Refused->MayHaveRun);
  CHECK(Refused->RetryAfter);
  CHECK(Asked > 18); // Two rounds of nine slots.
  for (const auto &Entry : Queued) {
    Test.reply(Entry, ForwardHarness::good("sig"));
  }
  Test.take<forward::RespondCall>();
  Test.take<forward::SendAttempt>();
  Test.ask("wide.example", "/wide/x");
  CHECK(Test.take<forward::SendAttempt>().size() == 10);
}

// Pattern: a burst of wide requests with time to spare fills the queues of all
// servers. Guards against urgent requests that wait behind them, and against
// wide ones that wait here for longer than a quarter of their target.
TEST_CASE("a burst of wide requests leaves room for urgent ones", "[forward]") {
  ForwardHarness Test = ForwardHarness::withUrgentRoute();
  for (int I = 0; I < 40; ++I) {
    Test.ask("wide.example", "/wide/x");
  }
  auto Sent = Test.take<forward::SendAttempt>();
  Test.ask("wide.example", "/urgent/x");
  CHECK(Test.take<forward::SendAttempt>().size() == 10);
  Test.pass(5ms);
  for (const auto &Entry : Test.take<forward::SendAttempt>()) {
    Sent.push_back(Entry);
  }
  // Two rounds of three slots, less the urgent request's.
  std::map<forward::ServerKey, int> Waiting;
  for (const auto &Entry : Sent) {
    CHECK(++Waiting[Entry.Server] <= 6);
  }
  CHECK(Waiting.size() == 30);
  // Replies make room for deferred attempts of their shard alone.
  for (const auto &Entry : Sent) {
    if (Entry.Ref.Part == 0) {
      Test.reply(Entry, ForwardHarness::good("sig"));
    }
  }
  Test.pass(5ms);
  auto Second = Test.take<forward::SendAttempt>();
  CHECK(Second.size() >= 10);
  for (const auto &Entry : Second) {
    CHECK(Entry.Ref.Part == 0);
  }
  Test.pass(30ms);
  CHECK(Sent.size() + Second.size() +
            Test.take<forward::SendAttempt>().size() ==
        400);
  CHECK(Test.Engine.counters().Deferred >= 200);
}

// Pattern: all shards are slow. Guards against hedges that add to the load
// which made the first attempts late.
TEST_CASE("a hedge is not sent to a server without a free slot", "[forward]") {
  ForwardHarness Test = ForwardHarness::tenShards();
  Test.ask("wide.example", "/wide/x");
  for (const auto &Sent : Test.take<forward::SendAttempt>()) {
    forward::Reply Busy = ForwardHarness::good("sig");
    Busy.Load = forward::LoadReport{3, 2, 3};
    Test.reply(Sent, Busy);
  }
  for (int I = 0; I < 30; ++I) {
    Test.ask("wide.example", "/wide/x");
  }
  CHECK(Test.take<forward::SendAttempt>().size() > 200);
  Test.pass(60ms);
  CHECK(Test.Engine.counters().Hedges == 0);
}

// Pattern: all servers of one shard are down while others are slow. Guards
// against using up the missing shards that an answer may have on a shard that
// would reply.
TEST_CASE("an unreachable shard is left out before an overloaded one",
          "[forward]") {
  ForwardHarness Test = ForwardHarness::tenShards();
  for (int I = 0; I < 3; ++I) {
    Test.ask("wide.example", "/wide/x");
    for (int Round = 0; Round < 4; ++Round) {
      for (const auto &Sent : Test.take<forward::SendAttempt>()) {
        if (Sent.Ref.Part == 5) {
          Test.fail(Sent, AttemptFailure::NotSent);
          continue;
        }
        forward::Reply Received = ForwardHarness::good("sig");
        if (Sent.Ref.Part == 3) {
          Received.Load = forward::LoadReport{3, 100, 3};
        }
        Test.reply(Sent, Received);
      }
    }
  }
  Test.take<forward::RespondCall>();
  Test.ask("wide.example", "/wide/x");
  auto Sent = Test.take<forward::SendAttempt>();
  CHECK(Sent.size() == 9);
  for (const auto &Entry : Sent) {
    CHECK(Entry.Ref.Part != 5);
  }
}

// Pattern: two shards of ten are down and only one may be missing. Guards
// against work on the other shards, and a wait, for an answer that cannot be
// given; after a while the servers are tried again.
TEST_CASE("a fan-out with too many unreachable shards is refused at once",
          "[forward]") {
  ForwardHarness Test = ForwardHarness::tenShards();
  loseTwoShards(Test);
  Test.take<forward::RespondCall>();
  Test.ask("wide.example", "/wide/x");
  CHECK(Test.take<forward::SendAttempt>().empty());
  auto Final = Test.take<forward::RespondCall>();
  REQUIRE(Final.size() == 1);
  REQUIRE(ForwardHarness::refusal(Final[0]) != nullptr);
  CHECK(ForwardHarness::refusal(Final[0])->Reason == RefusalReason::NoServer);
  CHECK_FALSE(ForwardHarness::refusal(Final[0])->MayHaveRun);
  REQUIRE(ForwardHarness::refusal(Final[0])->RetryAfter);
  Test.pass(*ForwardHarness::refusal(Final[0])->RetryAfter + 1ms);
  Test.take<forward::SendAttempt>(); // Hedges of the calls before.
  Test.Engine.probeServers(Test.Now, Test.Out);
  for (const auto &Probe : Test.take<forward::ProbeConnection>()) {
    Test.Engine.onProbeResult(Test.Now, Probe.Server, true);
  }
  Test.ask("wide.example", "/wide/x");
  CHECK(Test.take<forward::SendAttempt>().size() >= 9);
}

// Pattern: a failure domain is cut off, and a third of the servers cannot be
// reached. Guards against requests that wait for connections which never open.
TEST_CASE("a server that cannot be reached is probed without a request",
          "[forward]") {
  ForwardHarness Test = ForwardHarness::singleService(true);
  Test.ask("one.example", "/one/x", 4s);
  auto Sent = Test.take<forward::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Test.fail(Sent[0], AttemptFailure::NotSent);
  forward::ServerKey Lost = Sent[0].Server;
  Test.take<forward::SendAttempt>();
  int Probes = 0;
  for (int I = 0; I < 100; ++I) {
    Test.pass(50ms);
    Test.ask("one.example", "/one/x", 4s);
    for (const auto &More : Test.take<forward::SendAttempt>()) {
      CHECK(More.Server != Lost);
      Test.reply(More, ForwardHarness::good("sig"));
    }
    Test.Engine.probeServers(Test.Now, Test.Out);
    for (const auto &Probe : Test.take<forward::ProbeConnection>()) {
      CHECK(Probe.Server == Lost);
      ++Probes;
      Test.Engine.onProbeResult(Test.Now, Lost, false);
    }
  }
  CHECK(Probes >= 3);
  CHECK(Probes <= 8);
  Test.Engine.onProbeResult(Test.Now, Lost, true);
  Test.Engine.probeServers(Test.Now, Test.Out);
  CHECK(Test.take<forward::ProbeConnection>().empty());
  Test.ask("one.example", "/one/x", 4s);
  auto Back = Test.take<forward::SendAttempt>();
  REQUIRE(Back.size() == 1);
  CHECK(Back[0].Server == Lost);
}

// Guards against an instance that stays in rotation while it is cut off from
// the shards that its routes need.
TEST_CASE("an instance knows whether it reaches enough shards", "[forward]") {
  ForwardHarness Test = ForwardHarness::tenShards();
  CHECK(Test.Engine.canReachShards(Test.Now));
  loseTwoShards(Test);
  CHECK_FALSE(Test.Engine.canReachShards(Test.Now));
}
