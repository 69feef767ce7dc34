// Membership, facts and configurations between instances on virtual time.
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

/** Texts with one document that changes and some that do not. */
config::ConfigurationTexts texts(uint64_t Revision, const std::string &Text) {
  std::map<std::string, std::string> Documents{{"service/changing", Text}};
  for (int I = 0; I < 4; ++I) {
    Documents["service/fixed-" + std::to_string(I)] =
        "name = " + std::to_string(I);
  }
  return config::assembleTexts(base::Revision(Revision), Documents);
}

bool allHave(VirtualFleet &Fleet, uint64_t Revision) {
  return std::all_of(Fleet.Places.begin(), Fleet.Places.end(),
                     [&](const VirtualFleet::Place &Entry) {
                       return Entry.Down ||
                              Entry.InForceSince.contains(Revision);
                     });
}

} // namespace

// Guards against a detector whose cost grows with the fleet.
TEST_CASE("each instance probes one peer per period at any size", "[peers]") {
  for (size_t Count : {4U, 40U}) {
    VirtualFleet Fleet(Count);
    Fleet.run(20s);
    uint64_t Before = Fleet.Places[0].Node->members().counters().Probes;
    Fleet.run(20s);
    uint64_t Probes =
        Fleet.Places[0].Node->members().counters().Probes - Before;
    CHECK(Probes >= 19);
    CHECK(Probes <= 20);
  }
}

// Guards against a dead instance that goes unnoticed, and against dragging
// others down with it.
TEST_CASE("a killed instance is held dead by all others", "[peers]") {
  VirtualFleet Fleet(32);
  Fleet.run(5s);
  Fleet.Places[7].Down = true;
  auto Took = Fleet.runUntil(
      [&] { return Fleet.viewersOf(7, MemberState::Dead) == 31; }, 15s);
  REQUIRE(Took);
  INFO("detected after " << base::toMilliseconds(*Took) << " ms");
  CHECK(*Took <= 8s);
  for (size_t I = 0; I < 32; ++I) {
    if (I != 7) {
      CHECK(Fleet.viewersOf(I, MemberState::Alive) == 30);
    }
  }
}

// Guards against a replaced process that stays dead for its peers.
TEST_CASE("a restarted instance is alive again under a new incarnation",
          "[peers]") {
  VirtualFleet Fleet(8);
  Fleet.run(3s);
  Fleet.Places[2].Down = true;
  Fleet.run(12s);
  REQUIRE(Fleet.viewersOf(2, MemberState::Dead) == 7);
  Fleet.start(2);
  Fleet.Places[2].Node->onListing(Fleet.Now, Fleet.Listing);
  CHECK(Fleet.runUntil(
      [&] { return Fleet.viewersOf(2, MemberState::Alive) == 7; }, 2s));
}

// Guards against false deaths on a lossy network.
TEST_CASE("lost frames kill nobody", "[peers][virtual-time]") {
  VirtualFleet Fleet(32, GENERATE(1U, 2U, 3U));
  Fleet.Loss = 0.05;
  Fleet.run(120s);
  uint64_t Deaths = 0;
  for (const auto &Entry : Fleet.Places) {
    Deaths += Entry.Node->members().counters().Deaths;
  }
  INFO("suspicions " << Fleet.suspicions());
  CHECK(Deaths == 0);
  CHECK(Fleet.suspicions() <= 2);
}

// Guards against a resumed process that accuses the others of its own absence.
TEST_CASE("a paused process suspects nobody before a peer has answered",
          "[peers]") {
  VirtualFleet Fleet(8);
  Fleet.run(5s);
  uint64_t Before = Fleet.suspicions();
  Fleet.Places[0].Paused = true;
  Fleet.run(10s);
  REQUIRE(Fleet.viewersOf(0, MemberState::Dead) == 7);
  uint64_t Accusations = 0;
  Fleet.Observe = [&](const peers::Envelope &Message) {
    if (Message.Sender.Id != Fleet.Listing[0].Id) {
      return;
    }
    for (const peers::Member &Update : Message.Members) {
      Accusations += Update.State == MemberState::Suspect ||
                             Update.State == MemberState::Dead
                         ? 1
                         : 0;
    }
  };
  // Its network comes back only some time after the process.
  Fleet.Cut = [](size_t From, size_t To) { return From == 0 || To == 0; };
  Fleet.resume(0);
  Fleet.run(10s);
  CHECK(Fleet.Places[0].Node->members().distrustsItself());
  CHECK(Fleet.Places[0].Node->members().counters().Suspicions == 0);
  CHECK(Accusations == 0);
  Fleet.Cut = nullptr;
  CHECK(Fleet.runUntil(
      [&] { return Fleet.viewersOf(0, MemberState::Alive) == 7; }, 20s));
  CHECK_FALSE(Fleet.Places[0].Node->members().distrustsItself());
  CHECK(Fleet.suspicions() - Before <= 7); // Those against the paused one.
}

// Guards against instances that lose each other for good in a partition.
TEST_CASE("both sides of a partition find each other again", "[peers]") {
  VirtualFleet Fleet(12);
  Fleet.run(3s);
  Fleet.Cut = [](size_t From, size_t To) { return (From < 6) != (To < 6); };
  Fleet.run(60s);
  REQUIRE(Fleet.viewersOf(0, MemberState::Dead) == 6);
  Fleet.Cut = nullptr;
  auto Took = Fleet.runUntil(
      [&] {
        size_t Alive = 0;
        for (size_t I = 0; I < 12; ++I) {
          Alive += Fleet.viewersOf(I, MemberState::Alive);
        }
        return Alive == size_t(12) * 11;
      },
      30s);
  CHECK(Took);
}

// Guards against a leaving instance that is revived by an old statement.
TEST_CASE("leaving is passed on and sticky for the incarnation", "[peers]") {
  VirtualFleet Fleet(16);
  Fleet.run(3s);
  peers::Actions Decided;
  peers::Member Own = Fleet.Places[3].Node->members().own();
  Fleet.Places[3].Node->leave(Fleet.Now, Decided);
  REQUIRE(Decided.size() == 3);
  for (const peers::Action &Step : Decided) {
    const auto &Send = std::get<peers::SendMessage>(Step);
    peers::Actions Ignored;
    Fleet.Places[std::stoul(Send.Address)].Node->onMessage(
        Fleet.Now, Send.Message, Ignored);
  }
  Fleet.Places[3].Down = true;
  CHECK(Fleet.runUntil(
      [&] { return Fleet.viewersOf(3, MemberState::Leaving) == 15; }, 2s));
  peers::Member Revived = Own;
  Revived.Refutation += 5;
  peers::Member Left = Own;
  Left.State = MemberState::Leaving;
  CHECK_FALSE(peers::supersedes(Left, Revived));
  Revived.Process = base::Incarnation(Own.Process.Value + 1);
  CHECK(peers::supersedes(Left, Revived));
}

// Guards against an old process that resumes after it was replaced.
TEST_CASE("messages of a replaced process are dropped", "[peers]") {
  VirtualFleet Fleet(3);
  Fleet.run(3s);
  peers::Envelope Old;
  Old.Sender = Fleet.Places[1].Node->members().own();
  Old.Sender.Process = base::Incarnation(1);
  Old.Recipient = Fleet.Listing[0].Id;
  Old.PublishedFacts.push_back(leavingFact("stock-0-0"));
  peers::Actions Decided;
  Fleet.Places[0].Node->onMessage(Fleet.Now, Old, Decided);
  CHECK(Decided.empty());
  CHECK(Fleet.Places[0].Node->counters().StaleProcess == 1);
}

// Guards the bound of 3 s for a leaving backend server at the two-year size.
TEST_CASE("a fact reaches 680 instances within 3 s despite loss",
          "[peers][virtual-time]") {
  VirtualFleet Fleet(680, 7, 7);
  Fleet.Loss = 0.05;
  Fleet.run(2s);
  Fleet.Places[0].Node->publish(Fleet.Now, leavingFact("stock-0-0"));
  auto Took = Fleet.runUntil(
      [&] {
        return std::all_of(
            Fleet.Places.begin() + 1, Fleet.Places.end(),
            [](const auto &Entry) { return !Entry.Learnt.empty(); });
      },
      10s);
  REQUIRE(Took);
  WARN("fact known by 680 instances after " << base::toMilliseconds(*Took)
                                            << " ms at 5% loss");
  CHECK(*Took <= 3s);
}

// Guards against facts that outlive their expiry by being told round.
TEST_CASE("facts expire and do not come back", "[peers]") {
  VirtualFleet Fleet(16);
  Fleet.run(2s);
  Fleet.Places[0].Node->publish(Fleet.Now, leavingFact("stock-0-0", 5s));
  Fleet.run(30s);
  for (size_t I = 1; I < 16; ++I) {
    CHECK(Fleet.Places[I].Learnt.size() == 1);
  }
  peers::FactStore Store(8, 10min);
  for (int I = 0; I < 100; ++I) {
    Store.add(Fleet.Now, leavingFact("server-" + std::to_string(I)), 3);
  }
  CHECK(Store.size() == 8);
  CHECK(Store.take(Fleet.Now + 11min, 100).empty());
}

// Guards against instances that miss what was told while they were cut off.
TEST_CASE("an instance that returns learns the facts in force", "[peers]") {
  VirtualFleet Fleet(6);
  Fleet.run(3s);
  Fleet.Cut = [](size_t From, size_t To) { return From == 5 || To == 5; };
  Fleet.run(30s);
  Fleet.Places[0].Node->publish(Fleet.Now, leavingFact("stock-0-0"));
  Fleet.run(30s);
  REQUIRE(Fleet.Places[5].Learnt.empty());
  Fleet.Cut = nullptr;
  CHECK(Fleet.runUntil([&] { return !Fleet.Places[5].Learnt.empty(); }, 15s));
}

// Guards against slow spreading and against pulling what is known already.
TEST_CASE("a newer configuration spreads with its missing documents alone",
          "[peers]") {
  VirtualFleet Fleet(100, 3);
  for (size_t I = 0; I < 100; ++I) {
    Fleet.putInForce(I, texts(1, "a = 1"));
  }
  Fleet.run(2s);
  size_t Documents = 0;
  Fleet.Observe = [&](const peers::Envelope &Message) {
    const auto *Push = std::get_if<peers::ConfigPush>(&Message.Content);
    Documents += Push != nullptr ? Push->Documents.size() : 0;
  };
  Fleet.putInForce(0, texts(2, "a = 2"));
  auto Took = Fleet.runUntil([&] { return allHave(Fleet, 2); }, 15s);
  REQUIRE(Took);
  WARN("in force on 100 instances after " << base::toMilliseconds(*Took)
                                          << " ms");
  CHECK(*Took <= 5s);
  CHECK(Documents == 99);
}

// Guards against a pull that is lost and never repeated.
TEST_CASE("a configuration spreads despite loss", "[peers]") {
  VirtualFleet Fleet(32, GENERATE(1U, 2U));
  Fleet.Loss = 0.2;
  Fleet.putInForce(0, texts(4, "a = 4"));
  CHECK(Fleet.runUntil([&] { return allHave(Fleet, 4); }, 15s));
}

// Guards against a return to an older revision.
TEST_CASE("an older configuration never replaces a newer one", "[peers]") {
  VirtualFleet Fleet(4);
  for (size_t I = 0; I < 3; ++I) {
    Fleet.putInForce(I, texts(9, "a = 9"));
  }
  Fleet.putInForce(3, texts(8, "a = 8"));
  Fleet.run(5s);
  for (auto &Entry : Fleet.Places) {
    CHECK(Entry.InForceSince.contains(9));
  }
  CHECK(Fleet.Places[0].InForceSince.size() == 1);
}

// Guards against a fleet that splits over two contents of one revision.
TEST_CASE("equal revisions with two contents end alike and are reported",
          "[peers]") {
  VirtualFleet Fleet(8);
  auto One = texts(5, "a = 1");
  auto Two = texts(5, "a = 2");
  std::string Larger =
      std::max(base::sha256Hex(One.Manifest), base::sha256Hex(Two.Manifest));
  size_t Winner = base::sha256Hex(One.Manifest) == Larger ? 0 : 1;
  std::map<size_t, std::string> Last;
  for (size_t I = 0; I < 8; ++I) {
    Fleet.putInForce(I, I % 2 == 0 ? One : Two);
  }
  std::set<std::string> ManifestDigests;
  Fleet.run(10s);
  Fleet.Observe = [&](const peers::Envelope &Message) {
    ManifestDigests.insert(Message.ConfigVersion.ManifestSha256);
  };
  Fleet.run(5s);
  CHECK(ManifestDigests == std::set<std::string>{Larger});
  CHECK(Fleet.Places[Winner].Conflicts == 1);
}

// Guards against a document that does not match its digest.
TEST_CASE("pushed texts that do not match their digests are dropped",
          "[peers]") {
  peers::ConfigSync Spread;
  base::TimePoint Now(1h);
  auto Good = texts(2, "a = 2");
  config::ConfigurationVersion Version{base::Revision(2),
                                       base::sha256Hex(Good.Manifest)};
  base::InstanceId Peer("entry-1");
  REQUIRE(Spread.onShown(Now, Peer, Version).Ask);
  peers::ConfigPush Push;
  Push.Version = Version;
  Push.Manifest = texts(2, "a = 3").Manifest;
  auto Step = Spread.onPush(Now, Peer, Push);
  CHECK_FALSE(Step.Ask);
  CHECK_FALSE(Step.Whole);
  REQUIRE(Spread.onShown(Now, Peer, Version).Ask);
  Push.Manifest = Good.Manifest;
  REQUIRE(Spread.onPush(Now, Peer, Push).Ask);
  Push.Documents = Good.Documents;
  Push.Documents.begin()->second += " ";
  Step = Spread.onPush(Now, Peer, Push);
  REQUIRE(Step.Ask);
  CHECK(Step.Ask->Wanted.size() == 1);
  CHECK_FALSE(Step.Whole);
}

// Guards against serving an old configuration after a start.
TEST_CASE("the start rule", "[peers]") {
  using peers::StartReadiness;
  peers::StartView View;
  CHECK(judgeStart(View) == StartReadiness::NotReady); // Nobody reachable.
  View.Waited = 1min;
  CHECK(judgeStart(View) == StartReadiness::NotReady);
  View = {};
  View.HasConfiguration = true;
  View.PlatformRead = true;
  View.ListRead = true;
  CHECK(judgeStart(View) == StartReadiness::Ready); // Alone on the list.
  View.ListedPeers = 3;
  CHECK(judgeStart(View) == StartReadiness::NotReady);
  View.PeersAnswered = 2; // Both are starting, too.
  CHECK(judgeStart(View) == StartReadiness::NotReady);
  View.PeersAnswered = 3; // The whole fleet is starting.
  CHECK(judgeStart(View) == StartReadiness::Ready);
  View.PeersAnswered = 1;
  View.ReadyAnswered = true;
  CHECK(judgeStart(View) == StartReadiness::Ready);
  View.NewerShown = true;
  CHECK(judgeStart(View) == StartReadiness::NotReady);
  View.NewerShown = false;
  View.PeersAnswered = 0;
  View.ReadyAnswered = false;
  View.Waited = 15s;
  CHECK(judgeStart(View) == StartReadiness::ReadyUnconfirmed);
  View.PlatformRead = false; // Only peers reachable.
  View.Waited = 1s;
  View.PeersAnswered = 1;
  View.ReadyAnswered = true;
  CHECK(judgeStart(View) == StartReadiness::NotReady);
  View.Waited = 2s;
  CHECK(judgeStart(View) == StartReadiness::Ready);
}

// Guards against a failure domain without readers, or with too many.
TEST_CASE("two instances of each failure domain watch the platform",
          "[peers]") {
  VirtualFleet Fleet(30);
  Fleet.run(3s);
  auto Readers = [&] {
    std::map<std::string, size_t> Count;
    for (const auto &Entry : Fleet.Places) {
      if (!Entry.Down && Entry.Node->isReader()) {
        ++Count[Entry.Node->members().own().Domain.Value];
      }
    }
    return Count;
  };
  std::map<std::string, size_t> Wanted{{"d0", 2}, {"d1", 2}, {"d2", 2}};
  CHECK(Readers() == Wanted);
  auto Reader =
      std::find_if(Fleet.Places.begin(), Fleet.Places.end(),
                   [](const auto &Entry) { return Entry.Node->isReader(); });
  Reader->Down = true;
  CHECK(Fleet.runUntil([&] { return Readers() == Wanted; }, 10s));
}

// Guards against connections beyond a server's cap and lopsided subsets.
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
  constexpr size_t Holders = 30;
  std::map<base::InstanceId, size_t> Sizes;
  std::map<base::ServerId, size_t> Held;
  for (const base::ServerId &Server : Servers) {
    for (const auto &Id :
         peers::chooseInstances("holder/" + Server.Value, Instances, Holders)) {
      ++Sizes[Id];
      ++Held[Server];
    }
  }
  for (size_t I = 0; I < 680; I += 97) { // The two ways to ask agree.
    CHECK(
        peers::chooseSubset(Instances[I], Instances, Servers, Holders).size() ==
        Sizes[Instances[I]]);
  }
  for (const auto &[Server, Count] : Held) {
    REQUIRE(Count == Holders);
  }
  size_t Least = 3'200;
  size_t Most = 0;
  for (const auto &[Id, Count] : Sizes) {
    Least = std::min(Least, Count);
    Most = std::max(Most, Count);
  }
  double Mean = 3'200.0 * Holders / 680.0;
  WARN("servers per instance: mean " << Mean << ", least " << Least << ", most "
                                     << Most);
  CHECK(static_cast<double>(Least) > 0.65 * Mean);
  CHECK(static_cast<double>(Most) < 1.35 * Mean);
}
