// Invariants of query::Engine under random sequences of events.
#include "engine_harness.h"
#include "property.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using query::ReplyStatus;

namespace {

constexpr size_t ServerCount = 4;
constexpr size_t ShardCount = 5;
constexpr int Steps = 400;

/** What the test records about one query. */
struct TrackedQuery {
  bool Idempotent = true;
  base::TimePoint Deadline;
  size_t Responses = 0;
  size_t MayHaveExecuted = 0; ///< Attempts that a server may have executed.
};

/** Applies random events to an engine and checks its invariants. */
class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : Generator(Seed) {
    this->Test.addServers(ServerCount, ShardCount, {1});
    this->Process.fill(1);
  }

  void run() {
    for (int Step = 0; Step < Steps; ++Step) {
      this->applyRandomEvent();
      this->processActions();
    }
    this->advance(3s);
    for (const auto &[Id, Query] : this->Queries) {
      RC_ASSERT(Query.Responses == 1U);
    }
    RC_ASSERT(this->Test.Engine.liveQueries() == 0U);
    RC_ASSERT(this->Test.Engine.waiting() == 0U);
    for (const auto &Server : this->Test.Engine.directory().servers()) {
      RC_ASSERT(Server.Outstanding == 0U);
      RC_ASSERT(!Server.ReservedFor.has_value());
    }
  }

private:
  void applyRandomEvent() {
    switch (this->Generator.below(14)) {
    case 0:
    case 1:
    case 2:
      this->submit();
      break;
    case 3:
    case 4:
    case 5:
    case 6:
      this->completeRandomAttempt();
      break;
    case 7:
      this->advance(std::chrono::milliseconds(5 * this->Generator.below(6)));
      break;
    case 8:
      this->changeVersions();
      break;
    case 9:
      this->leaveOrReplace();
      break;
    case 10:
      this->Test.Engine.onProbeFailed(this->Test.Now, this->randomServer(),
                                      this->Test.Out);
      break;
    case 11:
      this->Test.Now += std::chrono::milliseconds(300 + Generator.below(1200));
      this->Test.Engine.onPause(this->Test.Now, this->Test.Out);
      this->checkNothingExpiredIsSent();
      break;
    case 12:
      this->reportAllServers();
      break;
    default:
      this->cancelRandomQuery();
      break;
    }
  }

  /** Advances the time and checks the actions of each tick at its time. */
  void advance(std::chrono::milliseconds Span) {
    for (auto Passed = 0ms; Passed < Span; Passed += 5ms) {
      this->Test.advance(5ms);
      this->processActions();
    }
  }

  base::ServerIndex randomServer() {
    return base::ServerIndex(
        static_cast<uint32_t>(this->Generator.below(ServerCount)));
  }

  void submit() {
    bool Idempotent = this->Generator.below(4) != 0;
    auto Source = this->Test.requestWith(
        [&](config::TemplateDoc &Doc) {
          Doc.Idempotent = Idempotent;
          Doc.CoverageFloor =
              0.2 * static_cast<double>(this->Generator.below(6));
          Doc.CoverageGoal = this->Generator.below(2) == 0 ? 1.0 : 0.8;
          Doc.CoverageGoal = std::max(Doc.CoverageGoal, Doc.CoverageFloor);
          Doc.Priority = static_cast<uint32_t>(this->Generator.below(10));
          if (!Idempotent || this->Generator.below(3) == 0) {
            Doc.Selection = config::ShardSelection::ByKey;
          }
        },
        "content" + std::to_string(this->Generator.below(30)));
    base::QueryId Id = this->Test.submit(Source);
    this->Queries[Id] = {Idempotent, Source->Deadline, 0, 0};
  }

  void completeRandomAttempt() {
    if (this->InFlight.empty()) {
      return;
    }
    size_t Chosen = this->Generator.below(this->InFlight.size());
    query::SendAttempt Attempt = this->InFlight[Chosen];
    this->InFlight.erase(this->InFlight.begin() +
                         static_cast<std::ptrdiff_t>(Chosen));
    TrackedQuery Untracked;
    auto Found = this->Queries.find(Attempt.Ref.Query);
    TrackedQuery &Query =
        Found == this->Queries.end() ? Untracked : Found->second;
    switch (this->Generator.below(10)) {
    case 0:
      this->Test.fail(Attempt, query::FailureKind::ConnectRefused, false);
      return;
    case 1:
      ++Query.MayHaveExecuted;
      this->Test.fail(Attempt, query::FailureKind::Reset, true);
      return;
    case 2:
      ++Query.MayHaveExecuted;
      this->Test.fail(Attempt, query::FailureKind::InvalidReply, true);
      return;
    case 3:
      this->Test.reply(Attempt, ReplyStatus::Shed,
                       query::ExecutionState::NotRun);
      return;
    case 4:
      this->Test.reply(Attempt, ReplyStatus::VersionGone,
                       query::ExecutionState::NotRun);
      return;
    case 5:
      ++Query.MayHaveExecuted;
      this->Test.reply(Attempt, ReplyStatus::Error);
      return;
    default:
      ++Query.MayHaveExecuted;
      this->answer(Attempt);
      return;
    }
  }

  /** Replies with one row that names the version and the shard. */
  void answer(const query::SendAttempt &Attempt) {
    query::Reply Received;
    Received.Echo = Attempt.Id;
    Received.Version = Attempt.Version;
    Received.Status = ReplyStatus::Ok;
    Received.Records = 1;
    Received.RecordsTotal = 1;
    Received.Rows.push_back(
        {{}, std::to_string(Attempt.Version.Value) + "/" + Attempt.Shard});
    this->Test.Engine.onReply(this->Test.Now, Attempt.Ref, std::move(Received),
                              this->Test.Out);
  }

  void changeVersions() {
    ++this->NewestVersion;
    for (size_t I = 0; I < ServerCount; ++I) {
      if (this->Generator.below(2) == 0) {
        continue;
      }
      std::vector<uint64_t> Held{this->NewestVersion};
      if (this->Generator.below(2) == 0) {
        Held.push_back(this->NewestVersion - 1);
      }
      this->Test.report(I, ShardCount, Held, this->Process[I],
                        this->Leaving.count(I) != 0);
    }
  }

  void leaveOrReplace() {
    size_t I = this->Generator.below(ServerCount);
    if (this->Leaving.count(I) == 0 && this->Leaving.size() + 1 < ServerCount) {
      this->Test.report(I, ShardCount, {this->NewestVersion}, this->Process[I],
                        true);
      // Attempts sent before the report are allowed.
      this->processActions();
      this->Leaving.insert(I);
    } else if (this->Leaving.count(I) != 0) {
      this->Leaving.erase(I);
      this->Test.report(I, ShardCount, {this->NewestVersion},
                        ++this->Process[I]);
    }
  }

  void reportAllServers() {
    for (size_t I = 0; I < ServerCount; ++I) {
      this->Test.report(I, ShardCount, {this->NewestVersion}, this->Process[I],
                        this->Leaving.count(I) != 0);
    }
  }

  void cancelRandomQuery() {
    if (this->Queries.empty()) {
      return;
    }
    auto Chosen = this->Queries.begin();
    std::advance(Chosen, this->Generator.below(this->Queries.size()));
    // A cancelled query is not expected to respond, but may: it stays in
    // progress while identical requests wait for its answer.
    if (Chosen->second.Responses == 0) {
      this->Test.Engine.onCancel(this->Test.Now, Chosen->first, this->Test.Out);
      this->processActions();
      this->Cancelled.insert(Chosen->first);
      this->Queries.erase(Chosen);
    }
  }

  void checkNothingExpiredIsSent() {
    for (const query::Action &Entry : this->Test.Out) {
      if (const auto *Attempt = std::get_if<query::SendAttempt>(&Entry)) {
        RC_ASSERT(Attempt->Source->Deadline > this->Test.Now);
      }
    }
  }

  /** Removes all recorded actions and checks the invariants for each. */
  void processActions() {
    for (const auto &Attempt : this->Test.take<query::SendAttempt>()) {
      RC_ASSERT(Attempt.Source->Deadline > this->Test.Now);
      RC_ASSERT(this->Leaving.count(Attempt.Server.Value) == 0U);
      bool AtMostOnce = !Attempt.Source->Template->Idempotent;
      if (AtMostOnce && this->Cancelled.count(Attempt.Ref.Query) == 0) {
        RC_ASSERT(this->Queries[Attempt.Ref.Query].MayHaveExecuted == 0U);
      }
      this->InFlight.push_back(Attempt);
    }
    for (const auto &Response : this->Test.take<query::Respond>()) {
      this->checkResponse(Response);
    }
    this->Test.take<query::CancelAttempt>();
    this->Test.take<query::ProbeServer>();
  }

  void checkResponse(const query::Respond &Response) {
    if (this->Cancelled.count(Response.Query) != 0) {
      return;
    }
    TrackedQuery &Query = this->Queries[Response.Query];
    RC_ASSERT(++Query.Responses == 1U);
    if (const auto *Refused = std::get_if<query::Refusal>(&Response.Result)) {
      if (Refused->Ran == query::ExecutionState::NotRun) {
        RC_ASSERT(Query.MayHaveExecuted == 0U);
        for (const auto &Attempt : this->InFlight) {
          RC_ASSERT(!(Attempt.Ref.Query == Response.Query));
        }
      }
      return;
    }
    const auto &Answered = std::get<query::Answer>(Response.Result);
    RC_ASSERT(Answered.Rows.size() == Answered.Covered.Answered);
    RC_ASSERT(Answered.Covered.Answered + Answered.Covered.Missing.size() ==
              Answered.Covered.Expected);
    std::set<std::string> Shards;
    for (const query::Row &Row : Answered.Rows) {
      size_t Slash = Row.Json.find('/');
      RC_ASSERT(Row.Json.substr(0, Slash) ==
                std::to_string(Answered.Snapshot.Value));
      Shards.insert(Row.Json.substr(Slash + 1));
    }
    RC_ASSERT(Shards.size() == Answered.Rows.size());
  }

  EngineHarness Test;
  base::Random Generator;
  uint64_t NewestVersion = 1;
  std::array<uint64_t, ServerCount> Process{};
  std::set<size_t> Leaving;
  std::map<base::QueryId, TrackedQuery> Queries;
  std::set<base::QueryId> Cancelled;
  std::vector<query::SendAttempt> InFlight;
};

} // namespace

// Guards against invariants that hold only for the expected order of events:
// one response per request, one version per answer, correct coverage, at most
// one execution of a non-idempotent request, refusals that state correctly
// whether it ran, no work for leaving servers, no sends after the deadline, and
// no leaked counts or reservations.
TEST_CASE("invariants hold for random sequences of events",
          "[engine][property][virtual-time]") {
  constexpr int Runs = 500;
  checkProperty([](uint64_t Seed) { RandomRun(Seed).run(); }, Runs);
}
