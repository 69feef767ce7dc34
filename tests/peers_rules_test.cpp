// Membership, fact gossip and configuration sync between instances on virtual
// time.
#include "virtual_fleet.h"

#include "peers/selection_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using peers::MemberState;

namespace {

query::PublishFact leavingFact(const std::string &Server,
                               base::Duration Lifetime = 10min) {
  query::PublishFact Fact;
  Fact.Kind = query::FactKind::ServerLeaving;
  Fact.Server = base::ServerId(Server);
  Fact.Process = base::Incarnation(1);
  Fact.Lifetime = Lifetime;
  return Fact;
}

/** Builds a configuration of one document with the given text and four fixed
 * ones. */
config::ConfigurationTexts makeTexts(uint64_t Revision,
                                     const std::string &Text) {
  std::map<std::string, std::string> Documents{{"service/changing", Text}};
  for (int I = 0; I < 4; ++I) {
    Documents["service/fixed-" + std::to_string(I)] =
        "name = " + std::to_string(I);
  }
  return config::assembleTexts(base::Revision(Revision), Documents);
}

bool allInForce(VirtualFleet &Fleet, uint64_t Revision) {
  return std::all_of(Fleet.Nodes.begin(), Fleet.Nodes.end(),
                     [&](const VirtualFleet::SimulatedNode &Entry) {
                       return Entry.Down ||
                              Entry.InForceSince.contains(Revision);
                     });
}

} // namespace

// Guards against a failure detector whose cost per instance grows with the
// fleet.
TEST_CASE("each instance probes one peer per period at any size", "[peers]") {
  for (size_t Count : {4U, 40U}) {
    VirtualFleet Fleet(Count);
    Fleet.run(20s);
    uint64_t Before = Fleet.Nodes[0].Node->members().counters().Probes;
    Fleet.run(20s);
    uint64_t Probes = Fleet.Nodes[0].Node->members().counters().Probes - Before;
    CHECK(Probes >= 19);
    CHECK(Probes <= 20);
  }
}

// Guards against a dead instance that is not detected, and against false
// suspicions of other instances meanwhile.
TEST_CASE("a killed instance is declared dead by all others", "[peers]") {
  VirtualFleet Fleet(32);
  Fleet.run(5s);
  Fleet.Nodes[7].Down = true;
  auto Elapsed = Fleet.runUntil(
      [&] { return Fleet.countObserversOf(7, MemberState::Dead) == 31; }, 15s);
  REQUIRE(Elapsed);
  INFO("detected after " << base::toMilliseconds(*Elapsed) << " ms");
  CHECK(*Elapsed <= 8s);
  for (size_t I = 0; I < 32; ++I) {
    if (I != 7) {
      CHECK(Fleet.countObserversOf(I, MemberState::Alive) == 30);
    }
  }
}

// Guards against peers that still treat an instance as dead after it restarted.
TEST_CASE("a restarted instance is alive again under a new incarnation",
          "[peers]") {
  VirtualFleet Fleet(8);
  Fleet.run(3s);
  Fleet.Nodes[2].Down = true;
  Fleet.run(12s);
  REQUIRE(Fleet.countObserversOf(2, MemberState::Dead) == 7);
  Fleet.start(2);
  Fleet.Nodes[2].Node->onListing(Fleet.Now, Fleet.PlatformList);
  CHECK(Fleet.runUntil(
      [&] { return Fleet.countObserversOf(2, MemberState::Alive) == 7; }, 2s));
}

// Guards against false deaths due to packet loss.
TEST_CASE("packet loss causes no false deaths", "[peers][virtual-time]") {
  VirtualFleet Fleet(32, GENERATE(1U, 2U, 3U));
  Fleet.LossProbability = 0.05;
  Fleet.run(120s);
  uint64_t Deaths = 0;
  for (const auto &Entry : Fleet.Nodes) {
    Deaths += Entry.Node->members().counters().Deaths;
  }
  INFO("suspicions " << Fleet.suspicions());
  CHECK(Deaths == 0);
  CHECK(Fleet.suspicions() <= 2);
}

// Guards against a resumed process that suspects its peers because of timeouts
// during its own pause.
TEST_CASE("a resumed process suspects no peer before one has answered",
          "[peers]") {
  VirtualFleet Fleet(8);
  Fleet.run(5s);
  uint64_t Before = Fleet.suspicions();
  Fleet.Nodes[0].Paused = true;
  Fleet.run(10s);
  REQUIRE(Fleet.countObserversOf(0, MemberState::Dead) == 7);
  uint64_t FailureReports = 0;
  Fleet.OnSend = [&](const peers::Envelope &Message) {
    if (Message.Sender.Id != Fleet.PlatformList[0].Id) {
      return;
    }
    for (const peers::Member &Update : Message.Members) {
      FailureReports += Update.State == MemberState::Suspect ||
                                Update.State == MemberState::Dead
                            ? 1
                            : 0;
    }
  };
  // The network of the instance stays down for a while after it resumes.
  Fleet.IsCut = [](size_t From, size_t To) { return From == 0 || To == 0; };
  Fleet.resume(0);
  Fleet.run(10s);
  CHECK(Fleet.Nodes[0].Node->members().withholdsSuspicions());
  CHECK(Fleet.Nodes[0].Node->members().counters().Suspicions == 0);
  CHECK(FailureReports == 0);
  Fleet.IsCut = nullptr;
  CHECK(Fleet.runUntil(
      [&] { return Fleet.countObserversOf(0, MemberState::Alive) == 7; }, 20s));
  CHECK_FALSE(Fleet.Nodes[0].Node->members().withholdsSuspicions());
  CHECK(Fleet.suspicions() - Before <= 7); // Those of the paused one.
}

// Guards against instances that never rejoin after a partition heals.
TEST_CASE("both sides of a partition find each other again", "[peers]") {
  VirtualFleet Fleet(12);
  Fleet.run(3s);
  Fleet.IsCut = [](size_t From, size_t To) { return (From < 6) != (To < 6); };
  Fleet.run(60s);
  REQUIRE(Fleet.countObserversOf(0, MemberState::Dead) == 6);
  Fleet.IsCut = nullptr;
  auto Elapsed = Fleet.runUntil(
      [&] {
        size_t Alive = 0;
        for (size_t I = 0; I < 12; ++I) {
          Alive += Fleet.countObserversOf(I, MemberState::Alive);
        }
        return Alive == size_t(12) * 11;
      },
      30s);
  CHECK(Elapsed);
}

// Guards against an outdated update that marks a leaving instance as alive.
TEST_CASE("leaving is gossiped and final for the incarnation", "[peers]") {
  VirtualFleet Fleet(16);
  Fleet.run(3s);
  peers::Actions Produced;
  peers::Member Own = Fleet.Nodes[3].Node->members().own();
  Fleet.Nodes[3].Node->leave(Fleet.Now, Produced);
  REQUIRE(Produced.size() == 3);
  for (const peers::Action &Step : Produced) {
    const auto &Send = std::get<peers::SendMessage>(Step);
    peers::Actions Ignored;
    Fleet.Nodes[std::stoul(Send.Address)].Node->onMessage(
        Fleet.Now, Send.Message, Ignored);
  }
  Fleet.Nodes[3].Down = true;
  CHECK(Fleet.runUntil(
      [&] { return Fleet.countObserversOf(3, MemberState::Leaving) == 15; },
      2s));
  peers::Member Revived = Own;
  Revived.Refutation += 5;
  peers::Member Left = Own;
  Left.State = MemberState::Leaving;
  CHECK_FALSE(peers::supersedes(Left, Revived));
  Revived.Process = base::Incarnation(Own.Process.Value + 1);
  CHECK(peers::supersedes(Left, Revived));
}

// Guards against messages of an old process that resumes after it was replaced.
TEST_CASE("messages of a replaced process are dropped", "[peers]") {
  VirtualFleet Fleet(3);
  Fleet.run(3s);
  peers::Envelope Old;
  Old.Sender = Fleet.Nodes[1].Node->members().own();
  Old.Sender.Process = base::Incarnation(1);
  Old.Recipient = Fleet.PlatformList[0].Id;
  Old.PublishedFacts.push_back(leavingFact("stock-0-0"));
  peers::Actions Produced;
  Fleet.Nodes[0].Node->onMessage(Fleet.Now, Old, Produced);
  CHECK(Produced.empty());
  CHECK(Fleet.Nodes[0].Node->counters().StaleProcess == 1);
}

// Guards the bound of 3 s on announcing that a backend server leaves, at the
// fleet size expected in two years.
TEST_CASE("a fact reaches 680 instances within 3 s despite loss",
          "[peers][virtual-time]") {
  VirtualFleet Fleet(680, 7, 7);
  Fleet.LossProbability = 0.05;
  Fleet.run(2s);
  Fleet.Nodes[0].Node->publish(Fleet.Now, leavingFact("stock-0-0"));
  auto Elapsed = Fleet.runUntil(
      [&] {
        return std::all_of(
            Fleet.Nodes.begin() + 1, Fleet.Nodes.end(),
            [](const auto &Entry) { return !Entry.LearntFacts.empty(); });
      },
      10s);
  REQUIRE(Elapsed);
  WARN("fact reached 680 instances after " << base::toMilliseconds(*Elapsed)
                                           << " ms at 5% loss");
  CHECK(*Elapsed <= 3s);
}

// Guards against facts that outlive their expiry because instances keep
// gossiping them.
TEST_CASE("facts expire and are not learnt again", "[peers]") {
  VirtualFleet Fleet(16);
  Fleet.run(2s);
  Fleet.Nodes[0].Node->publish(Fleet.Now, leavingFact("stock-0-0", 5s));
  Fleet.run(30s);
  for (size_t I = 1; I < 16; ++I) {
    CHECK(Fleet.Nodes[I].LearntFacts.size() == 1);
  }
  peers::FactStore Store(8, 10min);
  for (int I = 0; I < 100; ++I) {
    Store.add(Fleet.Now, leavingFact("server-" + std::to_string(I)), 3);
  }
  CHECK(Store.size() == 8);
  CHECK(Store.takeForSending(Fleet.Now + 11min, 100).empty());
}

// Guards against instances that never learn facts published while they were
// partitioned.
TEST_CASE("an instance learns unexpired facts after a partition", "[peers]") {
  VirtualFleet Fleet(6);
  Fleet.run(3s);
  Fleet.IsCut = [](size_t From, size_t To) { return From == 5 || To == 5; };
  Fleet.run(30s);
  Fleet.Nodes[0].Node->publish(Fleet.Now, leavingFact("stock-0-0"));
  Fleet.run(30s);
  REQUIRE(Fleet.Nodes[5].LearntFacts.empty());
  Fleet.IsCut = nullptr;
  CHECK(
      Fleet.runUntil([&] { return !Fleet.Nodes[5].LearntFacts.empty(); }, 15s));
}

// Guards against slow propagation and against pulling documents that are
// already known.
TEST_CASE("a configuration sync transfers only missing documents", "[peers]") {
  VirtualFleet Fleet(100, 3);
  for (size_t I = 0; I < 100; ++I) {
    Fleet.putInForce(I, makeTexts(1, "a = 1"));
  }
  Fleet.run(2s);
  size_t Documents = 0;
  Fleet.OnSend = [&](const peers::Envelope &Message) {
    const auto *Push = std::get_if<peers::ConfigPush>(&Message.Content);
    Documents += Push != nullptr ? Push->Documents.size() : 0;
  };
  Fleet.putInForce(0, makeTexts(2, "a = 2"));
  auto Elapsed = Fleet.runUntil([&] { return allInForce(Fleet, 2); }, 15s);
  REQUIRE(Elapsed);
  WARN("in force on 100 instances after " << base::toMilliseconds(*Elapsed)
                                          << " ms");
  CHECK(*Elapsed <= 5s);
  CHECK(Documents == 99);
}

// Guards against a lost pull that is never retried.
TEST_CASE("a configuration reaches all instances despite loss", "[peers]") {
  VirtualFleet Fleet(32, GENERATE(1U, 2U));
  Fleet.LossProbability = 0.2;
  Fleet.putInForce(0, makeTexts(4, "a = 4"));
  CHECK(Fleet.runUntil([&] { return allInForce(Fleet, 4); }, 15s));
}

// Guards against falling back to an older revision.
TEST_CASE("an older configuration never replaces a newer one", "[peers]") {
  VirtualFleet Fleet(4);
  for (size_t I = 0; I < 3; ++I) {
    Fleet.putInForce(I, makeTexts(9, "a = 9"));
  }
  Fleet.putInForce(3, makeTexts(8, "a = 8"));
  Fleet.run(5s);
  for (auto &Entry : Fleet.Nodes) {
    CHECK(Entry.InForceSince.contains(9));
  }
  CHECK(Fleet.Nodes[0].InForceSince.size() == 1);
}

// Guards against a fleet that stays split between two contents of one revision.
TEST_CASE("a conflict of equal revisions is resolved and reported", "[peers]") {
  VirtualFleet Fleet(8);
  auto One = makeTexts(5, "a = 1");
  auto Two = makeTexts(5, "a = 2");
  std::string Larger =
      std::max(base::sha256Hex(One.Manifest), base::sha256Hex(Two.Manifest));
  size_t Winner = base::sha256Hex(One.Manifest) == Larger ? 0 : 1;
  std::map<size_t, std::string> Last;
  for (size_t I = 0; I < 8; ++I) {
    Fleet.putInForce(I, I % 2 == 0 ? One : Two);
  }
  std::set<std::string> ManifestDigests;
  Fleet.run(10s);
  Fleet.OnSend = [&](const peers::Envelope &Message) {
    ManifestDigests.insert(Message.ConfigVersion.ManifestSha256);
  };
  Fleet.run(5s);
  CHECK(ManifestDigests == std::set<std::string>{Larger});
  CHECK(Fleet.Nodes[Winner].Conflicts == 1);
}

// Guards against accepting a document that does not match its digest.
TEST_CASE("pushed texts with a wrong digest are dropped", "[peers]") {
  peers::ConfigSync Sync;
  base::TimePoint Now(1h);
  auto Good = makeTexts(2, "a = 2");
  config::ConfigurationVersion Version{base::Revision(2),
                                       base::sha256Hex(Good.Manifest)};
  base::InstanceId Peer("entry-1");
  REQUIRE(Sync.onAdvertised(Now, Peer, Version).Request);
  peers::ConfigPush Push;
  Push.Version = Version;
  Push.Manifest = makeTexts(2, "a = 3").Manifest;
  auto Step = Sync.onPush(Now, Peer, Push);
  CHECK_FALSE(Step.Request);
  CHECK_FALSE(Step.Complete);
  REQUIRE(Sync.onAdvertised(Now, Peer, Version).Request);
  Push.Manifest = Good.Manifest;
  REQUIRE(Sync.onPush(Now, Peer, Push).Request);
  Push.Documents = Good.Documents;
  Push.Documents.begin()->second += " ";
  Step = Sync.onPush(Now, Peer, Push);
  REQUIRE(Step.Request);
  CHECK(Step.Request->Wanted.size() == 1);
  CHECK_FALSE(Step.Complete);
}

// Guards against serving with an old configuration after a start.
TEST_CASE("a starting instance is ready only under the start rule", "[peers]") {
  using peers::StartReadiness;
  peers::StartConditions Conditions;
  CHECK(evaluateStart(Conditions) ==
        StartReadiness::NotReady); // No configuration yet.
  Conditions.TimeSinceStart = 1min;
  CHECK(evaluateStart(Conditions) == StartReadiness::NotReady);
  Conditions = {};
  Conditions.HasConfiguration = true;
  Conditions.PlatformRead = true;
  Conditions.ListRead = true;
  CHECK(evaluateStart(Conditions) ==
        StartReadiness::Ready); // Alone on the list.
  Conditions.ListedPeers = 3;
  CHECK(evaluateStart(Conditions) == StartReadiness::NotReady);
  Conditions.PeersAnswered = 2; // Both are starting as well.
  CHECK(evaluateStart(Conditions) == StartReadiness::NotReady);
  Conditions.PeersAnswered = 3; // The whole fleet is starting.
  CHECK(evaluateStart(Conditions) == StartReadiness::Ready);
  Conditions.PeersAnswered = 1;
  Conditions.ReadyPeerAnswered = true;
  CHECK(evaluateStart(Conditions) == StartReadiness::Ready);
  Conditions.NewerAdvertised = true;
  CHECK(evaluateStart(Conditions) == StartReadiness::NotReady);
  Conditions.NewerAdvertised = false;
  Conditions.PeersAnswered = 0;
  Conditions.ReadyPeerAnswered = false;
  Conditions.TimeSinceStart = 15s;
  CHECK(evaluateStart(Conditions) == StartReadiness::ReadyUnconfirmed);
  Conditions.PlatformRead = false; // Only peers reachable.
  Conditions.TimeSinceStart = 1s;
  Conditions.PeersAnswered = 1;
  Conditions.ReadyPeerAnswered = true;
  CHECK(evaluateStart(Conditions) == StartReadiness::NotReady);
  Conditions.TimeSinceStart = 2s;
  CHECK(evaluateStart(Conditions) == StartReadiness::Ready);
}

// Guards against a failure domain with too few or too many readers.
TEST_CASE("two instances of each failure domain watch the platform",
          "[peers]") {
  VirtualFleet Fleet(30);
  Fleet.run(3s);
  auto Readers = [&] {
    std::map<std::string, size_t> Count;
    for (const auto &Entry : Fleet.Nodes) {
      if (!Entry.Down && Entry.Node->isReader()) {
        ++Count[Entry.Node->members().own().Domain.Value];
      }
    }
    return Count;
  };
  std::map<std::string, size_t> Wanted{{"d0", 2}, {"d1", 2}, {"d2", 2}};
  CHECK(Readers() == Wanted);
  auto Reader =
      std::find_if(Fleet.Nodes.begin(), Fleet.Nodes.end(),
                   [](const auto &Entry) { return Entry.Node->isReader(); });
  Reader->Down = true;
  CHECK(Fleet.runUntil([&] { return Readers() == Wanted; }, 10s));
}

// Guards against exceeding the connection limit of a server and against uneven
// subsets.
TEST_CASE("subsets at 680 instances over 3,200 servers", "[peers]") {
  std::vector<base::InstanceId> Instances;
  std::vector<base::ServerId> Servers;
  Instances.reserve(680);
  Servers.reserve(3'200);
  for (int I = 0; I < 680; ++I) {
    Instances.emplace_back("entry-" + std::to_string(I));
  }
  for (int I = 0; I < 3'200; ++I) {
    Servers.emplace_back("searcher-" + std::to_string(I));
  }
  constexpr size_t InstancesPerServer = 30;
  std::map<base::InstanceId, size_t> ServerCounts;
  std::map<base::ServerId, size_t> InstanceCounts;
  for (const base::ServerId &Server : Servers) {
    for (const auto &Id : peers::chooseInstances(
             "holder/" + Server.Value, Instances, InstancesPerServer)) {
      ++ServerCounts[Id];
      ++InstanceCounts[Server];
    }
  }
  for (size_t I = 0; I < 680;
       I += 97) { // chooseSubset() agrees with chooseInstances().
    CHECK(peers::chooseSubset(Instances[I], Instances, Servers,
                              InstancesPerServer)
              .size() == ServerCounts[Instances[I]]);
  }
  for (const auto &[Server, Count] : InstanceCounts) {
    REQUIRE(Count == InstancesPerServer);
  }
  size_t Least = 3'200;
  size_t Most = 0;
  for (const auto &[Id, Count] : ServerCounts) {
    Least = std::min(Least, Count);
    Most = std::max(Most, Count);
  }
  double Mean = 3'200.0 * InstancesPerServer / 680.0;
  WARN("servers per instance: mean " << Mean << ", least " << Least << ", most "
                                     << Most);
  CHECK(static_cast<double>(Least) > 0.65 * Mean);
  CHECK(static_cast<double>(Most) < 1.35 * Mean);
}
