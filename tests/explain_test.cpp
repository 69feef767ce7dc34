// Tests of explaining requests from logs recorded in soak and bench runs.
#include "diagnosis/explain_func.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;

namespace {

const char *const FirstLog =
    R"(g1 | {"time_ms":1796379612000,"level":"info","event":"gateway.started","callers":"127.0.0.2:18080","failure_domain":"b","instance":"g1"}
{"time_ms":1796379640000,"level":"warning","event":"store.lost","reason":"no answer","revision":"42"}
a line of another program {"brace":true}
{"time_ms":1796379640900,"level":"info","event":"server.changed","leaving":"true","revision":"43","server":"i-26"}
{"time_ms":1796379641000,"level":"warning","event":"request.refused","answered":"0","attempts":"1","broken":"1","config_version":"1","not_reached":"0","ran":"may_have_run","reason":"backend_failed","request":"0b0266713b914415","route":"once","shards":"1","took_ms":"19","view_revision":"43"}
{"time_ms":1796379641500,"level":"info","event":"store.regained","revision":"44"}
)";

const char *const SecondLog =
    R"({"time_ms":1796379612001,"level":"info","event":"gateway.started","callers":"127.0.0.3:18080","failure_domain":"c","instance":"g2"}
{"time_ms":1796379640950,"level":"warning","event":"request.refused","answered":"0","attempts":"0","broken":"0","config_version":"1","not_reached":"1","ran":"not_run","reason":"no_server","request":"0b0266713b914415","route":"once","shards":"1","took_ms":"0","view_revision":"43"}
{"time_ms":1796379650000,"level":"warning","event":"request.partial","answered":"3","attempts":"5","broken":"0","config_version":"1","not_reached":"0","request":"c2a5cef8013ce54c","route":"wide","shards":"4","took_ms":"136","view_revision":"29"}
)";

std::vector<diagnosis::InstanceLog> logs() {
  return {diagnosis::parseLog("first.log", FirstLog),
          diagnosis::parseLog("second.log", SecondLog)};
}

std::vector<std::string> events(const diagnosis::Explanation &Source) {
  std::vector<std::string> Names;
  for (const diagnosis::TimelineRecord &Entry : Source.Timeline) {
    Names.push_back(Entry.Instance + " " + Entry.Record.Event);
  }
  return Names;
}

} // namespace

// Guards against a timeline that covers only one instance, is out of order, or
// includes events after the request or long before it.
TEST_CASE("a request is explained across instances", "[diagnosis]") {
  auto Found = diagnosis::explain("0b0266713b914415", logs());
  REQUIRE(Found);
  CHECK(events(Found.value()) ==
        std::vector<std::string>{"g1 store.lost", "g1 server.changed",
                                 "g2 request.refused", "g1 request.refused"});
  CHECK(
      Found.value().Outcomes ==
      std::vector<std::string>{
          "g1, route once: refused: 1 connections were lost after the request "
          "was sent; it may have run",
          "g2, route once: refused: no usable or reachable server of the "
          "route in view revision 43; 0 attempts were sent"});
}

// Guards against a partial answer that is reported as a failed request.
TEST_CASE("an answer with parts missing is explained", "[diagnosis]") {
  auto Found = diagnosis::explain("c2a5cef8013ce54c", logs());
  REQUIRE(Found);
  REQUIRE(Found.value().Outcomes.size() == 1);
  CHECK(Found.value().Outcomes.front() ==
        "g2, route wide: 3 of 4 shards answered; 0 of the others were not "
        "attempted, the rest were late or failed when the answer was sent "
        "after 136 ms");
  std::string Text = diagnosis::toText(Found.value());
  CHECK(Text.find("10:20:50.000 g2 request.partial answered=3") == 0);
}

// Guards against an unknown request id that is reported without a reason.
TEST_CASE("an unknown request is an error that says why", "[diagnosis]") {
  auto Found = diagnosis::explain("0000000000000000", logs());
  REQUIRE_FALSE(Found);
  CHECK(Found.error().Kind == base::ErrorKind::NotFound);
  CHECK(Found.error().Message.find("only counted") != std::string::npos);
}

// Guards against a parser that stops at a line it does not recognise.
TEST_CASE("lines of other programs are skipped", "[diagnosis]") {
  diagnosis::InstanceLog Log = diagnosis::parseLog("first.log", FirstLog);
  CHECK(Log.Instance == "g1");
  CHECK(Log.Records.size() == 5);
  CHECK(diagnosis::parseLog("empty.log", "").Instance == "empty.log");
  CHECK(diagnosis::parseLog("cut.log", R"({"time_ms":1,"event":"a)")
            .Records.empty());
}
