// A program of another team that embeds the decision library. It asks the
// controllers of a warehouse's shelves where an item lies. It has its own
// event loop and its own transport, here in memory, and no daemon: events go
// into query::Engine with the current time, and its actions come out.
#include "query/engine_base.h"
#include "query/query_type.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace hickorycrank;

constexpr uint32_t ShelfCount = 12;
constexpr uint32_t Replicas = 3;
constexpr int LookupCount = 200;
constexpr std::chrono::milliseconds UsualTime(4);
/** The first controller of the first shelf answers this slowly. */
constexpr std::chrono::milliseconds SlowTime(80);
constexpr std::chrono::milliseconds TickPeriod(5);
constexpr std::chrono::milliseconds LookupPeriod(20);

/** Runs callbacks in the order of their times, on a clock of its own. */
class EventLoop {
public:
  /** @param Delay From now on. @param Callback What to run then. */
  void after(base::Duration Delay, std::function<void()> Callback) {
    this->Events.emplace(this->Now + Delay, std::move(Callback));
  }

  /** Runs until nothing is left. */
  void run() {
    while (!this->Events.empty()) {
      auto Next = this->Events.extract(this->Events.begin());
      this->Now = Next.key();
      Next.mapped()();
    }
  }

  base::TimePoint Now{std::chrono::hours(1)};

private:
  std::multimap<base::TimePoint, std::function<void()>> Events;
};

/** The embedding program: carries out what the engine decides. */
class ShelfLookup {
public:
  ShelfLookup()
      : Decisions(query::EngineBuilder()
                      .domain(base::FailureDomainId("hall-1"))
                      .serverConcurrency(3)
                      .seed(7)
                      .build()) {
    auto Shelves = std::make_shared<routing::Layout>();
    Shelves->Version = base::VersionId(1);
    for (uint32_t I = 0; I < ShelfCount; ++I) {
      Shelves->Shards.push_back("shelf-" + std::to_string(I));
    }
    std::vector<routing::ServerListing> Listed;
    for (uint32_t I = 0; I < ShelfCount * Replicas; ++I) {
      routing::ServerListing Listing;
      Listing.Server = base::ServerId("controller-" + std::to_string(I));
      Listing.Address = "in-memory:" + std::to_string(I);
      Listing.Domain =
          base::FailureDomainId("hall-" + std::to_string(I % Replicas + 1));
      Listing.Process = base::Incarnation(1);
      Listed.push_back(std::move(Listing));
    }
    query::Actions Decided;
    this->Decisions.onServerList(this->Loop.Now, Listed, Decided);
    for (uint32_t I = 0; I < Listed.size(); ++I) {
      routing::ServerReport Report;
      Report.Server = Listed[I].Server;
      Report.Process = Listed[I].Process;
      Report.HasVersions = true;
      Report.Versions = {{Shelves, {base::ShardIndex(I / Replicas)}}};
      this->Decisions.onServerReport(this->Loop.Now, Report, Decided);
    }
    auto Built = std::make_shared<config::TemplateDoc>();
    Built->Name = base::TemplateId("where-is");
    this->Template = std::move(Built);
    this->Team = std::make_shared<config::OrganisationDoc>();
  }

  /** Looks many items up. @return Whether every answer was complete. */
  bool run() {
    for (int I = 0; I < LookupCount; ++I) {
      this->Loop.after(LookupPeriod * I, [this, I] { this->ask(I); });
    }
    this->tick();
    this->Loop.run();
    const query::EngineCounters &Counted = this->Decisions.counters();
    std::cout << this->Complete << " of " << LookupCount
              << " lookups complete, " << Counted.Hedges << " hedges, "
              << Counted.HedgeWins << " of them faster, slowest lookup "
              << base::toMilliseconds(this->Slowest) << " ms\n";
    return this->Complete == LookupCount && Counted.HedgeWins > 0;
  }

private:
  void ask(int Item) {
    auto Source = std::make_shared<query::Request>();
    Source->Template = this->Template;
    Source->Organisation = this->Team;
    Source->Parameters.Content =
        base::Fingerprint(static_cast<uint64_t>(Item) + 1);
    Source->Parameters.Shape = base::Fingerprint(1);
    Source->Deadline = this->Loop.Now + std::chrono::milliseconds(500);
    base::QueryId Query(static_cast<uint64_t>(Item) + 1);
    this->Started[Query] = this->Loop.Now;
    query::Actions Decided;
    this->Decisions.onRequest(this->Loop.Now, Query, std::move(Source),
                              Decided);
    this->perform(Decided);
  }

  void tick() {
    query::Actions Decided;
    this->Decisions.onTick(this->Loop.Now, Decided);
    this->perform(Decided);
    if (this->Responses < LookupCount) {
      this->Loop.after(TickPeriod, [this] { this->tick(); });
    }
  }

  void perform(const query::Actions &Decided) {
    for (const query::Action &Entry : Decided) {
      if (const auto *Attempt = std::get_if<query::SendAttempt>(&Entry)) {
        this->send(*Attempt);
      } else if (const auto *Done = std::get_if<query::Respond>(&Entry)) {
        this->respond(*Done);
      }
      // The controllers know no cancellation; a late reply is dropped by the
      // engine.
    }
  }

  void send(const query::SendAttempt &Attempt) {
    query::Reply Received;
    Received.Echo = Attempt.Id;
    Received.Version = Attempt.Version;
    Received.Status = query::ReplyStatus::Ok;
    Received.Rows = {{std::monostate{}, "\"" + Attempt.Shard + "\""}};
    bool Slow = Attempt.Server == base::ServerIndex(0);
    this->Loop.after(
        Slow ? SlowTime : UsualTime, [this, Ref = Attempt.Ref, Received] {
          query::Actions Decided;
          this->Decisions.onReply(this->Loop.Now, Ref, Received, Decided);
          this->perform(Decided);
        });
  }

  void respond(const query::Respond &Done) {
    ++this->Responses;
    const auto *Answered = std::get_if<query::Answer>(&Done.Result);
    if (Answered != nullptr && Answered->Covered.Answered == ShelfCount) {
      ++this->Complete;
    }
    this->Slowest =
        std::max(this->Slowest, this->Loop.Now - this->Started[Done.Query]);
  }

  EventLoop Loop;
  query::Engine Decisions;
  std::shared_ptr<const config::TemplateDoc> Template;
  std::shared_ptr<const config::OrganisationDoc> Team;
  std::map<base::QueryId, base::TimePoint> Started;
  base::Duration Slowest{};
  int Responses = 0;
  int Complete = 0;
};

} // namespace

int main() {
  ShelfLookup Program;
  return Program.run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
