#include "forward/peer_set_base.h"

#include "forward/placement_func.h"

#include <algorithm>

namespace hickorycrank::forward {

namespace {

/** Time for which a peer is avoided after a failed relay; a peer that has ended
 * is no longer listed after that. */
constexpr base::Duration AvoidTime = std::chrono::seconds(1);
/** Time for which a peer that could not send a request is avoided for its
 * route. A peer that reaches the servers again is noticed that much later. */
constexpr base::Duration RouteAvoidTime = std::chrono::seconds(1);
/** A peer of another failure domain is chosen if it has fewer relays by more
 * than this number. */
constexpr uint32_t OwnDomainAdvantage = 2;

} // namespace

void PeerSet::apply(const std::vector<PeerEntry> &Entries) {
  for (auto &[Address, Known] : this->ByAddress) {
    Known.Listed = false;
  }
  for (const PeerEntry &Entry : Entries) {
    Peer &Known = this->ByAddress[Entry.Address];
    if (Known.Key == ServerKey()) {
      Known.Key = ServerKey(this->NextKey++);
    }
    Known.Entry = Entry;
    Known.Listed = true;
  }
  std::erase_if(this->ByAddress, [](const auto &Known) {
    return !Known.second.Listed && Known.second.Outstanding == 0;
  });
}

Peer *PeerSet::choose(base::TimePoint Now, const std::string &Route,
                      const base::FailureDomainId &Domain,
                      std::span<const ServerKey> Avoid, base::Random &Generator,
                      const DomainFilter &Allowed) {
  Peer *Best = nullptr;
  uint32_t BestCost = 0;
  uint64_t Ties = 0;
  for (auto &[Address, Candidate] : this->ByAddress) {
    auto Avoided = Candidate.RouteAvoidUntil.find(Route);
    bool Refuses =
        Avoided != Candidate.RouteAvoidUntil.end() && Now < Avoided->second;
    bool Usable =
        Candidate.Listed && isAllowed(Allowed, Candidate.Entry.Domain) &&
        Now >= Candidate.AvoidUntil && !Refuses &&
        Candidate.Outstanding < MaxOutstanding &&
        std::find(Avoid.begin(), Avoid.end(), Candidate.Key) == Avoid.end();
    if (!Usable) {
      continue;
    }
    bool OtherDomain = Candidate.Entry.Domain != Domain;
    uint32_t Cost =
        Candidate.Outstanding + (OtherDomain ? OwnDomainAdvantage : 0);
    if (Best == nullptr || Cost < BestCost) {
      Best = &Candidate;
      BestCost = Cost;
      Ties = 1;
    } else if (Cost == BestCost && Generator.below(++Ties) == 0) {
      Best = &Candidate;
    }
  }
  return Best;
}

void PeerSet::recordUnsent(base::TimePoint Now, ServerKey Key,
                           const std::string &Route) {
  Peer *Known = this->find(Key);
  if (Known == nullptr) {
    return;
  }
  std::erase_if(Known->RouteAvoidUntil,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  Known->RouteAvoidUntil[Route] = Now + RouteAvoidTime;
}

Peer *PeerSet::find(ServerKey Key) {
  auto Found =
      std::find_if(this->ByAddress.begin(), this->ByAddress.end(),
                   [&](const auto &Known) { return Known.second.Key == Key; });
  return Found == this->ByAddress.end() ? nullptr : &Found->second;
}

void PeerSet::recordEnd(base::TimePoint Now, ServerKey Key, bool Failed) {
  Peer *Known = this->find(Key);
  if (Known == nullptr) {
    return;
  }
  --Known->Outstanding;
  if (Failed) {
    Known->AvoidUntil = Now + AvoidTime;
  }
}

} // namespace hickorycrank::forward
