// Tests of where requests may go, on virtual time: evacuated failure domains,
// servers that decline requests, and regions that a route allows.
#include "discovery/view_base.h"
#include "forward_harness.h"
#include "net/fleet_codec_func.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using discovery::ItemKind;
using discovery::RemovalPolicy;
using forward::AttemptFailure;
using forward::RefusalReason;
using forward::RelayRequest;
using forward::RespondCall;
using forward::SendAttempt;

namespace {

/** @return A set of failure domains. */
forward::DomainSet domains(const std::vector<std::string> &Names) {
  forward::DomainSet Result;
  for (const std::string &Name : Names) {
    Result.insert(base::FailureDomainId(Name));
  }
  return Result;
}

/** @return The failure domain of a server of addReplicas(). */
std::string domainOf(const SendAttempt &Sent) {
  return Sent.ServerId.Value.substr(Sent.ServerId.Value.size() - 1);
}

forward::Reply rejection() {
  forward::Reply Result;
  Result.Status = 503;
  Result.NotExecuted = true;
  return Result;
}

/** Sends requests to a route for some time and answers each attempt.
 * @return Attempts by failure domain. */
std::map<std::string, int> serve(ForwardHarness &Harness,
                                 const std::string &Service, int Requests) {
  std::map<std::string, int> Sent;
  for (int I = 0; I < Requests; ++I) {
    Harness.sendRequest(Service + ".example", "/" + Service + "/x", 1'500ms,
                        I + 1);
    Harness.advanceTime(2ms);
    for (const SendAttempt &Entry : Harness.takeActions<SendAttempt>()) {
      ++Sent[domainOf(Entry)];
      Harness.reply(Entry, ForwardHarness::successReply("sig"));
    }
  }
  return Sent;
}

/** @return The only refusal among the responses. */
forward::Refusal onlyRefusal(ForwardHarness &Harness) {
  auto Ended = Harness.takeActions<RespondCall>();
  REQUIRE(Ended.size() == 1);
  const forward::Refusal *Found = ForwardHarness::refusal(Ended[0]);
  REQUIRE(Found != nullptr);
  return *Found;
}

discovery::Change evacuation(const std::string &Domain, uint64_t Epoch,
                             uint64_t Revision, bool Deleted = false) {
  return {{ItemKind::Evacuation, Domain, "", {Epoch, Revision}}, Deleted};
}

/** @return A harness whose route allows the given regions; the failure domains
 * a, b and c are in the regions north, south and west. */
ForwardHarness withRegions(std::vector<std::string> Allowed) {
  ForwardHarness Harness;
  Harness.Engine.setRegions({{base::FailureDomainId("a"), "north"},
                             {base::FailureDomainId("b"), "south"},
                             {base::FailureDomainId("c"), "west"}});
  forward::Route Single = ForwardHarness::singleServiceRoute(true);
  Single.AllowedRegions = std::move(Allowed);
  Single.MaxAttempts = 3;
  Harness.publish({Single});
  Harness.addReplicas("one");
  Harness.announce();
  return Harness;
}

} // namespace

// Guards against a steady load that goes on reaching the servers of an
// evacuated failure domain, above all those of the instance's own.
TEST_CASE("an evacuated domain gets no work until it returns", "[placement]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  CHECK(serve(Harness, "wide", 20)["a"] > 0);
  Harness.Engine.onEvacuations(domains({"a"}));
  auto During = serve(Harness, "wide", 50);
  CHECK(During.count("a") == 0);
  CHECK(During["b"] + During["c"] == 500);
  CHECK(Harness.Engine.evacuationLoad().Servers == 10);
  Harness.Engine.onEvacuations({});
  CHECK(serve(Harness, "wide", 20)["a"] > 0);
  CHECK(Harness.Engine.counters().Answers == 90);
}

// Guards against servers that are listed during the evacuation, or again, and
// get work because only the servers of its beginning are known as evacuated.
TEST_CASE("servers listed during an evacuation get no work", "[placement]") {
  ForwardHarness Harness;
  Harness.Engine.onEvacuations(domains({"a"}));
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 2);
  Harness.announce();
  CHECK(serve(Harness, "one", 20).count("a") == 0);
  Harness.Listed[0].StartedAt = 2;
  Harness.announce();
  CHECK(serve(Harness, "one", 20).count("a") == 0);
}

// Guards against hedges, retries and second attempts to evacuated servers, and
// against attempts there that are cut off.
TEST_CASE("attempts running in an evacuated domain end as they are",
          "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 2);
  Harness.announce();
  Harness.sendRequest("one.example", "/one/x", 4'000ms);
  auto Sent = Harness.takeActions<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  REQUIRE(domainOf(Sent[0]) == "a");
  Harness.Engine.onEvacuations(domains({"a"}));
  CHECK(Harness.takeActions<forward::AbandonAttempt>().empty());
  CHECK(Harness.Engine.evacuationLoad().Attempts == 1);
  SECTION("with its reply") {
    Harness.reply(Sent[0], ForwardHarness::successReply("sig"));
    auto Ended = Harness.takeActions<RespondCall>();
    REQUIRE(Ended.size() == 1);
    CHECK(ForwardHarness::refusal(Ended[0]) == nullptr);
  }
  SECTION("with a hedge and a retry elsewhere only") {
    Harness.advanceTime(400ms);
    auto Hedges = Harness.takeActions<SendAttempt>();
    REQUIRE(Hedges.size() == 1);
    CHECK(domainOf(Hedges[0]) == "b");
    Harness.failAttempt(Hedges[0], AttemptFailure::NotSent);
    Harness.failAttempt(Sent[0], AttemptFailure::Broken);
    Harness.advanceTime(2s);
    for (const SendAttempt &Retry : Harness.takeActions<SendAttempt>()) {
      CHECK(domainOf(Retry) == "b");
    }
  }
}

// Guards against a call that waits until its deadline, or goes to an evacuated
// server, when operators evacuate one domain after the other.
TEST_CASE("without a server outside the evacuated domains calls are refused",
          "[placement]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  Harness.Engine.onEvacuations(domains({"a", "b"}));
  CHECK(serve(Harness, "wide", 10)["c"] == 100);
  Harness.takeActions<RespondCall>();
  Harness.Engine.onEvacuations(domains({"a", "b", "c"}));
  Harness.sendRequest("wide.example", "/wide/x");
  forward::Refusal Refused = onlyRefusal(Harness);
  CHECK(Refused.Reason == RefusalReason::Evacuated);
  CHECK_FALSE(Refused.MayHaveRun);
  CHECK(Refused.RetryAfter == forward::PlacementRetryAfter);
  CHECK(Harness.takeActions<SendAttempt>().empty());
}

// Guards against a call that keeps waiting for a busy server whose failure
// domain is evacuated meanwhile.
TEST_CASE("a call that waits for a server ends with the evacuation",
          "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 1);
  Harness.announce();
  std::vector<SendAttempt> Running;
  while (Harness.Engine.callsInProgress() == Running.size()) {
    Harness.sendRequest("one.example", "/one/x", 4'000ms, Running.size() + 1);
    for (SendAttempt &Sent : Harness.takeActions<SendAttempt>()) {
      Running.push_back(std::move(Sent));
    }
  }
  Harness.Engine.onEvacuations(domains({"a"}));
  Harness.advanceTime(10ms);
  CHECK(onlyRefusal(Harness).Reason == RefusalReason::Evacuated);
  CHECK(Harness.Engine.callsInProgress() == Running.size());
}

// Guards against refusing calls for shards that the route can do without.
TEST_CASE("a shard that is evacuated everywhere is left out if possible",
          "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::fanOutRoute(4, 0.75)});
  Harness.addReplicas("s0", 1);
  for (const char *Shard : {"s1", "s2", "s3"}) {
    Harness.addReplicas(Shard);
  }
  Harness.announce();
  Harness.Engine.onEvacuations(domains({"a"}));
  CHECK(serve(Harness, "wide", 1).count("a") == 0);
  auto Ended = Harness.takeActions<RespondCall>();
  REQUIRE(Ended.size() == 1);
  REQUIRE(ForwardHarness::merged(Ended[0]) != nullptr);
  CHECK(ForwardHarness::merged(Ended[0])->Missing == 1);
}

// Guards against all instances leaving the balancer because operators have
// evacuated the only servers of a shard, and against an instance in an
// evacuated domain that counts as isolated.
TEST_CASE("an evacuation is no isolation", "[placement]") {
  ForwardHarness Harness = ForwardHarness::tenShards();
  Harness.Engine.onEvacuations(domains({"a"}));
  CHECK(Harness.Engine.canReachShards(Harness.Now));
  Harness.Engine.onEvacuations(domains({"a", "b", "c"}));
  CHECK(Harness.Engine.canReachShards(Harness.Now));
  Harness.Engine.onEvacuations({});
  Harness.Listed.clear();
  Harness.announce();
  CHECK_FALSE(Harness.Engine.canReachShards(Harness.Now));
}

// Guards against probes that reach evacuated servers, and against servers that
// stay unreachable because nothing probed them after the evacuation.
TEST_CASE("evacuated servers are not probed", "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 1);
  Harness.announce();
  Harness.sendRequest("one.example", "/one/x", 100ms);
  for (const SendAttempt &Sent : Harness.takeActions<SendAttempt>()) {
    Harness.failAttempt(Sent, AttemptFailure::NotSent);
  }
  Harness.advanceTime(10s);
  Harness.Engine.onEvacuations(domains({"a"}));
  Harness.takeActions<forward::ProbeConnection>();
  Harness.Engine.probeServers(Harness.Now, Harness.Out);
  CHECK(Harness.takeActions<forward::ProbeConnection>().empty());
  Harness.Engine.onEvacuations({});
  Harness.Engine.probeServers(Harness.Now, Harness.Out);
  CHECK(Harness.takeActions<forward::ProbeConnection>().size() == 1);
}

// Guards against a relayed call that reaches evacuated servers through a peer.
TEST_CASE("a relayed call obeys the evacuation", "[placement]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.Engine.onEvacuations(domains({"a", "b", "c"}));
  forward::CallRequest Request;
  Request.Host = "one.example";
  Request.Target = "/one/x";
  Request.Remaining = 1s;
  Request.Relayed = true;
  Harness.Engine.onRequest(Harness.Now, Request, Harness.Out);
  CHECK(Harness.takeActions<SendAttempt>().empty());
  auto Ended = Harness.takeActions<RespondCall>();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Summary.Unsent == Ended[0].Summary.Shards);
}

// Guards against odd store items that hide the others or stop all work.
TEST_CASE("evacuations of unknown domains change nothing", "[placement]") {
  ForwardHarness Harness = ForwardHarness::singleService(true);
  Harness.Engine.onEvacuations(
      domains({std::string(100'000, 'x'), "", "a/b", "\xff\n", "b"}));
  auto Sent = serve(Harness, "one", 30);
  CHECK(Sent["a"] + Sent["c"] == 30);
  CHECK(Harness.Engine.evacuationLoad().Servers == 1);
}

// Guards against an evacuation that outlasts its end while the store is
// unreliable, and against one that ends early because the store was restored
// from an older copy.
TEST_CASE("an evacuation ends when it is deleted", "[placement][view]") {
  discovery::View Known;
  base::TimePoint Now{1h};
  REQUIRE(Known.apply(Now, {{1, 5}, {1, 5}, {}, true, {evacuation("a", 1, 5)}},
                      RemovalPolicy::Deferred));
  CHECK(Known.items(ItemKind::Evacuation).size() == 1);
  SECTION("by the operator, at once, also at a peer") {
    discovery::View Peer;
    REQUIRE(Peer.apply(Now, Known.updateSince({}), RemovalPolicy::Deferred));
    CHECK(Peer.items(ItemKind::Evacuation).size() == 1);
    REQUIRE(Known.apply(
        Now, {{1, 6}, {1, 6}, {1, 5}, false, {evacuation("a", 1, 6, true)}},
        RemovalPolicy::Deferred));
    CHECK(Known.items(ItemKind::Evacuation).empty());
    auto Passed = net::decodeUpdate(
        net::encodeUpdate(Known.updateSince(Peer.position())));
    REQUIRE(Passed);
    REQUIRE(Peer.apply(Now, Passed.value(), RemovalPolicy::Deferred));
    CHECK(Peer.items(ItemKind::Evacuation).empty());
  }
  SECTION("by a restored store that lacks it, after a delay") {
    REQUIRE(Known.apply(Now, {{2, 4}, {2, 4}, {}, true, {}},
                        RemovalPolicy::Immediate));
    CHECK(Known.items(ItemKind::Evacuation).size() == 1);
    CHECK(Known.expire(Now + discovery::View::RemovalDelay));
    CHECK(Known.items(ItemKind::Evacuation).empty());
  }
}

// Guards against requests to a server after it has stated that it leaves; the
// store may list it as ready for seconds.
TEST_CASE("a server that states that it leaves gets no more requests",
          "[placement]") {
  for (uint64_t StartedAt : {uint64_t(0), uint64_t(1)}) {
    ForwardHarness Harness;
    Harness.publish({ForwardHarness::singleServiceRoute(true)});
    Harness.addReplicas("one", 2);
    Harness.Listed[0].StartedAt = StartedAt;
    Harness.announce();
    Harness.sendRequest("one.example", "/one/x");
    auto First = Harness.takeActions<SendAttempt>();
    REQUIRE(First.size() == 1);
    REQUIRE(domainOf(First[0]) == "a");
    forward::Reply Last = ForwardHarness::successReply("sig");
    Last.ServerLeaving = true;
    Harness.reply(First[0], Last);
    CHECK(Harness.takeActions<forward::LogServerDeclines>().size() == 1);
    CHECK(serve(Harness, "one", 20).count("a") == 0);
    Harness.announce();
    Harness.Now += 90s;
    Harness.announce();
    CHECK(serve(Harness, "one", 20).count("a") == 0);
    Harness.Listed[0].StartedAt = 7;
    Harness.Listed[0].Address = "127.0.0.1:9";
    Harness.announce();
    CHECK(serve(Harness, "one", 20)["a"] > 0);
  }
}

// Guards against requests that wait or are sent when a whole service leaves.
TEST_CASE("requests are refused when all servers state that they leave",
          "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 1);
  Harness.announce();
  Harness.sendRequest("one.example", "/one/x");
  forward::Reply Last = rejection();
  Last.ServerLeaving = true;
  Harness.reply(Harness.takeActions<SendAttempt>().at(0), Last);
  Harness.advanceTime(50ms);
  CHECK_FALSE(onlyRefusal(Harness).MayHaveRun);
  Harness.sendRequest("one.example", "/one/x");
  CHECK(onlyRefusal(Harness).Reason == RefusalReason::NoServer);
  CHECK(Harness.takeActions<SendAttempt>().empty());
}

// Guards against load on a server that has rejected a request and asked to be
// left alone for a while, also while others hold more load than usual.
TEST_CASE("a server that asks for a pause gets nothing until its end",
          "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 2);
  Harness.announce();
  Harness.sendRequest("one.example", "/one/x");
  forward::Reply Rejected = rejection();
  Rejected.RetryAfter = 3s;
  Harness.reply(Harness.takeActions<SendAttempt>().at(0), Rejected);
  auto Retry = Harness.takeActions<SendAttempt>();
  REQUIRE(Retry.size() == 1);
  CHECK(domainOf(Retry[0]) == "b");
  Harness.reply(Retry[0], ForwardHarness::successReply("sig"));
  CHECK(serve(Harness, "one", 1'000).count("a") == 0); // For 2 s.
  Harness.advanceTime(6s); // Its rejection is forgotten, too.
  CHECK(serve(Harness, "one", 20)["a"] > 0);
}

// Guards against callers that wait for their deadline or come back too early
// while all servers of a service have asked for a pause.
TEST_CASE("requests are refused until the first pause ends", "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 2);
  Harness.announce();
  Harness.sendRequest("one.example", "/one/x", 4'000ms);
  forward::Reply Rejected = rejection();
  Rejected.RetryAfter = 8s;
  Harness.reply(Harness.takeActions<SendAttempt>().at(0), Rejected);
  Rejected.RetryAfter = 5s;
  Harness.reply(Harness.takeActions<SendAttempt>().at(0), Rejected);
  Harness.advanceTime(100ms);
  forward::Refusal First = onlyRefusal(Harness);
  CHECK(First.Reason == RefusalReason::Overloaded);
  CHECK_FALSE(First.MayHaveRun);
  REQUIRE(First.RetryAfter);
  CHECK(*First.RetryAfter > 4'800ms);
  CHECK(*First.RetryAfter <= 5s);
  Harness.advanceTime(1s);
  Harness.sendRequest("one.example", "/one/x", 4'000ms);
  forward::Refusal Second = onlyRefusal(Harness);
  CHECK(Second.Reason == RefusalReason::Overloaded);
  CHECK(*Second.RetryAfter > 3'800ms);
  CHECK(*Second.RetryAfter <= 4s);
  CHECK(Harness.takeActions<SendAttempt>().empty());
}

// Guards against a service that is lost for long after a mistaken statement.
TEST_CASE("a pause ends after five minutes at the latest", "[placement]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::singleServiceRoute(true)});
  Harness.addReplicas("one", 1);
  Harness.announce();
  Harness.sendRequest("one.example", "/one/x");
  forward::Reply Rejected = rejection();
  Rejected.RetryAfter = 10min;
  Harness.reply(Harness.takeActions<SendAttempt>().at(0), Rejected);
  Harness.Now += 299s;
  CHECK(serve(Harness, "one", 1).empty());
  Harness.Now += 1s;
  CHECK(serve(Harness, "one", 1).size() == 1);
}

// Guards against requests that leave the regions that operators allow, as first
// attempts, hedges or retries while the allowed servers are slow or fail.
TEST_CASE("a route's requests stay in its regions", "[placement]") {
  ForwardHarness Harness = withRegions({"south", "west"});
  for (int I = 0; I < 40; ++I) {
    Harness.sendRequest("one.example", "/one/x", 1'500ms, I + 1);
    Harness.advanceTime(I % 4 == 0 ? 400ms : 5ms);
    for (const SendAttempt &Sent : Harness.takeActions<SendAttempt>()) {
      CHECK(domainOf(Sent) != "a");
      if (I % 3 == 0) {
        Harness.failAttempt(Sent, AttemptFailure::NotSent);
      } else {
        Harness.reply(Sent, I % 3 == 1 ? rejection()
                                       : ForwardHarness::successReply("sig"));
      }
    }
  }
  CHECK(Harness.Engine.counters().Answers > 0);
}

// Guards against a fallback to other regions when the allowed ones have no
// server, and against a reason that hides this from operators.
TEST_CASE("a route without a server in its regions is refused", "[placement]") {
  SECTION("because no failure domain is in the region") {
    ForwardHarness Harness = withRegions({"east"});
    Harness.sendRequest("one.example", "/one/x");
    forward::Refusal Refused = onlyRefusal(Harness);
    CHECK(Refused.Reason == RefusalReason::NoAllowedRegion);
    CHECK_FALSE(Refused.MayHaveRun);
    CHECK(Harness.takeActions<SendAttempt>().empty());
  }
  SECTION("because regions are unknown") {
    ForwardHarness Harness = withRegions({"south"});
    Harness.Engine.setRegions({});
    Harness.sendRequest("one.example", "/one/x");
    CHECK(onlyRefusal(Harness).Reason == RefusalReason::NoAllowedRegion);
  }
  SECTION("because those in the region are evacuated") {
    ForwardHarness Harness = withRegions({"south"});
    Harness.Engine.onEvacuations(domains({"b"}));
    Harness.sendRequest("one.example", "/one/x");
    CHECK(onlyRefusal(Harness).Reason == RefusalReason::Evacuated);
  }
}

// Guards against a body that a relay carries into a region that is not allowed
// while this instance has lost its links to the servers.
TEST_CASE("a relay stays in the regions of the route", "[placement]") {
  auto RelayedTo = [](std::vector<std::string> Allowed) {
    ForwardHarness Harness = withRegions(std::move(Allowed));
    Harness.Engine.onPeers({{"10.1.0.1:7", base::FailureDomainId("b")},
                            {"10.2.0.1:7", base::FailureDomainId("c")},
                            {"10.3.0.1:7", base::FailureDomainId("unknown")}});
    std::set<std::string> Addresses;
    for (int I = 0; I < 200; ++I) {
      Harness.sendRequest("one.example", "/one/x", 1'000ms, I + 1);
      Harness.advanceTime(20ms);
      Harness.Engine.probeServers(Harness.Now, Harness.Out);
      for (const SendAttempt &Sent : Harness.takeActions<SendAttempt>()) {
        Harness.failAttempt(Sent, AttemptFailure::NotSent);
      }
      for (const auto &Sent : Harness.takeActions<forward::ProbeConnection>()) {
        Harness.Engine.onProbeResult(Harness.Now, Sent.Server, false);
      }
      for (const RelayRequest &Sent : Harness.takeActions<RelayRequest>()) {
        Addresses.insert(Sent.Address);
      }
    }
    return Addresses;
  };
  CHECK(RelayedTo({"south"}) == std::set<std::string>{"10.1.0.1:7"});
  CHECK(RelayedTo({"west", "north"}) == std::set<std::string>{"10.2.0.1:7"});
  CHECK(RelayedTo({"north"}).empty());
  CHECK(RelayedTo({}).size() == 3);
}
