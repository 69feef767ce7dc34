// Promises of query::Engine under random orders of events.
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

/** What the fake servers know of one query. */
struct Observed {
  bool Idempotent = true;
  base::TimePoint Deadline;
  size_t Responses = 0;
  size_t SentWithBytes = 0; ///< Attempts of which a server may have acted.
};

/** Applies random events to an engine and checks the promises. */
class Walk {
public:
  explicit Walk(uint64_t Seed) : Draw(Seed) {
    this->Test.addServers(ServerCount, ShardCount, {1});
    this->Process.fill(1);
  }

  void run() {
    for (int Step = 0; Step < Steps; ++Step) {
      this->step();
      this->absorb();
    }
    this->pass(3s);
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
  void step() {
    switch (this->Draw.below(14)) {
    case 0:
    case 1:
    case 2:
      this->submit();
      break;
    case 3:
    case 4:
    case 5:
    case 6:
      this->settleOne();
      break;
    case 7:
      this->pass(std::chrono::milliseconds(5 * this->Draw.below(6)));
      break;
    case 8:
      this->changeVersions();
      break;
    case 9:
      this->leaveOrReplace();
      break;
    case 10:
      this->Test.Engine.onProbeFailed(this->Test.Now, this->anyServer(),
                                      this->Test.Out);
      break;
    case 11:
      this->Test.Now += std::chrono::milliseconds(300 + Draw.below(1200));
      this->Test.Engine.onPause(this->Test.Now, this->Test.Out);
      this->checkNothingExpiredIsSent();
      break;
    case 12:
      this->recover();
      break;
    default:
      this->cancelOne();
      break;
    }
  }

  /** Looks at the actions of each tick, at the time of that tick. */
  void pass(std::chrono::milliseconds Span) {
    for (auto Passed = 0ms; Passed < Span; Passed += 5ms) {
      this->Test.pass(5ms);
      this->absorb();
    }
  }

  base::ServerIndex anyServer() {
    return base::ServerIndex(
        static_cast<uint32_t>(this->Draw.below(ServerCount)));
  }

  void submit() {
    bool Idempotent = this->Draw.below(4) != 0;
    auto Source = this->Test.requestWith(
        [&](config::TemplateDoc &Doc) {
          Doc.Idempotent = Idempotent;
          Doc.CoverageFloor = 0.2 * static_cast<double>(this->Draw.below(6));
          Doc.CoverageGoal = this->Draw.below(2) == 0 ? 1.0 : 0.8;
          Doc.CoverageGoal = std::max(Doc.CoverageGoal, Doc.CoverageFloor);
          Doc.Priority = static_cast<uint32_t>(this->Draw.below(10));
          if (!Idempotent || this->Draw.below(3) == 0) {
            Doc.Selection = config::ShardSelection::ByKey;
          }
        },
        "content" + std::to_string(this->Draw.below(30)));
    base::QueryId Id = this->Test.submit(Source);
    this->Queries[Id] = {Idempotent, Source->Deadline, 0, 0};
  }

  void settleOne() {
    if (this->InFlight.empty()) {
      return;
    }
    size_t Chosen = this->Draw.below(this->InFlight.size());
    query::SendAttempt Attempt = this->InFlight[Chosen];
    this->InFlight.erase(this->InFlight.begin() +
                         static_cast<std::ptrdiff_t>(Chosen));
    Observed Unwatched;
    auto Found = this->Queries.find(Attempt.Ref.Query);
    Observed &Query = Found == this->Queries.end() ? Unwatched : Found->second;
    switch (this->Draw.below(10)) {
    case 0:
      this->Test.fail(Attempt, query::FailureKind::ConnectRefused, false);
      return;
    case 1:
      ++Query.SentWithBytes;
      this->Test.fail(Attempt, query::FailureKind::Reset, true);
      return;
    case 2:
      ++Query.SentWithBytes;
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
      ++Query.SentWithBytes;
      this->Test.reply(Attempt, ReplyStatus::Error);
      return;
    default:
      ++Query.SentWithBytes;
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
    ++this->Newest;
    for (size_t I = 0; I < ServerCount; ++I) {
      if (this->Draw.below(2) == 0) {
        continue;
      }
      std::vector<uint64_t> Held{this->Newest};
      if (this->Draw.below(2) == 0) {
        Held.push_back(this->Newest - 1);
      }
      this->Test.report(I, ShardCount, Held, this->Process[I],
                        this->Leaving.count(I) != 0);
    }
  }

  void leaveOrReplace() {
    size_t I = this->Draw.below(ServerCount);
    if (this->Leaving.count(I) == 0 && this->Leaving.size() + 1 < ServerCount) {
      this->Test.report(I, ShardCount, {this->Newest}, this->Process[I], true);
      // Sends that were decided before the report are allowed.
      this->absorb();
      this->Leaving.insert(I);
    } else if (this->Leaving.count(I) != 0) {
      this->Leaving.erase(I);
      this->Test.report(I, ShardCount, {this->Newest}, ++this->Process[I]);
    }
  }

  void recover() {
    for (size_t I = 0; I < ServerCount; ++I) {
      this->Test.report(I, ShardCount, {this->Newest}, this->Process[I],
                        this->Leaving.count(I) != 0);
    }
  }

  void cancelOne() {
    if (this->Queries.empty()) {
      return;
    }
    auto Chosen = this->Queries.begin();
    std::advance(Chosen, this->Draw.below(this->Queries.size()));
    // Only identical requests may hold a cancelled query's answer back, so a
    // cancelled one is not expected to respond, and may.
    if (Chosen->second.Responses == 0) {
      this->Test.Engine.onCancel(this->Test.Now, Chosen->first, this->Test.Out);
      this->absorb();
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

  /** Takes all actions and checks what holds for each of them. */
  void absorb() {
    for (const auto &Attempt : this->Test.take<query::SendAttempt>()) {
      RC_ASSERT(Attempt.Source->Deadline > this->Test.Now);
      RC_ASSERT(this->Leaving.count(Attempt.Server.Value) == 0U);
      bool Once = !Attempt.Source->Template->Idempotent;
      if (Once && this->Cancelled.count(Attempt.Ref.Query) == 0) {
        RC_ASSERT(this->Queries[Attempt.Ref.Query].SentWithBytes == 0U);
      }
      this->InFlight.push_back(Attempt);
    }
    for (const auto &Order : this->Test.take<query::Respond>()) {
      this->checkResponse(Order);
    }
    this->Test.take<query::CancelAttempt>();
    this->Test.take<query::ProbeServer>();
  }

  void checkResponse(const query::Respond &Order) {
    if (this->Cancelled.count(Order.Query) != 0) {
      return;
    }
    Observed &Query = this->Queries[Order.Query];
    RC_ASSERT(++Query.Responses == 1U);
    if (const auto *Refused = std::get_if<query::Refusal>(&Order.Result)) {
      if (Refused->Ran == query::ExecutionState::NotRun) {
        RC_ASSERT(Query.SentWithBytes == 0U);
        for (const auto &Attempt : this->InFlight) {
          RC_ASSERT(!(Attempt.Ref.Query == Order.Query));
        }
      }
      return;
    }
    const auto &Answered = std::get<query::Answer>(Order.Result);
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
  base::Random Draw;
  uint64_t Newest = 1;
  std::array<uint64_t, ServerCount> Process{};
  std::set<size_t> Leaving;
  std::map<base::QueryId, Observed> Queries;
  std::set<base::QueryId> Cancelled;
  std::vector<query::SendAttempt> InFlight;
};

} // namespace

// Guards against any promise that holds only for the expected order of events:
// one response each, one version an answer, true coverage, at most one run of
// a request that is not idempotent, exact refusals, no work for leaving
// servers, nothing expired sent, no count or reservation left behind.
TEST_CASE("promises hold in random orders of events",
          "[engine][property][virtual-time]") {
  constexpr int Runs = 500;
  checkProperty([](uint64_t Seed) { Walk(Seed).run(); }, Runs);
}
