#include "fleet/roster_base.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickorycrank::fleet {

namespace {

/** Time after which an instance that is not heard no longer counts. A network
 * partition may hide one that goes on using backend servers. */
constexpr base::Duration ForgetTime = std::chrono::seconds(30);
/** Time that a heartbeat stays proof of a live instance: four periods. */
constexpr base::Duration LiveTime = std::chrono::milliseconds(1'100);
/** Time for the own watch to deliver what another instance has seen. */
constexpr base::Duration WatchDelay = std::chrono::milliseconds(350);
/** Heartbeats that are sent in one period, which bounds the cost of a large
 * fleet to each of its instances. */
constexpr size_t MaxTargets = 24;
/** Addresses in one heartbeat, which must fit into a datagram. */
constexpr size_t MaxAddresses = 40;

} // namespace

Roster::Roster(std::string Own, uint64_t Seed)
    : Own(std::move(Own)), Generator(Seed) {}

void Roster::setSeeds(std::vector<std::string> Addresses) {
  this->Seeds = std::move(Addresses);
}

void Roster::onHeartbeat(base::TimePoint Now, const Heartbeat &Received) {
  if (Received.Address == this->Own) {
    return;
  }
  this->Hearsay.erase(Received.Address);
  if (Received.Leaving) {
    this->Peers.erase(Received.Address);
    return;
  }
  this->Peers[Received.Address] = Peer{Received, Now};
  for (const std::string &Address : Received.Peers) {
    if (Address != this->Own && this->Peers.count(Address) == 0) {
      this->Hearsay.try_emplace(Address, Now);
    }
  }
}

std::vector<std::string> Roster::targets(base::TimePoint Now) {
  std::erase_if(this->Peers, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > ForgetTime;
  });
  std::erase_if(this->Hearsay, [&](const auto &Entry) {
    return Now - Entry.second > ForgetTime;
  });
  std::set<std::string> Chosen(this->Seeds.begin(), this->Seeds.end());
  for (const auto &[Address, Since] : this->Hearsay) {
    Chosen.insert(Address);
  }
  for (const auto &[Address, Known] : this->Peers) {
    Chosen.insert(Address);
  }
  Chosen.erase(this->Own);
  std::vector<std::string> Targets(Chosen.begin(), Chosen.end());
  for (size_t I = 0; I + 1 < Targets.size(); ++I) {
    std::swap(Targets[I],
              Targets[I + this->Generator.below(Targets.size() - I)]);
  }
  Targets.resize(std::min(Targets.size(), MaxTargets));
  return Targets;
}

size_t Roster::instances(base::TimePoint Now) const {
  auto Known = std::count_if(this->Peers.begin(), this->Peers.end(),
                             [&](const auto &Entry) {
                               return Now - Entry.second.HeardAt <= ForgetTime;
                             });
  return std::max<size_t>(static_cast<size_t>(Known) + 1, this->Seeds.size());
}

std::optional<Heartbeat> Roster::findAhead(base::TimePoint Now,
                                           uint64_t ChangedAt) {
  const Heartbeat *Best = nullptr;
  for (const auto &[Address, Known] : this->Peers) {
    bool Ahead =
        Known.Last.ChangedAt > ChangedAt && Now - Known.HeardAt <= LiveTime;
    if (Ahead && (Best == nullptr || Known.Last.ChangedAt > Best->ChangedAt)) {
      Best = &Known.Last;
    }
  }
  if (Best == nullptr) {
    this->AheadSince = base::TimePoint::max();
    return std::nullopt;
  }
  if (this->AheadSince == base::TimePoint::max() ||
      this->AheadOf != ChangedAt) {
    this->AheadSince = Now;
    this->AheadOf = ChangedAt;
  }
  // An instance without any view does not wait for its own watch.
  if (ChangedAt != 0 && Now - this->AheadSince < WatchDelay) {
    return std::nullopt;
  }
  return *Best;
}

std::vector<std::string> Roster::addresses() const {
  std::vector<std::string> Known{this->Own};
  for (const auto &[Address, Entry] : this->Peers) {
    if (Known.size() < MaxAddresses) {
      Known.push_back(Address);
    }
  }
  return Known;
}

} // namespace hickorycrank::fleet
