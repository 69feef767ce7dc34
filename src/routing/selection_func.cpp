#include "routing/selection_func.h"

#include "base/digest_func.h"
#include "routing/server_func.h"

#include <algorithm>
#include <array>

namespace hickorycrank::routing {

using base::ServerIndex;
using base::ShardIndex;
using base::TimePoint;

namespace {

/** Replicas of a shard that are considered. Further ones are ignored; they are
 * not needed for load balancing. */
constexpr size_t MaxCandidates = 16;

/** A list of fixed capacity, which avoids an allocation per attempt. */
struct Candidates {
  std::array<ServerIndex, MaxCandidates> Items;
  size_t Count = 0;

  /** @param Index Added unless the list is full. */
  void add(ServerIndex Index) {
    if (this->Count < MaxCandidates) {
      this->Items[this->Count++] = Index;
    }
  }
};

/** A version is preferred if every needed shard has at least this many usable
 * replicas. */
constexpr size_t MinRedundantReplicas = 2;

/** Availability of the needed shards of one version. */
struct ShardAvailability {
  size_t Reachable = 0; ///< Shards with at least one usable replica.
  size_t Redundant = 0; ///< Shards with at least MinRedundantReplicas.
};

/**
 * Counts the needed shards that usable servers hold, by redundancy.
 * @param Servers Directory.
 * @param State Version to look at.
 * @param Needed Needed shards.
 * @param Now Current time.
 * @return Numbers of shards.
 */
ShardAvailability measureAvailability(const Directory &Servers,
                                      const VersionState &State,
                                      const std::vector<ShardIndex> &Needed,
                                      TimePoint Now) {
  ShardAvailability Measured;
  for (ShardIndex Shard : Needed) {
    size_t Usable = 0;
    for (ServerIndex Index : State.Holders[Shard.Value]) {
      const ServerState &Server = Servers.at(Index);
      // A server that sheds load counts as reachable: it accepts work again
      // soon.
      Usable += Server.Phase == ServerPhase::Live && Now >= Server.EjectedUntil
                    ? 1
                    : 0;
      if (Usable >= MinRedundantReplicas) {
        break;
      }
    }
    Measured.Reachable += Usable >= 1 ? 1 : 0;
    Measured.Redundant += Usable >= MinRedundantReplicas ? 1 : 0;
  }
  return Measured;
}

/**
 * Selects one of the candidates by the replica rule of the policy.
 * @param Servers Directory.
 * @param Pool Candidates, at least one.
 * @param TypicalLatency Median latency in milliseconds.
 * @param Now Current time.
 * @param Generator Source of random draws.
 * @return The chosen one.
 */
ServerIndex drawCandidate(const Directory &Servers, const Candidates &Pool,
                          double TypicalLatency, TimePoint Now,
                          base::Random &Generator) {
  size_t First = Generator.below(Pool.Count);
  if (Pool.Count == 1 || Servers.policy().Replica == ReplicaRule::Random) {
    return Pool.Items[First];
  }
  size_t Second = Generator.below(Pool.Count - 1);
  Second += Second >= First ? 1 : 0;
  const Policy &Rules = Servers.policy();
  double Left =
      expectedCost(Servers.at(Pool.Items[First]), Rules, TypicalLatency, Now);
  double Right =
      expectedCost(Servers.at(Pool.Items[Second]), Rules, TypicalLatency, Now);
  return Left <= Right ? Pool.Items[First] : Pool.Items[Second];
}

} // namespace

std::vector<ShardIndex> resolveShards(const ShardRequest &Wanted,
                                      const Layout &ShardLayout) {
  std::vector<ShardIndex> Needed;
  switch (Wanted.Selection) {
  case config::ShardSelection::All:
    Needed.reserve(ShardLayout.Shards.size());
    for (uint32_t I = 0; I < ShardLayout.Shards.size(); ++I) {
      Needed.emplace_back(I);
    }
    break;
  case config::ShardSelection::ByKey:
    if (!ShardLayout.Shards.empty()) {
      Needed.emplace_back(static_cast<uint32_t>(base::stableHash(Wanted.Key) %
                                                ShardLayout.Shards.size()));
    }
    break;
  case config::ShardSelection::Listed:
    for (const std::string &Name : Wanted.Names) {
      auto Found =
          std::find(ShardLayout.Shards.begin(), ShardLayout.Shards.end(), Name);
      if (Found != ShardLayout.Shards.end()) {
        Needed.emplace_back(
            static_cast<uint32_t>(Found - ShardLayout.Shards.begin()));
      }
    }
    break;
  }
  return Needed;
}

std::optional<PinnedVersion> chooseVersion(const Directory &Servers,
                                           const ShardRequest &Wanted,
                                           config::SnapshotRule Rule,
                                           base::VersionId NewerThan,
                                           TimePoint Now) {
  std::optional<PinnedVersion> Best;
  double BestCoverage = -1;
  const auto &Versions = Servers.versions();
  for (auto It = Versions.rbegin(); It != Versions.rend(); ++It) {
    if (It->first <= NewerThan) {
      break;
    }
    PinnedVersion Candidate{It->first, It->second.ShardLayout,
                            resolveShards(Wanted, *It->second.ShardLayout), 0};
    if (Candidate.Needed.empty()) {
      continue;
    }
    ShardAvailability Measured =
        measureAvailability(Servers, It->second, Candidate.Needed, Now);
    Candidate.Reachable = Measured.Reachable;
    double Coverage = static_cast<double>(Candidate.Reachable) /
                      static_cast<double>(Candidate.Needed.size());
    // A version with a single replica of a shard would direct all requests for
    // that shard to one server.
    bool Redundant = Measured.Redundant == Candidate.Needed.size();
    if (Coverage > BestCoverage || (Redundant && Coverage >= BestCoverage)) {
      BestCoverage = Coverage;
      Best = std::move(Candidate);
    }
    if (Redundant || Rule == config::SnapshotRule::Newest) {
      break;
    }
  }
  return Best;
}

std::optional<ServerIndex>
chooseReplica(const Directory &Servers, base::VersionId Version,
              ShardIndex Shard, std::span<const ServerIndex> Exclude,
              const base::FailureDomainId &Own, double TypicalLatency,
              TimePoint Now, base::Random &Generator) {
  auto Found = Servers.versions().find(Version);
  if (Found == Servers.versions().end()) {
    return std::nullopt;
  }
  Candidates OwnDomain;
  Candidates OtherDomains;
  Candidates Tried;
  for (ServerIndex Index : Found->second.Holders[Shard.Value]) {
    const ServerState &Server = Servers.at(Index);
    if (!hasCapacity(Server, Servers.policy(), Now)) {
      continue;
    }
    if (std::find(Exclude.begin(), Exclude.end(), Index) != Exclude.end()) {
      Tried.add(Index);
    } else if (Server.Domain == Own) {
      OwnDomain.add(Index);
    } else {
      OtherDomains.add(Index);
    }
  }
  if (OwnDomain.Count != 0 && OtherDomains.Count != 0) {
    ServerIndex Local =
        drawCandidate(Servers, OwnDomain, TypicalLatency, Now, Generator);
    ServerIndex Remote =
        drawCandidate(Servers, OtherDomains, TypicalLatency, Now, Generator);
    const Policy &Rules = Servers.policy();
    if (Rules.Replica == ReplicaRule::Random) {
      return Generator.below(OwnDomain.Count + OtherDomains.Count) <
                     OwnDomain.Count
                 ? Local
                 : Remote;
    }
    double MaxLocalCost =
        Rules.MaxOwnDomainCostRatio *
        expectedCost(Servers.at(Remote), Rules, TypicalLatency, Now);
    return expectedCost(Servers.at(Local), Rules, TypicalLatency, Now) <=
                   MaxLocalCost
               ? Local
               : Remote;
  }
  for (const Candidates *Pool : {&OwnDomain, &OtherDomains, &Tried}) {
    if (Pool->Count != 0) {
      return drawCandidate(Servers, *Pool, TypicalLatency, Now, Generator);
    }
  }
  return std::nullopt;
}

} // namespace hickorycrank::routing
