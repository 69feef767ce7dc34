// Traces on virtual time: stated outcomes, and that each of them can fail.
#include "replay/report_func.h"
#include "replay/trace_func.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

using namespace hickorycrank;

namespace {

/** Reads a trace of the project. */
replay::Trace loadTrace(const std::string &Name) {
  std::ifstream File(std::string(HICKORYCRANK_SOURCE_DIR) + "/traces/" + Name +
                     ".jsonl");
  std::string Text(std::istreambuf_iterator<char>(File), {});
  auto Parsed = replay::parseTrace(Text);
  INFO((Parsed.has_value() ? "" : Parsed.error().Message));
  REQUIRE(Parsed.has_value());
  return Parsed.value();
}

} // namespace

// Guards against clocks, addresses or hash seeds that reach a decision.
TEST_CASE("the same trace and seed give the same bytes", "[replay]") {
  replay::Trace Source = loadTrace("straggler-30");
  std::string First = replay::toJson(replay::replayTrace(Source, "engine", {}));
  CHECK(replay::toJson(replay::replayTrace(Source, "engine", {})) == First);
  Source.Config.Seed += 1;
  CHECK(replay::toJson(replay::replayTrace(Source, "engine", {})) != First);
}
