#include "forward/placement_func.h"

#include "forward/route_table_func.h"

#include <algorithm>

namespace hickorycrank::forward {

namespace {

/** Longest time for which a server gets no requests after a rejection. A longer
 * statement is rather a mistake, and with it a service could be lost to this
 * instance although its servers have recovered. */
constexpr std::chrono::milliseconds MaxPause = std::chrono::minutes(5);

/** @return Whether the server could receive requests if placement allowed it.
 */
bool acceptsWork(const Server &Backend) {
  return !Backend.Entry.Leaving && !Backend.Misdirected;
}

} // namespace

DomainFilter allowedDomains(const Route &RouteConfig,
                            const RegionMap &Regions) {
  const std::vector<std::string> &Allowed = RouteConfig.AllowedRegions;
  if (Allowed.empty()) {
    return nullptr;
  }
  DomainSet Domains;
  for (const auto &[Domain, Region] : Regions) {
    if (std::find(Allowed.begin(), Allowed.end(), Region) != Allowed.end()) {
      Domains.insert(Domain);
    }
  }
  return std::make_shared<const DomainSet>(std::move(Domains));
}

bool isAllowed(const DomainFilter &Allowed,
               const base::FailureDomainId &Domain) {
  return !Allowed || Allowed->contains(Domain);
}

bool isUsable(const Server &Backend, const DomainFilter &Allowed) {
  return acceptsWork(Backend) && !Backend.Evacuated &&
         isAllowed(Allowed, Backend.Entry.Domain);
}

PlacementObstacle findObstacle(const ServicePool &Pool,
                               const DomainFilter &Allowed) {
  auto Found = PlacementObstacle::None;
  for (const Server *Entry : Pool.Servers) {
    if (!acceptsWork(*Entry)) {
      continue;
    }
    if (!isAllowed(Allowed, Entry->Entry.Domain)) {
      Found = std::max(Found, PlacementObstacle::Region);
    } else if (Entry->Evacuated) {
      Found = PlacementObstacle::Evacuated;
    } else {
      return PlacementObstacle::None;
    }
  }
  return Found;
}

std::optional<RefusalReason> placementRefusal(const Call &Refused) {
  auto Found = PlacementObstacle::None;
  size_t Excluded = 0;
  for (const Part &Entry : Refused.Parts) {
    auto Obstacle = findObstacle(*Entry.Pool, Refused.Allowed);
    Excluded += Obstacle != PlacementObstacle::None ? 1 : 0;
    Found = std::max(Found, Obstacle);
  }
  if (Refused.Parts.size() - Excluded >= requiredParts(*Refused.MatchedRoute)) {
    return std::nullopt;
  }
  switch (Found) {
  case PlacementObstacle::Region:
    return RefusalReason::NoAllowedRegion;
  case PlacementObstacle::Evacuated:
    return RefusalReason::Evacuated;
  case PlacementObstacle::None:
    break;
  }
  return std::nullopt;
}

void markEvacuated(ServerSet &Servers, const DomainSet &Evacuated) {
  for (const auto &[Id, Backend] : Servers.all()) {
    Backend->Evacuated = Evacuated.contains(Backend->Entry.Domain);
  }
}

EvacuationLoad countEvacuated(const ServerSet &Servers) {
  EvacuationLoad Load;
  for (const auto &[Id, Backend] : Servers.all()) {
    if (Backend->Evacuated) {
      ++Load.Servers;
      Load.Attempts += Backend->Outstanding.size();
    }
  }
  return Load;
}

std::optional<std::chrono::milliseconds>
recordRetryAfter(base::TimePoint Now, Server &Backend, const Reply &Received) {
  constexpr uint32_t Unavailable = 503;
  bool Rejects = Received.NotExecuted || Received.Status == Unavailable;
  if (!Rejects || !Received.RetryAfter ||
      *Received.RetryAfter == std::chrono::milliseconds::zero()) {
    return std::nullopt;
  }
  auto Pause = std::min(*Received.RetryAfter, MaxPause);
  // Replies may arrive in another order than the server sent them.
  Backend.PausedUntil = std::max(Backend.PausedUntil, Now + Pause);
  return Pause;
}

std::optional<base::TimePoint> pausedUntil(base::TimePoint Now,
                                           const ServicePool &Pool,
                                           const DomainFilter &Allowed) {
  std::optional<base::TimePoint> First;
  for (const Server *Entry : Pool.Servers) {
    if (!isUsable(*Entry, Allowed) || Entry->Unreachable) {
      continue;
    }
    if (Entry->PausedUntil <= Now) {
      return std::nullopt;
    }
    First = std::min(First.value_or(Entry->PausedUntil), Entry->PausedUntil);
  }
  return First;
}

std::optional<base::TimePoint> firstPauseEnd(const Call &Refused) {
  std::optional<base::TimePoint> First;
  size_t Paused = 0;
  for (const Part &Entry : Refused.Parts) {
    if (Entry.PausedUntil) {
      ++Paused;
      First = std::min(First.value_or(*Entry.PausedUntil), *Entry.PausedUntil);
    }
  }
  if (Refused.Parts.size() - Paused >= requiredParts(*Refused.MatchedRoute)) {
    return std::nullopt;
  }
  return First;
}

} // namespace hickorycrank::forward
