// Tests of the view of the platform's store and of the roster of instances.
#include "discovery/view_base.h"
#include "fleet/roster_base.h"
#include "fleet/transfer_limit_base.h"
#include "fleet/view_freshness_func.h"
#include "net/fleet_codec_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hickorycrank;
using namespace std::chrono_literals;
using discovery::Change;
using discovery::ItemKind;
using discovery::RemovalPolicy;
using discovery::Update;
using discovery::View;

namespace {

Change written(const std::string &Name, uint64_t Revision,
               const std::string &Value = "v") {
  return {{ItemKind::Server, Name, Value, {1, Revision}}, false};
}

Change removed(const std::string &Name, uint64_t Revision) {
  return {{ItemKind::Server, Name, "", {1, Revision}}, true};
}

Update listing(uint64_t Revision, std::vector<Change> Items) {
  return {{1, Revision}, {1, Revision}, {}, true, std::move(Items)};
}

Update changes(uint64_t Since, uint64_t Revision, std::vector<Change> Items) {
  return {{1, Revision}, {1, Revision}, {1, Since}, false, std::move(Items)};
}

fleet::Heartbeat heartbeat(const std::string &Address,
                           const std::string &Domain, bool Healthy,
                           uint64_t LastChange = 0) {
  fleet::Heartbeat Result;
  Result.Address = Address;
  Result.ControlAddress = Address;
  Result.Domain = base::FailureDomainId(Domain);
  Result.StoreHealthy = Healthy;
  Result.LastChange = {LastChange == 0 ? 0U : 1U, LastChange};
  return Result;
}

fleet::Roster roster(base::TimePoint Now, const std::string &Own) {
  return fleet::Roster(Now, Own, base::FailureDomainId("a"), 1);
}

} // namespace

// Guards against live servers being removed because their leases lapsed while
// the store was unavailable, and against dead servers being kept forever.
TEST_CASE("items that vanish in an outage are held for a while", "[view]") {
  View Known;
  base::TimePoint Now{1h};
  REQUIRE(Known.apply(Now, listing(5, {written("x", 3), written("y", 4)}),
                      RemovalPolicy::Immediate));
  REQUIRE(
      Known.apply(Now, listing(9, {written("y", 4)}), RemovalPolicy::Deferred));
  CHECK(Known.items(ItemKind::Server).size() == 2);
  CHECK_FALSE(Known.expire(Now + 2s));
  REQUIRE(Known.apply(Now + 2s, changes(9, 10, {written("x", 10)}),
                      RemovalPolicy::Immediate));
  CHECK_FALSE(Known.expire(Now + 10s));
  CHECK(Known.items(ItemKind::Server).size() == 2);
  REQUIRE(Known.apply(Now + 10s, listing(11, {written("x", 10)}),
                      RemovalPolicy::Deferred));
  CHECK(Known.expire(Now + 13s));
  CHECK(Known.items(ItemKind::Server).size() == 1);
}

// Guards against a removal being deferred although the store is reliable: the
// server would get new requests while it shuts down.
TEST_CASE("a deletion is applied at once while the store is reliable",
          "[view]") {
  View Known;
  base::TimePoint Now{1h};
  Known.apply(Now, listing(5, {written("x", 3)}), RemovalPolicy::Immediate);
  Known.apply(Now, changes(5, 6, {removed("x", 6)}), RemovalPolicy::Immediate);
  CHECK(Known.items(ItemKind::Server).empty());
}

// Guards against an old view replacing a newer one, and against missed changes.
TEST_CASE("a view never goes back and takes no update with a gap", "[view]") {
  View Known;
  base::TimePoint Now{1h};
  Known.apply(Now, listing(5, {written("x", 3)}), RemovalPolicy::Immediate);
  CHECK_FALSE(Known.apply(Now, listing(4, {}), RemovalPolicy::Immediate));
  CHECK_FALSE(Known.apply(Now, changes(7, 8, {written("y", 8)}),
                          RemovalPolicy::Immediate));
  REQUIRE(Known.apply(Now, changes(5, 6, {written("x", 6, "new")}),
                      RemovalPolicy::Immediate));
  // A watch may repeat changes that the listing already contained.
  REQUIRE(Known.apply(Now, changes(6, 6, {written("x", 4, "old")}),
                      RemovalPolicy::Immediate));
  CHECK(Known.items(ItemKind::Server).front().Value == "new");
}

// Guards against revisions that order changes across a restore of the store,
// and against removing servers whose entries are about to be written again.
TEST_CASE("a view of a restored store replaces the one before", "[view]") {
  View Known;
  base::TimePoint Now{1h};
  Known.apply(Now, listing(63, {written("x", 3), written("y", 63, "nine")}),
              RemovalPolicy::Immediate);
  // The change of another epoch leaves a gap, whatever its revision is.
  Update Change = changes(63, 64, {written("y", 64, "eleven")});
  Change.Position.Epoch = 2;
  Change.Since.Epoch = 2;
  CHECK_FALSE(Known.apply(Now, Change, RemovalPolicy::Immediate));
  Update Restored = listing(62, {written("y", 62, "eight")});
  Restored.Position.Epoch = 2;
  Restored.LastChange.Epoch = 2;
  Restored.Changes[0].ChangedItem.Position.Epoch = 2;
  REQUIRE(Known.apply(Now, Restored, RemovalPolicy::Immediate));
  CHECK(Known.position() == discovery::StorePosition{2, 62});
  CHECK(Known.lastChange() == discovery::StorePosition{2, 62});
  REQUIRE(Known.items(ItemKind::Server).size() == 2);
  CHECK(Known.items(ItemKind::Server)[1].Value == "eight");
  CHECK(Known.expire(Now + 3s));
  CHECK(Known.items(ItemKind::Server).size() == 1);
  // Updates of the earlier epoch are older, with any revision.
  CHECK_FALSE(Known.apply(Now, listing(99, {}), RemovalPolicy::Immediate));
  CHECK(Known.updateSince({1, 63}).Complete);
  CHECK_FALSE(Known.updateSince({2, 62}).Complete);
}

// Guards against an epoch that is lost between peers, which would order their
// views by revisions again.
TEST_CASE("updates and heartbeats between peers keep the epoch", "[view]") {
  Update Sent = changes(5, 8, {removed("x", 7)});
  Sent.Changes[0].ChangedItem.Position.Epoch = 3;
  Sent.Position.Epoch = 3;
  Sent.LastChange.Epoch = 2;
  auto Update = net::decodeUpdate(net::encodeUpdate(Sent));
  REQUIRE(Update);
  CHECK(Update.value().Position == Sent.Position);
  CHECK(Update.value().LastChange == Sent.LastChange);
  CHECK(Update.value().Since == Sent.Since);
  CHECK(Update.value().Changes[0].ChangedItem.Position.Epoch == 3);
  fleet::Heartbeat Message = heartbeat("127.0.0.1:1", "a", true, 9);
  auto Heartbeat = net::decodeHeartbeat(net::encodeHeartbeat(Message));
  REQUIRE(Heartbeat);
  CHECK(Heartbeat.value().LastChange == Message.LastChange);
}

// Guards against a change or removal that does not reach a peer.
TEST_CASE("a peer gets incremental or complete updates", "[view]") {
  View Source;
  View Peer;
  base::TimePoint Now{1h};
  Source.apply(Now, listing(5, {written("x", 3), written("y", 4)}),
               RemovalPolicy::Immediate);
  Update First = Source.updateSince(Peer.position());
  CHECK(First.Complete);
  REQUIRE(Peer.apply(Now, First, RemovalPolicy::Immediate));
  Source.apply(Now, changes(5, 8, {removed("x", 7), written("z", 8)}),
               RemovalPolicy::Immediate);
  Update Second = Source.updateSince(Peer.position());
  CHECK_FALSE(Second.Complete);
  CHECK(Second.Changes.size() == 2);
  auto Sent = net::decodeUpdate(net::encodeUpdate(Second));
  REQUIRE(Sent);
  REQUIRE(Peer.apply(Now, Sent.value(), RemovalPolicy::Immediate));
  CHECK(Peer.items(ItemKind::Server).size() == 2);
  CHECK(Peer.lastChange() == Source.lastChange());
  Source.apply(Now, listing(20, {written("z", 8)}), RemovalPolicy::Immediate);
  CHECK(Source.updateSince(Peer.position()).Complete);
}

// Guards against updates that grow with each change of a large item: a peer
// that is some versions behind would download every version.
TEST_CASE("an update holds only the last change of an item", "[view]") {
  View Source;
  base::TimePoint Now{1h};
  Source.apply(Now, listing(5, {written("x", 3), written("y", 4)}),
               RemovalPolicy::Immediate);
  Source.apply(Now,
               changes(5, 9,
                       {written("x", 6, "older"), written("z", 7),
                        removed("z", 8), written("x", 9, "newest")}),
               RemovalPolicy::Immediate);
  Update Sent = Source.updateSince({1, 5});
  REQUIRE_FALSE(Sent.Complete);
  REQUIRE(Sent.Changes.size() == 2);
  CHECK(Sent.Changes[0].ChangedItem.Name == "z");
  CHECK(Sent.Changes[0].Deleted);
  CHECK(Sent.Changes[1].ChangedItem.Value == "newest");
  CHECK(Source.updateSince({1, 9}).Changes.empty());
}

// Guards against a crash on data that another program sent.
TEST_CASE("bytes that are no message are refused", "[view]") {
  CHECK_FALSE(net::decodeUpdate("garbage"));
  CHECK_FALSE(net::decodeUpdate(""));
  CHECK_FALSE(net::decodeHeartbeat(std::string(300, '\xff')));
  std::string Whole = net::encodeHeartbeat(heartbeat("127.0.0.1:1", "a", true));
  REQUIRE(net::decodeHeartbeat(Whole));
  for (size_t I = 0; I < Whole.size(); ++I) {
    CHECK_FALSE(net::decodeHeartbeat(Whole.substr(0, I)));
  }
}

namespace {

/** @return Whether an instance whose view was verified just now reads. */
bool readsStore(fleet::Roster &Members, base::TimePoint Now, bool HasView) {
  return Members.shouldReadStore(Now, HasView, /*ViewAge=*/0s,
                                 fleet::makeReadTiming(3s));
}

} // namespace

// Guards against store calls growing with the size of the fleet, and against a
// failure domain in which no instance reads the store.
TEST_CASE("one instance of a failure domain reads the store", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster First = roster(Now, "10.0.0.1:7");
  fleet::Roster Second = roster(Now, "10.0.0.2:7");
  CHECK_FALSE(readsStore(First, Now, false));
  CHECK(readsStore(First, Now + 400ms, false));
  Second.onHeartbeat(Now + 400ms, heartbeat("10.0.0.1:7", "a", true));
  CHECK_FALSE(readsStore(Second, Now + 400ms, false));
  // The first instance cannot reach the store, recovers and then dies.
  Second.onHeartbeat(Now + 600ms, heartbeat("10.0.0.1:7", "a", false));
  CHECK_FALSE(readsStore(Second, Now + 700ms, true));
  CHECK(readsStore(Second, Now + 1s, true));
  Second.onHeartbeat(Now + 1100ms, heartbeat("10.0.0.1:7", "a", true));
  CHECK_FALSE(readsStore(Second, Now + 1200ms, true));
  CHECK(readsStore(Second, Now + 3s, true));
  // A reader of another failure domain does not count.
  fleet::Roster Third = roster(Now, "10.0.0.3:7");
  Third.onHeartbeat(Now + 400ms, heartbeat("10.0.0.1:7", "b", true));
  CHECK(readsStore(Third, Now + 500ms, true));
}

// Guards against an instance that cannot reach the store and copies no peer.
TEST_CASE("an instance copies the view of one that is ahead", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster Members = roster(Now, "10.0.0.2:7");
  CHECK_FALSE(Members.findInstanceWithNewerView(Now, {1, 5}, false));
  Members.onHeartbeat(Now, heartbeat("10.1.0.1:7", "b", true, 9));
  CHECK_FALSE(Members.findInstanceWithNewerView(Now, {1, 5}, false));
  CHECK(Members.findInstanceWithNewerView(Now + 400ms, {1, 5}, false));
  CHECK(Members.findInstanceWithNewerView(Now + 400ms, {}, false));
  Members.onHeartbeat(Now + 400ms, heartbeat("10.0.0.1:7", "a", true, 8));
  auto Local = Members.findInstanceWithNewerView(Now + 400ms, {1, 5}, false);
  REQUIRE(Local);
  CHECK(Local->Address == "10.0.0.1:7");
  CHECK_FALSE(Members.findInstanceWithNewerView(Now + 3s, {1, 5}, false));
}

// Guards against all instances of a failure domain copying a large change from
// the same one: its network link is too slow for that.
TEST_CASE("instances copy a view from different ones that have it", "[fleet]") {
  base::TimePoint Now{1h};
  std::set<std::string> Sources;
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    fleet::Roster Members(Now, "10.0.0.9:7", base::FailureDomainId("a"), Seed);
    for (const char *Holder : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}) {
      Members.onHeartbeat(Now, heartbeat(Holder, "a", true, 9));
    }
    Members.onHeartbeat(Now, heartbeat("10.0.0.4:7", "a", true, 8));
    Sources.insert(
        Members.findInstanceWithNewerView(Now, {1, 5}, false)->Address);
  }
  CHECK(Sources ==
        std::set<std::string>{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"});
}

// Guards against a source whose network link is divided among so many copies of
// a large change that none is done in time.
TEST_CASE("an instance sends few large updates at the same time", "[fleet]") {
  fleet::TransferLimit Transfers;
  std::vector<fleet::TransferLimit::Slot> Slots;
  for (int I = 0; I < 9; ++I) {
    if (auto Slot = Transfers.tryStart(800'000)) {
      Slots.push_back(std::move(Slot));
    }
  }
  CHECK(Slots.size() == 2);
  CHECK(Transfers.tryStart(2'000));
  Slots.pop_back();
  CHECK(Transfers.tryStart(800'000));
}

// Guards against asking a busy instance again at once, and against waiting for
// it while another one has the change.
TEST_CASE("an instance that refused a copy is asked again later", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster Members = roster(Now, "10.0.0.9:7");
  auto Chosen = [&Members](base::TimePoint At) {
    auto Found = Members.findInstanceWithNewerView(At, {1, 5}, false);
    return Found ? Found->Address : "none";
  };
  Members.onHeartbeat(Now, heartbeat("10.0.0.1:7", "a", true, 9));
  Members.onHeartbeat(Now, heartbeat("10.1.0.1:7", "b", true, 9));
  CHECK(Chosen(Now) == "10.0.0.1:7");
  Members.onCopyFailed(Now, "10.0.0.1:7", /*Busy=*/true);
  CHECK(Chosen(Now + 10ms) == "none");
  CHECK(Chosen(Now + 200ms) == "10.0.0.1:7");
  Members.onHeartbeat(Now + 700ms, heartbeat("10.0.0.1:7", "a", true, 9));
  Members.onCopyFailed(Now + 700ms, "10.0.0.1:7", /*Busy=*/true);
  CHECK(Chosen(Now + 710ms) == "10.1.0.1:7");
}

// Guards against an instance that never gets a change because copies from its
// peers fail, although it reaches the store.
TEST_CASE("an instance that stays behind reads the store itself", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster Members = roster(Now, "10.0.0.2:7");
  for (int Step = 0; Step <= 80; ++Step) {
    base::TimePoint At = Now + Step * 25ms;
    Members.onHeartbeat(At, heartbeat("10.0.0.1:7", "a", true, 9));
    Members.findInstanceWithNewerView(At, {1, 5}, false);
    bool Reads = readsStore(Members, At, true);
    if (Step <= 20) {
      CHECK_FALSE(Reads);
    } else if (Step == 80) {
      CHECK(Reads);
    }
  }
  Members.findInstanceWithNewerView(Now + 2s, {1, 9}, false);
  CHECK_FALSE(readsStore(Members, Now + 2s, true));
}

// Guards against following a peer that has not noticed a restore of the store.
TEST_CASE("a view of a later epoch is newer at any revision", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster Members = roster(Now, "10.0.0.2:7");
  fleet::Heartbeat Peer = heartbeat("10.0.0.1:7", "a", true, 5);
  Peer.LastChange.Epoch = 2;
  Members.onHeartbeat(Now, Peer);
  CHECK(Members.findInstanceWithNewerView(Now, {1, 900}, false));
  CHECK_FALSE(Members.findInstanceWithNewerView(Now, {3, 1}, false));
}

// Guards against an instance count that is too low: each instance would take
// too large a share of budgets and connections.
TEST_CASE("instances with a recent heartbeat are counted", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster Members = roster(Now, "10.0.0.2:7");
  Members.setSeedAddresses({"10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"});
  CHECK(Members.countInstances(Now) == 3);
  for (int I = 10; I < 15; ++I) {
    Members.onHeartbeat(
        Now, heartbeat("10.0.0." + std::to_string(I) + ":7", "a", true));
  }
  CHECK(Members.countInstances(Now + 5s) == 6);
  fleet::Heartbeat Leaving = heartbeat("10.0.0.10:7", "a", true);
  Leaving.Leaving = true;
  Members.onHeartbeat(Now + 5s, Leaving);
  CHECK(Members.countInstances(Now + 5s) == 5);
  CHECK(Members.countInstances(Now + 60s) == 3);
  auto Targets = Members.chooseTargets(Now + 5s);
  CHECK(std::count(Targets.begin(), Targets.end(), "10.0.0.2:7") == 0);
  CHECK(std::count(Targets.begin(), Targets.end(), "10.0.0.3:7") == 1);
}

// Guards against reporting a partition when no instance of another failure
// domain is known, and against not detecting a partition.
TEST_CASE("no heartbeat of other failure domains is a partition", "[fleet]") {
  base::TimePoint Now{1h};
  fleet::Roster Members = roster(Now, "10.0.0.2:7");
  CHECK_FALSE(Members.isPartitioned(Now));
  Members.onHeartbeat(Now, heartbeat("10.0.0.1:7", "a", true));
  CHECK_FALSE(Members.isPartitioned(Now + 5s));
  Members.onHeartbeat(Now, heartbeat("10.1.0.1:7", "b", true));
  CHECK_FALSE(Members.isPartitioned(Now + 1s));
  CHECK(Members.isPartitioned(Now + 2s));
  Members.onHeartbeat(Now + 2s, heartbeat("10.2.0.1:7", "c", true));
  CHECK_FALSE(Members.isPartitioned(Now + 2s));
}
