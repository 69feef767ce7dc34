// Tests of uneven instances and servers. The loads are those of the patterns
// that they name; all run on virtual time or without time.
#include "forward/server_subset_func.h"
#include "forward_harness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

/** A fleet of instances in four failure domains and one service whose servers
 * are in three of them. */
struct Fleet {
  size_t Instances = 0;
  uint32_t Cap = 0;
  size_t Shards = 36;
  size_t Replicas = 3;
};

/** Instances by server id. */
using Connections = std::map<std::string, std::set<size_t>>;

std::string domainName(size_t Index) { return "d" + std::to_string(Index % 4); }

forward::ServerSet makeServers(const Fleet &Size) {
  std::vector<forward::ServerEntry> Entries;
  for (size_t Shard = 0; Shard < Size.Shards; ++Shard) {
    for (size_t I = 0; I < Size.Replicas; ++I) {
      forward::ServerEntry Entry;
      Entry.Service = "s" + std::to_string(Shard);
      Entry.Id = base::ServerId(Entry.Service + "-" + std::to_string(I));
      Entry.Domain = base::FailureDomainId(domainName(I % 3));
      Entries.push_back(Entry);
    }
  }
  forward::ServerSet Servers;
  Servers.apply(base::TimePoint(1h), Entries);
  return Servers;
}

/** Adds the servers that an instance chooses, given its count of instances. */
void connect(const Fleet &Size, size_t Instance, size_t Counted,
             Connections &Result) {
  forward::ServerSet Servers = makeServers(Size);
  forward::SubsetCriteria Criteria;
  Criteria.Instance = "front-" + std::to_string(Instance);
  Criteria.Domain = base::FailureDomainId(domainName(Instance));
  Criteria.Instances = Counted;
  Criteria.DomainInstances = (Counted + 3) / 4;
  for (forward::ServicePool *Pool : Servers.pools()) {
    Pool->MaxConnections = Size.Cap;
    forward::assignServers(*Pool, Criteria);
    std::set<std::string> Domains;
    size_t Assigned = 0;
    for (const forward::Server *Entry : Pool->Servers) {
      if (Entry->Assigned) {
        ++Assigned;
        Domains.insert(Entry->Entry.Domain.Value);
        Result[Entry->Entry.Id.Value].insert(Instance);
      }
    }
    CHECK(Assigned >= 2);
    CHECK(Domains.size() >= 2);
  }
}

Connections connectAll(const Fleet &Size, size_t Counted) {
  Connections Result;
  for (size_t I = 0; I < Size.Instances; ++I) {
    connect(Size, I, Counted, Result);
  }
  return Result;
}

size_t mostConnected(const Connections &Found) {
  size_t Most = 0;
  for (const auto &[Id, Instances] : Found) {
    Most = std::max(Most, Instances.size());
  }
  return Most;
}

double meanConnected(const Connections &Found) {
  double Sum = 0;
  for (const auto &[Id, Instances] : Found) {
    Sum += static_cast<double>(Instances.size());
  }
  return Sum / static_cast<double>(Found.size());
}

/** @return Connections of the instances in Kept that are in one of both, but
 * not in the other. */
size_t countMoved(const Connections &Before, const Connections &After,
                  size_t Kept) {
  size_t Moved = 0;
  for (const auto &[Id, Instances] : Before) {
    for (size_t I = 0; I < Kept; ++I) {
      Moved += Instances.count(I) != After.at(Id).count(I) ? 1 : 0;
    }
  }
  return Moved;
}

} // namespace

// Load: instances that all use 36 shards, with caps of seven eighths of their
// number. Guards against servers that reset connections beyond their cap, and
// against an instance that can use one server of a shard only.
TEST_CASE("the connections of all instances stay within the cap of a server",
          "[uneven]") {
  size_t Instances = GENERATE(85, 118, 300, 680);
  Fleet Size{Instances, static_cast<uint32_t>(Instances * 7 / 8)};
  Connections Found = connectAll(Size, Instances);
  CAPTURE(Instances, Size.Cap, mostConnected(Found), meanConnected(Found));
  CHECK(Found.size() == Size.Shards * Size.Replicas);
  CHECK(mostConnected(Found) < Size.Cap);
  CHECK(static_cast<double>(mostConnected(Found)) <=
        1.2 * meanConnected(Found));
}

// Guards against fewer connections than before where the cap is not reached.
TEST_CASE("all servers are used if each instance may connect to them",
          "[uneven]") {
  Fleet Size{24, 24};
  Connections Found = connectAll(Size, Size.Instances);
  for (const auto &[Id, Instances] : Found) {
    CHECK(Instances.size() == Size.Instances);
  }
}

// Load: an instance is added to 85. The others give up as many connections as
// it takes, within the deviation of the hashes. Guards against new connections
// of all instances when the fleet changes.
TEST_CASE("a new instance moves few connections of the others", "[uneven]") {
  Fleet Size{85, 74};
  Connections Before = connectAll(Size, 85);
  Connections After = connectAll(Size, 86);
  double Share = meanConnected(Before) * 108 / 85;
  size_t Moved = countMoved(Before, After, 85);
  CAPTURE(Moved, Share);
  CHECK(static_cast<double>(Moved) <= 1.2 * Share);
}

// Load: views of the membership that miss up to a tenth of the instances.
// Guards against a cap that holds only while all instances know each other.
TEST_CASE("instances with partial views stay within the cap", "[uneven]") {
  Fleet Size{85, 74};
  Connections Found;
  for (size_t I = 0; I < Size.Instances; ++I) {
    connect(Size, I, 77 + I % 9, Found);
  }
  CAPTURE(mostConnected(Found));
  CHECK(mostConnected(Found) < Size.Cap);
}

// Load: the third replica of each shard is replaced by one with another id.
// Guards against instances that connect to other old servers as well.
TEST_CASE("a replaced server moves its own connections only", "[uneven]") {
  Fleet Size{85, 74, 1};
  size_t Moved = 0;
  for (size_t I = 0; I < Size.Instances; ++I) {
    forward::ServerSet Servers = makeServers(Size);
    forward::ServicePool &Pool = Servers.pool("s0");
    Pool.MaxConnections = Size.Cap;
    forward::SubsetCriteria Criteria;
    Criteria.Instance = "front-" + std::to_string(I);
    Criteria.Domain = base::FailureDomainId(domainName(I));
    Criteria.Instances = Size.Instances;
    Criteria.DomainInstances = 22;
    forward::assignServers(Pool, Criteria);
    bool First = Pool.Servers[0]->Assigned;
    bool Second = Pool.Servers[1]->Assigned;
    Pool.Servers[2]->Entry.Id = base::ServerId("s0-new");
    forward::assignServers(Pool, Criteria);
    Moved += First != Pool.Servers[0]->Assigned ? 1 : 0;
    Moved += Second != Pool.Servers[1]->Assigned ? 1 : 0;
  }
  CAPTURE(Moved);
  // The server's share is the connections of a third of all places.
  CHECK(Moved <= Size.Instances * 2 / 3);
}

namespace {

/** @return An engine that is one of 85 instances, with one shard of three
 * servers that accept 30 connections each. */
ForwardHarness manyInstances() {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::fanOutRoute(1, 1)});
  Harness.addReplicas("s0");
  Harness.Engine.onInstances(85);
  Harness.Engine.onDomainInstances(14);
  Harness.announce();
  return Harness;
}

/** Sends requests one after the other. @return The servers used. */
std::set<std::string> serversUsed(ForwardHarness &Harness, int Requests) {
  std::set<std::string> Used;
  for (int I = 0; I < Requests; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
    Harness.advanceTime(5ms);
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      Used.insert(Sent.ServerId.Value);
      Harness.reply(Sent, ForwardHarness::successReply("sig"));
    }
    Harness.takeActions<forward::RespondCall>();
  }
  return Used;
}

} // namespace

// Load: both assigned servers of a shard refuse connections, then accept them
// again. Guards against requests that fail although the third server works,
// and against a connection to it that stays open and counts towards its cap.
TEST_CASE("an unassigned server is used only while the others are unavailable",
          "[uneven]") {
  ForwardHarness Harness = manyInstances();
  std::set<std::string> Assigned = serversUsed(Harness, 40);
  REQUIRE(Harness.Engine.assignedServers() == 2);
  CHECK(Assigned.size() <= 2);
  std::map<forward::ServerKey, std::string> Sent;
  for (int I = 0; I < 3; ++I) {
    Harness.sendRequest("wide.example", "/wide/x");
    for (int Round = 0; Round < 3; ++Round) {
      for (const auto &Next : Harness.takeActions<forward::SendAttempt>()) {
        Sent[Next.Server] = Next.ServerId.Value;
        if (Harness.Engine.counters().Borrowed == 0) {
          Harness.failAttempt(Next, forward::AttemptFailure::NotSent);
        } else {
          Harness.reply(Next, ForwardHarness::successReply("sig"));
        }
      }
      Harness.advanceTime(30ms);
    }
  }
  CHECK(Harness.Engine.counters().Borrowed >= 1);
  Harness.takeActions<forward::CloseServerConnections>();
  Harness.Engine.probeServers(Harness.Now, Harness.Out);
  auto Closed = Harness.takeActions<forward::CloseServerConnections>();
  REQUIRE(Closed.size() == 1);
  CHECK(Sent.count(Closed[0].Server) == 1);
  CHECK(Assigned.count(Sent[Closed[0].Server]) == 0);
}
