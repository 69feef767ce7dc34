// Costs of single decisions: replica, wait queue, latency quantile, budget.
#include "engine_harness.h"

#include "limits/latency_model_base.h"
#include "limits/retry_budget_base.h"
#include "limits/wait_queue_base.h"
#include "routing/selection_func.h"

#include <benchmark/benchmark.h>

namespace {

using namespace hickorycrank;

/** @param State Argument 0: number of shards. */
void chooseReplica(benchmark::State &State) {
  auto Count = static_cast<uint32_t>(State.range(0));
  bench::EngineHarness Harness(Count);
  base::Random Generator(1);
  base::FailureDomainId Own("domain-1");
  uint32_t Shard = 0;
  for (auto Iteration : State) {
    benchmark::DoNotOptimize(routing::chooseReplica(
        Harness.Engine.directory(), base::VersionId(1), base::ShardIndex(Shard),
        {}, Own, 2.0, Harness.Now, Generator));
    Shard = (Shard + 1) % Count;
  }
}

/** @param State Argument 0: number of shards. */
void chooseVersion(benchmark::State &State) {
  bench::EngineHarness Harness(static_cast<uint32_t>(State.range(0)));
  for (auto Iteration : State) {
    benchmark::DoNotOptimize(routing::chooseVersion(
        Harness.Engine.directory(), routing::ShardRequest{},
        config::SnapshotRule::Complete, base::VersionId(0), Harness.Now));
  }
}

/** @param State Argument 0: sub-queries that wait already. */
void waitQueue(benchmark::State &State) {
  constexpr uint32_t Shards = 450;
  limits::WaitQueue Queue;
  base::OrganisationId Organisations[] = {base::OrganisationId("nube-rosa"),
                                          base::OrganisationId("algodon-azul")};
  auto Push = [&](uint64_t I) {
    return Queue.push({base::VersionId(1),
                       base::ShardIndex(static_cast<uint32_t>(I % Shards))},
                      5, Organisations[I % 2], 1, base::QueryId(I), 0);
  };
  auto Waiting = static_cast<uint64_t>(State.range(0));
  for (uint64_t I = 0; I < Waiting; ++I) {
    Push(I);
  }
  uint64_t Next = Waiting;
  for (auto Iteration : State) {
    Push(Next);
    base::ShardIndex Shard(static_cast<uint32_t>(Next % Shards));
    auto First = Queue.front({base::VersionId(1), Shard});
    Queue.remove({base::VersionId(1), Shard},
                 Organisations[First->Query.Value % 2], *First);
    ++Next;
  }
}

/** @param State Unused. */
void latencyRecord(benchmark::State &State) {
  limits::LatencyModel Model;
  base::Random Generator(1);
  for (auto Iteration : State) {
    Model.record(std::chrono::microseconds(500 + Generator.below(20'000)));
  }
}

/** @param State Argument 0: the quantile in per mille. */
void latencyQuantile(benchmark::State &State) {
  limits::LatencyModel Model;
  base::Random Generator(1);
  for (int I = 0; I < 4'000; ++I) {
    Model.record(std::chrono::microseconds(500 + Generator.below(20'000)));
  }
  double Share = static_cast<double>(State.range(0)) / 1'000;
  for (auto Iteration : State) {
    benchmark::DoNotOptimize(Model.quantile(Share, base::Duration::zero()));
  }
}

/** @param State Unused. */
void retryBudget(benchmark::State &State) {
  limits::RetryBudget Budget(0.1, 0.04, 1);
  base::TimePoint Now(std::chrono::hours(1));
  for (auto Iteration : State) {
    Now += std::chrono::microseconds(10);
    Budget.recordFirstAttempt(Now);
    benchmark::DoNotOptimize(
        Budget.tryTake(limits::ExtraAttemptKind::Hedge, Now));
  }
}

/** @param State Argument 0: number of shards, and of backend servers. */
void applyReport(benchmark::State &State) {
  auto Layout = bench::makeLayout(static_cast<uint32_t>(State.range(0)));
  std::vector<routing::ServerListing> Listed;
  std::vector<routing::ServerReport> Reports;
  bench::describeServers(Layout, Listed, Reports);
  routing::Directory Servers(routing::Policy{}, 3);
  base::TimePoint Now(std::chrono::hours(1));
  Servers.applyList(Now, Listed);
  for (routing::ServerReport &Report : Reports) {
    Servers.applyReport(Now, Report);
    // Each report is decoded to a layout of its own, as in the daemon.
    Report.Versions.front().ShardLayout =
        std::make_shared<routing::Layout>(*Layout);
  }
  size_t Next = 0;
  for (auto Iteration : State) {
    benchmark::DoNotOptimize(Servers.applyReport(Now, Reports[Next]));
    Next = (Next + 1) % Reports.size();
  }
}

/** @param State Argument 0: number of shards, and of backend servers. */
void firstReports(benchmark::State &State) {
  auto Layout = bench::makeLayout(static_cast<uint32_t>(State.range(0)));
  std::vector<routing::ServerListing> Listed;
  std::vector<routing::ServerReport> Reports;
  bench::describeServers(Layout, Listed, Reports);
  base::TimePoint Now(std::chrono::hours(1));
  for (auto Iteration : State) {
    routing::Directory Servers(routing::Policy{}, 3);
    Servers.applyList(Now, Listed);
    for (const routing::ServerReport &Report : Reports) {
      Servers.applyReport(Now, Report);
    }
  }
}

} // namespace

BENCHMARK(applyReport)->Arg(45)->Arg(450)->Arg(3'198);
BENCHMARK(firstReports)->Arg(45)->Arg(450)->Arg(1'800);
BENCHMARK(chooseReplica)->Arg(10)->Arg(450);
BENCHMARK(chooseVersion)->Arg(10)->Arg(450);
BENCHMARK(waitQueue)->Arg(0)->Arg(1'000)->Arg(20'000);
BENCHMARK(latencyRecord);
BENCHMARK(latencyQuantile)->Arg(500)->Arg(980);
BENCHMARK(retryBudget);
