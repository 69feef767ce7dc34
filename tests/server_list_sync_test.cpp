// Lists of backend servers that instances pull from peers.
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
const base::InstanceId One("one");
const base::InstanceId Two("two");

/** A list of servers named as an operator would, three to a service. */
peers::ServerList listOf(size_t Count, uint64_t Version) {
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
    // A wall clock in microseconds, as incarnations of real processes are.
    Entry.Server.Process = base::Incarnation(1'700'000'000'000'000 + I);
    List.Servers.push_back(std::move(Entry));
  }
  return List;
}

/** Runs a pull of one instance at another until it ends or asks no more. */
std::optional<peers::ServerList>
pull(base::TimePoint &Now, ServerListSync &Asker, ServerListSync &Holder,
     const base::InstanceId &Name, size_t MaxParts) {
  Asker.onShown(Now, Name, Holder.version());
  for (size_t Parts = 0; Parts < MaxParts; Now += 20ms) {
    auto Ask = Asker.tick(Now);
    if (!Ask) {
      continue;
    }
    ++Parts;
    REQUIRE(Ask->Peer == Name);
    if (auto Push = Holder.onPull(Now, Ask->Pull)) {
      if (auto Whole = Asker.onPush(Now, Name, *Push)) {
        return Whole;
      }
    }
  }
  return std::nullopt;
}

/** Asks of an instance within a span of time. */
size_t asks(base::TimePoint &Now, ServerListSync &Asker, base::Duration Span) {
  size_t Count = 0;
  for (base::TimePoint End = Now + Span; Now < End; Now += 20ms) {
    Count += Asker.tick(Now) ? 1 : 0;
  }
  return Count;
}

} // namespace

// Guards against lists that arrive incomplete or cost more than control may.
TEST_CASE("a list of 3200 servers comes in parts within 10 KB per second",
          "[peers]") {
  ServerListSync Holder(Start);
  Holder.setListed(listOf(3'200, 9));
  ServerListSync Asker(Start);
  base::TimePoint Now = Start;
  auto Whole = pull(Now, Asker, Holder, One, 60);
  REQUIRE(Whole);
  CHECK(Whole->Version == 9);
  CHECK(Whole->Instances == 4);
  CHECK(Whole->Servers.size() == 3'200);
  INFO("whole after " << base::toMilliseconds(Now - Start) << " ms");
  CHECK(Now - Start <= 35s);
  peers::Envelope Message;
  Message.Sender = VirtualFleet::member(1, 1);
  Message.Recipient = One;
  peers::Envelope Empty = Message;
  Empty.Content = peers::ServerPush{};
  size_t Frame = net::encodePeerFrame(Empty, "key").size();
  size_t Total = 0;
  size_t Largest = 0;
  ServerListSync Sender(Start);
  Sender.setListed(listOf(3'200, 9));
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

// Guards against pulls while the list is known, and against periodic ones.
TEST_CASE("a list is pulled only when it is missing or changed", "[peers]") {
  ServerListSync Holder(Start);
  Holder.setListed(listOf(9, 5));
  ServerListSync Asker(Start);
  base::TimePoint Now = Start;
  Asker.onShown(Now, One, 5);
  CHECK(asks(Now, Asker, 1900ms) == 0); // The platform may answer yet.
  REQUIRE(pull(Now, Asker, Holder, One, 2));
  Asker.onShown(Now, One, 5);
  Asker.onShown(Now, Two, 4);
  CHECK(asks(Now, Asker, 10s) == 0);
  Holder.setListed(listOf(12, 6));
  auto Changed = pull(Now, Asker, Holder, One, 2);
  REQUIRE(Changed);
  CHECK(Changed->Servers.size() == 12);
  // Once the platform has been read, its word is enough.
  Asker.setListed(listOf(3, 2));
  CHECK(Asker.version() == 2);
  Asker.onShown(Now, One, 6);
  CHECK(asks(Now, Asker, 10s) == 0);
}

// Guards against a peer's list that arrives after the platform's.
TEST_CASE("the platform's list ends a pull", "[peers]") {
  ServerListSync Holder(Start);
  Holder.setListed(listOf(9, 5));
  ServerListSync Asker(Start);
  base::TimePoint Now = Start + 5s;
  Asker.onShown(Now, One, 5);
  auto Ask = Asker.tick(Now);
  REQUIRE(Ask);
  Asker.setListed(listOf(3, 2));
  CHECK_FALSE(Asker.onPush(Now, One, *Holder.onPull(Now, Ask->Pull)));
  CHECK(Asker.version() == 2);
}

// Guards against a pull that ends with the peer that it began with.
TEST_CASE("another peer goes on with a list", "[peers]") {
  ServerListSync First(Start);
  ServerListSync Second(Start);
  peers::ServerList List = listOf(100, 5);
  First.setListed(List);
  // The platform's replicas need not list in the same order.
  std::reverse(List.Servers.begin(), List.Servers.end());
  Second.setListed(List);
  ServerListSync Asker(Start);
  base::TimePoint Now = Start + 2s;
  REQUIRE_FALSE(pull(Now, Asker, First, One, 1));
  Asker.onShown(Now, Two, 5);
  auto Ask = Asker.tick(Now + 500ms);
  REQUIRE(Ask);
  CHECK(Ask->Peer == One); // It has not failed yet.
  Now += 2s;
  auto Whole = pull(Now, Asker, Second, Two, 1);
  REQUIRE(Whole);
  std::set<base::ServerId> Distinct;
  for (const peers::ServerEntry &Entry : Whole->Servers) {
    Distinct.insert(Entry.Server.Server);
  }
  CHECK(Distinct.size() == 100);
}

// Guards against a list that is put together from two versions.
TEST_CASE("a list that changes during a pull is pulled anew", "[peers]") {
  ServerListSync Holder(Start);
  Holder.setListed(listOf(100, 5));
  ServerListSync Asker(Start);
  base::TimePoint Now = Start + 2s;
  REQUIRE_FALSE(pull(Now, Asker, Holder, One, 1));
  Holder.setListed(listOf(70, 6));
  auto Whole = pull(Now, Asker, Holder, One, 4);
  REQUIRE(Whole);
  CHECK(Whole->Version == 6);
  CHECK(Whole->Servers.size() == 70);
}

// Guards against a peer that restarted instances overload with pulls.
TEST_CASE("an instance serves pulls at a bounded rate", "[peers]") {
  ServerListSync Holder(Start);
  Holder.setListed(listOf(3'200, 9));
  size_t Served = 0;
  for (base::TimePoint Now = Start; Now < Start + 10s; Now += 10ms) {
    Served += Holder.onPull(Now, {9, 0}) ? 1 : 0;
  }
  CHECK(Served == 25);
}

// Guards against work for a server whose leaving was told before the list that
// names it arrived.
TEST_CASE("facts hold for the servers of a later list", "[peers]") {
  VirtualFleet Fleet(3);
  for (size_t I = 0; I < 3; ++I) {
    Fleet.Places[I].Node->onServers(listOf(9, 5));
  }
  Fleet.run(5s);
  query::PublishFact Fact;
  Fact.Server = base::ServerId("stock-0-1");
  Fact.Process = base::Incarnation(1);
  Fact.Lifetime = 10min;
  Fleet.Places[0].Node->publish(Fleet.Now, Fact);
  Fleet.run(2s);
  Fleet.Places[1].Down = true;
  Fleet.run(1s);
  Fleet.Places[1].Learnt.clear();
  Fleet.start(1);
  auto Took =
      Fleet.runUntil([&] { return !Fleet.Places[1].Lists.empty(); }, 10s);
  REQUIRE(Took);
  CHECK(*Took >= 2s);
  CHECK(Fleet.Places[1].Lists[0].second.Servers.size() == 9);
  Fleet.run(100ms);
  size_t Before = Fleet.Places[1].Lists[0].first;
  REQUIRE(Before >= 1); // Learnt while the server was not known.
  REQUIRE(Fleet.Places[1].Learnt.size() > Before);
  CHECK(Fleet.Places[1].Learnt[Before].second.Server == Fact.Server);
  CHECK(Fleet.Places[0].Lists.empty());
  CHECK(Fleet.Places[1].Node->counters().ServerPulls == 1);
}

// Guards against a lagging list that returns a server that has left.
TEST_CASE("a server that left stays so when a list names it again",
          "[routing]") {
  routing::Directory Known(routing::Policy{}, 3);
  routing::ServerListing Entry = listOf(1, 1).Servers[0].Server;
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

// Guards against a list that is damaged on its way.
TEST_CASE("parts of a server list pass the codec", "[transport]") {
  ServerListSync Holder(Start);
  peers::ServerList List = listOf(3, 5);
  List.Servers[1].Server.Leaving = true;
  List.Servers[2].Server.Domain = base::FailureDomainId();
  Holder.setListed(List);
  peers::Envelope Message;
  Message.Sender = VirtualFleet::member(1, 1);
  Message.Recipient = One;
  Message.ServerListVersion = 5;
  Message.Content = *Holder.onPull(Start, {5, 0});
  auto Read = net::decodePeerFrame(net::encodePeerFrame(Message, "key"), "key");
  REQUIRE(Read.has_value());
  CHECK(Read.value().ServerListVersion == 5);
  const auto &Push = std::get<peers::ServerPush>(Read.value().Content);
  CHECK(Push.Version == 5);
  CHECK(Push.Instances == 4);
  CHECK(Push.Total == 3);
  REQUIRE(Push.Servers.size() == 3);
  for (size_t I = 0; I < 3; ++I) {
    const routing::ServerListing &Sent = List.Servers[I].Server;
    const routing::ServerListing &Got = Push.Servers[I].Server;
    CHECK(Push.Servers[I].Service == List.Servers[I].Service);
    CHECK(Got.Server == Sent.Server);
    CHECK(Got.Address == Sent.Address);
    CHECK(Got.Domain == Sent.Domain);
    CHECK(Got.Process == Sent.Process);
    CHECK(Got.Leaving == Sent.Leaving);
  }
  Message.Content = peers::ServerPull{5, 2};
  Read = net::decodePeerFrame(net::encodePeerFrame(Message, "key"), "key");
  REQUIRE(Read.has_value());
  CHECK(std::get<peers::ServerPull>(Read.value().Content).First == 2);
}
