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
  for (const InstanceId &Entry : Candidates) {
    Ranked.emplace_back(base::stableHash(Entry.Value, Seed), &Entry);
  }
  size_t Taken = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<ptrdiff_t>(Taken),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return Left.first != Right.first
                                 ? Left.first > Right.first
                                 : *Left.second < *Right.second;
                    });
  std::vector<InstanceId> Chosen;
  for (size_t I = 0; I < Taken; ++I) {
    Chosen.push_back(*Ranked[I].second);
  }
  return Chosen;
}

bool isReader(const base::FailureDomainId &Domain, const InstanceId &Own,
              const std::vector<InstanceId> &Others) {
  std::vector<InstanceId> Candidates = Others;
  Candidates.push_back(Own);
  auto Chosen =
      chooseInstances("reader/" + Domain.Value, Candidates, ReadersPerDomain);
  return std::find(Chosen.begin(), Chosen.end(), Own) != Chosen.end();
}

std::vector<base::ServerId>
chooseSubset(const InstanceId &Own, const std::vector<InstanceId> &Instances,
             const std::vector<base::ServerId> &Servers, size_t Holders) {
  std::vector<base::ServerId> Held;
  for (const base::ServerId &Server : Servers) {
    uint64_t Seed = base::stableHash("holder/" + Server.Value);
    uint64_t Rank = base::stableHash(Own.Value, Seed);
    size_t Better = 0;
    for (const InstanceId &Entry : Instances) {
      uint64_t Other = base::stableHash(Entry.Value, Seed);
      if (Other > Rank || (Other == Rank && Entry < Own)) {
        ++Better;
      }
    }
    if (Better < Holders) {
      Held.push_back(Server);
    }
  }
  return Held;
}

} // namespace hickorycrank::peers
