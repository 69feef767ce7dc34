// Tests of query::Engine in virtual time.
#include "engine_harness.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using query::ExecutionState;
using query::RefusalKind;
using query::ReplyStatus;

// Guards against merging replies of two index versions.
TEST_CASE("a query keeps the version that it pinned", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 4, {1});
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 4);
  for (size_t I = 0; I < 3; ++I) {
    Test.report(I, 4, {1, 2});
  }
  query::Reply Other;
  Other.Echo = Sent[0].Id;
  Other.Version = base::VersionId(2);
  Other.Status = ReplyStatus::Ok;
  CHECK_FALSE(Test.Engine.onReply(Test.Now, Sent[0].Ref, Other, Test.Out));
  CHECK(Test.Engine.counters().WrongVersions == 1);
  for (size_t I = 1; I < 4; ++I) {
    Test.reply(Sent[I]);
  }
  Test.advance(50ms);
  for (const auto &More : Test.take<query::SendAttempt>()) {
    CHECK(More.Version == base::VersionId(1));
    Test.reply(More);
  }
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(answerOf(Responses[0]) != nullptr);
  CHECK(answerOf(Responses[0])->Snapshot == base::VersionId(1));
}

// Guards against choosing a newer version of which shards are missing instead
// of a complete older one.
TEST_CASE("the newest complete version goes before a newer partial one",
          "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 4, {1});
  routing::ServerReport Report;
  Report.Server = base::ServerId("s0");
  Report.Process = base::Incarnation(1);
  Report.HasVersions = true;
  Report.Versions = {Test.holding(1, 4), Test.holding(2, 4)};
  Report.Versions[1].Holds.resize(2);
  Test.Engine.onServerReport(Test.Now, Report, Test.Out);
  Test.submit(Test.request());
  for (const auto &Attempt : Test.take<query::SendAttempt>()) {
    CHECK(Attempt.Version == base::VersionId(1));
  }
  Test.submit(Test.requestWith(
      [](config::TemplateDoc &Doc) {
        Doc.Snapshot = config::SnapshotRule::Newest;
      },
      "newest"));
  for (const auto &Attempt : Test.take<query::SendAttempt>()) {
    CHECK(Attempt.Version == base::VersionId(2));
  }
}

// Guards against mixing two versions when the pinned one is retired.
TEST_CASE("a query restarts on all shards when its version is gone",
          "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 4, {1});
  // These first attempts raise the retry budget enough for a restart.
  for (int I = 0; I < 30; ++I) {
    Test.submit(Test.request("warm" + std::to_string(I)));
    for (const auto &Attempt : Test.take<query::SendAttempt>()) {
      Test.reply(Attempt);
    }
  }
  Test.take<query::Respond>();
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  Test.reply(Sent[0]);
  for (size_t I = 0; I < 3; ++I) {
    Test.report(I, 4, {2});
  }
  Test.reply(Sent[1], ReplyStatus::VersionGone, ExecutionState::NotRun);
  auto Again = Test.take<query::SendAttempt>();
  REQUIRE(Again.size() == 4);
  CHECK(Test.Engine.counters().Restarts == 1);
  // A late reply of the first round must not count in the second one.
  Test.reply(Sent[2]);
  CHECK(Test.take<query::Respond>().empty());
  for (const auto &Attempt : Again) {
    CHECK(Attempt.Version == base::VersionId(2));
    Test.reply(Attempt);
  }
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(answerOf(Responses[0]) != nullptr);
  CHECK(answerOf(Responses[0])->Snapshot == base::VersionId(2));
}

// Guards against coverage that counts attempts or hides missing shards.
TEST_CASE("missing shards are named and hedges count once", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 4, {1});
  Test.learnLatency(30, 2ms);
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 4);
  for (size_t I = 0; I < 3; ++I) {
    Test.reply(Sent[I]);
  }
  Test.advance(20ms);
  auto Hedges = Test.take<query::SendAttempt>();
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].Shard == Sent[3].Shard);
  CHECK(Hedges[0].Server != Sent[3].Server);
  Test.advance(1100ms);
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 1);
  const query::Answer *Result = answerOf(Responses[0]);
  REQUIRE(Result != nullptr);
  CHECK(Result->Covered.Expected == 4);
  CHECK(Result->Covered.Answered == 3);
  CHECK(Result->Covered.Missing == std::vector<std::string>{Sent[3].Shard});
  CHECK_FALSE(Result->Covered.RecordsExpected.has_value());
  CHECK(Result->Covered.RecordsAnswered == 30U);
}

// Guards against an empty answer to a lookup whose shard did not reply.
TEST_CASE("a lookup whose shard did not answer is refused", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 4, {1});
  Test.submit(Test.requestWith([](config::TemplateDoc &Doc) {
    Doc.Selection = config::ShardSelection::ByKey;
    Doc.CoverageFloor = 1.0;
  }));
  REQUIRE(Test.take<query::SendAttempt>().size() == 1);
  Test.advance(1100ms);
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 1);
  REQUIRE(refusalOf(Responses[0]) != nullptr);
  CHECK(refusalOf(Responses[0])->Ran == ExecutionState::MayHaveRun);
}

// Guards against delivering a reply to another attempt's request.
TEST_CASE("a reply with another id is dropped and its connection closed",
          "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 1, {1});
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  query::Reply Crossed;
  Crossed.Echo = base::AttemptId{1, 2};
  Crossed.Version = Sent[0].Version;
  Crossed.Status = ReplyStatus::Ok;
  CHECK_FALSE(Test.Engine.onReply(Test.Now, Sent[0].Ref, Crossed, Test.Out));
  CHECK(Test.Engine.counters().WrongEchoes == 1);
  CHECK(Test.take<query::Respond>().empty());
}

// Guards against executing a non-idempotent request twice.
TEST_CASE("a request that is not idempotent is sent once", "[engine]") {
  auto Once = [](config::TemplateDoc &Doc) {
    Doc.Idempotent = false;
    Doc.Selection = config::ShardSelection::ByKey;
    Doc.CoverageFloor = 1.0;
  };
  EngineHarness Test;
  Test.addServers(3, 2, {1});
  SECTION("after a reset") {
    Test.submit(Test.requestWith(Once));
    auto Sent = Test.take<query::SendAttempt>();
    REQUIRE(Sent.size() == 1);
    CHECK(Sent[0].NewConnection);
    Test.fail(Sent[0], query::FailureKind::Reset, true);
    auto Responses = Test.take<query::Respond>();
    REQUIRE(Responses.size() == 1);
    CHECK(refusalOf(Responses[0])->Ran == ExecutionState::MayHaveRun);
  }
  SECTION("while it is slow") {
    Test.submit(Test.requestWith(Once));
    REQUIRE(Test.take<query::SendAttempt>().size() == 1);
    Test.advance(1100ms);
    auto Responses = Test.take<query::Respond>();
    REQUIRE(Responses.size() == 1);
    CHECK(refusalOf(Responses[0])->Ran == ExecutionState::MayHaveRun);
  }
  SECTION("after shedding, which did not run it") {
    Test.submit(Test.requestWith(Once));
    auto Sent = Test.take<query::SendAttempt>();
    Test.reply(Sent[0], ReplyStatus::Shed, ExecutionState::NotRun);
    auto Responses = Test.take<query::Respond>();
    REQUIRE(Responses.size() == 1);
    CHECK(refusalOf(Responses[0])->Ran == ExecutionState::NotRun);
  }
  SECTION("but again if nothing was sent") {
    Test.submit(Test.requestWith(Once));
    auto Sent = Test.take<query::SendAttempt>();
    Test.fail(Sent[0], query::FailureKind::ConnectRefused, false);
    REQUIRE(Test.take<query::SendAttempt>().size() == 1);
    CHECK(Test.take<query::Respond>().empty());
    return;
  }
  Test.advance(2000ms);
  CHECK(Test.take<query::SendAttempt>().empty());
}

// Guards against sending expired queries after the process was paused.
TEST_CASE("after a pause expired queries are refused, not sent", "[engine]") {
  EngineHarness Test;
  Test.addServers(1, 8, {1});
  Test.submit(Test.request());
  size_t Sent = Test.take<query::SendAttempt>().size();
  REQUIRE(Sent < 8);
  Test.Now += 3s;
  Test.Engine.onPause(Test.Now, Test.Out);
  Test.Engine.onTick(Test.Now, Test.Out);
  CHECK(Test.take<query::SendAttempt>().empty());
  auto Responses = Test.take<query::Respond>();
  REQUIRE(Responses.size() == 1);
  CHECK(refusalOf(Responses[0])->Kind == RefusalKind::DeadlineExceeded);
}

// Guards against sending new work to a server that is leaving.
TEST_CASE("a leaving incarnation gets no new work", "[engine]") {
  EngineHarness Test;
  Test.addServers(2, 2, {1});
  Test.report(0, 2, {1}, 1, true);
  auto Facts = Test.take<query::PublishFact>();
  REQUIRE(Facts.size() == 1);
  CHECK(Facts[0].Kind == query::FactKind::ServerLeaving);
  // A later report of the same process without the flag must not undo it.
  Test.report(0, 2, {1}, 1, false);
  CHECK(Test.Engine.directory().at(base::ServerIndex(0)).Phase ==
        routing::ServerPhase::Leaving);
  for (int I = 0; I < 20; ++I) {
    Test.submit(Test.request("q" + std::to_string(I)));
    for (const auto &Attempt : Test.take<query::SendAttempt>()) {
      CHECK(Attempt.Server == base::ServerIndex(1));
      Test.reply(Attempt);
    }
  }
  // A new process at the same address takes work again.
  Test.report(0, 2, {1}, 2, false);
  CHECK(Test.Engine.directory().at(base::ServerIndex(0)).Phase ==
        routing::ServerPhase::Live);
}

// Guards against retries that multiply the load when every attempt fails.
TEST_CASE("retries stay within a tenth of first attempts",
          "[engine][virtual-time]") {
  EngineHarness Test;
  Test.addServers(3, 1, {1});
  uint64_t First = 0;
  for (int I = 0; I < 2000; ++I) {
    Test.submit(Test.request("q" + std::to_string(I)));
    auto Sent = Test.take<query::SendAttempt>();
    while (!Sent.empty()) {
      for (const auto &Attempt : Sent) {
        Test.reply(Attempt, ReplyStatus::Error);
      }
      Sent = Test.take<query::SendAttempt>();
    }
    Test.advance(5ms);
    for (const auto &Attempt : Test.take<query::SendAttempt>()) {
      Test.reply(Attempt, ReplyStatus::Error);
    }
  }
  Test.advance(500ms);
  const query::EngineCounters &Counters = Test.Engine.counters();
  First = Counters.FirstAttempts;
  uint64_t Extra = Counters.Hedges;
  for (uint64_t Count : Counters.Retries) {
    Extra += Count;
  }
  CHECK(Extra <= First / 10 + 12);
  CHECK(Counters.RetriesDenied > 0);
}

// Guards against sending requests to a server that sheds load.
TEST_CASE("a server that sheds gets nothing until its retry-after",
          "[engine]") {
  EngineHarness Test;
  Test.addServers(2, 1, {1});
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  Test.reply(Sent[0], ReplyStatus::Shed, ExecutionState::NotRun);
  for (int I = 0; I < 5; ++I) {
    Test.submit(Test.request("q" + std::to_string(I)));
  }
  for (const auto &Attempt : Test.take<query::SendAttempt>()) {
    CHECK(Attempt.Server != Sent[0].Server);
  }
}

// Guards against repeated requests multiplying the load.
TEST_CASE("identical requests in progress share one run", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 2, {1});
  auto Same = Test.request("same");
  for (int I = 0; I < 5; ++I) {
    Test.submit(Same);
  }
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 2);
  Test.reply(Sent[0]);
  Test.reply(Sent[1]);
  CHECK(Test.take<query::Respond>().size() == 5);
}

// Guards against ejecting a healthy server because of a dead connection.
TEST_CASE("a time-out on an old connection is blamed on the connection",
          "[engine]") {
  routing::Policy Rules;
  Rules.Hedge = false;
  EngineHarness Test(Rules);
  Test.addServers(1, 1, {1});
  Test.learnLatency(30, 2ms);
  Test.submit(Test.request());
  auto Sent = Test.take<query::SendAttempt>();
  REQUIRE(Sent.size() == 1);
  CHECK_FALSE(Sent[0].NewConnection);
  Test.advance(100ms);
  auto Again = Test.take<query::SendAttempt>();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].NewConnection);
  Test.reply(Again[0]);
  CHECK(Test.take<query::CloseConnections>().size() == 1);
  CHECK(Test.Engine.counters().SilentConnections == 1);
  CHECK(Test.Engine.counters().Ejections == 0);
  CHECK(Test.Engine.directory().at(base::ServerIndex(0)).SuccessRate == 1);
}

// Guards against admitting requests that can only time out.
TEST_CASE("a request that cannot meet its deadline is refused early",
          "[engine]") {
  EngineHarness Test({}, 1);
  Test.addServers(1, 1, {1});
  Test.learnLatency(30, 100ms);
  size_t Refused = 0;
  for (int I = 0; I < 100; ++I) {
    Test.submit(Test.request("q" + std::to_string(I)));
  }
  for (const auto &Response : Test.take<query::Respond>()) {
    REQUIRE(refusalOf(Response) != nullptr);
    CHECK(refusalOf(Response)->Kind == RefusalKind::Overloaded);
    CHECK(refusalOf(Response)->Ran == ExecutionState::NotRun);
    CHECK(refusalOf(Response)->RetryAfter.has_value());
    ++Refused;
  }
  CHECK(Refused >= 85);
}

// Guards against delaying a high-priority lookup behind a wide query.
TEST_CASE("a waiting lookup is served before a waiting sweep", "[engine]") {
  EngineHarness Test({}, 3);
  Test.addServers(1, 4, {1});
  Test.submit(Test.requestWith(
      [](config::TemplateDoc &Doc) { Doc.Priority = 8; }, "sweep"));
  auto Running = Test.take<query::SendAttempt>();
  REQUIRE(Running.size() == 3);
  base::QueryId Lookup = Test.submit(Test.requestWith(
      [](config::TemplateDoc &Doc) {
        Doc.Priority = 0;
        Doc.Selection = config::ShardSelection::ByKey;
      },
      "lookup"));
  Test.reply(Running[0]);
  auto Next = Test.take<query::SendAttempt>();
  REQUIRE_FALSE(Next.empty());
  CHECK(Next[0].Ref.Query == Lookup);
}

// Guards against never using a recovered straggler again.
TEST_CASE("the latency of an unobserved server decays", "[engine]") {
  routing::Policy Rules;
  routing::ServerState Server;
  base::TimePoint Now{std::chrono::hours(1)};
  Server.Latency = 100;
  Server.ObservedAt = Now;
  Server.RampStartedAt = Now - std::chrono::minutes(1);
  double Fresh = routing::expectedCost(Server, Rules, 5, Now);
  double Later =
      routing::expectedCost(Server, Rules, 5, Now + Rules.LatencyHalfLife * 10);
  CHECK(Fresh > 15 * 5);
  CHECK(Later < 1.1 * 5);
}

// Guards against sending all requests to the first replica of a new version.
TEST_CASE("a version is preferred once two replicas hold it", "[engine]") {
  EngineHarness Test;
  Test.addServers(3, 2, {1});
  auto VersionOf = [&](const std::string &Content) {
    Test.submit(Test.request(Content));
    auto Sent = Test.take<query::SendAttempt>();
    REQUIRE(Sent.size() == 2);
    for (const auto &Attempt : Sent) {
      Test.reply(Attempt);
    }
    return Sent[0].Version.Value;
  };
  Test.report(0, 2, {1, 2});
  CHECK(VersionOf("first") == 1);
  Test.report(1, 2, {1, 2});
  CHECK(VersionOf("second") == 2);
  // One replica is enough if no version has more.
  Test.report(0, 2, {3});
  Test.report(1, 2, {2});
  Test.report(2, 2, {1});
  CHECK(VersionOf("third") == 3);
}
