// Tests callers that disconnect, set expired deadlines or send invalid
// requests, on loopback.
#include "loopback.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using standin::BackendBehaviour;

namespace {

constexpr std::chrono::seconds CloseLimit(5);

/** Sends a query with a deadline header. */
CallerResponse askWithDeadline(Loopback &Cluster, const std::string &Deadline,
                               const std::string &Colour) {
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/query/cart-search";
  Request.Headers["Authorization"] = "Bearer nube-rosa:nube-rosa-demo-key";
  Request.Headers["X-Deadline-Ms"] = Deadline;
  Request.Body = R"({"colour":")" + Colour + "\"}";
  return call(Cluster.Running.Context, Cluster.Instances[0]->callerEndpoint(),
              std::move(Request));
}

/** @return Number of cancelled searches at all servers of the stock service. */
uint64_t cancelledSearches(Loopback &Cluster) {
  uint64_t Total = 0;
  for (size_t I = 0; I < Cluster.Deployment.serverCount("stock"); ++I) {
    Total += Cluster.Deployment.server("stock", I).counters().Cancelled;
  }
  return Total;
}

/** @return Status line of a response; "no close" if reading timed out. */
std::string statusLine(const std::optional<std::string> &Bytes) {
  return Bytes ? Bytes->substr(0, Bytes->find("\r\n")) : "no close";
}

/** @return Value of the refusal counter of an HTTP server in /metrics. */
std::string httpRefusals(Loopback &Cluster, const std::string &Server,
                         const std::string &Reason) {
  RawCaller Operator(Cluster.Instances[0]->adminEndpoint());
  Operator.write("GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
  std::string Text = Operator.readAll(CloseLimit).value_or("");
  std::string Series = "\nhickorycrank_http_refusals_total{reason=\"" + Reason +
                       "\",server=\"" + Server + "\"} ";
  size_t Found = Text.find(Series);
  if (Found == std::string::npos) {
    return "no series";
  }
  size_t Begin = Found + Series.size();
  return Text.substr(Begin, Text.find('\n', Begin) - Begin);
}

} // namespace

// Guards against backend work for a caller that has disconnected.
TEST_CASE("a caller that disconnects cancels its work", "[caller]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  Cluster.changeStock(
      [](BackendBehaviour &Behaviour) { Behaviour.Slowdown = 1'000; });
  uint64_t Before = Cluster.Deployment.searches("stock");
  uint64_t Cancelled = cancelledSearches(Cluster);
  RawCaller Caller(Cluster.Instances[0]->callerEndpoint());
  Caller.write(queryText("stock-sweep", R"({"week":20})"));
  REQUIRE(eventually(
      [&] { return Cluster.Deployment.searches("stock") > Before; }));
  CHECK(Cluster.stockStatus(0).LiveQueries == 1);
  Caller.close();
  CHECK(eventually([&] { return Cluster.stockStatus(0).LiveQueries == 0; }));
  CHECK(eventually([&] { return cancelledSearches(Cluster) > Cancelled; }));
}

// Guards against a graceful stop that waits for a request whose caller has
// disconnected.
TEST_CASE("a request whose caller has gone is not in progress any more",
          "[caller]") {
  Runner Running(2);
  std::mutex Mutex;
  std::vector<net::HttpCall> Calls;
  std::atomic<bool> Gone{false};
  net::HttpServer Server(Running.Context, config::Endpoint{}, net::HttpLimits{},
                         [&](net::HttpCall Call) {
                           Call.OnDisconnect([&Gone] { Gone = true; });
                           std::lock_guard Lock(Mutex);
                           Calls.push_back(std::move(Call));
                         });
  Server.start();
  RawCaller Caller(Server.endpoint());
  Caller.write(queryText("stock-sweep", "{}"));
  REQUIRE(eventually([&] { return Server.requestsInProgress() == 1; }));
  Caller.close();
  CHECK(eventually([&] { return Gone.load(); }));
  CHECK(eventually([&] { return Server.requestsInProgress() == 0; }));
  Running.join();
}

// Guards against backend work after the caller's deadline, and against integer
// overflow of deadlines.
TEST_CASE("a deadline that has passed is refused without work", "[caller]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  uint64_t Before = Cluster.Deployment.searches("stock");
  for (const char *Past : {"0", "-1", "-9223372036854775808"}) {
    auto Response = askWithDeadline(Cluster, Past, "late");
    CHECK(Response.Status == 504);
    CHECK(kindOf(Response) == "deadline_passed");
    CHECK(ranOf(Response) == "not_run");
  }
  for (const char *Bad : {"soon", "1.5", "", "99999999999999999999"}) {
    CHECK(kindOf(askWithDeadline(Cluster, Bad, "late")) == "bad_request");
  }
  CHECK(Cluster.Deployment.searches("stock") == Before);
  // A deadline beyond the template's is limited to it.
  CHECK(hasFullCoverage(
      askWithDeadline(Cluster, "9223372036854775807", "early")));
}

// Guards against buffering oversized requests, and against a refusal that the
// caller cannot read because the connection was reset.
TEST_CASE("oversized requests get a typed refusal", "[caller]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  RawCaller LongBody(Cluster.Instances[0]->callerEndpoint());
  LongBody.write(queryText("cart-search", std::string(200'000, ' ')));
  auto Refusal = LongBody.readAll(CloseLimit);
  CHECK(statusLine(Refusal) == "HTTP/1.1 413 Payload Too Large");
  CHECK(Refusal.value_or("").find("too_large") != std::string::npos);
  RawCaller LongHeader(Cluster.Instances[0]->callerEndpoint());
  LongHeader.write("GET / HTTP/1.1\r\nX-Long: " + std::string(20'000, 'x') +
                   "\r\n\r\n");
  Refusal = LongHeader.readAll(CloseLimit);
  CHECK(statusLine(Refusal) == "HTTP/1.1 413 Payload Too Large");
  CHECK(hasFullCoverage(Cluster.ask(0, "cart-search", R"({"colour":"pink"})")));
}

// Guards against executing an incomplete request.
TEST_CASE("truncated and malformed requests are not run", "[caller]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  uint64_t Before = Cluster.Deployment.searches("stock");
  std::string Whole = queryText("cart-search", R"({"colour":"cut"})");
  for (size_t Length : {size_t(1), size_t(30), Whole.size() - 1}) {
    RawCaller Caller(Cluster.Instances[0]->callerEndpoint());
    Caller.write(Whole.substr(0, Length));
    Caller.close();
  }
  RawCaller Malformed(Cluster.Instances[0]->callerEndpoint());
  Malformed.write("\x01\x02 not HTTP at all\r\n\r\n");
  CHECK(statusLine(Malformed.readAll(CloseLimit)) ==
        "HTTP/1.1 400 Bad Request");
  CHECK(Cluster.Deployment.searches("stock") == Before);
  CHECK(hasFullCoverage(Cluster.ask(0, "cart-search", R"({"colour":"pink"})")));
}

// Guards against connections held open by requests that never complete.
TEST_CASE("a request that arrives too slowly loses its connection",
          "[caller]") {
  Loopback Cluster(1, 3, [](config::Settings &Settings) {
    Settings.RequestReadTimeout = std::chrono::milliseconds(100);
    Settings.IdleTimeout = std::chrono::milliseconds(200);
  });
  REQUIRE(Cluster.waitUntilServing(0));
  RawCaller Slow(Cluster.Instances[0]->callerEndpoint());
  Slow.write("POST /v1/query/cart-search HTTP/1.1\r\n");
  RawCaller Idle(Cluster.Instances[0]->callerEndpoint());
  CHECK(hasFullCoverage(Cluster.ask(0, "cart-search", R"({"colour":"pink"})")));
  CHECK(Slow.readAll(CloseLimit).has_value());
  CHECK(Idle.readAll(CloseLimit).has_value());
}

// Guards against refusals by the HTTP servers that are missing from the metrics
// because they precede the tier's counters, and against wrong reasons.
TEST_CASE("metrics show what the HTTP servers refuse", "[caller]") {
  Loopback Cluster(1, 3, [](config::Settings &Settings) {
    Settings.RequestReadTimeout = std::chrono::milliseconds(100);
    Settings.MaxCallerConnections = 8;
  });
  REQUIRE(Cluster.waitUntilServing(0));
  const config::Endpoint Callers = Cluster.Instances[0]->callerEndpoint();
  const std::array<const char *, 4> Reasons = {
      "malformed", "too_large", "read_timeout", "too_many_connections"};
  for (const char *Reason : Reasons) {
    CHECK(httpRefusals(Cluster, "callers", Reason) == "0");
    CHECK(httpRefusals(Cluster, "admin", Reason) == "0");
  }
  RawCaller Malformed(Callers);
  Malformed.write("\x01\x02 not HTTP at all\r\n\r\n");
  REQUIRE(Malformed.readAll(CloseLimit).has_value());
  CHECK(httpRefusals(Cluster, "callers", "malformed") == "1");
  for (int I = 0; I < 2; ++I) {
    RawCaller Oversized(Callers);
    Oversized.write(queryText("cart-search", std::string(200'000, ' ')));
    REQUIRE(Oversized.readAll(CloseLimit).has_value());
  }
  CHECK(httpRefusals(Cluster, "callers", "too_large") == "2");
  for (int I = 0; I < 3; ++I) {
    RawCaller Slow(Callers);
    Slow.write("POST /v1/query/cart-search HTTP/1.1\r\n");
    REQUIRE(Slow.readAll(CloseLimit).has_value());
  }
  // The server closes the connection just before it counts the timeout.
  CHECK(eventually(
      [&] { return httpRefusals(Cluster, "callers", "read_timeout") == "3"; }));
  std::vector<std::unique_ptr<RawCaller>> Many;
  Many.reserve(12);
  for (int I = 0; I < 12; ++I) {
    Many.push_back(std::make_unique<RawCaller>(Callers));
  }
  CHECK(eventually([&] {
    return httpRefusals(Cluster, "callers", "too_many_connections") != "0";
  }));
  CHECK(httpRefusals(Cluster, "callers", "malformed") == "1");
  CHECK(httpRefusals(Cluster, "callers", "too_large") == "2");
  CHECK(httpRefusals(Cluster, "callers", "read_timeout") == "3");
  RawCaller ToAdmin(Cluster.Instances[0]->adminEndpoint());
  ToAdmin.write("\x01\x02 not HTTP at all\r\n\r\n");
  REQUIRE(ToAdmin.readAll(CloseLimit).has_value());
  CHECK(httpRefusals(Cluster, "admin", "malformed") == "1");
}

// Guards against executing another organisation's template, and against
// revealing that it exists.
TEST_CASE("another organisation's template is refused like an unknown one",
          "[caller]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Changed = Cluster.Documents;
  std::string &Other = Changed.at("organisation/algodon-azul");
  size_t Sweep = Other.find("[templates.stock-sweep]");
  Other.erase(Sweep, Other.find("[templates.permit-lookup]") - Sweep);
  Cluster.Deployment.platform().publish(2, Changed);
  REQUIRE(eventually([&] {
    return Cluster.Instances[0]->tier().configurationVersion().Number.Value ==
           2;
  }));
  auto Foreign =
      Cluster.ask(0, "stock-sweep", R"({"week":21})", "algodon-azul");
  auto Unknown = Cluster.ask(0, "no-such", R"({"week":21})", "algodon-azul");
  CHECK(kindOf(Foreign) == "unknown_template");
  CHECK(Foreign.Status == Unknown.Status);
  CHECK(Foreign.Body.at("error") == Unknown.Body.at("error"));
  CHECK(hasFullCoverage(Cluster.ask(0, "stock-sweep", R"({"week":21})")));
}
