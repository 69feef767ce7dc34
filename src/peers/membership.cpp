#include "peers/membership_base.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace hickorycrank::peers {

using base::InstanceId;
using base::TimePoint;

const char *toString(MemberState State) {
  static constexpr const char *Names[] = {"alive", "suspect", "dead",
                                          "leaving"};
  return Names[static_cast<size_t>(State)];
}

namespace {

/**
 * Moves the records that have been sent least often to the front.
 * @param Pending Records to send.
 * @param Count How many are wanted.
 * @return How many there are.
 */
size_t takeMostRemaining(std::vector<MemberRecord *> &Pending, size_t Count) {
  size_t Taken = std::min(Count, Pending.size());
  std::partial_sort(
      Pending.begin(), Pending.begin() + static_cast<ptrdiff_t>(Taken),
      Pending.end(), [](const MemberRecord *Left, const MemberRecord *Right) {
        return Left->Remaining != Right->Remaining
                   ? Left->Remaining > Right->Remaining
                   : Left->View.Id < Right->View.Id;
      });
  return Taken;
}

} // namespace

bool supersedes(const Member &Known, const Member &Update) {
  if (Update.Process != Known.Process) {
    return Update.Process > Known.Process;
  }
  if (Known.State == MemberState::Leaving) {
    return false;
  }
  if (Update.State == MemberState::Leaving) {
    return true;
  }
  if (Update.Refutation != Known.Refutation) {
    return Update.Refutation > Known.Refutation;
  }
  return Update.State > Known.State;
}

Membership::Membership(Member Own, MembershipRules Rules, uint64_t Seed)
    : Own(std::move(Own)), Rules(Rules), Generator(Seed) {}

const MemberRecord *Membership::find(const InstanceId &Id) const {
  auto Found = this->Members.find(Id);
  return Found == this->Members.end() ? nullptr : &Found->second;
}

uint32_t Membership::transmissions() const {
  return this->Rules.Transmissions *
         static_cast<uint32_t>(std::bit_width(this->Members.size() + 1));
}

void Membership::applyListing(TimePoint Now,
                              const std::vector<Member> &Entries) {
  for (auto &[Id, Record] : this->Members) {
    Record.Listed = false;
  }
  for (const Member &Entry : Entries) {
    if (Entry.Id == this->Own.Id) {
      continue;
    }
    auto Found = this->Members.find(Entry.Id);
    if (Found == this->Members.end()) {
      if (this->Members.size() >= this->Rules.MaxMembers) {
        continue;
      }
      MemberRecord Seeded;
      Seeded.View = Entry;
      // The list counts incarnations in its own way; the process tells its own.
      Seeded.View.Process = base::Incarnation(0);
      Seeded.View.State = MemberState::Alive;
      Seeded.Since = Now;
      Found = this->Members.emplace(Entry.Id, std::move(Seeded)).first;
    } else if (Found->second.View.State == MemberState::Dead ||
               Found->second.View.Process.Value == 0) {
      // The instance may have been replaced at another address.
      Found->second.View.Address = Entry.Address;
    }
    Found->second.Listed = true;
  }
}

bool Membership::refute(const Member &Update) {
  if (Update.Process != this->Own.Process ||
      this->Own.State == MemberState::Leaving ||
      Update.State == MemberState::Alive ||
      Update.Refutation < this->Own.Refutation) {
    return false;
  }
  this->Own.Refutation = Update.Refutation + 1;
  this->Fresh = true;
  ++this->Counters.Refutations;
  return true;
}

void Membership::enter(TimePoint Now, MemberRecord &Record, MemberState State) {
  Record.View.State = State;
  Record.Since = Now;
  Record.Remaining = this->transmissions();
  this->Fresh = true;
  if (State == MemberState::Dead) {
    ++this->Counters.Deaths;
  }
}

bool Membership::apply(TimePoint Now, const Member &Update) {
  if (Update.Id == this->Own.Id) {
    return this->refute(Update);
  }
  auto Found = this->Members.find(Update.Id);
  if (Found == this->Members.end()) {
    // A death or departure of an unknown instance changes nothing here.
    if (Update.State == MemberState::Dead ||
        Update.State == MemberState::Leaving ||
        this->Members.size() >= this->Rules.MaxMembers) {
      return false;
    }
    Found = this->Members.emplace(Update.Id, MemberRecord{}).first;
  } else if (!supersedes(Found->second.View, Update)) {
    return false;
  }
  // Each instance learns the processes behind the listed names by itself;
  // passing them on would cost a start of the whole fleet n^2 updates.
  bool Introduced = Found->second.View.Process.Value == 0 &&
                    Found->second.Listed && Update.State == MemberState::Alive;
  Found->second.View = Update;
  if (Introduced) {
    Found->second.Since = Now;
  } else {
    this->enter(Now, Found->second, Update.State);
  }
  return true;
}

void Membership::onAck(uint64_t Sequence) {
  if (Sequence >= this->FirstTrusted) {
    this->Distrust = false;
  }
  if (this->Current && this->Current->Sequence == Sequence) {
    this->Current.reset();
  }
}

void Membership::onPause(TimePoint Now) {
  this->Distrust = true;
  this->FirstTrusted = this->NextSequence;
  this->Current.reset();
  this->NextPeriod = Now;
  for (auto &[Id, Record] : this->Members) {
    if (Record.View.State == MemberState::Suspect) {
      Record.Since = Now;
    }
  }
}

void Membership::leave() {
  this->Own.State = MemberState::Leaving;
  this->Fresh = true;
}

void Membership::expire(TimePoint Now) {
  for (auto It = this->Members.begin(); It != this->Members.end();) {
    MemberRecord &Record = It->second;
    base::Duration Age = Now - Record.Since;
    bool Gone = Record.View.State == MemberState::Dead ||
                Record.View.State == MemberState::Leaving;
    if (Gone && !Record.Listed && Age >= this->Rules.ForgetTime) {
      It = this->Members.erase(It);
      continue;
    }
    if (Record.View.State == MemberState::Suspect && !this->Distrust &&
        Age >= this->Rules.SuspicionTime) {
      this->enter(Now, Record, MemberState::Dead);
    }
    ++It;
  }
}

void Membership::finishProbe(TimePoint Now) {
  if (!this->Current) {
    return;
  }
  auto Found = this->Members.find(this->Current->Target);
  this->Current.reset();
  if (this->Distrust || Found == this->Members.end() ||
      Found->second.View.State != MemberState::Alive) {
    return;
  }
  ++this->Counters.Suspicions;
  this->enter(Now, Found->second, MemberState::Suspect);
}

std::optional<InstanceId> Membership::drawDead() {
  std::vector<InstanceId> Dead;
  for (const auto &[Id, Record] : this->Members) {
    if (Record.View.State == MemberState::Dead) {
      Dead.push_back(Id);
    }
  }
  if (Dead.empty()) {
    return std::nullopt;
  }
  return Dead[this->Generator.below(Dead.size())];
}

std::optional<InstanceId> Membership::nextTarget() {
  ++this->Periods;
  auto IsLive = [this](const InstanceId &Id) {
    const MemberRecord *Record = this->find(Id);
    return Record != nullptr && (Record->View.State == MemberState::Alive ||
                                 Record->View.State == MemberState::Suspect);
  };
  if (this->Periods % this->Rules.DeadProbeInterval == 0) {
    if (auto Dead = this->drawDead()) {
      return Dead;
    }
  }
  for (int Round = 0; Round < 2; ++Round) {
    while (!this->Order.empty()) {
      InstanceId Id = this->Order.back();
      this->Order.pop_back();
      if (IsLive(Id)) {
        return Id;
      }
    }
    for (const Member &Entry : this->live()) {
      this->Order.push_back(Entry.Id);
    }
    for (size_t I = this->Order.size(); I > 1; --I) {
      std::swap(this->Order[I - 1], this->Order[this->Generator.below(I)]);
    }
  }
  return this->drawDead(); // Nobody is live: all may have come back.
}

std::vector<Probe> Membership::tick(TimePoint Now) {
  std::vector<Probe> Probes;
  this->expire(Now);
  if (!this->NextPeriod) {
    // A random phase keeps instances that start together from probing at once.
    auto Phase = this->Generator.below(
        static_cast<uint64_t>(this->Rules.Period.count()));
    this->NextPeriod = Now + base::Duration(Phase);
  }
  if (this->Current && !this->Current->Retried &&
      Now - this->Current->Sent >= this->Rules.AckTimeout) {
    this->Current->Retried = true;
    const MemberRecord *Record = this->find(this->Current->Target);
    if (Record != nullptr) {
      Probes.push_back(
          {Record->View.Id, Record->View.Address, this->Current->Sequence,
           this->drawLive(this->Rules.IndirectProbes, Record->View.Id), true});
    }
  }
  if (Now < *this->NextPeriod) {
    return Probes;
  }
  this->finishProbe(Now);
  this->NextPeriod = Now + this->Rules.Period;
  auto Target = this->nextTarget();
  if (Target) {
    const Member &Peer = this->Members.at(*Target).View;
    this->Current = Outstanding{*Target, this->NextSequence++, Now, false};
    ++this->Counters.Probes;
    Probes.push_back(
        {Peer.Id, Peer.Address, this->Current->Sequence, {}, false});
  }
  return Probes;
}

std::vector<Member> Membership::takeUpdates(const InstanceId &Recipient) {
  std::vector<Member> Taken;
  auto Found = this->Members.find(Recipient);
  bool Withhold = this->Distrust;
  if (Found != this->Members.end() && !Withhold &&
      (Found->second.View.State == MemberState::Suspect ||
       Found->second.View.State == MemberState::Dead)) {
    Taken.push_back(Found->second.View);
  }
  std::vector<MemberRecord *> Pending;
  for (auto &[Id, Record] : this->Members) {
    bool Accuses = Record.View.State == MemberState::Suspect ||
                   Record.View.State == MemberState::Dead;
    if (Record.Remaining > 0 && Id != Recipient && !(Accuses && Withhold)) {
      Pending.push_back(&Record);
    }
  }
  size_t Room = this->Rules.MaxUpdates - Taken.size();
  Pending.resize(takeMostRemaining(Pending, Room));
  for (MemberRecord *Record : Pending) {
    --Record->Remaining;
    Taken.push_back(Record->View);
  }
  return Taken;
}

bool Membership::takeFresh() { return std::exchange(this->Fresh, false); }

std::vector<Member> Membership::live() const {
  std::vector<Member> Live;
  for (const auto &[Id, Record] : this->Members) {
    if (Record.View.State == MemberState::Alive ||
        Record.View.State == MemberState::Suspect) {
      Live.push_back(Record.View);
    }
  }
  return Live;
}

std::vector<Member> Membership::drawLive(size_t Count,
                                         const InstanceId &Except) {
  std::vector<Member> Live = this->live();
  std::erase_if(Live, [&](const Member &Entry) { return Entry.Id == Except; });
  size_t Taken = std::min(Count, Live.size());
  for (size_t I = 0; I < Taken; ++I) {
    std::swap(Live[I], Live[I + this->Generator.below(Live.size() - I)]);
  }
  Live.resize(Taken);
  return Live;
}

} // namespace hickorycrank::peers
