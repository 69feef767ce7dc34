// Tests of the rules of forward::Engine on virtual time.
#include "forward_harness.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AttemptFailure;
using forward::RefusalReason;

namespace {

forward::Reply notExecutedReply() {
  forward::Reply Result;
  Result.Status = 503;
  Result.NotExecuted = true;
  return Result;
}

} // namespace

// Guards against a 404 from an instance that has no configuration yet.
TEST_CASE(
    "without a configuration requests are refused with a retry-after time",
    "[forward]") {
  ForwardHarness Harness;
  Harness.sendRequest("one.example", "/one/x");
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(ForwardHarness::refusal(Responses[0]) != nullptr);
  CHECK(ForwardHarness::refusal(Responses[0])->Reason ==
        RefusalReason::NotReady);
  CHECK_FALSE(ForwardHarness::refusal(Responses[0])->MayHaveRun);
  CHECK(ForwardHarness::refusal(Responses[0])->RetryAfter);
}

// Guards against replacing a configuration by an older version.
TEST_CASE("an older configuration is ignored", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.publish({});
  auto Older = std::make_shared<forward::RouteTable>();
  Older->Version = 1;
  CHECK_FALSE(Harness.Engine.onRoutes(Older));
  Harness.sendRequest("one.example", "/one/x");
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::refusal(Responses[0])->Reason ==
        RefusalReason::NoRoute);
}

// Guards against executing a non-idempotent request more than once.
TEST_CASE("a non-idempotent request that may have been executed is not retried",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(false);
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Harness.advanceTime(2s);
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  Harness.failAttempt(Sent[0], AttemptFailure::Broken);
  Harness.advanceTime(1s);
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::refusal(Responses[0])->MayHaveRun);
}

// Guards against failing a non-idempotent request that was certainly not
// executed instead of retrying it.
TEST_CASE("a request that was not executed is sent to another server",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(false);
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto First = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(First.size() == 1);
  Harness.failAttempt(First[0], AttemptFailure::NotSent);
  auto Second = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Server != First[0].Server);
  Harness.reply(Second[0], notExecutedReply());
  Harness.advanceTime(20ms);
  auto Third = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Third.size() == 1);
  Harness.reply(Third[0], ForwardHarness::successReply("sig"));
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(std::get<forward::Reply>(Responses[0].Result).Signature == "sig");
}

// Guards against a refusal that reports a request as not executed although it
// may have been.
TEST_CASE("a refusal states whether the request may have been executed",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(false);
  Harness.sendRequest("one.example", "/one/x", 300ms);
  for (int I = 0; I < 400; ++I) {
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      Harness.reply(Sent, notExecutedReply());
    }
    Harness.advanceTime(1ms);
  }
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK_FALSE(ForwardHarness::refusal(Responses[0])->MayHaveRun);
  CHECK(ForwardHarness::refusal(Responses[0])->RetryAfter);

  Harness.sendRequest("one.example", "/one/x", 300ms);
  Harness.advanceTime(400ms);
  Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::refusal(Responses[0])->MayHaveRun);
}

// Guards against sending a part of a request to more distinct servers than
// MaxAttempts of its route.
TEST_CASE("a part is sent to at most as many servers as the route allows",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards(1);
  Harness.sendRequest("wide.example", "/wide/x");
  std::map<uint32_t, std::set<uint64_t>> Servers;
  for (int I = 0; I < 100; ++I) {
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      Servers[Sent.Ref.Part].insert(Sent.Server.Value);
      if (Sent.Ref.Part == 0) {
        forward::Reply Error;
        Error.Status = 500;
        Error.Signature = "error";
        Harness.reply(Sent, Error);
      }
    }
    Harness.advanceTime(10ms);
  }
  for (const auto &[Part, Distinct] : Servers) {
    CHECK(Distinct.size() <= 2);
  }
}

// Guards against an answer delayed by one paused server.
TEST_CASE("a late shard request is hedged to another server", "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Sent.size() == 10);
  Harness.advanceTime(10ms);
  for (size_t I = 1; I < Sent.size(); ++I) {
    Harness.reply(Sent[I],
                  ForwardHarness::successReply("sig" + std::to_string(I)));
  }
  Harness.advanceTime(55ms);
  auto Hedges = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].Ref.Part == 0);
  CHECK(Hedges[0].Server != Sent[0].Server);
  Harness.reply(Hedges[0], ForwardHarness::successReply("hedge"));
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::merged(Responses[0])->Missing == 0);
  auto Abandoned = Harness.takeActions<forward::AbandonAttempt>();
  REQUIRE(Abandoned.size() == 1);
  CHECK(Abandoned[0].Ref == Sent[0].Ref);
}

// Guards against missing the target latency because of one late shard, and
// against a partial answer with fewer shards than the route requires.
TEST_CASE("a partial answer is sent before the target latency", "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  for (size_t I = 2; I < Sent.size(); ++I) {
    Harness.reply(Sent[I],
                  ForwardHarness::successReply("sig" + std::to_string(I)));
  }
  Harness.advanceTime(140ms);
  CHECK(Harness.takeActions<forward::RespondCall>().empty());
  Harness.reply(Sent[1], ForwardHarness::successReply("sig1"));
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(ForwardHarness::merged(Responses[0]) != nullptr);
  CHECK(ForwardHarness::merged(Responses[0])->Missing == 1);
  CHECK(ForwardHarness::merged(Responses[0])->Signatures.size() == 9);
}

// Guards against waiting although too few shards have servers, and against a
// refusal although enough have them.
TEST_CASE("a fan-out without enough shards is refused at once", "[forward]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::fanOutRoute(10, 0.89)});
  for (size_t I = 0; I < 9; ++I) {
    Harness.addReplicas("s" + std::to_string(I));
  }
  Harness.announce();
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().size() == 9);
  CHECK(Harness.takeActions<forward::RespondCall>().empty());
  Harness.Listed.erase(Harness.Listed.begin(), Harness.Listed.begin() + 3);
  Harness.announce();
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::refusal(Responses[0])->Reason ==
        RefusalReason::NoServer);
  CHECK_FALSE(ForwardHarness::refusal(Responses[0])->MayHaveRun);
}

// Guards against sending first attempts or hedges to a server that is leaving.
TEST_CASE("a leaving server receives no new attempts", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  for (forward::ServerEntry &Entry : Harness.Listed) {
    Entry.Leaving = Entry.Id.Value != "one-c";
  }
  Harness.announce();
  for (int I = 0; I < 5; ++I) {
    Harness.sendRequest("one.example", "/one/x", 4s);
  }
  for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
    CHECK(Sent.ServerId.Value == "one-c");
  }
  Harness.advanceTime(1s);
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
}

// Guards against sending requests to an address that another server has taken
// over.
TEST_CASE("a server that was found misdirected receives no more requests",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  forward::Reply Wrong;
  Wrong.Status = 421;
  Wrong.Misdirected = true;
  Harness.reply(Sent[0], Wrong);
  for (int I = 0; I < 10; ++I) {
    Harness.sendRequest("one.example", "/one/x", 4s);
  }
  for (const auto &More : Harness.takeActions<forward::SendAttempt>()) {
    CHECK(More.Server != Sent[0].Server);
  }
}

// Guards against sending a request to more servers than the route allows: an
// attempt at a server that already had it must not free a place if it fails.
TEST_CASE("a failed connection to a tried server allows no further server",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.sendRequest("one.example", "/one/x", 4s);
  std::set<uint64_t> Received;
  for (int Try = 0; Try < 40; ++Try) {
    Harness.advanceTime(20ms);
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      bool Again = !Received.insert(Sent.Server.Value).second;
      Harness.failAttempt(Sent, Again ? AttemptFailure::NotSent
                                      : AttemptFailure::Broken);
    }
  }
  CHECK(Received.size() == 2);
}

// Guards against processing calls of callers that have disconnected.
TEST_CASE("the attempts of a disconnected caller are abandoned", "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  auto Id = Harness.sendRequest("wide.example", "/wide/x");
  Harness.takeActions<forward::SendAttempt>();
  Harness.Engine.onCallerGone(Harness.Now, Id, Harness.Out);
  CHECK(Harness.takeActions<forward::AbandonAttempt>().size() == 10);
  Harness.advanceTime(2s);
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  CHECK(Harness.takeActions<forward::RespondCall>().empty());
}

// Guards against merging shards of two configurations into one answer.
TEST_CASE("a call keeps the configuration that was active at its arrival",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards(1);
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  forward::Route Newer = ForwardHarness::fanOutRoute(15, 1);
  Harness.publish({Newer});
  for (size_t I = 10; I < 15; ++I) {
    Harness.addReplicas("s" + std::to_string(I));
  }
  Harness.announce();
  for (size_t I = 0; I < Sent.size(); ++I) {
    Harness.reply(Sent[I],
                  ForwardHarness::successReply("sig" + std::to_string(I)));
  }
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::merged(Responses[0])->Signatures.size() == 10);
  CHECK(ForwardHarness::merged(Responses[0])->Missing == 0);
  Harness.sendRequest("wide.example", "/wide/x");
  CHECK(Harness.takeActions<forward::SendAttempt>().size() == 15);
}

// Guards against a request that crashes a second server of every shard when it
// is retried.
TEST_CASE("a fan-out whose attempts all break is not retried", "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Sent.size() == 10);
  Harness.advanceTime(3ms);
  for (const auto &Entry : Sent) {
    Harness.failAttempt(Entry, AttemptFailure::Broken);
  }
  Harness.advanceTime(500ms);
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::refusal(Responses[0])->MayHaveRun);
}

// Guards against traffic shares that deviate from the configured weights.
TEST_CASE("traffic is split according to the weights", "[forward]") {
  ForwardHarness Harness;
  forward::Route Split = ForwardHarness::singleServiceRoute(true);
  Split.Choices = {{"one", 3}, {"two", 1}};
  Harness.publish({Split});
  Harness.addReplicas("one");
  Harness.addReplicas("two");
  Harness.announce();
  int Two = 0;
  for (int I = 0; I < 40; ++I) {
    Harness.sendRequest("one.example", "/one/x", 4s);
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      Two += Sent.ServerId.Value.starts_with("two") ? 1 : 0;
      Harness.reply(Sent, ForwardHarness::successReply("sig"));
    }
  }
  CHECK(Two == 10);
}

// Guards against a call that exceeds the route's timeout because the caller's
// deadline is later.
TEST_CASE("a call ends within the route's timeout", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.sendRequest("one.example", "/one/x", 60s);
  Harness.advanceTime(3'900ms);
  CHECK(Harness.takeActions<forward::RespondCall>().empty());
  Harness.advanceTime(200ms);
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  CHECK(ForwardHarness::refusal(Responses[0])->Reason ==
        RefusalReason::Timeout);
}
