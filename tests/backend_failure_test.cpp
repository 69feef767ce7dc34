// Tests failures of backend servers, on loopback.
#include "loopback.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using standin::BackendBehaviour;

namespace {

/**
 * Counts the retries and hedges of one instance that add load to servers. A
 * retry after a failed connection adds none, because nothing was sent.
 */
uint64_t extraAttempts(const query::EngineCounters &Counters) {
  uint64_t Extra = Counters.Hedges;
  for (size_t I = 0; I < query::RetryReasonCount; ++I) {
    bool Sent =
        static_cast<query::RetryReason>(I) != query::RetryReason::Connect;
    Extra += Sent ? Counters.Retries[I] : 0;
  }
  return Extra;
}

/**
 * Upper bound of extra attempts in a run: 10% of the first attempts plus one
 * per second, with the duration rounded up by one second at each end.
 */
double extraBound(const query::EngineCounters &Counters,
                  std::chrono::seconds Length) {
  return 0.1 * static_cast<double>(Counters.FirstAttempts) +
         static_cast<double>(Length.count() + 2);
}

/** @return Whether every row of an answer has the requested colour. */
bool hasOnlyOwnRows(const CallerResponse &Response, const std::string &Colour) {
  const auto &Rows = Response.Body.at("results").as_array();
  return std::all_of(Rows.begin(), Rows.end(), [&](const auto &Row) {
    return Row.as_object()
               .at("parameters")
               .as_object()
               .at("colour")
               .as_string() == Colour;
  });
}

/**
 * Sends cart searches, each with its own colour, while some replicas send wrong
 * replies. Checks that every answer contains only rows of its own request.
 */
void askWithColours(Loopback &Cluster, int Count) {
  for (int I = 0; I < Count; ++I) {
    std::string Colour = "colour-" + std::to_string(I);
    auto Response =
        Cluster.ask(0, "cart-search", R"({"colour":")" + Colour + "\"}");
    REQUIRE(Response.Status == 200);
    CHECK(hasOnlyOwnRows(Response, Colour));
  }
}

/**
 * Makes the backend servers return rows that contain the request's parameters.
 * Slows the other replicas of one server's shards down, so that routing keeps
 * sending requests to that server: otherwise it would get none for seconds once
 * its replies took 1.2 times as long as theirs.
 * @return The server whose replicas are slowed down.
 */
standin::BackendServer &serveWithEchoes(Loopback &Cluster) {
  Cluster.changeStock(
      [](BackendBehaviour &Behaviour) { Behaviour.EchoParameters = true; });
  REQUIRE(Cluster.waitUntilServing(0));
  for (size_t Other : {1, 2}) {
    Cluster.Deployment.server("stock", Other)
        .change([](BackendBehaviour &Behaviour) { Behaviour.Slowdown = 20; });
  }
  return Cluster.Deployment.server("stock", 0);
}

} // namespace

// Guards against queries that fail or hang when a replica crashes.
TEST_CASE("all queries are answered when a backend server crashes",
          "[backend]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Callers = Cluster.callers(1);
  std::thread Killer([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Cluster.Deployment.server("stock", 4).crash();
  });
  auto Results =
      Callers->run({Loopback::cartSearch(60)}, std::chrono::seconds(1));
  Killer.join();
  const standin::LoadResult &Result = Results.at("cart-search");
  CHECK(Result.Answers == Result.Queries);
  CHECK(Result.Unanswered == 0);
  CHECK(Result.Refusals.empty());
  CHECK(eventually([&] {
    return hasFullCoverage(Cluster.ask(0, "stock-sweep", R"({"week":7})"));
  }));
}

// Guards against hedges and retries beyond the budget because of a straggler.
TEST_CASE("all queries are answered despite a slow server, with hedges and "
          "retries within the budget",
          "[backend]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  Cluster.Deployment.server("stock", 1).change([](BackendBehaviour &Behaviour) {
    Behaviour.Slowdown = 100;
  });
  query::EngineCounters Before = Cluster.stockCounters(0);
  auto Results = Cluster.callers(2)->run({Loopback::cartSearch(60)},
                                         std::chrono::seconds(1));
  const standin::LoadResult &Result = Results.at("cart-search");
  CHECK(Result.Answers == Result.Queries);
  query::EngineCounters After = Cluster.stockCounters(0);
  CHECK(After.FirstAttempts > Before.FirstAttempts);
  CHECK(static_cast<double>(extraAttempts(After)) <=
        extraBound(After, std::chrono::seconds(3)));
}

// Guards against ejecting a server because of silent connections, and against
// waiting for them until the deadline.
TEST_CASE("silent connections are replaced and no server is ejected",
          "[backend]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  uint64_t Before = Cluster.Deployment.searches("stock");
  Cluster.changeStock(
      [](BackendBehaviour &Behaviour) { Behaviour.Silent = true; });
  auto Pending = std::async(std::launch::async, [&] {
    return Cluster.ask(0, "stock-sweep", R"({"week":8})");
  });
  // Connections that carry one of these attempts stay silent permanently.
  CHECK(eventually(
      [&] { return Cluster.Deployment.searches("stock") > Before; }));
  Cluster.changeStock(
      [](BackendBehaviour &Behaviour) { Behaviour.Silent = false; });
  CHECK(hasFullCoverage(Pending.get()));
  query::EngineCounters Counters = Cluster.stockCounters(0);
  CHECK(Counters.SilentConnections > 0);
  CHECK(Counters.Ejections == 0);
  CHECK(hasFullCoverage(Cluster.ask(0, "stock-sweep", R"({"week":9})")));
}

// Guards against returning rows of another request, and against reusing a
// connection whose replies no longer match its requests.
TEST_CASE("a reply with a wrong echo is dropped, counted and ends its "
          "connection",
          "[backend]") {
  Loopback Cluster(1);
  standin::BackendServer &Wrong = serveWithEchoes(Cluster);
  Wrong.change([](BackendBehaviour &Behaviour) { Behaviour.WrongEcho = true; });
  askWithColours(Cluster, 20);
  uint64_t Echoes = Cluster.stockCounters(0).WrongEchoes;
  CHECK(Echoes > 0);
  // Each wrong echo ended its search connection; the control connection comes
  // on top.
  CHECK(Wrong.counters().Accepted > Echoes);
}

// Guards against a crash, rows of another request or a reused connection after
// a reply that cannot be parsed.
TEST_CASE("a reply that is no JSON is a counted failure and ends its "
          "connection",
          "[backend]") {
  Loopback Cluster(1);
  standin::BackendServer &Wrong = serveWithEchoes(Cluster);
  uint64_t Before = Wrong.counters().Searches;
  Wrong.change([](BackendBehaviour &Behaviour) { Behaviour.Garbage = true; });
  askWithColours(Cluster, 20);
  query::EngineCounters Counters = Cluster.stockCounters(0);
  standin::BackendCounters Seen = Wrong.counters();
  CHECK(Counters.Retries[static_cast<size_t>(query::RetryReason::BadReply)] +
            Counters.RetriesDenied >
        0);
  CHECK(Seen.Searches > Before);
  CHECK(Seen.Accepted > Seen.Searches - Before);
}

// Guards against new searches at a server that is leaving.
TEST_CASE("a draining server gets no new work after 3 s", "[backend]") {
  Loopback Cluster(2);
  REQUIRE(Cluster.waitUntilServing(0));
  REQUIRE(Cluster.waitUntilServing(1));
  standin::BackendServer &Leaving = Cluster.Deployment.server("stock", 3);
  Leaving.change([](BackendBehaviour &Behaviour) { Behaviour.Leaving = true; });
  auto Announced = std::chrono::floor<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  auto Results = Cluster.callers(3)->run({Loopback::cartSearch(40)},
                                         std::chrono::milliseconds(4'500));
  const standin::LoadResult &Result = Results.at("cart-search");
  CHECK(Result.Answers == Result.Queries);
  auto Last = static_cast<int64_t>(Leaving.counters().LastSearchMs);
  // An instance learns of it from the server's next report, within a second.
  CHECK(Last - Announced <= 1'000 + 3'000);
  CHECK(hasFullCoverage(Cluster.ask(0, "stock-sweep", R"({"week":10})")));
  CHECK(hasFullCoverage(Cluster.ask(1, "stock-sweep", R"({"week":11})")));
}

// Guards against retries that add load to servers which shed load.
TEST_CASE("shedding servers get no retries beyond the budget", "[backend]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  Cluster.changeStock(
      [](BackendBehaviour &Behaviour) { Behaviour.ShedAll = true; });
  query::EngineCounters Before = Cluster.stockCounters(0);
  uint64_t Searches = Cluster.Deployment.searches("stock");
  auto Results = Cluster.callers(4)->run({Loopback::cartSearch(60)},
                                         std::chrono::seconds(1));
  const standin::LoadResult &Result = Results.at("cart-search");
  CHECK(Result.Unanswered == 0);
  CHECK(Result.Answers == 0);
  CHECK(Result.Refusals.count("overloaded") == 1);
  query::EngineCounters After = Cluster.stockCounters(0);
  uint64_t First = After.FirstAttempts - Before.FirstAttempts;
  uint64_t Extra = extraAttempts(After) - extraAttempts(Before);
  INFO("reasons " << Catch::StringMaker<std::vector<uint64_t>>::convert(
           {After.Retries.begin(), After.Retries.end()}));
  CHECK(static_cast<double>(Extra) <=
        extraBound(After, std::chrono::seconds(2)));
  CHECK(Cluster.Deployment.searches("stock") - Searches <= First + Extra);
  Cluster.changeStock(
      [](BackendBehaviour &Behaviour) { Behaviour.ShedAll = false; });
  CHECK(eventually([&] {
    return hasFullCoverage(Cluster.ask(0, "stock-sweep", R"({"week":12})"));
  }));
}

// Guards against a refusal that is delayed until the deadline (5 s for a sweep)
// although no server can answer.
TEST_CASE("with all servers down a query is refused at once", "[backend]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  for (size_t I = 0; I < Cluster.Deployment.serverCount("stock"); ++I) {
    Cluster.Deployment.server("stock", I).crash();
  }
  auto Begun = base::Clock::now();
  auto First = Cluster.ask(0, "stock-sweep", R"({"week":13})");
  CHECK(base::Clock::now() - Begun < std::chrono::seconds(3));
  CHECK(First.Status == 503);
  CHECK(kindOf(First) == "no_server");
  CHECK(First.Body.at("error").as_object().contains("retry_after_ms"));
  auto Second = Cluster.ask(0, "stock-sweep", R"({"week":14})");
  CHECK(kindOf(Second) == "no_server");
  CHECK(ranOf(Second) == "not_run");
}
