// Parts of the forwarding engine, each by itself.
#include "forward/crash_record_base.h"
#include "forward/merge_func.h"
#include "forward/replica_func.h"
#include "forward/route_table_func.h"
#include "limits/shared_budget_base.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace std::chrono_literals;
using forward::findRoute;
using forward::mergeGreatest;

namespace {

forward::Route route(const std::string &Host, const std::string &Prefix) {
  forward::Route Made;
  Made.Host = Host;
  Made.Prefix = Prefix;
  return Made;
}

/** @param Domains Failure domain of each server.
 * @return Servers "i-0" and so on of service "one", with three slots each. */
std::vector<forward::ServerEntry>
makeEntries(const std::vector<std::string> &Domains) {
  std::vector<forward::ServerEntry> Entries(Domains.size());
  for (size_t I = 0; I < Domains.size(); ++I) {
    Entries[I].Id = base::ServerId("i-" + std::to_string(I));
    Entries[I].Service = "one";
    Entries[I].Address = "127.0.0.1:" + std::to_string(I + 1);
    Entries[I].Domain = base::FailureDomainId(Domains[I]);
    Entries[I].Slots = 3;
  }
  return Entries;
}

std::string record(char First) { return std::string(16, First); }

} // namespace

// Guards against urgent requests that give way, and against requests that give
// way to none.
TEST_CASE("only routes with a more urgent rival at their shards give way",
          "[forward]") {
  forward::RouteTable Table;
  Table.Routes = {route("x.example", "/a/"), route("x.example", "/b/"),
                  route("x.example", "/c/"), route("x.example", "/d/")};
  const char *Names[] = {"sweep", "near", "other", "close"};
  int Targets[] = {150, 60, 150, 100};
  for (size_t I = 0; I < 4; ++I) {
    Table.Routes[I].Name = Names[I];
    Table.Routes[I].Target = std::chrono::milliseconds(Targets[I]);
    Table.Routes[I].Shards = {"s0", "s1"};
  }
  Table.Routes[2].Shards = {"t0"};
  CHECK(forward::findDeferrable(Table) ==
        std::unordered_set<std::string>{"sweep"});
}

// Guards against a request that goes where a shorter prefix or another host
// leads.
TEST_CASE("the longest prefix of the host wins", "[forward]") {
  forward::RouteTable Table;
  Table.Routes = {route("x.example", "/a/"), route("x.example", "/a/b/"),
                  route("y.example", "/a/b/c/")};
  CHECK(findRoute(Table, "x.example", "/a/b/c/d")->Prefix == "/a/b/");
  CHECK(findRoute(Table, "x.example", "/a/d?x=/a/b/")->Prefix == "/a/");
  CHECK(findRoute(Table, "x.example:80", "/a/")->Prefix == "/a/");
  CHECK(findRoute(Table, "x.example", "/a") == nullptr);
  CHECK(findRoute(Table, "z.example", "/a/b/") == nullptr);
}

// Guards against an answer below the smallest share because of rounding.
TEST_CASE("the smallest share of shards is rounded up", "[forward]") {
  forward::Route Wide;
  Wide.Shards.resize(10);
  Wide.MinShardShare = 0.89;
  CHECK(forward::requiredParts(Wide) == 9);
  Wide.MinShardShare = 0.9;
  CHECK(forward::requiredParts(Wide) == 9);
  Wide.Shards.resize(15);
  Wide.MinShardShare = 0.75;
  CHECK(forward::requiredParts(Wide) == 12);
  Wide.MinShardShare = 0;
  CHECK(forward::requiredParts(Wide) == 1);
}

// Guards against records that are dropped as duplicates, compared as signed
// bytes, or cut out of a remainder.
TEST_CASE("the greatest records of all parts are kept", "[forward]") {
  std::string Low = record('a') + record('c') + "rest";
  std::string High = record('\xff') + record('c');
  std::array<std::string_view, 2> Parts = {Low, High};
  CHECK(mergeGreatest(Parts, 3) == record('\xff') + record('c') + record('c'));
  CHECK(mergeGreatest(Parts, 10).size() == 4 * forward::RecordBytes);
  CHECK(mergeGreatest({}, 3).empty());
}

// Guards against extra attempts of all instances together above the common
// limit, whatever their number and however the window slides.
TEST_CASE("instances that share a budget keep its limit", "[forward]") {
  limits::ExtraAttemptLimits Limits{0.2, 54, 10s};
  constexpr size_t Instances = 4;
  constexpr int Steps = 300;
  std::array<limits::SharedBudget, Instances> Budgets;
  base::TimePoint Now{1h};
  std::vector<uint32_t> Extras;
  std::vector<uint32_t> Requests;
  for (int Step = 0; Step < Steps; ++Step) {
    Extras.push_back(0);
    Requests.push_back(0);
    for (limits::SharedBudget &Budget : Budgets) {
      for (int I = 0; I < 4; ++I) {
        Budget.recordRequest(Now);
        ++Requests.back();
        bool Taken = Budget.tryTake(limits::ExtraAttemptKind::Retry, Limits,
                                    Instances, Now);
        Extras.back() += Taken ? 1 : 0;
      }
    }
    Now += 100ms;
  }
  constexpr int Window = 100;
  for (int Begin = 0; Begin + Window <= Steps; ++Begin) {
    double Sent = 0;
    double Asked = 0;
    for (int I = Begin; I < Begin + Window; ++I) {
      Sent += Extras[I];
      Asked += Requests[I];
    }
    REQUIRE(Sent <= Limits.Ratio * Asked + Limits.Slack);
  }
}

// Guards against hedges that leave nothing for retries of failed attempts.
TEST_CASE("hedges leave a reserve for retries", "[forward]") {
  limits::ExtraAttemptLimits Limits{0.2, 0, 10s};
  limits::SharedBudget Budget;
  base::TimePoint Now{1h};
  for (int I = 0; I < 1'000; ++I) {
    Budget.recordRequest(Now);
  }
  while (Budget.tryTake(limits::ExtraAttemptKind::Hedge, Limits, 1, Now)) {
  }
  CHECK(Budget.tryTake(limits::ExtraAttemptKind::Retry, Limits, 1, Now));
}

// Guards against innocent requests in quarantine, and against a guilty one
// that goes on crashing servers.
TEST_CASE("content at crashes of two calls is quarantined", "[forward]") {
  forward::CrashRecord Record;
  base::TimePoint Now{1h};
  forward::ServerKey First(1);
  forward::ServerKey Second(2);
  base::Fingerprint Guilty(10);
  base::Fingerprint Innocent(11);
  Record.recordBroken(Now, First, 1, Guilty);
  Record.recordBroken(Now, First, 2, Innocent);
  Record.recordBroken(Now, Second, 1, Guilty);
  Record.recordUnreachable(Now + 100ms, First);
  Record.recordUnreachable(Now + 100ms, Second);
  CHECK_FALSE(Record.isQuarantined(Now + 100ms, Guilty));
  Record.recordBroken(Now + 1s, First, 3, Guilty);
  Record.recordUnreachable(Now + 1100ms, First);
  CHECK(Record.isQuarantined(Now + 2s, Guilty));
  CHECK_FALSE(Record.isQuarantined(Now + 2s, Innocent));
  CHECK(Record.quarantined(Now + 2s).size() == 1);
}

// Guards against taking answers that are lost on the way for crashes.
TEST_CASE("a broken attempt alone proves no crash", "[forward]") {
  forward::CrashRecord Record;
  base::TimePoint Now{1h};
  for (uint64_t Call = 0; Call < 10; ++Call) {
    Record.recordBroken(Now, forward::ServerKey(Call), Call,
                        base::Fingerprint(1));
  }
  Record.recordUnreachable(Now + 5s, forward::ServerKey(1));
  CHECK_FALSE(Record.isQuarantined(Now + 5s, base::Fingerprint(1)));
}

// Guards against an address that a new lifetime inherits with the old one's
// connections and history.
TEST_CASE("another start time is another lifetime", "[forward]") {
  forward::ServerSet Servers;
  base::TimePoint Now{1h};
  forward::ServerEntry Entry;
  Entry.Id = base::ServerId("i-1");
  Entry.Service = "one";
  Entry.Address = "127.0.0.1:1";
  Entry.StartedAt = 5;
  CHECK(Servers.apply(Now, {Entry}).empty());
  forward::ServerKey Before = Servers.pool("one").Servers.front()->Key;
  Entry.Leaving = true;
  CHECK(Servers.apply(Now, {Entry}).empty());
  CHECK(Servers.pool("one").Servers.front()->Entry.Leaving);
  Entry.StartedAt = 6;
  Entry.Leaving = false;
  REQUIRE(Servers.apply(Now, {Entry}).size() == 1);
  CHECK(Servers.pool("one").Servers.front()->Key != Before);
  CHECK(Servers.find(Before) == nullptr);
  CHECK(Servers.apply(Now, {}).size() == 1);
  CHECK(Servers.pool("one").Servers.empty());
}

// Guards against sending more work to a server that has paused.
TEST_CASE("a server whose oldest attempt is overdue is avoided", "[forward]") {
  forward::ServerSet Servers;
  base::TimePoint Now{1h};
  Servers.apply(Now, makeEntries({"a", "b"}));
  forward::ServicePool &Pool = Servers.pool("one");
  base::Random Generator(1);
  forward::ReplicaRequest Wanted;
  Wanted.Now = Now;
  Wanted.Expected = 20ms;
  Wanted.Domain = base::FailureDomainId("a");
  Wanted.MaxOutstanding = 6;
  forward::Server *Local = forward::chooseReplica(Pool, Wanted, Generator);
  REQUIRE(Local->Entry.Id.Value == "i-0");
  Local->Outstanding.push_back({{1, 0, 0}, Now, 20ms});
  Wanted.Now = Now + 10ms;
  CHECK(forward::chooseReplica(Pool, Wanted, Generator) == Local);
  Wanted.Now = Now + 80ms;
  CHECK(forward::isStalled(Wanted.Now, *Local));
  CHECK(forward::chooseReplica(Pool, Wanted, Generator) != Local);
  forward::settleAttempt(Wanted.Now, *Local, {1, 0, 0},
                         forward::AttemptOutcome::Succeeded);
  CHECK_FALSE(forward::isStalled(Wanted.Now, *Local));
}

// Pattern: servers refuse a part of their requests although they are idle.
// Guards against choosing them again and again because they reply fast.
TEST_CASE("a server that refuses requests is avoided", "[forward]") {
  forward::ServerSet Servers;
  base::TimePoint Now{1h};
  Servers.apply(Now, makeEntries({"a", "a"}));
  forward::ServicePool &Pool = Servers.pool("one");
  base::Random Generator(1);
  forward::ReplicaRequest Wanted;
  Wanted.Expected = 20ms;
  Wanted.Domain = base::FailureDomainId("a");
  Wanted.MaxOutstanding = 6;
  int Refusals = 0;
  for (uint64_t Call = 0; Call < 200; ++Call) {
    Wanted.Now = Now;
    forward::Server *Chosen = forward::chooseReplica(Pool, Wanted, Generator);
    REQUIRE(Chosen != nullptr);
    Chosen->Outstanding.push_back({{Call, 0, 0}, Now, 20ms});
    bool Refuses = Chosen->Entry.Id.Value == "i-0" && Call % 5 < 2;
    Now += Refuses ? 1ms : 20ms;
    Refusals += Refuses ? 1 : 0;
    forward::settleAttempt(Now, *Chosen, {Call, 0, 0},
                           Refuses ? forward::AttemptOutcome::Shed
                                   : forward::AttemptOutcome::Succeeded);
    Now += 40ms;
  }
  CHECK(Refusals < 10);
}
