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
 * Moves the records with the most transmissions left to the front.
 * @param Pending Records to send.
 * @param Count Maximum number of records to select.
 * @return Number of records selected.
 */
size_t moveLeastSentToFront(std::vector<MemberRecord *> &Pending,
                            size_t Count) {
  size_t Selected = std::min(Count, Pending.size());
  std::partial_sort(
      Pending.begin(), Pending.begin() + static_cast<ptrdiff_t>(Selected),
      Pending.end(), [](const MemberRecord *Left, const MemberRecord *Right) {
        return Left->TransmissionsLeft != Right->TransmissionsLeft
                   ? Left->TransmissionsLeft > Right->TransmissionsLeft
                   : Left->View.Id < Right->View.Id;
      });
  return Selected;
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

Membership::Membership(Member Own, MembershipOptions Options, uint64_t Seed)
    : Own(std::move(Own)), Options(Options), Generator(Seed) {}

const MemberRecord *Membership::find(const InstanceId &Id) const {
  auto Found = this->Members.find(Id);
  return Found == this->Members.end() ? nullptr : &Found->second;
}

uint32_t Membership::transmissions() const {
  return this->Options.TransmissionFactor *
         static_cast<uint32_t>(std::bit_width(this->Members.size() + 1));
}

void Membership::applyPlatformList(TimePoint Now,
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
      if (this->Members.size() >= this->Options.MaxMembers) {
        continue;
      }
      MemberRecord NewRecord;
      NewRecord.View = Entry;
      // Incarnations on the platform's list are not comparable with those in
      // gossip; 0 until the process has been heard from.
      NewRecord.View.Process = base::Incarnation(0);
      NewRecord.View.State = MemberState::Alive;
      NewRecord.Since = Now;
      Found = this->Members.emplace(Entry.Id, std::move(NewRecord)).first;
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
  this->HasUnsentChanges = true;
  ++this->Counters.Refutations;
  return true;
}

void Membership::transitionTo(TimePoint Now, MemberRecord &Record,
                              MemberState State) {
  Record.View.State = State;
  Record.Since = Now;
  Record.TransmissionsLeft = this->transmissions();
  this->HasUnsentChanges = true;
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
    // The death or departure of an unknown instance needs no record.
    if (Update.State == MemberState::Dead ||
        Update.State == MemberState::Leaving ||
        this->Members.size() >= this->Options.MaxMembers) {
      return false;
    }
    Found = this->Members.emplace(Update.Id, MemberRecord{}).first;
  } else if (!supersedes(Found->second.View, Update)) {
    return false;
  }
  // Each instance learns the incarnations of listed members on its own.
  // Passing them on would cost n^2 updates when the whole fleet starts.
  bool IsFirstContact = Found->second.View.Process.Value == 0 &&
                        Found->second.Listed &&
                        Update.State == MemberState::Alive;
  Found->second.View = Update;
  if (IsFirstContact) {
    Found->second.Since = Now;
  } else {
    this->transitionTo(Now, Found->second, Update.State);
  }
  return true;
}

void Membership::onAck(uint64_t Sequence) {
  if (Sequence >= this->FirstSequenceAfterPause) {
    this->WithholdSuspicions = false;
  }
  if (this->CurrentProbe && this->CurrentProbe->Sequence == Sequence) {
    this->CurrentProbe.reset();
  }
}

void Membership::onPause(TimePoint Now) {
  this->WithholdSuspicions = true;
  this->FirstSequenceAfterPause = this->NextSequence;
  this->CurrentProbe.reset();
  this->NextPeriod = Now;
  for (auto &[Id, Record] : this->Members) {
    if (Record.View.State == MemberState::Suspect) {
      Record.Since = Now;
    }
  }
}

void Membership::leave() {
  this->Own.State = MemberState::Leaving;
  this->HasUnsentChanges = true;
}

void Membership::expire(TimePoint Now) {
  for (auto It = this->Members.begin(); It != this->Members.end();) {
    MemberRecord &Record = It->second;
    base::Duration Age = Now - Record.Since;
    bool HasDeparted = Record.View.State == MemberState::Dead ||
                       Record.View.State == MemberState::Leaving;
    if (HasDeparted && !Record.Listed && Age >= this->Options.RetentionTime) {
      It = this->Members.erase(It);
      continue;
    }
    if (Record.View.State == MemberState::Suspect &&
        !this->WithholdSuspicions && Age >= this->Options.SuspicionTimeout) {
      this->transitionTo(Now, Record, MemberState::Dead);
    }
    ++It;
  }
}

void Membership::finishProbe(TimePoint Now) {
  if (!this->CurrentProbe) {
    return;
  }
  auto Found = this->Members.find(this->CurrentProbe->Target);
  this->CurrentProbe.reset();
  if (this->WithholdSuspicions || Found == this->Members.end() ||
      Found->second.View.State != MemberState::Alive) {
    return;
  }
  ++this->Counters.Suspicions;
  this->transitionTo(Now, Found->second, MemberState::Suspect);
}

std::optional<InstanceId> Membership::sampleDead() {
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

std::optional<InstanceId> Membership::nextProbeTarget() {
  ++this->PeriodCount;
  auto IsLive = [this](const InstanceId &Id) {
    const MemberRecord *Record = this->find(Id);
    return Record != nullptr && (Record->View.State == MemberState::Alive ||
                                 Record->View.State == MemberState::Suspect);
  };
  if (this->PeriodCount % this->Options.DeadProbeInterval == 0) {
    if (auto Dead = this->sampleDead()) {
      return Dead;
    }
  }
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!this->ProbeOrder.empty()) {
      InstanceId Id = this->ProbeOrder.back();
      this->ProbeOrder.pop_back();
      if (IsLive(Id)) {
        return Id;
      }
    }
    for (const Member &Entry : this->live()) {
      this->ProbeOrder.push_back(Entry.Id);
    }
    for (size_t I = this->ProbeOrder.size(); I > 1; --I) {
      std::swap(this->ProbeOrder[I - 1],
                this->ProbeOrder[this->Generator.below(I)]);
    }
  }
  return this->sampleDead(); // No member is live; dead ones may be back.
}

std::vector<Probe> Membership::tick(TimePoint Now) {
  std::vector<Probe> Probes;
  this->expire(Now);
  if (!this->NextPeriod) {
    // A random phase spreads the probes of instances that start together.
    auto Phase = this->Generator.below(
        static_cast<uint64_t>(this->Options.Period.count()));
    this->NextPeriod = Now + base::Duration(Phase);
  }
  if (this->CurrentProbe && !this->CurrentProbe->Retried &&
      Now - this->CurrentProbe->Sent >= this->Options.AckTimeout) {
    this->CurrentProbe->Retried = true;
    const MemberRecord *Record = this->find(this->CurrentProbe->Target);
    if (Record != nullptr) {
      Probes.push_back(
          {Record->View.Id, Record->View.Address, this->CurrentProbe->Sequence,
           this->sampleLive(this->Options.IndirectProbes, Record->View.Id),
           true});
    }
  }
  if (Now < *this->NextPeriod) {
    return Probes;
  }
  this->finishProbe(Now);
  this->NextPeriod = Now + this->Options.Period;
  auto Target = this->nextProbeTarget();
  if (Target) {
    const Member &Peer = this->Members.at(*Target).View;
    this->CurrentProbe =
        OutstandingProbe{*Target, this->NextSequence++, Now, false};
    ++this->Counters.Probes;
    Probes.push_back(
        {Peer.Id, Peer.Address, this->CurrentProbe->Sequence, {}, false});
  }
  return Probes;
}

std::vector<Member> Membership::takeUpdatesFor(const InstanceId &Recipient) {
  std::vector<Member> Selected;
  auto Found = this->Members.find(Recipient);
  bool Withholding = this->WithholdSuspicions;
  if (Found != this->Members.end() && !Withholding &&
      (Found->second.View.State == MemberState::Suspect ||
       Found->second.View.State == MemberState::Dead)) {
    Selected.push_back(Found->second.View);
  }
  std::vector<MemberRecord *> Pending;
  for (auto &[Id, Record] : this->Members) {
    bool ReportsFailure = Record.View.State == MemberState::Suspect ||
                          Record.View.State == MemberState::Dead;
    if (Record.TransmissionsLeft > 0 && Id != Recipient &&
        !(ReportsFailure && Withholding)) {
      Pending.push_back(&Record);
    }
  }
  size_t FreeSlots = this->Options.MaxUpdatesPerFrame - Selected.size();
  Pending.resize(moveLeastSentToFront(Pending, FreeSlots));
  for (MemberRecord *Record : Pending) {
    --Record->TransmissionsLeft;
    Selected.push_back(Record->View);
  }
  return Selected;
}

bool Membership::takeUnsentFlag() {
  return std::exchange(this->HasUnsentChanges, false);
}

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

std::vector<Member> Membership::sampleLive(size_t Count,
                                           const InstanceId &Excluded) {
  std::vector<Member> Live = this->live();
  std::erase_if(Live,
                [&](const Member &Entry) { return Entry.Id == Excluded; });
  size_t Selected = std::min(Count, Live.size());
  for (size_t I = 0; I < Selected; ++I) {
    std::swap(Live[I], Live[I + this->Generator.below(Live.size() - I)]);
  }
  Live.resize(Selected);
  return Live;
}

} // namespace hickorycrank::peers
