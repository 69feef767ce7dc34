// Failures of the platform and of published configurations, on loopback.
#include "loopback.h"

#include "config/document_func.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using standin::PlatformFault;

namespace {

/** Revision in force at an instance. */
uint64_t revision(Loopback &Cluster, size_t Index) {
  return Cluster.Instances[Index]->tier().configurationVersion().Number.Value;
}

/** Whether a counter of an instance shows a sample that is not 0. */
bool counts(Loopback &Cluster, const std::string &Name) {
  return Cluster.Instances[0]->tier().metrics().render().find(Name) !=
         std::string::npos;
}

} // namespace

// Guards against an instance that forgets its servers or configuration while
// the platform gives errors or no answers.
TEST_CASE("queries go on while the platform is down or stalled", "[platform]") {
  for (PlatformFault Fault : {PlatformFault::Down, PlatformFault::Stalled}) {
    Loopback Cluster(1);
    REQUIRE(Cluster.waitUntilServing(0));
    Cluster.Stand.platform().setFault(Fault);
    // Ends the waiting watches, so that the next calls meet the fault.
    Cluster.Stand.platform().setValue("hickorycrank/manifest", "revision = 0");
    Cluster.Stand.listEntries({{"entry-0", "entry", "",
                                config::toString(Cluster.Instances[0]->peers()),
                                "domain-1", 1, false}});
    Cluster.Stand.server("stock", 0).crash();
    auto Results = Cluster.callers(5)->run({Loopback::cartSearch(40)},
                                           std::chrono::seconds(1));
    const standin::LoadResult &Result = Results.at("cart-search");
    CHECK(Result.Answers == Result.Queries);
    CHECK(revision(Cluster, 0) == 1);
    CHECK(eventually([&] {
      return isWhole(Cluster.ask(0, "stock-sweep", R"({"week":15})"));
    }));
  }
}

// Guards against an instance that serves without any configuration.
TEST_CASE("an instance that cannot read the platform is not ready",
          "[platform]") {
  Loopback Cluster(0);
  Cluster.Stand.platform().setFault(PlatformFault::Down);
  Cluster.addInstance();
  auto Response = Cluster.ask(0, "cart-search", R"({"colour":"pink"})");
  CHECK(kindOf(Response) == "not_ready");
  CHECK(ranOf(Response) == "not_run");
  Cluster.Stand.platform().setFault(PlatformFault::None);
  CHECK(Cluster.waitUntilServing(0));
}

// Guards against a revision that is put in force in parts: the valid change
// beside the invalid one must not show either.
TEST_CASE("an invalid configuration is refused whole and the old one stays",
          "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Changed = Cluster.Documents;
  std::string &Search = Changed.at("template/cart-search");
  Search.replace(Search.find("limit = 20"), 10, "limit = 1");
  std::string &Sweep = Changed.at("template/stock-sweep");
  Sweep.replace(Sweep.find("deadline_ms = 5000"), 18, "deadline_ms = -1");
  Cluster.Stand.platform().publish(2, Changed);
  CHECK(eventually(
      [&] { return counts(Cluster, "hickorycrank_configuration_errors"); }));
  CHECK(revision(Cluster, 0) == 1);
  auto Response = Cluster.ask(0, "cart-search", R"({"colour":"red"})");
  REQUIRE(Response.Status == 200);
  CHECK(Response.Body.at("results").as_array().size() == 18);
  Sweep = Cluster.Documents.at("template/stock-sweep");
  Cluster.Stand.platform().publish(3, Changed);
  CHECK(eventually([&] { return revision(Cluster, 0) == 3; }));
  Response = Cluster.ask(0, "cart-search", R"({"colour":"red"})");
  REQUIRE(Response.Status == 200);
  CHECK(Response.Body.at("results").as_array().size() == 1);
}

// Guards against an instance that cannot be configured any more after a
// manifest that cannot be read or whose documents are missing.
TEST_CASE("a broken manifest does not block the next one", "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  standin::Platform &Platform = Cluster.Stand.platform();
  Platform.setValue("hickorycrank/manifest", "revision = [");
  Platform.setValue("hickorycrank/manifest",
                    "revision = 2\n[documents]\n\"service/stock\" = \"" +
                        std::string(64, '0') + "\"\n");
  Platform.publish(3, Cluster.Documents);
  CHECK(eventually([&] { return revision(Cluster, 0) == 3; }));
  CHECK(isWhole(Cluster.ask(0, "cart-search", R"({"colour":"pink"})")));
}

// Guards against a configuration that reverts when a stale one is published.
TEST_CASE("an older revision never replaces the one in force", "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  Cluster.Stand.platform().publish(5, Cluster.Documents);
  REQUIRE(eventually([&] { return revision(Cluster, 0) == 5; }));
  uint64_t Calls = Cluster.Stand.platform().calls();
  Cluster.Stand.platform().publish(4, Cluster.Documents);
  // The watch that delivered revision 4 has ended once a new one waits.
  CHECK(eventually([&] { return Cluster.Stand.platform().calls() > Calls; }));
  CHECK(revision(Cluster, 0) == 5);
  Cluster.Stand.platform().publish(6, Cluster.Documents);
  CHECK(eventually([&] { return revision(Cluster, 0) != 5; }));
  CHECK(revision(Cluster, 0) == 6);
}
