// Cost of choosing one of many backend servers while some of them are cold.
#include "forward/cold_state_func.h"
#include "forward/replica_func.h"

#include <benchmark/benchmark.h>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace {

using namespace hickorycrank;

/** @param State Argument 0: one of how many servers is cold, 0 for none. */
void chooseAmongColdServers(benchmark::State &State) {
  constexpr uint64_t Servers = 450;
  base::TimePoint Now(std::chrono::hours(1));
  auto Every = static_cast<uint64_t>(State.range(0));
  std::vector<std::unique_ptr<forward::Server>> Owned;
  forward::ServicePool Pool;
  for (uint64_t I = 0; I < Servers; ++I) {
    auto Added = std::make_unique<forward::Server>();
    Added->Key = forward::ServerKey(I + 1);
    Added->Entry.Domain = base::FailureDomainId(I % 2 == 0 ? "a" : "b");
    Added->ObservedAt = Now;
    if (Every != 0 && I % Every == 0) {
      Added->ColdUntil = Now + std::chrono::hours(1);
      Added->ColdShare.emplace().Sends = true;
    }
    Pool.Servers.push_back(Added.get());
    Owned.push_back(std::move(Added));
  }
  forward::ReplicaCriteria Criteria;
  Criteria.Now = Now;
  Criteria.Expected = std::chrono::milliseconds(20);
  Criteria.Domain = base::FailureDomainId("a");
  base::Random Generator(1);
  for (auto Iteration : State) {
    benchmark::DoNotOptimize(forward::chooseReplica(Pool, Criteria, Generator));
  }
}

} // namespace

BENCHMARK(chooseAmongColdServers)->Arg(0)->Arg(3);
