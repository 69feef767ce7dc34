// Sync of the list of backend servers between instances.
#include "virtual_fleet.h"

#include "net/peer_codec_func.h"
#include "peers/server_list_sync_base.h"
#include "routing/directory_base.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using peers::ServerListSync;

namespace {

const base::TimePoint Start = base::TimePoint(1h);
const base::InstanceId PeerOne("one");
const base::InstanceId PeerTwo("two");

/** Builds a list of servers with realistic names, three for each service. */
peers::ServerList makeServerList(size_t Count, uint64_t Version) {
  peers::ServerList List;
  List.Version = Version;
  List.Instances = 4;
  for (size_t I = 0; I < Count; ++I) {
    peers::ServerEntry Entry;
    Entry.Service = base::ServiceId("stock-" + std::to_string(I / 3));
    Entry.Server.Server =
        base::ServerId(Entry.Service.Value + "-" + std::to_string(I % 3));
    Entry.Server.Address = "10.42." + std::to_string(I / 250) + "." +
                           std::to_string(I % 250) + ":18080";
    Entry.Server.Domain =
        base::FailureDomainId("domain-" + std::to_string(I % 7));
    // Wall-clock time in microseconds, as in incarnations of real processes.
    Entry.Server.Process = base::Incarnation(1'700'000'000'000'000 + I);
    List.Servers.push_back(std::move(Entry));
  }
  return List;
}

/** Pulls the list of Source until it is complete or MaxParts parts have been
 * requested. */
std::optional<peers::ServerList>
pull(base::TimePoint &Now, ServerListSync &Puller, ServerListSync &Source,
     const base::InstanceId &Name, size_t MaxParts) {
  Puller.onAdvertised(Now, Name, Source.version());
  for (size_t Parts = 0; Parts < MaxParts; Now += 20ms) {
    auto Request = Puller.tick(Now);
    if (!Request) {
      continue;
    }
    ++Parts;
    REQUIRE(Request->Peer == Name);
    if (auto Push = Source.onPull(Now, Request->Pull)) {
      if (auto Complete = Puller.onPush(Now, Name, *Push)) {
        return Complete;
      }
    }
  }
  return std::nullopt;
}

/** Counts the requests of an instance within a time span. */
size_t countRequests(base::TimePoint &Now, ServerListSync &Puller,
                     base::Duration Span) {
  size_t Count = 0;
  for (base::TimePoint End = Now + Span; Now < End; Now += 20ms) {
    Count += Puller.tick(Now) ? 1 : 0;
  }
  return Count;
}

} // namespace

// Guards against lists that arrive incomplete or exceed the limit on control
// traffic.
TEST_CASE("a list of 3200 servers is sent in parts within 10 KB per second",
          "[peers]") {
  ServerListSync Source(Start);
  Source.setPlatformList(makeServerList(3'200, 9));
  ServerListSync Puller(Start);
  base::TimePoint Now = Start;
  auto Complete = pull(Now, Puller, Source, PeerOne, 60);
  REQUIRE(Complete);
  CHECK(Complete->Version == 9);
  CHECK(Complete->Instances == 4);
  CHECK(Complete->Servers.size() == 3'200);
  INFO("complete after " << base::toMilliseconds(Now - Start) << " ms");
  CHECK(Now - Start <= 35s);
  peers::Envelope Message;
  Message.Sender = VirtualFleet::makeMember(1, 1);
  Message.Recipient = PeerOne;
  peers::Envelope Empty = Message;
  Empty.Content = peers::ServerPush{};
  size_t Frame = net::encodePeerFrame(Empty, "key").size();
  size_t Total = 0;
  size_t Largest = 0;
  ServerListSync Sender(Start);
  Sender.setPlatformList(makeServerList(3'200, 9));
  uint32_t First = 0;
  size_t Parts = 0;
  while (First < 3'200) {
    Now += 1s;
    auto Push = Sender.onPull(Now, {9, First});
    REQUIRE(Push);
    First += static_cast<uint32_t>(Push->Servers.size());
    Message.Content = std::move(*Push);
    size_t Bytes = net::encodePeerFrame(Message, "key").size();
    Total += Bytes;
    Largest = std::max(Largest, Bytes);
    ++Parts;
  }
  INFO("bytes: " << Total << " in " << Parts << " parts, largest " << Largest
                 << ", frame without servers " << Frame << ", per server "
                 << static_cast<double>(Total) / 3'200);
  CHECK(Total < size_t{3'200} * 64);
  CHECK(Largest * (1s / peers::ServerPushInterval + 0.5) <= 10'000);
}

// Guards against pulls of a list that is already known and against periodic
// pulls.
TEST_CASE("a list is pulled only when it is missing or changed", "[peers]") {
  ServerListSync Source(Start);
  Source.setPlatformList(makeServerList(9, 5));
  ServerListSync Puller(Start);
  base::TimePoint Now = Start;
  Puller.onAdvertised(Now, PeerOne, 5);
  CHECK(countRequests(Now, Puller, 1900ms) ==
        0); // The platform may still reply.
  REQUIRE(pull(Now, Puller, Source, PeerOne, 2));
  Puller.onAdvertised(Now, PeerOne, 5);
  Puller.onAdvertised(Now, PeerTwo, 4);
  CHECK(countRequests(Now, Puller, 10s) == 0);
  Source.setPlatformList(makeServerList(12, 6));
  auto Changed = pull(Now, Puller, Source, PeerOne, 2);
  REQUIRE(Changed);
  CHECK(Changed->Servers.size() == 12);
  // After a read from the platform, lists of peers are ignored.
  Puller.setPlatformList(makeServerList(3, 2));
  CHECK(Puller.version() == 2);
  Puller.onAdvertised(Now, PeerOne, 6);
  CHECK(countRequests(Now, Puller, 10s) == 0);
}

// Guards against a peer's list that replaces the one of the platform.
TEST_CASE("the platform's list ends a pull", "[peers]") {
  ServerListSync Source(Start);
  Source.setPlatformList(makeServerList(9, 5));
  ServerListSync Puller(Start);
  base::TimePoint Now = Start + 5s;
  Puller.onAdvertised(Now, PeerOne, 5);
  auto Request = Puller.tick(Now);
  REQUIRE(Request);
  Puller.setPlatformList(makeServerList(3, 2));
  CHECK_FALSE(Puller.onPush(Now, PeerOne, *Source.onPull(Now, Request->Pull)));
  CHECK(Puller.version() == 2);
}

// Guards against a pull that fails when its first peer stops replying.
TEST_CASE("a pull continues from another peer", "[peers]") {
  ServerListSync First(Start);
  ServerListSync Second(Start);
  peers::ServerList List = makeServerList(100, 5);
  First.setPlatformList(List);
  // Replicas of the platform may list servers in different orders.
  std::reverse(List.Servers.begin(), List.Servers.end());
  Second.setPlatformList(List);
  ServerListSync Puller(Start);
  base::TimePoint Now = Start + 2s;
  REQUIRE_FALSE(pull(Now, Puller, First, PeerOne, 1));
  Puller.onAdvertised(Now, PeerTwo, 5);
  auto Request = Puller.tick(Now + 500ms);
  REQUIRE(Request);
  CHECK(Request->Peer == PeerOne); // Its timeout has not expired yet.
  Now += 2s;
  auto Complete = pull(Now, Puller, Second, PeerTwo, 1);
  REQUIRE(Complete);
  std::set<base::ServerId> Distinct;
  for (const peers::ServerEntry &Entry : Complete->Servers) {
    Distinct.insert(Entry.Server.Server);
  }
  CHECK(Distinct.size() == 100);
}

// Guards against a list assembled from parts of two versions.
TEST_CASE("a list that changes during a pull is pulled again", "[peers]") {
  ServerListSync Source(Start);
  Source.setPlatformList(makeServerList(100, 5));
  ServerListSync Puller(Start);
  base::TimePoint Now = Start + 2s;
  REQUIRE_FALSE(pull(Now, Puller, Source, PeerOne, 1));
  Source.setPlatformList(makeServerList(70, 6));
  auto Complete = pull(Now, Puller, Source, PeerOne, 4);
  REQUIRE(Complete);
  CHECK(Complete->Version == 6);
  CHECK(Complete->Servers.size() == 70);
}

// Guards against overload of a peer by the pulls of restarted instances.
TEST_CASE("an instance serves pulls at a bounded rate", "[peers]") {
  ServerListSync Source(Start);
  Source.setPlatformList(makeServerList(3'200, 9));
  size_t Served = 0;
  for (base::TimePoint Now = Start; Now < Start + 10s; Now += 10ms) {
    Served += Source.onPull(Now, {9, 0}) ? 1 : 0;
  }
  CHECK(Served == 25);
}

// Guards against using a leaving server because the fact arrived before the
// list that names the server.
TEST_CASE("facts apply to servers of a list received later", "[peers]") {
  VirtualFleet Fleet(3);
  for (size_t I = 0; I < 3; ++I) {
    Fleet.Nodes[I].Node->onServers(makeServerList(9, 5));
  }
  Fleet.run(5s);
  query::PublishFact Fact;
  Fact.Server = base::ServerId("stock-0-1");
  Fact.Process = base::Incarnation(1);
  Fact.Lifetime = 10min;
  Fleet.Nodes[0].Node->publish(Fleet.Now, Fact);
  Fleet.run(2s);
  Fleet.Nodes[1].Down = true;
  Fleet.run(1s);
  Fleet.Nodes[1].LearntFacts.clear();
  Fleet.start(1);
  auto Elapsed =
      Fleet.runUntil([&] { return !Fleet.Nodes[1].ServerLists.empty(); }, 10s);
  REQUIRE(Elapsed);
  CHECK(*Elapsed >= 2s);
  CHECK(Fleet.Nodes[1].ServerLists[0].second.Servers.size() == 9);
  Fleet.run(100ms);
  size_t Before = Fleet.Nodes[1].ServerLists[0].first;
  REQUIRE(Before >= 1); // Received while the server was unknown.
  REQUIRE(Fleet.Nodes[1].LearntFacts.size() > Before);
  CHECK(Fleet.Nodes[1].LearntFacts[Before].second.Server == Fact.Server);
  CHECK(Fleet.Nodes[0].ServerLists.empty());
  CHECK(Fleet.Nodes[1].Node->counters().ServerPulls == 1);
}

// Guards against an outdated list that brings back a server that has left.
TEST_CASE("a server that left stays leaving if a list names it again",
          "[routing]") {
  routing::Directory Known(routing::Policy{}, 3);
  routing::ServerListing Entry = makeServerList(1, 1).Servers[0].Server;
  Known.applyList(Start, {Entry});
  REQUIRE(Known.markLeaving(Entry.Server, Entry.Process));
  Known.applyList(Start, {});
  Known.applyList(Start, {Entry});
  CHECK(Known.servers()[0].Phase == routing::ServerPhase::Leaving);
  Known.applyList(Start, {});
  Known.applyList(Start, {Entry});
  CHECK(Known.servers()[0].Phase == routing::ServerPhase::Leaving);
  Entry.Process.Value += 1;
  Known.applyList(Start, {Entry});
  CHECK(Known.servers()[0].Phase == routing::ServerPhase::Unknown);
}

// Guards against fields of a list that are lost in encoding or decoding.
TEST_CASE("parts of a server list survive encoding and decoding",
          "[transport]") {
  ServerListSync Source(Start);
  peers::ServerList List = makeServerList(3, 5);
  List.Servers[1].Server.Leaving = true;
  List.Servers[2].Server.Domain = base::FailureDomainId();
  Source.setPlatformList(List);
  peers::Envelope Message;
  Message.Sender = VirtualFleet::makeMember(1, 1);
  Message.Recipient = PeerOne;
  Message.ServerListVersion = 5;
  Message.Content = *Source.onPull(Start, {5, 0});
  auto Result =
      net::decodePeerFrame(net::encodePeerFrame(Message, "key"), "key");
  REQUIRE(Result.has_value());
  CHECK(Result.value().ServerListVersion == 5);
  const auto &Push = std::get<peers::ServerPush>(Result.value().Content);
  CHECK(Push.Version == 5);
  CHECK(Push.Instances == 4);
  CHECK(Push.Total == 3);
  REQUIRE(Push.Servers.size() == 3);
  for (size_t I = 0; I < 3; ++I) {
    const routing::ServerListing &Sent = List.Servers[I].Server;
    const routing::ServerListing &Decoded = Push.Servers[I].Server;
    CHECK(Push.Servers[I].Service == List.Servers[I].Service);
    CHECK(Decoded.Server == Sent.Server);
    CHECK(Decoded.Address == Sent.Address);
    CHECK(Decoded.Domain == Sent.Domain);
    CHECK(Decoded.Process == Sent.Process);
    CHECK(Decoded.Leaving == Sent.Leaving);
  }
  Message.Content = peers::ServerPull{5, 2};
  Result = net::decodePeerFrame(net::encodePeerFrame(Message, "key"), "key");
  REQUIRE(Result.has_value());
  CHECK(std::get<peers::ServerPull>(Result.value().Content).First == 2);
}
