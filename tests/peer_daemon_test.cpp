// Tests the state that entry instances replicate among each other, on loopback.
#include "loopback.h"

#include "base/digest_func.h"
#include "config/document_func.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

/** Instances that discover each other through the platform's list. */
class PeerFixture : public Loopback {
public:
  explicit PeerFixture(size_t Count) : Loopback(0) {
    for (size_t I = 0; I < Count; ++I) {
      this->Instances.push_back(std::make_shared<daemon::Instance>(
          this->Running.Context,
          this->Deployment.entrySettings("entry-" + std::to_string(I), I)));
    }
    this->publishInstanceList();
    for (auto &Entry : this->Instances) {
      Entry->start();
    }
  }

  ~PeerFixture() { this->Running.join(); }

  void publishInstanceList() {
    std::vector<standin::ListedInstance> Entries;
    for (size_t I = 0; I < this->Instances.size(); ++I) {
      standin::ListedInstance Entry;
      Entry.Id = "entry-" + std::to_string(I);
      Entry.Kind = "entry";
      Entry.Address = config::toString(this->Instances[I]->peerEndpoint());
      Entry.Domain = this->Instances[I]->tier().settings().Domain.Value;
      Entries.push_back(Entry);
    }
    this->Deployment.listEntries(Entries);
  }

  /** Aborts an instance and starts a new incarnation at its address. */
  void restart(size_t Index) {
    config::Settings Settings = this->Instances[Index]->tier().settings();
    Settings.Peers = this->Instances[Index]->peerEndpoint();
    this->Instances[Index]->abort();
    this->Retired.push_back(this->Instances[Index]);
    // The aborted instance closes its socket asynchronously on the io_context.
    eventually([&] {
      try {
        this->Instances[Index] =
            std::make_shared<daemon::Instance>(this->Running.Context, Settings);
        return true;
      } catch (const boost::system::system_error &) {
        return false;
      }
    });
    this->Instances[Index]->start();
  }

  bool allReady(std::chrono::milliseconds Limit = 5s) {
    return eventually(
        [&] {
          return std::all_of(this->Instances.begin(), this->Instances.end(),
                             [](const auto &Entry) {
                               return Entry->tier().State ==
                                      daemon::Readiness::Ready;
                             });
        },
        Limit);
  }

  bool allAt(uint64_t Revision, std::chrono::milliseconds Limit = 5s) {
    return eventually(
        [&] {
          return std::all_of(this->Instances.begin(), this->Instances.end(),
                             [&](const auto &Entry) {
                               return revisionOf(*Entry) == Revision;
                             });
        },
        Limit);
  }

  static uint64_t revisionOf(daemon::Instance &Entry) {
    return Entry.tier().configurationVersion().Number.Value;
  }

  /**
   * @param Variant If not 0, appended as a comment to change the content.
   * @return The example documents.
   */
  static std::map<std::string, std::string> documents(int Variant = 0) {
    auto Documents = standin::readDocuments(
        std::string(HICKORYCRANK_SOURCE_DIR) + "/examples/consortium");
    if (Variant != 0) {
      for (auto &[Name, Text] : Documents) {
        if (Name.rfind("template/", 0) == 0) {
          Text += "# " + std::to_string(Variant) + "\n";
        }
      }
    }
    return Documents;
  }

  CallerResponse admin(size_t Index, const std::string &Path) {
    net::HttpRequest Request;
    Request.Method = "GET";
    Request.Path = Path;
    return call(this->Running.Context, this->Instances[Index]->adminEndpoint(),
                std::move(Request));
  }

  std::vector<std::shared_ptr<daemon::Instance>> Retired;
};

} // namespace

// Guards against instances that keep an old revision or discover no peers.
TEST_CASE("a published revision is in force on all instances", "[daemon]") {
  PeerFixture Cluster(4);
  REQUIRE(Cluster.allReady());
  REQUIRE(Cluster.allAt(1));
  Cluster.Deployment.platform().publish(2, PeerFixture::documents(7));
  auto Begin = base::Clock::now();
  REQUIRE(Cluster.allAt(2));
  INFO("took " << base::toMilliseconds(base::Clock::now() - Begin) << " ms");
  CHECK(base::Clock::now() - Begin < 2s);
  auto Status = Cluster.admin(0, "/status");
  CHECK(Status.Body.at("revision").to_number<uint64_t>() == 2);
  const auto &PeerStatus = Status.Body.at("peers").as_object();
  CHECK(PeerStatus.at("members").as_array().size() == 3);
  CHECK_FALSE(PeerStatus.at("config_unconfirmed").as_bool());
}

// Guards against a newer revision that reaches only instances which can read
// the platform.
TEST_CASE("a newer revision spreads while the platform is down", "[daemon]") {
  PeerFixture Cluster(4);
  REQUIRE(Cluster.allReady());
  // Only the new instance can reach a replica that has revision 5.
  standin::Platform Other(Cluster.Running.Context, config::Endpoint{});
  Other.publish(5, PeerFixture::documents(5));
  Cluster.Deployment.platform().setFault(standin::PlatformFault::Down);
  config::Settings Settings = Cluster.Deployment.entrySettings("entry-4", 1);
  Settings.Platform = {Other.endpoint()};
  auto NewInstance =
      std::make_shared<daemon::Instance>(Cluster.Running.Context, Settings);
  std::vector<standin::ListedInstance> Entries;
  for (size_t I = 0; I < 4; ++I) {
    Entries.push_back({"entry-" + std::to_string(I), "entry", "",
                       config::toString(Cluster.Instances[I]->peerEndpoint()),
                       Cluster.Instances[I]->tier().settings().Domain.Value, 1,
                       false});
  }
  Other.setInstances(Entries);
  NewInstance->start();
  Cluster.Instances.push_back(NewInstance);
  CHECK(Cluster.allAt(5));
  CHECK(Cluster.allReady());
  Cluster.Running.join();
}

// Guards against a rollback to an old revision by a stale replica or a restart.
TEST_CASE("a stale platform never puts an older revision in force",
          "[daemon]") {
  PeerFixture Cluster(4);
  Cluster.Deployment.platform().publish(8, PeerFixture::documents(8));
  REQUIRE(Cluster.allReady());
  REQUIRE(Cluster.allAt(8));
  Cluster.Deployment.platform().publish(3, PeerFixture::documents(3)); // Stale.
  std::this_thread::sleep_for(500ms);
  CHECK(Cluster.allAt(8, 0ms));
  Cluster.restart(2);
  bool ReadyWithOld = false;
  CHECK(eventually([&] {
    bool Ready = Cluster.Instances[2]->tier().State == daemon::Readiness::Ready;
    uint64_t Revision = PeerFixture::revisionOf(*Cluster.Instances[2]);
    ReadyWithOld = ReadyWithOld || (Ready && Revision != 8);
    return Ready;
  }));
  CHECK_FALSE(ReadyWithOld);
  CHECK(Cluster.allAt(8));
}

// Guards against an outage of the platform that prevents replaced instances
// from becoming ready.
TEST_CASE("an instance that reaches only peers takes their revision",
          "[daemon]") {
  PeerFixture Cluster(4);
  Cluster.Deployment.platform().publish(8, PeerFixture::documents(8));
  REQUIRE(Cluster.allReady());
  REQUIRE(Cluster.allAt(8));
  Cluster.Deployment.platform().setFault(standin::PlatformFault::Down);
  Cluster.restart(1);
  CHECK(Cluster.Instances[1]->tier().State != daemon::Readiness::Ready);
  CHECK(Cluster.allReady(15s));
  CHECK(Cluster.allAt(8));
}

// Guards against an instance that is ready but knows no backend server, because
// it started while the platform was unreachable.
TEST_CASE("an instance that reaches only peers learns the backend servers",
          "[daemon]") {
  PeerFixture Cluster(4);
  REQUIRE(Cluster.allReady());
  for (size_t I = 0; I < 4; ++I) {
    REQUIRE(Cluster.waitUntilServing(I));
  }
  Cluster.Deployment.platform().setFault(standin::PlatformFault::Down);
  auto Begin = base::Clock::now();
  Cluster.restart(1);
  CHECK(Cluster.allReady(10s));
  CHECK(Cluster.waitUntilServing(1));
  INFO("took " << base::toMilliseconds(base::Clock::now() - Begin) << " ms");
  CHECK(base::Clock::now() - Begin < 8s);
}

// Guards against queries to a server that another instance knows to be leaving.
TEST_CASE("a leaving server gets no new work from any instance", "[daemon]") {
  PeerFixture Cluster(4);
  REQUIRE(Cluster.allReady());
  for (size_t I = 0; I < 4; ++I) {
    REQUIRE(Cluster.waitUntilServing(I));
  }
  auto &Server = Cluster.Deployment.server("stock", 0);
  std::string Id = Server.id();
  query::PublishFact Fact;
  Fact.Kind = query::FactKind::ServerLeaving;
  Fact.Server = base::ServerId(Id);
  Fact.Process = base::Incarnation(1);
  Fact.Lifetime = 10min;
  // Only instance 0 knows; the server itself still serves searches.
  Cluster.Instances[0]->tier().applyFact(Fact);
  Cluster.Instances[0]->peerNode().publish(Fact);
  std::this_thread::sleep_for(3s);
  uint64_t Before = Server.counters().Searches;
  for (int Round = 0; Round < 20; ++Round) {
    for (size_t I = 0; I < 4; ++I) {
      CHECK(Cluster.ask(I, "cart-search", R"({"colour":"pink"})").Status ==
            200);
    }
  }
  CHECK(Server.counters().Searches == Before);
}

// Guards against instances that diverge when one revision has two contents.
TEST_CASE(
    "all instances report a revision with two contents and choose the same one",
    "[daemon]") {
  PeerFixture Cluster(4);
  REQUIRE(Cluster.allReady());
  standin::Platform Other(Cluster.Running.Context, config::Endpoint{});
  Other.publish(6, PeerFixture::documents(61));
  Cluster.Deployment.platform().publish(6, PeerFixture::documents(62));
  REQUIRE(Cluster.allAt(6));
  std::string Larger =
      std::max(base::sha256Hex(config::formatManifest(
                   base::Revision(6), PeerFixture::documents(61))),
               base::sha256Hex(config::formatManifest(
                   base::Revision(6), PeerFixture::documents(62))));
  config::Settings Settings = Cluster.Deployment.entrySettings("entry-4", 1);
  Settings.Platform = {Other.endpoint()};
  Other.setInstances({{"entry-0", "entry", "",
                       config::toString(Cluster.Instances[0]->peerEndpoint()),
                       "domain-1", 1, false}});
  Cluster.Instances.push_back(
      std::make_shared<daemon::Instance>(Cluster.Running.Context, Settings));
  Cluster.Instances.back()->start();
  CHECK(eventually([&] {
    return std::all_of(
        Cluster.Instances.begin(), Cluster.Instances.end(),
        [&](const auto &Entry) {
          return Entry->tier().configurationVersion().ManifestSha256 == Larger;
        });
  }));
  CHECK(eventually([&] {
    return std::any_of(
        Cluster.Instances.begin(), Cluster.Instances.end(),
        [](const auto &Entry) {
          return Entry->tier().metrics().render().find(
                     "hickorycrank_configuration_conflicts_total") !=
                 std::string::npos;
        });
  }));
  Cluster.Running.join();
}

// Guards against a graceful stop that peers can only detect as a failure.
TEST_CASE("a stopping instance is seen as leaving", "[daemon]") {
  PeerFixture Cluster(4);
  REQUIRE(Cluster.allReady());
  std::promise<void> Stopped;
  Cluster.Instances[3]->stop([&] { Stopped.set_value(); });
  CHECK(eventually([&] {
    size_t Seen = 0;
    for (size_t I = 0; I < 3; ++I) {
      for (const auto &Record :
           Cluster.Instances[I]->peerNode().status().Members) {
        Seen += Record.View.Id.Value == "entry-3" &&
                        Record.View.State == peers::MemberState::Leaving
                    ? 1
                    : 0;
      }
    }
    return Seen == 3;
  }));
  Stopped.get_future().wait();
}

// Guards against calls that reach another incarnation, or that report NotSent
// although they may have been executed; TicketService depends on both.
TEST_CASE("a peer call reaches only the addressed incarnation or reports "
          "whether it may have run",
          "[daemon]") {
  PeerFixture Cluster(2);
  REQUIRE(Cluster.allReady());
  auto &Issuer = Cluster.Instances[1]->peerNode();
  auto Ask = [&](base::Incarnation Process, base::Duration Timeout) {
    auto Promise = std::make_shared<std::promise<daemon::PeerCallResult>>();
    auto Future = Promise->get_future();
    Cluster.Instances[0]->peerNode().peerCall()(
        base::InstanceId("entry-1"), Process, "payload",
        base::Clock::now() + Timeout, [Promise](daemon::PeerCallResult Result) {
          Promise->set_value(std::move(Result));
        });
    return Future.get();
  };
  using daemon::PeerCallError;
  Issuer.setCallHandler(nullptr); // Replaces the handler of TicketService.
  CHECK(std::get<PeerCallError>(Ask(Issuer.process(), 2s)) ==
        PeerCallError::NotSent);
  Issuer.setCallHandler([](const std::string &Payload,
                           const std::function<void(std::string)> &Reply) {
    Reply(Payload + " served");
  });
  CHECK(std::get<std::string>(Ask(Issuer.process(), 2s)) == "payload served");
  base::Incarnation Older(Issuer.process().Value - 1);
  CHECK(std::get<PeerCallError>(Ask(Older, 2s)) == PeerCallError::NotSent);
  Issuer.setCallHandler(
      [](const std::string &, const std::function<void(std::string)> &) {});
  CHECK(std::get<PeerCallError>(Ask(Issuer.process(), 100ms)) ==
        PeerCallError::NoReply);
}
