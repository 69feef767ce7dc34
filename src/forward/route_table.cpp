#include "forward/route_table_func.h"

#include <algorithm>
#include <cmath>
#include <set>
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

size_t requiredParts(const Route &RouteConfig) {
  // Without the tolerance, floating-point error could turn 0.56 of 25 shards
  // into 15 instead of 14.
  constexpr double Tolerance = 1e-9;
  double Exact = RouteConfig.MinShardShare *
                 static_cast<double>(RouteConfig.Shards.size());
  auto Needed = static_cast<size_t>(std::ceil(Exact - Tolerance));
  return std::clamp<size_t>(Needed, 1,
                            std::max<size_t>(1, RouteConfig.Shards.size()));
}

std::unordered_set<std::string> findDeferrable(const RouteTable &Table) {
  using std::chrono::milliseconds;
  std::unordered_map<std::string_view, milliseconds>
      ShortestTargetLatency; // By shard.
  for (const Route &Entry : Table.Routes) {
    for (const std::string &Shard : Entry.Shards) {
      auto [Known, New] =
          ShortestTargetLatency.try_emplace(Shard, Entry.TargetLatency);
      Known->second = std::min(Known->second, Entry.TargetLatency);
    }
  }
  std::unordered_set<std::string> Deferrable;
  for (const Route &Entry : Table.Routes) {
    bool SharesUrgentShard = std::any_of(
        Entry.Shards.begin(), Entry.Shards.end(), [&](const auto &Shard) {
          return ShortestTargetLatency.at(Shard) * 2 <= Entry.TargetLatency;
        });
    if (SharesUrgentShard) {
      Deferrable.insert(Entry.Name);
    }
  }
  return Deferrable;
}

std::unordered_map<std::string, std::vector<const Route *>>
findMoreUrgent(const RouteTable &Table) {
  std::unordered_map<std::string_view, std::vector<const Route *>> Users;
  auto ForEachService = [](const Route &Entry, const auto &Visit) {
    for (const std::string &Shard : Entry.Shards) {
      Visit(Shard);
    }
    for (const WeightedService &Choice : Entry.Choices) {
      Visit(Choice.Service);
    }
  };
  for (const Route &Entry : Table.Routes) {
    ForEachService(Entry, [&](const std::string &Service) {
      Users[Service].push_back(&Entry);
    });
  }
  std::unordered_map<std::string, std::vector<const Route *>> Result;
  for (const Route &Entry : Table.Routes) {
    std::set<const Route *> MoreUrgent;
    ForEachService(Entry, [&](const std::string &Service) {
      for (const Route *Other : Users[Service]) {
        if (Other->Priority < Entry.Priority) {
          MoreUrgent.insert(Other);
        }
      }
    });
    if (!MoreUrgent.empty()) {
      Result[Entry.Name] = {MoreUrgent.begin(), MoreUrgent.end()};
    }
  }
  return Result;
}

} // namespace hickorycrank::forward
