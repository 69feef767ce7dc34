#ifndef HICKORYCRANK_BENCH_ENGINE_HARNESS_H
#define HICKORYCRANK_BENCH_ENGINE_HARNESS_H

#include "base/digest_func.h"
#include "query/engine_base.h"

#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorycrank::bench {

/** Shards that one group of replicas holds. */
inline constexpr uint32_t ShardsPerGroup = 3;
/** Backend servers that hold the same shards. */
inline constexpr uint32_t Replicas = 3;

/**
 * Reads the CPU clock of the calling thread.
 * @return Nanoseconds of CPU time.
 */
inline int64_t threadCpuNs() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return Used.tv_sec * 1'000'000'000LL + Used.tv_nsec;
}

/**
 * Names the shards of one index version.
 * @param Count Number of shards.
 * @return The layout.
 */
inline std::shared_ptr<const routing::Layout> makeLayout(uint32_t Count) {
  auto Shards = std::make_shared<routing::Layout>();
  Shards->Version = base::VersionId(1);
  for (uint32_t I = 0; I < Count; ++I) {
    Shards->Shards.push_back("stock-shard-" + std::to_string(I));
  }
  return Shards;
}

/**
 * Describes the backend servers of a layout, three replicas a group.
 * @param Shards The layout.
 * @param Listed Receives the platform's list.
 * @param Reports Receives each server's report.
 */
inline void
describeServers(const std::shared_ptr<const routing::Layout> &Shards,
                std::vector<routing::ServerListing> &Listed,
                std::vector<routing::ServerReport> &Reports) {
  auto Count = static_cast<uint32_t>(Shards->Shards.size());
  for (uint32_t First = 0; First < Count; First += ShardsPerGroup) {
    for (uint32_t Replica = 0; Replica < Replicas; ++Replica) {
      routing::ServerListing Listing;
      Listing.Server = base::ServerId("stock-" + std::to_string(First) + "-" +
                                      std::to_string(Replica));
      Listing.Address = "127.0.0.1:" + std::to_string(10'000 + Listed.size());
      Listing.Domain =
          base::FailureDomainId("domain-" + std::to_string(Replica + 1));
      Listing.Process = base::Incarnation(1);
      routing::ServerReport Report;
      Report.Server = Listing.Server;
      Report.Process = Listing.Process;
      Report.Slots = 3;
      Report.HasVersions = true;
      routing::VersionReport Held{Shards, {}};
      for (uint32_t I = First; I < std::min(First + ShardsPerGroup, Count);
           ++I) {
        Held.Holds.emplace_back(I);
      }
      Report.Versions.push_back(std::move(Held));
      Listed.push_back(std::move(Listing));
      Reports.push_back(std::move(Report));
    }
  }
}

/** An engine with its backend servers, on virtual time and without I/O. */
class EngineHarness {
public:
  /** @param FanOut Shards that each query needs. */
  explicit EngineHarness(uint32_t FanOut)
      : Layout(makeLayout(FanOut)),
        Engine(query::EngineBuilder()
                   .domain(base::FailureDomainId("domain-1"))
                   .attemptIds(base::randomAttemptId)
                   .build()) {
    std::vector<routing::ServerListing> Listed;
    std::vector<routing::ServerReport> Reports;
    describeServers(this->Layout, Listed, Reports);
    this->Engine.onServerList(this->Now, Listed, this->Out);
    for (const routing::ServerReport &Report : Reports) {
      this->Engine.onServerReport(this->Now, Report, this->Out);
    }
    this->Out.clear();
    auto Template = std::make_shared<config::TemplateDoc>();
    Template->Name = base::TemplateId("cart-search");
    Template->CoverageGoal = 0.98;
    Template->CoverageFloor = 0.9;
    Template->OrderBy = "stock";
    Template->Limit = 100;
    auto Organisation = std::make_shared<config::OrganisationDoc>();
    Organisation->Name = base::OrganisationId("nube-rosa");
    this->Source.Template = std::move(Template);
    this->Source.Organisation = std::move(Organisation);
    this->Source.Parameters.Json = R"({"colour":"pink"})";
    this->Source.Parameters.Shape = base::Fingerprint(1);
  }

  /**
   * Starts one query.
   * @return Its actions, valid until the next call.
   */
  query::Actions &start() {
    auto Next = std::make_shared<query::Request>(this->Source);
    Next->Deadline = this->Now + std::chrono::milliseconds(500);
    Next->Parameters.Content = base::Fingerprint(++this->LastQuery);
    int64_t Begin = threadCpuNs();
    this->Out.clear();
    this->Engine.onRequest(this->Now, base::QueryId(this->LastQuery),
                           std::move(Next), this->Out);
    this->SpentNs += threadCpuNs() - Begin;
    return this->Out;
  }

  /**
   * Runs one query from request to response, and one tick. Building the
   * replies is not part of the time.
   * @return Attempts sent.
   */
  size_t run() {
    size_t Sent = 0;
    this->start();
    // A query of a new shape sends one attempt first and then the others.
    while (!this->Out.empty()) {
      this->collect();
      Sent += this->Replies.size();
      this->Now += std::chrono::milliseconds(2);
      int64_t Begin = threadCpuNs();
      this->Out.clear();
      for (auto &[Ref, Received] : this->Replies) {
        this->Engine.onReply(this->Now, Ref, std::move(Received), this->Out);
      }
      this->SpentNs += threadCpuNs() - Begin;
      this->Replies.clear();
    }
    this->Now += std::chrono::milliseconds(3);
    int64_t Begin = threadCpuNs();
    this->Engine.onTick(this->Now, this->Out);
    this->SpentNs += threadCpuNs() - Begin;
    this->Out.clear();
    return Sent;
  }

  base::TimePoint Now{std::chrono::hours(1)};
  std::shared_ptr<const routing::Layout> Layout;
  query::Engine Engine;
  uint64_t Answers = 0;
  int64_t SpentNs = 0; ///< CPU time inside the engine.

private:
  /** Builds the reply to each attempt of the last actions. */
  void collect() {
    for (const query::Action &Entry : this->Out) {
      if (std::holds_alternative<query::Respond>(Entry)) {
        const auto &Answered = std::get<query::Respond>(Entry);
        this->Answers +=
            std::holds_alternative<query::Answer>(Answered.Result) ? 1 : 0;
      }
      const auto *Attempt = std::get_if<query::SendAttempt>(&Entry);
      if (Attempt == nullptr) {
        continue;
      }
      query::Reply Received;
      Received.Echo = Attempt->Id;
      Received.Version = Attempt->Version;
      Received.Status = query::ReplyStatus::Ok;
      Received.Records = 100;
      Received.RecordsTotal = 100;
      for (int I = 0; I < 2; ++I) {
        auto Stock = static_cast<double>(Attempt->Id.Low % 100);
        Received.Rows.push_back(
            {Stock, R"({"shard":"stock-shard","version":1,"stock":50})"});
      }
      this->Replies.emplace_back(Attempt->Ref, std::move(Received));
    }
  }

  query::Request Source;
  query::Actions Out;
  std::vector<std::pair<query::AttemptRef, query::Reply>> Replies;
  uint64_t LastQuery = 0;
};

} // namespace hickorycrank::bench

#endif
