// Limits of one call that several instances forward.
#include "forward_harness.h"
#include "net/relay_header_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AttemptFailure;
using forward::RelayRequest;
using forward::RespondCall;
using forward::SendAttempt;

namespace {

const char *const PeerAddresses[] = {"10.0.0.2:7", "10.1.0.1:7"};

/** An instance and two peers that forward to the same servers, which fail in
 * all ways at random. */
class RelayingFleet {
public:
  /**
   * @param Make Makes an engine with routes and servers.
   * @param Seed Seed of the failures.
   * @param PassTried Whether relayed requests name the servers tried.
   */
  RelayingFleet(ForwardHarness (*Make)(), uint64_t Seed, bool PassTried)
      : Generator(Seed), PassTried(PassTried) {
    for (size_t I = 0; I < 3; ++I) {
      this->Members.push_back(Make());
    }
    this->Members[0].Engine.onPeers(
        {{PeerAddresses[0], base::FailureDomainId("a")},
         {PeerAddresses[1], base::FailureDomainId("b")}});
  }

  /** Plays one call to its end. @return The most servers that got a part. */
  size_t play(const std::string &Host, const std::string &Target) {
    this->Reached.clear();
    this->Relays.clear();
    for (ForwardHarness &Member : this->Members) {
      Member.takeActions<SendAttempt>(); // Of the call before, which has ended.
    }
    this->entry().sendRequest(Host, Target, 1'500ms, ++this->Content);
    for (int Step = 0; Step < 400; ++Step) {
      for (size_t I = 0; I < this->Members.size(); ++I) {
        this->serve(I);
      }
      this->passRelays();
      if (!this->entry().takeActions<RespondCall>().empty()) {
        break;
      }
      for (ForwardHarness &Member : this->Members) {
        Member.advanceTime(5ms);
        Member.Engine.probeServers(Member.Now, Member.Out);
      }
    }
    size_t Most = 0;
    for (const auto &[Service, Ids] : this->Reached) {
      Most = std::max(Most, Ids.size());
    }
    return Most;
  }

  size_t relayed() const { return this->Relayed; }

private:
  ForwardHarness &entry() { return this->Members[0]; }

  /** Lets the servers answer or fail the attempts of one instance. */
  void serve(size_t Index) {
    ForwardHarness &Member = this->Members[Index];
    for (const auto &Sent : Member.takeActions<SendAttempt>()) {
      // The first instance reaches fewer servers, so that it relays.
      if (this->Generator.unit() < (Index == 0 ? 0.6 : 0.1)) {
        Member.failAttempt(Sent, AttemptFailure::NotSent);
        continue;
      }
      std::string Service =
          Sent.ServerId.Value.substr(0, Sent.ServerId.Value.find('-'));
      double Chance = this->Generator.unit();
      if (Chance >= 0.95) {
        forward::Reply Misdirected;
        Misdirected.Status = 421;
        Misdirected.Misdirected = true;
        Member.reply(Sent, Misdirected);
        continue;
      }
      this->Reached[Service].insert(Sent.ServerId.Value);
      if (Chance < 0.3) {
        Member.reply(Sent, ForwardHarness::successReply("sig"));
      } else if (Chance < 0.6) {
        Member.failAttempt(Sent, AttemptFailure::Broken);
      } else if (Chance < 0.8) {
        forward::Reply Rejection;
        Rejection.Status = 503;
        Rejection.NotExecuted = true;
        Member.reply(Sent, Rejection);
      } // Others are never answered.
    }
    for (const auto &Ended : Member.takeActions<forward::AbandonAttempt>()) {
      Member.Engine.onAbandonedAttemptEnded(Member.Now, Ended.Ref, Ended.Server,
                                            forward::AttemptFailure::GivenUp,
                                            Member.Out);
    }
    for (const auto &Probe : Member.takeActions<forward::ProbeConnection>()) {
      Member.Engine.onProbeResult(Member.Now, Probe.Server,
                                  this->Generator.unit() < 0.5);
    }
  }

  void passRelays() {
    for (const RelayRequest &Sent : this->entry().takeActions<RelayRequest>()) {
      ++this->Relayed;
      size_t Index = Sent.Address == PeerAddresses[0] ? 1 : 2;
      if (this->Generator.below(8) == 0) {
        this->entry().Engine.onRelayFailure(
            this->entry().Now, Sent.Ref, Sent.Peer,
            this->Generator.below(2) == 0 ? AttemptFailure::NotSent
                                          : AttemptFailure::Broken,
            this->entry().Out);
        continue;
      }
      this->startRelay(Index, Sent);
    }
    for (size_t Index : {1, 2}) {
      for (const auto &Ended :
           this->Members[Index].takeActions<RespondCall>()) {
        this->answerRelay(Index, Ended);
      }
    }
    for (const auto &Ended :
         this->entry().takeActions<forward::CancelRelay>()) {
      this->cancelRelay(Ended.Ref);
    }
  }

  void cancelRelay(const forward::AttemptRef &Ref) {
    for (const auto &[Key, Sent] : this->Relays) {
      if (Sent.Ref == Ref) {
        ForwardHarness &Peer = this->Members[Key.first];
        Peer.Engine.onCallerGone(Peer.Now, forward::CallId(Key.second),
                                 Peer.Out);
      }
    }
  }

  void startRelay(size_t Index, const RelayRequest &Sent) {
    ForwardHarness &Peer = this->Members[Index];
    forward::CallRequest Request;
    bool Wide = Peer.Engine.routes()->Routes.front().fansOut();
    Request.Host = Wide ? "wide.example" : "one.example";
    Request.Target = Wide ? "/wide/x" : "/one/x";
    Request.Remaining = Sent.Remaining;
    Request.Content = base::Fingerprint(this->Content);
    Request.Relayed = true;
    if (this->PassTried) {
      Request.Tried =
          net::decodeTriedServers(net::encodeTriedServers(Sent.Tried).value());
    }
    // An answer may come at once.
    auto Id = Peer.Engine.onRequest(Peer.Now, Request, Peer.Out);
    this->Relays[{Index, Id.Value}] = Sent;
  }

  void answerRelay(size_t Index, const RespondCall &Ended) {
    auto Found = this->Relays.find({Index, Ended.Id.Value});
    if (Found == this->Relays.end()) {
      return;
    }
    forward::Reply Answer;
    if (const auto *Refused = ForwardHarness::refusal(Ended)) {
      Answer.Status = Refused->MayHaveRun ? 502 : 503;
      Answer.Unsent = Ended.Summary.Unsent == Ended.Summary.Shards;
    } else {
      Answer.Status = 200;
      Answer.Merged = true;
    }
    this->entry().Engine.onRelayReply(this->entry().Now, Found->second.Ref,
                                      Found->second.Peer, std::move(Answer),
                                      this->entry().Out);
  }

  std::vector<ForwardHarness> Members;
  base::Random Generator;
  bool PassTried;
  uint64_t Content = 0;
  size_t Relayed = 0;
  std::map<std::string, std::set<std::string>> Reached; ///< Ids by service.
  std::map<std::pair<size_t, uint64_t>, RelayRequest> Relays;
};

ForwardHarness wideEngine() { return ForwardHarness::tenShards(); }

ForwardHarness splitEngine() {
  ForwardHarness Harness;
  forward::Route Split = ForwardHarness::singleServiceRoute(true);
  Split.Choices = {{"one", 1}, {"two", 1}};
  Harness.publish({Split});
  // One group of ids: the limit holds for all services of the route.
  for (const char *Id : {"any-1", "any-2", "any-3"}) {
    Harness.addServer("one", Id);
  }
  for (const char *Id : {"any-4", "any-5", "any-6"}) {
    Harness.addServer("two", Id);
  }
  Harness.announce();
  return Harness;
}

/** @return How many calls reached more servers than a route allows. */
size_t countExcess(ForwardHarness (*Make)(), const std::string &Host,
                   const std::string &Target, bool PassTried) {
  size_t Excess = 0;
  size_t Relayed = 0;
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    RelayingFleet Fleet(Make, Seed, PassTried);
    for (int Call = 0; Call < 40; ++Call) {
      Excess += Fleet.play(Host, Target) > 2 ? 1 : 0; // MaxAttempts.
    }
    Relayed += Fleet.relayed();
  }
  CHECK(Relayed >= 50);
  return Excess;
}

} // namespace

// Guards against a relayed call that runs on more servers of a shard than its
// route allows (BUDGET): the peer counts the attempts that came before.
TEST_CASE("a relayed fan-out stays within the route's attempts", "[forward]") {
  CHECK(countExcess(wideEngine, "wide.example", "/wide/x", true) == 0);
  // The plays bring the fault about if the peer does not know of them.
  CHECK(countExcess(wideEngine, "wide.example", "/wide/x", false) > 0);
}

// The same for a route that selects one of two services: a peer must not
// select the other one and start again.
TEST_CASE("a relayed request stays within its route's attempts", "[forward]") {
  CHECK(countExcess(splitEngine, "one.example", "/one/x", true) == 0);
  CHECK(countExcess(splitEngine, "one.example", "/one/x", false) > 0);
}

// Guards against a call whose peer has sent it to servers and is then relayed
// to another one, which cannot know of them.
TEST_CASE("a relay that may have reached servers is not repeated",
          "[forward]") {
  forward::Reply Rejected;
  Rejected.Status = 503;
  for (bool Unsent : {true, false}) {
    ForwardHarness Harness = wideEngine();
    Harness.Engine.onPeers({{PeerAddresses[0], base::FailureDomainId("a")},
                            {PeerAddresses[1], base::FailureDomainId("b")}});
    Harness.sendRequest("wide.example", "/wide/x", 1s);
    std::vector<RelayRequest> Relayed;
    for (int Step = 0; Step < 100 && Relayed.empty(); ++Step) {
      for (const auto &Sent : Harness.takeActions<SendAttempt>()) {
        Harness.failAttempt(Sent, AttemptFailure::NotSent);
      }
      Harness.advanceTime(5ms);
      Relayed = Harness.takeActions<RelayRequest>();
    }
    REQUIRE(Relayed.size() == 1);
    Rejected.Unsent = Unsent;
    Harness.Engine.onRelayReply(Harness.Now, Relayed[0].Ref, Relayed[0].Peer,
                                forward::Reply(Rejected), Harness.Out);
    CHECK(Harness.takeActions<RelayRequest>().size() == (Unsent ? 1 : 0));
    auto Responses = Harness.takeActions<RespondCall>();
    REQUIRE(Responses.size() == (Unsent ? 0 : 1));
    if (!Unsent) {
      CHECK_FALSE(ForwardHarness::refusal(Responses[0])->MayHaveRun);
    }
  }
}

// Guards against an attempt that was never sent, whose server then counts for
// none of the attempts that follow.
TEST_CASE("a server counts once it may have received a part", "[forward]") {
  forward::Part Counted;
  auto Add = [&](const char *Id, bool MayHaveArrived) {
    forward::Attempt Sent;
    Sent.ServerId = base::ServerId(Id);
    Sent.MayHaveArrived = MayHaveArrived;
    Counted.Attempts.push_back(Sent);
  };
  Add("a", false);
  CHECK(forward::distinctServers(Counted) == 0);
  Add("a", true);
  CHECK(forward::distinctServers(Counted) == 1);
  Add("a", true);
  CHECK(forward::distinctServers(Counted) == 1);
  Counted.TriedElsewhere.push_back(base::ServerId("a"));
  Counted.TriedElsewhere.push_back(base::ServerId("b"));
  CHECK(forward::distinctServers(Counted) == 2);
}

// Guards against servers that a relayed request does not name because of
// characters in their names.
TEST_CASE("tried servers survive their header field", "[forward]") {
  std::vector<forward::TriedServer> Tried = {
      {"portal~1", base::ServerId("i-1")},
      {"portal~1", base::ServerId("i,2;x=y")},
      {"a b=c", base::ServerId("i-3")}};
  auto Decoded =
      net::decodeTriedServers(net::encodeTriedServers(Tried).value());
  REQUIRE(Decoded.size() == Tried.size());
  for (size_t I = 0; I < Tried.size(); ++I) {
    CHECK(Decoded[I].Service == Tried[I].Service);
    CHECK(Decoded[I].Server.Value == Tried[I].Server.Value);
  }
  CHECK(net::decodeTriedServers("").empty());
  CHECK(net::decodeTriedServers("=x;;a;b=").empty());
}

// Guards against a relay that ends the process, because its list of tried
// servers is longer than the HTTP library can hold.
TEST_CASE("a list of tried servers that is too long is not sent", "[forward]") {
  std::vector<forward::TriedServer> Tried;
  Tried.reserve(901);
  for (int I = 0; I < 900; ++I) {
    Tried.push_back({"shard-" + std::to_string(I / 2),
                     base::ServerId("i-" + std::to_string(I))});
  }
  REQUIRE(net::encodeTriedServers(Tried));
  CHECK(net::decodeTriedServers(*net::encodeTriedServers(Tried)).size() == 900);
  Tried.push_back({"s", base::ServerId(std::string(70'000, 'i'))});
  CHECK_FALSE(net::encodeTriedServers(Tried));
}
