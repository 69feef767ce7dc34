// The latency that no routing can shorten, on hand-made runs.
#include "replay/queue_floor_func.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace std::chrono_literals;

namespace {

/** One group of two servers with one slot each, without network or warm-up. */
replay::Trace makeTrace() {
  replay::Trace Source;
  Source.Config.Groups = 1;
  Source.Config.ShardsPerGroup = 1;
  Source.Config.Replicas = 2;
  Source.Config.Slots = 1;
  Source.Config.Warmup = 0s;
  Source.Config.Network = 0s;
  return Source;
}

replay::QueryRecord makeQuery(base::Duration SentAt, base::Duration Service) {
  replay::QueryRecord Added;
  Added.SentAt = SentAt;
  Added.Service[0] = Service;
  return Added;
}

} // namespace

// Guards against a floor that is higher than what a schedule can reach.
TEST_CASE("work waits for the first free slot of its group", "[replay]") {
  replay::RunRecord Record;
  Record.Queries = {makeQuery(0ms, 10ms), makeQuery(0ms, 30ms),
                    makeQuery(5ms, 10ms)};
  CHECK(replay::queueFloor(makeTrace(), Record) ==
        std::vector<base::Duration>{10ms, 30ms, 15ms});
}

// Guards against a floor that counts slots of servers that do not run.
TEST_CASE("slots of a crashed server are lost until it is back", "[replay]") {
  replay::Trace Source = makeTrace();
  replay::TraceEvent Crash;
  Crash.Kind = replay::EventKind::Crash;
  Crash.At = 100ms;
  Crash.For = 100ms;
  Crash.Servers = {1};
  Source.Events = {Crash};
  replay::RunRecord Record;
  Record.Queries = {makeQuery(110ms, 10ms), makeQuery(110ms, 10ms),
                    makeQuery(210ms, 10ms), makeQuery(210ms, 10ms)};
  CHECK(replay::queueFloor(Source, Record) ==
        std::vector<base::Duration>{10ms, 20ms, 10ms, 10ms});
}

// Guards against refused queries that make the floor look low.
TEST_CASE("queries that did not run whole have no floor", "[replay]") {
  replay::RunRecord Record;
  Record.Queries = {makeQuery(0ms, 10ms), replay::QueryRecord{}};
  CHECK(replay::queueFloor(makeTrace(), Record).size() == 1);
}
