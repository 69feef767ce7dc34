// The whole path on loopback: platform, backend servers, entry instances.
#include "loopback.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;

// Guards against an answer without snapshot or with a false coverage.
TEST_CASE("a wide query is answered from one snapshot with true coverage",
          "[path]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Response = Cluster.ask(0, "cart-search", R"({"colour":"pink"})");
  REQUIRE(Response.Status == 200);
  CHECK(Response.Body.at("snapshot").to_number<int>() == 1);
  const auto &Covered = Response.Body.at("coverage").as_object();
  CHECK(Covered.at("expected").to_number<int>() == 9);
  CHECK(Covered.at("answered").to_number<int>() == 9);
  CHECK(Covered.at("records_answered").to_number<int>() == 900);
  CHECK(Covered.at("missing").as_array().empty());
  CHECK(Response.Body.at("results").as_array().size() == 18);
}

// Guards against merging rows in the order of arrival.
TEST_CASE("rows are merged in the template's order", "[path]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Response = Cluster.ask(0, "cart-search", R"({"colour":"pink"})");
  int64_t Last = 1'000;
  for (const auto &Row : Response.Body.at("results").as_array()) {
    auto Stock = Row.as_object().at("stock").to_number<int64_t>();
    CHECK(Stock <= Last);
    Last = Stock;
  }
}

// Guards against untyped or leaking handling of bad input.
TEST_CASE("bad requests get typed refusals", "[path]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Kind = [](const CallerResponse &Response) {
    return std::string(
        Response.Body.at("error").as_object().at("kind").as_string());
  };
  CHECK(Kind(Cluster.ask(0, "no-such-template", "{}")) == "unknown_template");
  CHECK(Kind(Cluster.ask(0, "cart-search", "{}")) == "bad_request");
  CHECK(Kind(Cluster.ask(0, "cart-search", "[1]")) == "bad_request");
  CHECK(Kind(Cluster.ask(0, "cart-search",
                         R"({"colour":"pink","fleet":"other"})")) ==
        "bad_request");
  CHECK(Kind(Cluster.ask(0, "cart-search", "{}", "nobody")) == "unauthorised");
}
