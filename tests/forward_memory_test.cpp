// Tests of the state that forward::Engine keeps about servers, content and
// routes.
#include "forward_harness.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AttemptFailure;
using forward::RefusalReason;

// In a network partition a hedge may be answered before the connection of the
// first attempt fails. Guards against choosing a server again whose connection
// was never established.
TEST_CASE("a connection failure after its attempt was abandoned is recorded",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto Sent = Harness.takeActions<forward::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Harness.Engine.onAbandonedAttemptEnded(
      Harness.Now, Sent[0].Ref, Sent[0].Server,
      forward::AttemptFailure::NotSent, Harness.Out);
  Harness.Engine.onProbeResult(Harness.Now, Sent[0].Server, false);
  for (int I = 0; I < 5; ++I) {
    Harness.sendRequest("one.example", "/one/x", 4s);
  }
  for (const auto &More : Harness.takeActions<forward::SendAttempt>()) {
    CHECK(More.Server != Sent[0].Server);
  }
}

// Guards against content that continues to crash servers because a crash was
// confirmed only by failed requests and not by failed probes.
TEST_CASE("a failed probe confirms a crash", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  for (int Call = 0; Call < 2; ++Call) {
    Harness.sendRequest("one.example", "/one/x", 4s, 77);
    auto Sent = Harness.takeActions<forward::SendAttempt>();
    REQUIRE(Sent.size() == 1);
    Harness.failAttempt(Sent[0], AttemptFailure::Broken);
    Harness.Engine.onProbeResult(Harness.Now + 100ms, Sent[0].Server, false);
    Harness.takeActions<forward::SendAttempt>();
    Harness.advanceTime(200ms);
  }
  Harness.takeActions<forward::RespondCall>();
  Harness.sendRequest("one.example", "/one/x", 4s, 77);
  CHECK(Harness.takeActions<forward::SendAttempt>().empty());
  auto Responses = Harness.takeActions<forward::RespondCall>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(ForwardHarness::refusal(Responses[0]) != nullptr);
  CHECK(ForwardHarness::refusal(Responses[0])->Reason ==
        RefusalReason::Quarantined);
}

// Guards against memory use that grows with each renamed route.
TEST_CASE("the latency model of a removed route is discarded", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  for (int I = 0; I < 20; ++I) {
    forward::Route Renamed = ForwardHarness::singleServiceRoute(true);
    Renamed.Name = "renamed-" + std::to_string(I);
    Harness.publish({Renamed});
    Harness.sendRequest("one.example", "/one/x", 4s);
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      Harness.reply(Sent, ForwardHarness::successReply("sig"));
    }
  }
  CHECK(Harness.Engine.observedRoutes() == 1);
}
