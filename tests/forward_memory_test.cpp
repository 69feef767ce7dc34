// What forward::Engine learns and forgets about servers, content and routes.
#include "forward_harness.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AttemptFailure;
using forward::RefusalReason;

// Pattern: a failure domain is cut off, and hedges win before a connection
// fails. Guards against choosing a server again whose connection never opened.
TEST_CASE("a connection that fails after its attempt was abandoned counts",
          "[forward]") {
  ForwardHarness Test = ForwardHarness::singleService(true);
  Test.ask("one.example", "/one/x", 4s);
  auto Sent = Test.take<forward::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Test.Engine.onAbandonedAttemptEnded(Test.Now, Sent[0].Ref, Sent[0].Server);
  Test.Engine.onProbeResult(Test.Now, Sent[0].Server, false);
  for (int I = 0; I < 5; ++I) {
    Test.ask("one.example", "/one/x", 4s);
  }
  for (const auto &More : Test.take<forward::SendAttempt>()) {
    CHECK(More.Server != Sent[0].Server);
  }
}

// Guards against content that goes on crashing servers because only requests,
// and not probes, found the crashed ones unreachable.
TEST_CASE("a probe that fails confirms a crash", "[forward]") {
  ForwardHarness Test = ForwardHarness::singleService(true);
  for (int Call = 0; Call < 2; ++Call) {
    Test.ask("one.example", "/one/x", 4s, 77);
    auto Sent = Test.take<forward::SendAttempt>();
    REQUIRE(Sent.size() == 1);
    Test.fail(Sent[0], AttemptFailure::Broken);
    Test.Engine.onProbeResult(Test.Now + 100ms, Sent[0].Server, false);
    Test.take<forward::SendAttempt>();
    Test.pass(200ms);
  }
  Test.take<forward::RespondCall>();
  Test.ask("one.example", "/one/x", 4s, 77);
  CHECK(Test.take<forward::SendAttempt>().empty());
  auto Final = Test.take<forward::RespondCall>();
  REQUIRE(Final.size() == 1);
  REQUIRE(ForwardHarness::refusal(Final[0]) != nullptr);
  CHECK(ForwardHarness::refusal(Final[0])->Reason ==
        RefusalReason::Quarantined);
}

// Guards against memory that grows with each route that is renamed.
TEST_CASE("what was learnt of a removed route is forgotten", "[forward]") {
  ForwardHarness Test = ForwardHarness::singleService(true);
  for (int I = 0; I < 20; ++I) {
    forward::Route Renamed = ForwardHarness::single(true);
    Renamed.Name = "renamed-" + std::to_string(I);
    Test.publish({Renamed});
    Test.ask("one.example", "/one/x", 4s);
    for (const auto &Sent : Test.take<forward::SendAttempt>()) {
      Test.reply(Sent, ForwardHarness::good("sig"));
    }
  }
  CHECK(Test.Engine.observedRoutes() == 1);
}
