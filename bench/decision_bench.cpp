// Decision CPU: a query from request to response through the engine alone.
#include "engine_harness.h"

#include <benchmark/benchmark.h>

namespace {

using namespace hickorycrank;

/** Queries that warm the latency model and the servers' limits up. */
constexpr int WarmUpQueries = 50;

/** @param State Argument 0: fan-out. */
void decideQuery(benchmark::State &State) {
  bench::EngineHarness Harness(static_cast<uint32_t>(State.range(0)));
  for (int I = 0; I < WarmUpQueries; ++I) {
    Harness.run();
  }
  size_t Sent = 0;
  int64_t Spent = 0;
  uint64_t AnswersBefore = Harness.Answers;
  for (auto Iteration : State) {
    Harness.SpentNs = 0;
    Sent += Harness.run();
    Spent += Harness.SpentNs;
    State.SetIterationTime(static_cast<double>(Harness.SpentNs) / 1e9);
  }
  if (Harness.Answers - AnswersBefore !=
      static_cast<uint64_t>(State.iterations())) {
    State.SkipWithError("a query got no answer");
    return;
  }
  State.counters["ns_per_subquery"] =
      static_cast<double>(Spent) / static_cast<double>(Sent);
}

} // namespace

BENCHMARK(decideQuery)->Arg(10)->Arg(50)->Arg(150)->Arg(450)->UseManualTime();
