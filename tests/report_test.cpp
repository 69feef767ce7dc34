// Tests of backend server reports: the version index built from them, and
// reports without the versions that the instance already knows.
#include "base/random_base.h"
#include "loopback.h"
#include "property.h"
#include "routing/directory_base.h"

using namespace hickorycrank;
using namespace hickorycrank::tests;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

base::ServerId serverName(uint32_t Index) {
  return base::ServerId("server-" + std::to_string(Index));
}

std::vector<routing::ServerListing> listServers(uint32_t Count) {
  std::vector<routing::ServerListing> Listed;
  for (uint32_t I = 0; I < Count; ++I) {
    routing::ServerListing Entry;
    Entry.Server = serverName(I);
    Entry.Address = "127.0.0.1:" + std::to_string(1000 + I);
    Entry.Process = base::Incarnation(1);
    Listed.push_back(Entry);
  }
  return Listed;
}

routing::VersionReport holding(uint64_t Version, uint32_t Shards,
                               const std::vector<uint32_t> &Holds) {
  routing::Layout Result{base::VersionId(Version), {}};
  for (uint32_t I = 0; I < Shards; ++I) {
    Result.Shards.push_back("shard-" + std::to_string(I));
  }
  routing::VersionReport Report{
      std::make_shared<const routing::Layout>(std::move(Result)), {}};
  for (uint32_t Shard : Holds) {
    Report.Holds.emplace_back(Shard);
  }
  return Report;
}

routing::ServerReport report(uint32_t Server,
                             std::vector<routing::VersionReport> Versions,
                             uint64_t Process = 1) {
  routing::ServerReport Result;
  Result.Server = serverName(Server);
  Result.Process = base::Incarnation(Process);
  Result.Versions = std::move(Versions);
  Result.HasVersions = true;
  return Result;
}

/** Returns the version index as text, to compare two directories: for each
 * version VERSIONxSHARDS#REPORTERS: and the servers of each shard, ended by ;
 */
std::string describeIndex(const routing::Directory &Servers) {
  std::string Text;
  for (const auto &[Version, State] : Servers.versions()) {
    Text += std::to_string(Version.Value) + "x" +
            std::to_string(State.ShardLayout->Shards.size()) + "#" +
            std::to_string(State.Reporters) + ":";
    for (const auto &Holders : State.Holders) {
      for (base::ServerIndex Index : Holders) {
        Text += std::to_string(Index.Value) + ",";
      }
      Text += ";";
    }
  }
  return Text;
}

/** Applies a random change to a directory of ServerCount servers. */
void applyRandomChange(routing::Directory &Servers, base::Random &Generator) {
  constexpr uint32_t ServerCount = 6;
  constexpr uint32_t ShardCount = 4;
  auto Server = static_cast<uint32_t>(Generator.below(ServerCount));
  switch (Generator.below(6)) {
  case 0: {
    auto Listed = listServers(ServerCount);
    Listed.erase(Listed.begin() + Server);
    Servers.applyList(Start, Listed);
    break;
  }
  case 1:
    Servers.applyList(Start, listServers(ServerCount));
    break;
  case 2:
    Servers.dropVersion(base::ServerIndex(Server),
                        base::VersionId(1 + Generator.below(3)));
    break;
  case 3:
    Servers.markLeaving(serverName(Server),
                        base::Incarnation(1 + Generator.below(2)));
    break;
  default: {
    std::vector<routing::VersionReport> Versions;
    for (uint64_t Version = 1; Version <= 3; ++Version) {
      if (Generator.below(2) == 0) {
        continue;
      }
      std::vector<uint32_t> Holds;
      for (uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
        if (Generator.below(2) == 0) {
          Holds.push_back(Shard);
        }
      }
      Versions.push_back(holding(Version, ShardCount, Holds));
    }
    Servers.applyReport(
        Start, report(Server, std::move(Versions), 1 + Generator.below(2)));
  }
  }
}

} // namespace

// Guards against errors in the incremental update of the version index, which
// would let it diverge from the servers' states. Applying a list rebuilds the
// index, which gives the expected value.
TEST_CASE("the incrementally updated version index equals a rebuilt one",
          "[reports]") {
  checkProperty(
      [](uint64_t Seed) {
        base::Random Generator(Seed);
        routing::Directory Servers(routing::Policy{}, 3);
        Servers.applyList(Start, listServers(6));
        for (int Step = 0; Step < 40; ++Step) {
          applyRandomChange(Servers, Generator);
          std::vector<routing::ServerListing> Listed;
          for (const routing::ServerState &Server : Servers.servers()) {
            if (Server.Phase != routing::ServerPhase::Gone) {
              Listed.push_back({Server.Id, Server.Address, Server.Domain,
                                Server.Process, false});
            }
          }
          routing::Directory Rebuilt = Servers;
          Rebuilt.applyList(Start, Listed);
          RC_ASSERT(describeIndex(Servers) == describeIndex(Rebuilt));
        }
      },
      100);
}

// Guards against ignoring a layout for ever because a conflicting one was
// reported first, by a server that no longer holds it.
TEST_CASE("a conflicting layout is used once the first one is gone",
          "[reports]") {
  routing::Directory Servers(routing::Policy{}, 3);
  Servers.applyList(Start, listServers(2));
  Servers.applyReport(Start, report(0, {holding(1, 4, {0})}));
  Servers.applyReport(Start, report(1, {holding(1, 5, {4})}));
  CHECK(describeIndex(Servers) == "1x4#1:0,;;;;");
  Servers.applyReport(Start, report(0, {}));
  CHECK(describeIndex(Servers) == "1x5#1:;;;;1,;");
}

// Guards against the digest of an earlier process suppressing the versions of
// the new one.
TEST_CASE("a digest is valid for one process and until a version is dropped",
          "[reports]") {
  routing::Directory Servers(routing::Policy{}, 3);
  Servers.applyList(Start, listServers(1));
  base::ServerIndex Index(0);
  auto FullReport = report(0, {holding(1, 2, {0, 1})});
  FullReport.VersionsDigest = "d1";
  CHECK_FALSE(Servers.applyReport(Start, FullReport).NeedsVersions);
  CHECK(Servers.at(Index).VersionsDigest == "d1");
  auto ShortReport = FullReport;
  ShortReport.HasVersions = false;
  ShortReport.Versions.clear();
  CHECK_FALSE(Servers.applyReport(Start, ShortReport).NeedsVersions);
  CHECK(describeIndex(Servers) == "1x2#1:0,;0,;");
  Servers.dropVersion(Index, base::VersionId(1));
  CHECK(Servers.at(Index).VersionsDigest.empty());
  Servers.applyReport(Start, FullReport);
  ShortReport.Process = base::Incarnation(2);
  CHECK(Servers.applyReport(Start, ShortReport).NeedsVersions);
  CHECK(Servers.at(Index).VersionsDigest.empty());
}

// Guards against reports that repeat the layout every second, against missing a
// new version, and against not using a server that sends no digests.
TEST_CASE("unchanged versions are left out of reports", "[reports]") {
  Loopback Site(1);
  Site.Deployment.server("stock", 0)
      .change([](standin::BackendBehaviour &Behaviour) {
        Behaviour.OfferDigest = false;
      });
  REQUIRE(Site.waitUntilServing(0));
  auto BytesPerReport = [&](size_t Server) {
    auto Before = Site.Deployment.server("stock", Server).counters();
    REQUIRE(eventually([&] {
      return Site.Deployment.server("stock", Server).counters().Reports >=
             Before.Reports + 3;
    }));
    auto After = Site.Deployment.server("stock", Server).counters();
    return (After.ReportBytes - Before.ReportBytes) /
           (After.Reports - Before.Reports);
  };
  uint64_t FullBytes = BytesPerReport(0);
  uint64_t ShortBytes = BytesPerReport(1);
  WARN("bytes of a report: " << FullBytes << " with versions, " << ShortBytes
                             << " without");
  CHECK(ShortBytes < FullBytes);

  // Replies carry the digest, so a busy server needs no extra report requests.
  auto Load = Site.callers(1);
  Load->run({Loopback::cartSearch(200)}, std::chrono::seconds(1));
  auto Before = Site.Deployment.server("stock", 1).counters();
  Load->run({Loopback::cartSearch(200)}, std::chrono::seconds(4));
  auto After = Site.Deployment.server("stock", 1).counters();
  WARN("reports asked for in 4 s under load: "
       << After.Reports - Before.Reports << " besides "
       << After.Served - Before.Served << " replies");
  CHECK(After.Reports - Before.Reports <
        3); // An idle server is asked four times in 4 s.

  Site.Deployment.setVersions("stock", {2});
  CHECK(eventually(
      [&] {
        auto Answer = Site.ask(0, "cart-search", R"({"colour":"blue"})");
        return hasFullCoverage(Answer) &&
               Answer.Body.at("snapshot").to_number<uint64_t>() == 2;
      },
      std::chrono::seconds(3)));
}
