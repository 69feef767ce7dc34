#include "peers/selection_func.h"

#include "base/digest_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::peers {

using base::InstanceId;

std::vector<InstanceId>
chooseInstances(std::string_view Key, const std::vector<InstanceId> &Candidates,
                size_t Count) {
  uint64_t Seed = base::stableHash(Key);
  std::vector<std::pair<uint64_t, const InstanceId *>> Ranked;
  Ranked.reserve(Candidates.size());
  for (const InstanceId &Instance : Candidates) {
    Ranked.emplace_back(base::stableHash(Instance.Value, Seed), &Instance);
  }
  size_t Selected = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<ptrdiff_t>(Selected),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return Left.first != Right.first
                                 ? Left.first > Right.first
                                 : *Left.second < *Right.second;
                    });
  std::vector<InstanceId> Chosen;
  for (size_t I = 0; I < Selected; ++I) {
    Chosen.push_back(*Ranked[I].second);
  }
  return Chosen;
}

bool isReader(const base::FailureDomainId &Domain, const InstanceId &Own,
              const std::vector<InstanceId> &LivePeers) {
  std::vector<InstanceId> Candidates = LivePeers;
  Candidates.push_back(Own);
  auto Chosen =
      chooseInstances("reader/" + Domain.Value, Candidates, ReadersPerDomain);
  return std::find(Chosen.begin(), Chosen.end(), Own) != Chosen.end();
}

std::vector<base::ServerId>
chooseSubset(const InstanceId &Own, const std::vector<InstanceId> &Instances,
             const std::vector<base::ServerId> &Servers,
             size_t InstancesPerServer) {
  std::vector<base::ServerId> Selected;
  for (const base::ServerId &Server : Servers) {
    uint64_t Seed = base::stableHash("holder/" + Server.Value);
    uint64_t Rank = base::stableHash(Own.Value, Seed);
    size_t HigherRanked = 0;
    for (const InstanceId &Instance : Instances) {
      uint64_t OtherRank = base::stableHash(Instance.Value, Seed);
      if (OtherRank > Rank || (OtherRank == Rank && Instance < Own)) {
        ++HigherRanked;
      }
    }
    if (HigherRanked < InstancesPerServer) {
      Selected.push_back(Server);
    }
  }
  return Selected;
}

} // namespace hickorycrank::peers
