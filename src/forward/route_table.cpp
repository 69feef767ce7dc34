#include "forward/route_table_func.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace hickorycrank::forward {

const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Target) {
  Host = Host.substr(0, Host.find(':'));
  std::string_view Path = Target.substr(0, Target.find('?'));
  const Route *Best = nullptr;
  for (const Route &Candidate : Table.Routes) {
    if (Candidate.Host != Host || !Path.starts_with(Candidate.Prefix)) {
      continue;
    }
    if (Best == nullptr || Best->Prefix.size() < Candidate.Prefix.size()) {
      Best = &Candidate;
    }
  }
  return Best;
}

size_t requiredParts(const Route &Source) {
  // The tolerance keeps 0.9 of 10 shards at 9 in spite of binary fractions.
  constexpr double Tolerance = 1e-9;
  double Exact =
      Source.MinShardShare * static_cast<double>(Source.Shards.size());
  auto Needed = static_cast<size_t>(std::ceil(Exact - Tolerance));
  return std::clamp<size_t>(Needed, 1,
                            std::max<size_t>(1, Source.Shards.size()));
}

std::unordered_set<std::string> findDeferrable(const RouteTable &Table) {
  using std::chrono::milliseconds;
  std::unordered_map<std::string_view, milliseconds> Shortest; // By shard.
  for (const Route &Entry : Table.Routes) {
    for (const std::string &Shard : Entry.Shards) {
      auto [Known, New] = Shortest.try_emplace(Shard, Entry.Target);
      Known->second = std::min(Known->second, Entry.Target);
    }
  }
  std::unordered_set<std::string> Found;
  for (const Route &Entry : Table.Routes) {
    bool Waits = std::any_of(Entry.Shards.begin(), Entry.Shards.end(),
                             [&](const auto &Shard) {
                               return Shortest.at(Shard) * 2 <= Entry.Target;
                             });
    if (Waits) {
      Found.insert(Entry.Name);
    }
  }
  return Found;
}

} // namespace hickorycrank::forward
