// Tests of query::Engine with requests that crash backend servers.
#include "engine_harness.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

// Guards against retrying a crashing request on one server after another.
TEST_CASE("a crashing request is refused after two crashes", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 1, {1});
  size_t Crashes = 0;
  for (int I = 0; I < 20; ++I) {
    Test.submit(Test.request("poison"));
    for (int Round = 0; Round < 60; ++Round) {
      Test.advance(5ms);
      for (const auto &Attempt : Test.take<query::SendAttempt>()) {
        ++Crashes;
        Test.fail(Attempt, query::FailureKind::Reset, true);
        Test.Engine.onProbeFailed(Test.Now, Attempt.Server, Test.Out);
      }
    }
  }
  CHECK(Crashes == 2);
  // Another request still runs on the remaining server.
  Test.submit(Test.request("innocent"));
  REQUIRE(Test.take<query::SendAttempt>().size() == 1);
}

// Guards against refusing a harmless request that was in flight on a server
// when another request crashed the server.
TEST_CASE("a harmless suspect is cleared by running alone", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 1, {1});
  Test.submit(Test.request("guilty"));
  Test.submit(Test.request("innocent"));
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 2);
  // Both were in flight on the server of the first attempt.
  Test.fail(Sent[0], query::FailureKind::Reset, true);
  Test.fail(Sent[1], query::FailureKind::Reset, true);
  Test.Engine.onProbeFailed(Test.Now, Sent[0].Server, Test.Out);
  if (Sent[1].Server != Sent[0].Server) {
    Test.Engine.onProbeFailed(Test.Now, Sent[1].Server, Test.Out);
  }
  size_t AttemptCount = 0;
  for (int Round = 0; Round < 40; ++Round) {
    Test.advance(5ms);
    auto More = Test.take<query::SendAttempt>();
    // Suspects run one at a time.
    CHECK(More.size() <= 1);
    for (const auto &Attempt : More) {
      ++AttemptCount;
      Test.reply(Attempt);
    }
  }
  CHECK(AttemptCount == 2);
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 2);
  CHECK(answerOf(Responses[0]) != nullptr);
  CHECK(answerOf(Responses[1]) != nullptr);
}

// Guards against sending a crashing request to all servers at once: for
// example, a fan-out to 450 servers could crash all 450.
TEST_CASE("a wide query of a new shape goes to one shard first", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 8, {1});
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Test.reply(Sent[0]);
  CHECK(Test.take<query::SendAttempt>().size() == 7);
}

// Guards against sending the rest of a wide query after its deadline.
TEST_CASE("a canary's late reply does not release the other shards",
          "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 8, {1});
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Test.Now += 2s;
  Test.reply(Sent[0]);
  CHECK(Test.take<query::SendAttempt>().empty());
}

// Guards against a crash caused through a second instance that did not see
// the first crash.
TEST_CASE("a suspect of another instance runs alone", "[engine]") {
  EngineHarness First;
  First.addServers(3, 4, {1});
  First.submit(First.request("poison"));
  auto Sent = First.take<query::SendAttempt>();
  First.fail(Sent[0], query::FailureKind::Reset, true);
  First.Engine.onProbeFailed(First.Now, Sent[0].Server, First.Out);
  auto Facts = First.take<query::PublishFact>();
  EngineHarness Second;
  Second.addServers(3, 4, {1});
  for (const auto &Fact : Facts) {
    Second.Engine.onFact(Second.Now, Fact, Second.Out);
  }
  Second.submit(Second.request("poison"));
  CHECK(Second.take<query::SendAttempt>().size() == 1);
}

// Guards against quarantining requests for ten minutes because they were in
// flight when several servers were lost together.
TEST_CASE("servers lost together quarantine no request", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 2, {1});
  Test.submit(Test.request("innocent"));
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 2);
  REQUIRE(Sent[0].Server != Sent[1].Server);
  for (const auto &Attempt : Sent) {
    Test.fail(Attempt, query::FailureKind::Reset, true);
    Test.Engine.onProbeFailed(Test.Now, Attempt.Server, Test.Out);
  }
  for (int Round = 0; Round < 40; ++Round) {
    Test.advance(5ms);
    for (const auto &Attempt : Test.take<query::SendAttempt>()) {
      Test.reply(Attempt);
    }
  }
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 1);
  INFO((refusalOf(Responses[0]) == nullptr
            ? ""
            : toString(refusalOf(Responses[0])->Kind)));
  CHECK(answerOf(Responses[0]) != nullptr);
}
