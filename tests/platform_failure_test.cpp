// Failures of the platform and of published configurations, on loopback.
#include "loopback.h"

#include "config/document_func.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using standin::PlatformFault;

namespace {

/** Revision in force at an instance. */
uint64_t revision(Loopback &Cluster, size_t Index) {
  return Cluster.Instances[Index]->tier().configurationVersion().Number.Value;
}

/** Whether a counter of an instance shows a sample that is not 0. */
bool counts(Loopback &Cluster, const std::string &Name) {
  return Cluster.Instances[0]->tier().metrics().render().find(Name) !=
         std::string::npos;
}

/** A manifest whose document is not at the platform. */
std::string manifestOfMissing(uint64_t Revision) {
  return "revision = " + std::to_string(Revision) +
         "\n[documents]\n\"service/stock\" = \"" + std::string(64, '0') +
         "\"\n";
}

/** A platform whose manifest names a document that it lacks, and its reader. */
class LoneReader {
public:
  explicit LoneReader(daemon::DocumentRetries Retries) {
    this->Platform.setValue(
        "hickorycrank/manifest",
        config::formatManifest(base::Revision(2), this->Documents));
    daemon::PlatformCallbacks Callbacks;
    Callbacks.OnConfiguration = [this](const config::ConfigurationTexts &) {
      ++this->Whole;
    };
    Callbacks.OnInstances = [](const net::InstanceList &) {};
    Callbacks.FindDocument = [this](const std::string &) {
      this->ManifestRead = true;
      return std::string();
    };
    Callbacks.OnDocumentsMissing = [this](base::Revision Number) {
      this->Abandoned += Number == base::Revision(2) ? 1 : 100;
    };
    this->Reader = std::make_shared<daemon::PlatformReader>(
        this->Running.Context,
        std::vector<config::Endpoint>{this->Platform.endpoint()}, 1,
        std::move(Callbacks), Retries);
    this->Reader->start();
  }

  ~LoneReader() {
    this->Reader->stop();
    this->Platform.stop();
    this->Running.join();
    this->Reader->release();
  }
  LoneReader(const LoneReader &) = delete;
  LoneReader &operator=(const LoneReader &) = delete;

  Runner Running{2};
  standin::Platform Platform{this->Running.Context, {"127.0.0.1", 0}};
  std::map<std::string, std::string> Documents{{"service/s", "text"}};
  std::atomic<bool> ManifestRead{false};
  std::atomic<uint32_t> Abandoned{0};
  std::atomic<uint32_t> Whole{0};
  std::shared_ptr<daemon::PlatformReader> Reader;
};

} // namespace

// Guards against an instance that forgets its servers or configuration while
// the platform gives errors or no answers.
TEST_CASE("queries go on while the platform is down or stalled", "[platform]") {
  for (PlatformFault Fault : {PlatformFault::Down, PlatformFault::Stalled}) {
    Loopback Cluster(1);
    REQUIRE(Cluster.waitUntilServing(0));
    Cluster.Deployment.platform().setFault(Fault);
    // Ends the waiting watches, so that the next calls meet the fault.
    Cluster.Deployment.platform().setValue("hickorycrank/manifest",
                                           "revision = 0");
    Cluster.Deployment.listEntries(
        {{"entry-0", "entry", "",
          config::toString(Cluster.Instances[0]->peerEndpoint()), "domain-1", 1,
          false}});
    Cluster.Deployment.server("stock", 0).crash();
    auto Results = Cluster.callers(5)->run({Loopback::cartSearch(40)},
                                           std::chrono::seconds(1));
    const standin::LoadResult &Result = Results.at("cart-search");
    CHECK(Result.Answers == Result.Queries);
    CHECK(revision(Cluster, 0) == 1);
    CHECK(eventually([&] {
      return hasFullCoverage(Cluster.ask(0, "stock-sweep", R"({"week":15})"));
    }));
  }
}

// Guards against an instance that serves without any configuration.
TEST_CASE("an instance that cannot read the platform is not ready",
          "[platform]") {
  Loopback Cluster(0);
  Cluster.Deployment.platform().setFault(PlatformFault::Down);
  Cluster.addInstance();
  auto Response = Cluster.ask(0, "cart-search", R"({"colour":"pink"})");
  CHECK(kindOf(Response) == "not_ready");
  CHECK(ranOf(Response) == "not_run");
  Cluster.Deployment.platform().setFault(PlatformFault::None);
  CHECK(Cluster.waitUntilServing(0));
}

// Guards against a revision that is put in force in parts: the valid change
// beside the invalid one must not show either.
TEST_CASE("an invalid configuration is refused whole and the old one stays",
          "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  auto Changed = Cluster.Documents;
  std::string &Search = Changed.at("template/cart-search");
  Search.replace(Search.find("limit = 20"), 10, "limit = 1");
  std::string &Sweep = Changed.at("template/stock-sweep");
  Sweep.replace(Sweep.find("deadline_ms = 5000"), 18, "deadline_ms = -1");
  Cluster.Deployment.platform().publish(2, Changed);
  CHECK(eventually(
      [&] { return counts(Cluster, "hickorycrank_configuration_errors"); }));
  CHECK(revision(Cluster, 0) == 1);
  auto Response = Cluster.ask(0, "cart-search", R"({"colour":"red"})");
  REQUIRE(Response.Status == 200);
  CHECK(Response.Body.at("results").as_array().size() == 18);
  Sweep = Cluster.Documents.at("template/stock-sweep");
  Cluster.Deployment.platform().publish(3, Changed);
  CHECK(eventually([&] { return revision(Cluster, 0) == 3; }));
  Response = Cluster.ask(0, "cart-search", R"({"colour":"red"})");
  REQUIRE(Response.Status == 200);
  CHECK(Response.Body.at("results").as_array().size() == 1);
}

// Guards against an instance that cannot be configured any more after a
// manifest that cannot be read or whose documents are missing.
TEST_CASE("a broken manifest does not block the next one", "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  standin::Platform &Platform = Cluster.Deployment.platform();
  Platform.setValue("hickorycrank/manifest", "revision = [");
  Platform.setValue("hickorycrank/manifest", manifestOfMissing(2));
  Platform.publish(3, Cluster.Documents);
  CHECK(eventually([&] { return revision(Cluster, 0) == 3; }));
  CHECK(hasFullCoverage(Cluster.ask(0, "cart-search", R"({"colour":"pink"})")));
}

// Guards against readers that ask the platform for ever for a document that was
// never published, and against one that misses the next good revision.
TEST_CASE("reading a manifest without its documents is bounded", "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  standin::Platform &Platform = Cluster.Deployment.platform();
  uint64_t Before = Platform.calls();
  Platform.setValue("hickorycrank/manifest", manifestOfMissing(2));
  REQUIRE(eventually(
      [&] { return counts(Cluster, "hickorycrank_configuration_abandoned"); },
      std::chrono::seconds(20)));
  // 6 tries for the document, and one call for each watch that begins again.
  CHECK(Platform.calls() - Before <= 10U);
  uint64_t AtEnd = Platform.calls();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CHECK(Platform.calls() - AtEnd <= 2U);
  CHECK(revision(Cluster, 0) == 1);
  CHECK(hasFullCoverage(Cluster.ask(0, "cart-search", R"({"colour":"pink"})")));
  Platform.publish(3, Cluster.Documents);
  CHECK(eventually([&] { return revision(Cluster, 0) == 3; }));
}

// Guards against a reader that goes on asking for the documents of a manifest
// that a later one has replaced.
TEST_CASE("a later manifest ends the reading of the one before", "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  standin::Platform &Platform = Cluster.Deployment.platform();
  Platform.setValue("hickorycrank/manifest", manifestOfMissing(2));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Platform.publish(3, Cluster.Documents);
  REQUIRE(eventually([&] { return revision(Cluster, 0) == 3; }));
  uint64_t Before = Platform.calls();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CHECK(Platform.calls() - Before <= 2U);
  CHECK_FALSE(counts(Cluster, "hickorycrank_configuration_abandoned"));
}

// Guards against a document that is never read because it was published some
// time after the manifest that names it.
TEST_CASE("documents that appear after their manifest are found",
          "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  standin::Platform &Platform = Cluster.Deployment.platform();
  auto Changed = Cluster.Documents;
  Changed.at("template/cart-search") += "# changed\n";
  Platform.setValue("hickorycrank/manifest",
                    config::formatManifest(base::Revision(2), Changed));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(revision(Cluster, 0) == 1);
  Platform.publish(2, Changed);
  CHECK(eventually([&] { return revision(Cluster, 0) == 2; }));
}

// Guards against a manifest that is forgotten once it was given up: a document
// published much later must still be found, with few calls until then.
TEST_CASE("an abandoned manifest is read again at long intervals",
          "[platform]") {
  LoneReader Rig(
      {std::chrono::milliseconds(5), std::chrono::milliseconds(200)});
  REQUIRE(eventually([&] { return Rig.Abandoned >= 3; }));
  uint64_t Calls = Rig.Reader->calls();
  // Each time after the first costs one call; three more are the watches.
  CHECK(Calls <= daemon::PlatformReader::MaxDocumentFailures +
                     Rig.Abandoned.load() - 1 + 4);
  CHECK(Rig.Whole == 0);
  Rig.Platform.publish(2, Rig.Documents);
  CHECK(eventually([&] { return Rig.Whole == 1; }));
}

// Guards against a platform that is down being taken for a missing document,
// so that a revision comes in force a minute after the platform is back.
TEST_CASE("a platform that is down does not abandon a manifest", "[platform]") {
  LoneReader Rig({std::chrono::milliseconds(50), std::chrono::minutes(1)});
  REQUIRE(eventually([&] { return Rig.ManifestRead.load(); }));
  Rig.Platform.setFault(standin::PlatformFault::Down);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CHECK(Rig.Abandoned == 0);
  Rig.Platform.publish(2, Rig.Documents);
  Rig.Platform.setFault(standin::PlatformFault::None);
  CHECK(eventually([&] { return Rig.Whole != 0; }, std::chrono::seconds(3)));
}

// Guards against a configuration that reverts when a stale one is published.
TEST_CASE("an older revision never replaces the one in force", "[platform]") {
  Loopback Cluster(1);
  REQUIRE(Cluster.waitUntilServing(0));
  Cluster.Deployment.platform().publish(5, Cluster.Documents);
  REQUIRE(eventually([&] { return revision(Cluster, 0) == 5; }));
  uint64_t Calls = Cluster.Deployment.platform().calls();
  Cluster.Deployment.platform().publish(4, Cluster.Documents);
  // The watch that delivered revision 4 has ended once a new one waits.
  CHECK(eventually(
      [&] { return Cluster.Deployment.platform().calls() > Calls; }));
  CHECK(revision(Cluster, 0) == 5);
  Cluster.Deployment.platform().publish(6, Cluster.Documents);
  CHECK(eventually([&] { return revision(Cluster, 0) != 5; }));
  CHECK(revision(Cluster, 0) == 6);
}
