#include "fleet/roster_base.h"

#include "fleet/capacity_func.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace hickorycrank::fleet {

namespace {

/** Time without a heartbeat after which an instance is forgotten. It is much
 * longer than the heartbeat timeout because an instance behind a network
 * partition may still be using backend servers. */
constexpr base::Duration PeerExpiry = std::chrono::seconds(30);
/** Heartbeats in a row without which an instance counts as dead, and the margin
 * for their delay. Datagrams are lost occasionally. */
constexpr uint32_t MissedHeartbeats = 4;
constexpr base::Duration HeartbeatMargin = std::chrono::milliseconds(100);
/** Time for this instance's own watch, or for the instance that reads the store
 * for its failure domain, to
 * deliver a change that another instance has seen. */
constexpr base::Duration WatchGracePeriod = std::chrono::milliseconds(350);
/** Maximum number of instances of other failure domains that are sent a
 * heartbeat in one period. */
constexpr size_t MaxOtherDomainTargets = 3;
/** Maximum number while instances of other failure domains have announced
 * themselves and were sent none yet. After a start of the whole fleet, an
 * instance knows only the seed addresses until it gets its first heartbeat. At
 * least 4 are left for the own failure domain and 4 for unknown instances. */
constexpr size_t MaxAnswers = 16;
/** Maximum number of heartbeats sent in one period; bounds the cost per
 * instance in a large fleet. */
constexpr size_t MaxTargets = 24;
/** Number of heartbeats in one period that are reserved for instances from
 * which none has arrived yet; more are sent while the own failure domain is
 * small. */
constexpr size_t MinUnconfirmedTargets = 4;
/** Maximum number of peer addresses in one heartbeat, and of those that are
 * chosen from all failure domains. */
constexpr size_t MaxSharedAddresses = 6;
constexpr size_t SharedFromAllDomains = 4;
/** Time after the start in which this instance only listens for heartbeats
 * before it may read the store. */
constexpr base::Duration InitialListenTime = std::chrono::milliseconds(120);
/** Delay, for each live instance that precedes this one in the takeover order,
 * before this one takes over reading the store. */
constexpr base::Duration FailoverDelay = std::chrono::milliseconds(400);
/** Maximum number of instances of a failure domain that try to read the store
 * at the same time. */
constexpr size_t MaxTakeoverCandidates = 3;
/** Time after the start after which an instance that still has no view reads
 * the store, whatever its position in the takeover order. */
constexpr base::Duration MaxTimeWithoutView = std::chrono::seconds(2);
/** Time after which an instance that has a view and gets no copy of a newer one
 * reads the store, whatever its position in the takeover order. Changes must be
 * in force 3 s after the store has acknowledged them. */
constexpr base::Duration MaxTimeBehind = std::chrono::milliseconds(1'200);
/** Time after which the views of other failure domains are copied although an
 * instance of the own one has the change. */
constexpr base::Duration OwnDomainPreference = std::chrono::milliseconds(600);
/** Bounds of the random delay before an instance that refused a copy because
 * of other transfers is asked again. */
constexpr base::Duration MinBusyDelay = std::chrono::milliseconds(30);
constexpr base::Duration MaxBusyDelay = std::chrono::milliseconds(120);
/** Delay before an instance is asked again after a failed copy. */
constexpr base::Duration FailedCopyDelay = std::chrono::milliseconds(400);

} // namespace

template <typename Entry> void Roster::shuffle(std::vector<Entry> &Entries) {
  for (size_t I = 0; I + 1 < Entries.size(); ++I) {
    std::swap(Entries[I],
              Entries[I + this->Generator.below(Entries.size() - I)]);
  }
}

Roster::Roster(base::TimePoint Now, std::string OwnAddress,
               base::FailureDomainId Domain, uint64_t RandomSeed)
    : OwnAddress(std::move(OwnAddress)), Domain(std::move(Domain)),
      StartedAt(Now), Generator(RandomSeed),
      HeartbeatTimeout(HeartbeatPeriod * MissedHeartbeats + HeartbeatMargin),
      Senders(Now), NoReaderSince(Now) {}

void Roster::setSeedAddresses(std::vector<std::string> Addresses) {
  this->SeedAddresses = std::move(Addresses);
  for (const std::string &Address : this->SeedAddresses) {
    this->Senders.record(this->StartedAt, Address, false);
  }
}

void Roster::onHeartbeat(base::TimePoint Now, const Heartbeat &Received) {
  if (Received.Address == this->OwnAddress) {
    return;
  }
  this->UnconfirmedAddresses.erase(Received.Address);
  if (Received.Leaving) {
    this->Peers.erase(Received.Address);
    this->Senders.recordLeaving(Now, Received.Address);
    return;
  }
  this->Senders.record(Now, Received.Address, true);
  Peer &Sender = this->Peers[Received.Address];
  Sender.LastHeartbeat = Received;
  Sender.LastHeardAt = Now;
  for (const std::string &Address : Received.Peers) {
    if (Address != this->OwnAddress && this->Peers.count(Address) == 0) {
      this->Senders.record(Now, Address, false);
      auto [Listed, New] =
          this->UnconfirmedAddresses.try_emplace(Address, Unconfirmed{Now});
      Listed->second.Mentions += Received.Domain == this->Domain ? 1 : 0;
    }
  }
}

std::vector<std::string> Roster::chooseTargets(base::TimePoint Now) {
  std::erase_if(this->Peers, [&](const auto &Entry) {
    return Now - Entry.second.LastHeardAt > PeerExpiry;
  });
  std::erase_if(this->UnconfirmedAddresses, [&](const auto &Entry) {
    return Now - Entry.second.LearntAt > PeerExpiry;
  });
  std::vector<PeerPointer> OwnDomain;
  std::vector<PeerPointer> Others;
  for (const auto &Entry : this->Peers) {
    bool SameDomain = Entry.second.LastHeartbeat.Domain == this->Domain;
    (SameDomain ? OwnDomain : Others).push_back(&Entry);
  }
  this->shuffle(Others);
  size_t Unanswered = putUnansweredFirst(Others);
  Others.resize(
      std::min(Others.size(),
               std::clamp(Unanswered, MaxOtherDomainTargets, MaxAnswers)));
  std::vector<std::string> Targets;
  Targets.reserve(MaxTargets);
  for (PeerPointer Entry : Others) {
    Targets.push_back(Entry->first);
  }
  size_t Left = MaxTargets - Targets.size();
  size_t Spare = Left > OwnDomain.size() ? Left - OwnDomain.size() : 0;
  std::vector<std::string> Unknown =
      this->chooseUnconfirmed(std::max(Spare, MinUnconfirmedTargets));
  Targets.insert(Targets.end(), Unknown.begin(), Unknown.end());
  this->addNextOwnDomain(MaxTargets - Targets.size(), OwnDomain, Targets);
  for (const std::string &Address : Targets) {
    // Targets without a heartbeat so far are not known.
    auto Known = this->Peers.find(Address);
    if (Known != this->Peers.end()) {
      Known->second.Answered = true;
    }
  }
  return Targets;
}

size_t Roster::putUnansweredFirst(std::vector<PeerPointer> &Entries) {
  auto End = std::stable_partition(
      Entries.begin(), Entries.end(),
      [](PeerPointer Entry) { return !Entry->second.Answered; });
  return static_cast<size_t>(End - Entries.begin());
}

std::vector<std::string> Roster::chooseUnconfirmed(size_t Count) {
  for (const std::string &Seed : this->SeedAddresses) {
    if (Seed != this->OwnAddress && this->Peers.count(Seed) == 0) {
      this->UnconfirmedAddresses.try_emplace(Seed);
    }
  }
  std::vector<std::pair<const std::string, Unconfirmed> *> Chosen;
  Chosen.reserve(this->UnconfirmedAddresses.size());
  for (auto &Entry : this->UnconfirmedAddresses) {
    Chosen.push_back(&Entry);
  }
  this->shuffle(Chosen);
  if (Chosen.size() > Count) {
    // The first one is random, so that those that are not mentioned get a turn.
    std::stable_sort(Chosen.begin() + 1, Chosen.end(),
                     [](const auto *Left, const auto *Right) {
                       return Left->second.Mentions > Right->second.Mentions;
                     });
    Chosen.resize(Count);
  }
  std::vector<std::string> Addresses;
  Addresses.reserve(Chosen.size());
  for (auto *Entry : Chosen) {
    Entry->second.Mentions = 0;
    Addresses.push_back(Entry->first);
  }
  return Addresses;
}

void Roster::addNextOwnDomain(size_t Count,
                              const std::vector<PeerPointer> &OwnDomain,
                              std::vector<std::string> &Targets) {
  constexpr size_t MinTurn =
      MaxTargets - MaxOtherDomainTargets - MinUnconfirmedTargets;
  size_t Periods =
      OwnDomain.size() <= Count ? 1 : (OwnDomain.size() - 1) / MinTurn + 1;
  this->HeartbeatTimeout =
      HeartbeatPeriod * (MissedHeartbeats * Periods) + HeartbeatMargin;
  Count = std::min(Count, OwnDomain.size());
  auto Next =
      std::upper_bound(OwnDomain.begin(), OwnDomain.end(), this->LastTarget,
                       [](const std::string &Address, PeerPointer Entry) {
                         return Address < Entry->first;
                       });
  for (size_t I = 0; I < Count; ++I) {
    Next = Next == OwnDomain.end() ? OwnDomain.begin() : Next;
    this->LastTarget = (*Next)->first;
    Targets.push_back((*Next++)->first);
  }
}

size_t Roster::countInstances(base::TimePoint Now) const {
  auto PeerCount = std::count_if(
      this->Peers.begin(), this->Peers.end(), [&](const auto &Entry) {
        return Now - Entry.second.LastHeardAt <= PeerExpiry;
      });
  return std::max<size_t>(static_cast<size_t>(PeerCount) + 1,
                          this->SeedAddresses.size());
}

size_t Roster::countDomainInstances(base::TimePoint Now) const {
  auto PeerCount = std::count_if(
      this->Peers.begin(), this->Peers.end(), [&](const auto &Entry) {
        return Entry.second.LastHeartbeat.Domain == this->Domain &&
               Now - Entry.second.LastHeardAt <= PeerExpiry;
      });
  return static_cast<size_t>(PeerCount) + 1;
}

double Roster::capacityWeight(base::TimePoint Now,
                              std::optional<uint32_t> OwnCapacity) const {
  std::vector<uint32_t> Known;
  for (const auto &[Address, KnownPeer] : this->Peers) {
    if (Now - KnownPeer.LastHeardAt <= PeerExpiry &&
        KnownPeer.LastHeartbeat.Capacity) {
      Known.push_back(*KnownPeer.LastHeartbeat.Capacity);
    }
  }
  auto Heard = std::count_if(
      this->Peers.begin(), this->Peers.end(), [&](const auto &Entry) {
        return Now - Entry.second.LastHeardAt <= PeerExpiry;
      });
  size_t Unheard = this->countInstances(Now) - static_cast<size_t>(Heard) - 1;
  return OwnCapacity ? weighCapacity(*OwnCapacity, Known, Unheard) : 1;
}

double Roster::slackPart(base::TimePoint Now,
                         std::optional<uint32_t> OwnCapacity,
                         const limits::ColdMembers &Senders) const {
  if (!Senders.MostKnown) {
    return 0;
  }
  size_t Count = std::max(this->countInstances(Now), Senders.Others.size() + 1);
  return std::min(1.0, this->capacityWeight(Now, OwnCapacity) /
                           static_cast<double>(Count));
}

Roster::NewerViews
Roster::findNewerViews(base::TimePoint Now,
                       const discovery::StorePosition &LastChange,
                       bool SameDomain) {
  NewerViews Found;
  uint64_t Ties = 0;
  for (const auto &[Address, KnownPeer] : this->Peers) {
    const Heartbeat &Last = KnownPeer.LastHeartbeat;
    bool Ahead = Last.LastChange > LastChange &&
                 this->isAlive(Now, KnownPeer) &&
                 (Last.Domain == this->Domain) == SameDomain;
    Found.Exist = Found.Exist || Ahead;
    if (!Ahead || Now < KnownPeer.CopyAfter) {
      continue;
    }
    if (Found.Source == nullptr || Last.LastChange > Found.Source->LastChange) {
      Found.Source = &Last;
      Ties = 1;
    } else if (Last.LastChange == Found.Source->LastChange &&
               this->Generator.below(++Ties) == 0) {
      Found.Source = &Last;
    }
  }
  return Found;
}

std::optional<Heartbeat>
Roster::findInstanceWithNewerView(base::TimePoint Now,
                                  const discovery::StorePosition &LastChange,
                                  bool ReadsStore) {
  NewerViews OwnDomain = this->findNewerViews(Now, LastChange, true);
  NewerViews OtherDomains = this->findNewerViews(Now, LastChange, false);
  if (!OwnDomain.Exist && !OtherDomains.Exist) {
    this->BehindSince = base::TimePoint::max();
    return std::nullopt;
  }
  if (this->BehindSince == base::TimePoint::max() ||
      this->BehindPosition != LastChange) {
    this->BehindSince = Now;
    this->BehindPosition = LastChange;
  }
  base::Duration Behind = Now - this->BehindSince;
  // A reader waits for its own watch and other instances for the reader of
  // their failure domain. An instance without a view does not wait.
  bool HasView = LastChange != discovery::StorePosition();
  bool ShouldWait = HasView && (ReadsStore || !OwnDomain.Exist);
  if (ShouldWait && Behind < WatchGracePeriod) {
    return std::nullopt;
  }
  const Heartbeat *Source = OwnDomain.Source;
  bool UseOtherDomains =
      !OwnDomain.Exist || !HasView || Behind >= OwnDomainPreference;
  if (Source == nullptr && UseOtherDomains) {
    Source = OtherDomains.Source;
  }
  return Source == nullptr ? std::nullopt : std::optional<Heartbeat>(*Source);
}

void Roster::onCopyFailed(base::TimePoint Now, const std::string &Address,
                          bool Busy) {
  auto Found = this->Peers.find(Address);
  if (Found == this->Peers.end()) {
    return;
  }
  base::Duration BusyDelay =
      MinBusyDelay +
      std::chrono::duration_cast<base::Duration>((MaxBusyDelay - MinBusyDelay) *
                                                 this->Generator.unit());
  Found->second.CopyAfter = Now + (Busy ? BusyDelay : FailedCopyDelay);
}

bool Roster::shouldReadStore(base::TimePoint Now, bool HasView,
                             base::Duration ViewAge, const ReadTiming &Timing) {
  bool LongBehind = this->BehindSince != base::TimePoint::max() &&
                    Now - this->BehindSince >= MaxTimeBehind;
  if (HasView && LongBehind) {
    return true;
  }
  size_t PrecedingPeers = 0;
  bool HasReader = false;
  for (const auto &[Address, KnownPeer] : this->Peers) {
    if (KnownPeer.LastHeartbeat.Domain != this->Domain ||
        Address >= this->OwnAddress || !this->isAlive(Now, KnownPeer)) {
      continue;
    }
    ++PrecedingPeers;
    HasReader = HasReader || KnownPeer.LastHeartbeat.StoreHealthy;
  }
  // The readers of all failure domains may have failed unnoticed. The first
  // instances in the takeover order spare the others a call.
  base::Duration AgeLimit = Timing.ReaderAge;
  AgeLimit += Timing.TakeoverStep * PrecedingPeers;
  if (HasView &&
      ViewAge > std::min<base::Duration>(AgeLimit, Timing.MaxViewAge)) {
    return true;
  }
  if (HasReader) {
    this->NoReaderSince = Now;
    return false;
  }
  if (Now - this->StartedAt < InitialListenTime) {
    return false;
  }
  if (!HasView && Now - this->StartedAt >= MaxTimeWithoutView) {
    return true;
  }
  return PrecedingPeers < MaxTakeoverCandidates &&
         Now - this->NoReaderSince >= FailoverDelay * PrecedingPeers;
}

bool Roster::isPartitioned(base::TimePoint Now) const {
  bool KnowsOtherDomain = false;
  for (const auto &[Address, KnownPeer] : this->Peers) {
    if (KnownPeer.LastHeartbeat.Domain == this->Domain) {
      continue;
    }
    if (this->isAlive(Now, KnownPeer)) {
      return false;
    }
    KnowsOtherDomain = true;
  }
  return KnowsOtherDomain;
}

std::vector<const Heartbeat *> Roster::relayTargets(base::TimePoint Now) const {
  std::vector<const Heartbeat *> Targets;
  for (const auto &[Address, KnownPeer] : this->Peers) {
    if (KnownPeer.LastHeartbeat.AcceptsRelays &&
        this->isAlive(Now, KnownPeer)) {
      Targets.push_back(&KnownPeer.LastHeartbeat);
    }
  }
  return Targets;
}

std::vector<std::string> Roster::sampleAddresses() {
  std::vector<PeerPointer> OwnDomain;
  std::vector<PeerPointer> Others;
  for (const auto &Entry : this->Peers) {
    bool SameDomain = Entry.second.LastHeartbeat.Domain == this->Domain;
    (SameDomain ? OwnDomain : Others).push_back(&Entry);
  }
  this->shuffle(OwnDomain);
  size_t FromOwn =
      std::min(OwnDomain.size(), MaxSharedAddresses - SharedFromAllDomains);
  auto Left = OwnDomain.begin() + static_cast<std::ptrdiff_t>(FromOwn);
  Others.insert(Others.end(), Left, OwnDomain.end());
  OwnDomain.resize(FromOwn);
  this->shuffle(Others);
  putUnansweredFirst(Others);
  Others.resize(std::min(Others.size(), MaxSharedAddresses - FromOwn));
  OwnDomain.insert(OwnDomain.end(), Others.begin(), Others.end());
  std::vector<std::string> Addresses;
  Addresses.reserve(OwnDomain.size());
  for (PeerPointer Entry : OwnDomain) {
    Addresses.push_back(Entry->first);
  }
  return Addresses;
}

} // namespace hickorycrank::fleet
