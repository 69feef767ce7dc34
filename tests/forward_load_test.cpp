// Tests of forward::Engine under overload and server loss, on virtual time.
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

/** Makes every connection attempt to the first two shards fail. */
void failConnectionsToTwoShards(ForwardHarness &Harness) {
  for (int I = 0; I < 3; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
    for (int Round = 0; Round < 4; ++Round) {
      for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
        if (Sent.Ref.Part < 2) {
          Harness.failAttempt(Sent, AttemptFailure::NotSent);
        }
      }
    }
  }
}

} // namespace

// One shard has lost most of its servers and is overloaded. Guards against a
// queue at this shard that delays every answer.
TEST_CASE("an overloaded shard is omitted if the route allows it",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  // Each of the shard's three servers reports a long queue.
  for (int I = 0; I < 3; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
    Harness.advanceTime(10ms);
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      forward::Reply Received = ForwardHarness::successReply("sig");
      if (Sent.Ref.Part == 3) {
        Received.Load = forward::LoadReport{3, 100, 3};
      }
      Harness.reply(Sent, Received);
    }
  }
  Harness.takeActions<forward::RespondCall>();
  Harness.takeActions<forward::SendAttempt>();
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  CHECK(Sent.size() == 9);
  for (const auto &Entry : Sent) {
    CHECK(Entry.Ref.Part != 3);
    Harness.reply(Entry, ForwardHarness::successReply("sig"));
  }
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(ForwardHarness::merged(Responses[0]) != nullptr);
  CHECK(ForwardHarness::merged(Responses[0])->Missing == 1);
  // The load estimate decays, so that the shard is used again.
  Harness.advanceTime(1s);
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().size() == 10);
}

// Two of ten shards have lost most of their servers, and an answer may omit
// only one. Guards against queues at these shards in which every request times
// out, and against refusals after the queues have drained.
TEST_CASE("a request is refused at once if required shards are overloaded",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  std::vector<forward::SendAttempt> Queued;
  std::deque<std::pair<base::TimePoint, forward::SendAttempt>> Running;
  size_t Asked = 0;
  std::vector<forward::RespondCall> Responses;
  // One request every 2 ms; eight shards reply after 20 ms.
  for (; Responses.empty() && Asked < 100; ++Asked) {
    Harness.sendRequest("wide.example", "/wide/x");
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      if (Sent.Ref.Part == 3 || Sent.Ref.Part == 4) {
        Queued.push_back(Sent);
      } else {
        Running.emplace_back(Harness.Now + 20ms, Sent);
      }
    }
    Responses = Harness.takeActions<forward::RespondCall>();
    Harness.advanceTime(2ms);
    for (; !Running.empty() && Running.front().first <= Harness.Now;
         Running.pop_front()) {
      Harness.reply(Running.front().second,
                    ForwardHarness::successReply("sig"));
    }
  }
  REQUIRE(Responses.size() == 1);
  const forward::Refusal *Refused = ForwardHarness::refusal(Responses[0]);
  REQUIRE(Refused != nullptr);
  CHECK(Refused->Reason == RefusalReason::Overloaded);
  CHECK_FALSE(Refused->MayHaveRun);
  CHECK(Refused->RetryAfter);
  CHECK(Asked > 18); // More than twice the nine slots of a shard.
  for (const auto &Entry : Queued) {
    Harness.reply(Entry, ForwardHarness::successReply("sig"));
  }
  Harness.takeActions<forward::RespondCall>();
  Harness.takeActions<forward::SendAttempt>();
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().size() == 10);
}

// A burst of requests with a long target latency could fill the queues of all
// servers. Guards against urgent requests that wait behind them, and against
// deferring the others for longer than a quarter of their target latency.
TEST_CASE("a burst of deferrable requests leaves capacity for urgent ones",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::withUrgentRoute();
  for (int I = 0; I < 40; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
  }
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  Harness.sendRequest("wide.example", "/urgent/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().size() == 10);
  Harness.advanceTime(5ms);
  for (const auto &Entry : Harness.takeActions<forward::SendAttempt>()) {
    Sent.push_back(Entry);
  }
  // At most two attempts for each of the three slots.
  std::map<forward::ServerKey, int> Waiting;
  for (const auto &Entry : Sent) {
    CHECK(++Waiting[Entry.Server] <= 6);
  }
  CHECK(Waiting.size() == 30);
  // Replies of a shard release deferred attempts of this shard only.
  for (const auto &Entry : Sent) {
    if (Entry.Ref.Part == 0) {
      Harness.reply(Entry, ForwardHarness::successReply("sig"));
    }
  }
  Harness.advanceTime(5ms);
  auto Second = Harness.takeActions<forward::SendAttempt>();
  CHECK(Second.size() >= 10);
  for (const auto &Entry : Second) {
    CHECK(Entry.Ref.Part == 0);
  }
  Harness.advanceTime(30ms);
  CHECK(Sent.size() + Second.size() +
            Harness.takeActions<forward::SendAttempt>().size() ==
        400);
  CHECK(Harness.Engine.counters().Deferred >= 200);
}

// All shards are slow. Guards against hedges that add to the load which delayed
// the first attempts.
TEST_CASE("a hedge is not sent to a server without a free slot", "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  Harness.sendRequest("wide.example", "/wide/x");
  for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
    forward::Reply Busy = ForwardHarness::successReply("sig");
    Busy.Load = forward::LoadReport{3, 2, 3};
    Harness.reply(Sent, Busy);
  }
  for (int I = 0; I < 30; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
  }
  CHECK(Harness.takeActions<forward::SendAttempt>().size() > 200);
  Harness.advanceTime(60ms);
  CHECK(Harness.Engine.counters().Hedges == 0);
}

// All servers of one shard are down while another shard is slow, and an answer
// may omit only one shard. Guards against omitting the slow shard, which would
// still reply.
TEST_CASE("an unreachable shard is omitted in preference to an overloaded one",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  for (int I = 0; I < 3; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
    for (int Round = 0; Round < 4; ++Round) {
      for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
        if (Sent.Ref.Part == 5) {
          Harness.failAttempt(Sent, AttemptFailure::NotSent);
          continue;
        }
        forward::Reply Received = ForwardHarness::successReply("sig");
        if (Sent.Ref.Part == 3) {
          Received.Load = forward::LoadReport{3, 100, 3};
        }
        Harness.reply(Sent, Received);
      }
    }
  }
  Harness.takeActions<forward::RespondCall>();
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  CHECK(Sent.size() == 9);
  for (const auto &Entry : Sent) {
    CHECK(Entry.Ref.Part != 5);
  }
}

// Two of ten shards are down, and an answer may omit only one. Guards against
// sending sub-requests for, and waiting for, an answer that cannot be
// completed, and against refusals after the servers are reachable again.
TEST_CASE("a fan-out with too many unreachable shards is refused at once",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  failConnectionsToTwoShards(Harness);
  Harness.takeActions<forward::RespondCall>();
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(ForwardHarness::refusal(Responses[0]) != nullptr);
  CHECK(ForwardHarness::refusal(Responses[0])->Reason ==
        RefusalReason::NoServer);
  CHECK_FALSE(ForwardHarness::refusal(Responses[0])->MayHaveRun);
  REQUIRE(ForwardHarness::refusal(Responses[0])->RetryAfter);
  Harness.advanceTime(*ForwardHarness::refusal(Responses[0])->RetryAfter + 1ms);
  Harness.takeActions<forward::SendAttempt>(); // Hedges of the previous calls.
  Harness.Engine.probeServers(Harness.Now, Harness.Out);
  for (const auto &Probe : Harness.takeActions<forward::ProbeConnection>()) {
    Harness.Engine.onProbeResult(Harness.Now, Probe.Server, true);
  }
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().size() >= 9);
}

// A network partition makes one failure domain, and with it a third of the
// servers, unreachable. Guards against requests that wait for connections which
// are never established.
TEST_CASE("an unreachable server is probed without a request", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Harness.failAttempt(Sent[0], AttemptFailure::NotSent);
  forward::ServerKey Lost = Sent[0].Server;
  Harness.takeActions<forward::SendAttempt>();
  int Probes = 0;
  for (int I = 0; I < 100; ++I) {
    Harness.advanceTime(50ms);
    Harness.sendRequest("one.example", "/one/x", 4s);
    for (const auto &More : Harness.takeActions<forward::SendAttempt>()) {
      CHECK(More.Server != Lost);
      Harness.reply(More, ForwardHarness::successReply("sig"));
    }
    Harness.Engine.probeServers(Harness.Now, Harness.Out);
    for (const auto &Probe : Harness.takeActions<forward::ProbeConnection>()) {
      CHECK(Probe.Server == Lost);
      ++Probes;
      Harness.Engine.onProbeResult(Harness.Now, Lost, false);
    }
  }
  CHECK(Probes >= 3);
  CHECK(Probes <= 8);
  Harness.Engine.onProbeResult(Harness.Now, Lost, true);
  Harness.Engine.probeServers(Harness.Now, Harness.Out);
  CHECK(Harness.takeActions<forward::ProbeConnection>().empty());
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto Back = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Back.size() == 1);
  CHECK(Back[0].Server == Lost);
}

// Guards against an instance that reports itself ready while it cannot reach
// the shards required by its routes.
TEST_CASE("an instance detects whether it can reach enough shards",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  CHECK(Harness.Engine.canReachShards(Harness.Now));
  failConnectionsToTwoShards(Harness);
  CHECK_FALSE(Harness.Engine.canReachShards(Harness.Now));
}
