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
/** Instances of other failure domains that get a heartbeat in one period. */
constexpr size_t ForeignTargets = 3;
/** Bounds the cost of a large fleet to each of its instances. */
constexpr size_t MaxTargets = 24;
/** Addresses in one heartbeat. */
constexpr size_t MaxAddresses = 6;
/** Time to hear of instances before this one reads the store. */
constexpr base::Duration ListenTime = std::chrono::milliseconds(120);
/** Time that the next instance in the order waits for the one before it. */
constexpr base::Duration TakeOverDelay = std::chrono::milliseconds(400);
/** Instances of a failure domain that may try to read at the same time. */
constexpr size_t MaxReaders = 3;
/** Time after which an instance without any view reads whatever its place. */
constexpr base::Duration MaxBlindTime = std::chrono::seconds(2);

} // namespace

Roster::Roster(base::TimePoint Now, std::string Own,
               base::FailureDomainId Domain, uint64_t Seed)
    : Own(std::move(Own)), Domain(std::move(Domain)), StartedAt(Now),
      Generator(Seed), UnreadSince(Now) {}

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
  std::set<std::string> Unheard(this->Seeds.begin(), this->Seeds.end());
  for (const auto &[Address, Since] : this->Hearsay) {
    Unheard.insert(Address);
  }
  std::vector<std::string> Targets;
  std::vector<std::string> Foreign;
  for (const auto &[Address, Known] : this->Peers) {
    Unheard.erase(Address);
    bool Local = Known.Last.Domain == this->Domain;
    (Local ? Targets : Foreign).push_back(Address);
  }
  Unheard.erase(this->Own);
  this->shuffle(Foreign);
  Foreign.resize(std::min(Foreign.size(), ForeignTargets));
  Targets.insert(Targets.end(), Foreign.begin(), Foreign.end());
  Targets.insert(Targets.end(), Unheard.begin(), Unheard.end());
  if (Targets.size() > MaxTargets) {
    this->shuffle(Targets);
    Targets.resize(MaxTargets);
  }
  return Targets;
}

void Roster::shuffle(std::vector<std::string> &Addresses) {
  for (size_t I = 0; I + 1 < Addresses.size(); ++I) {
    std::swap(Addresses[I],
              Addresses[I + this->Generator.below(Addresses.size() - I)]);
  }
}

size_t Roster::instances(base::TimePoint Now) const {
  auto Known = std::count_if(this->Peers.begin(), this->Peers.end(),
                             [&](const auto &Entry) {
                               return Now - Entry.second.HeardAt <= ForgetTime;
                             });
  return std::max<size_t>(static_cast<size_t>(Known) + 1, this->Seeds.size());
}

const Heartbeat *Roster::newest(base::TimePoint Now,
                                uint64_t LastChangeRevision,
                                bool OwnDomain) const {
  const Heartbeat *Best = nullptr;
  for (const auto &[Address, Known] : this->Peers) {
    bool Ahead = Known.Last.LastChangeRevision > LastChangeRevision &&
                 Now - Known.HeardAt <= LiveTime &&
                 (Known.Last.Domain == this->Domain) == OwnDomain;
    if (Ahead && (Best == nullptr ||
                  Known.Last.LastChangeRevision > Best->LastChangeRevision)) {
      Best = &Known.Last;
    }
  }
  return Best;
}

std::optional<Heartbeat> Roster::findNewerView(base::TimePoint Now,
                                               uint64_t LastChangeRevision,
                                               bool Reading) {
  const Heartbeat *Local = this->newest(Now, LastChangeRevision, true);
  const Heartbeat *Best =
      Local != nullptr ? Local : this->newest(Now, LastChangeRevision, false);
  if (Best == nullptr) {
    this->AheadSince = base::TimePoint::max();
    return std::nullopt;
  }
  if (this->AheadSince == base::TimePoint::max() ||
      this->AheadOf != LastChangeRevision) {
    this->AheadSince = Now;
    this->AheadOf = LastChangeRevision;
  }
  // A reader waits for its own watch, the others for the reader of their
  // failure domain; an instance without any view does not wait.
  bool Wait = LastChangeRevision != 0 && (Reading || Local == nullptr);
  if (Wait && Now - this->AheadSince < WatchDelay) {
    return std::nullopt;
  }
  return *Best;
}

bool Roster::shouldReadStore(base::TimePoint Now, bool HasView) {
  size_t Before = 0;
  bool Read = false;
  for (const auto &[Address, Known] : this->Peers) {
    if (Known.Last.Domain != this->Domain || Address >= this->Own ||
        Now - Known.HeardAt > LiveTime) {
      continue;
    }
    ++Before;
    Read = Read || Known.Last.StoreHealthy;
  }
  if (Read) {
    this->UnreadSince = Now;
    return false;
  }
  if (Now - this->StartedAt < ListenTime) {
    return false;
  }
  if (!HasView && Now - this->StartedAt >= MaxBlindTime) {
    return true;
  }
  return Before < MaxReaders &&
         Now - this->UnreadSince >= TakeOverDelay * Before;
}

bool Roster::isPartitioned(base::TimePoint Now) const {
  bool KnowsForeign = false;
  for (const auto &[Address, Known] : this->Peers) {
    if (Known.Last.Domain == this->Domain) {
      continue;
    }
    if (Now - Known.HeardAt <= LiveTime) {
      return false;
    }
    KnowsForeign = true;
  }
  return KnowsForeign;
}

std::vector<std::string> Roster::addresses() {
  std::vector<std::string> Known;
  for (const auto &[Address, Entry] : this->Peers) {
    Known.push_back(Address);
  }
  this->shuffle(Known);
  Known.resize(std::min(Known.size(), MaxAddresses));
  return Known;
}

} // namespace hickorycrank::fleet
