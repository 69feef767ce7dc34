#include "discovery/view_base.h"

#include <algorithm>
#include <set>

namespace hickorycrank::discovery {

bool View::apply(base::TimePoint Now, const Update &Newer, Removal Mode) {
  if (Newer.Revision < this->Revision ||
      (!Newer.Complete && Newer.Since > this->Revision)) {
    return false;
  }
  for (const Change &Entry : Newer.Changes) {
    this->applyChange(Now, Entry, Mode);
  }
  if (Newer.Complete) {
    this->removeUnnamed(Now, Newer, Mode);
    this->Log.clear();
    this->LogStart = Newer.Revision;
  }
  this->Revision = Newer.Revision;
  this->LastChangeRevision =
      std::max(this->LastChangeRevision, Newer.LastChangeRevision);
  return true;
}

void View::applyChange(base::TimePoint Now, const Change &Entry, Removal Mode) {
  Key Which{Entry.Changed.Kind, Entry.Changed.Name};
  this->LastChangeRevision =
      std::max(this->LastChangeRevision, Entry.Changed.Revision);
  auto Known = this->Items.find(Which);
  // A watch repeats what a listing may have shown already.
  if (Known != this->Items.end() &&
      Entry.Changed.Revision < Known->second.Known.Revision) {
    return;
  }
  this->record(Entry);
  if (Entry.Deleted) {
    this->remove(Now, Which, Mode);
    return;
  }
  this->Items[Which] = Held{Entry.Changed, std::nullopt};
}

void View::removeUnnamed(base::TimePoint Now, const Update &Newer,
                         Removal Mode) {
  std::set<Key> Named;
  for (const Change &Entry : Newer.Changes) {
    Named.insert({Entry.Changed.Kind, Entry.Changed.Name});
  }
  std::vector<Key> Absent;
  for (const auto &[Which, Entry] : this->Items) {
    if (Named.count(Which) == 0) {
      Absent.push_back(Which);
    }
  }
  for (const Key &Which : Absent) {
    this->remove(Now, Which, Mode);
  }
}

void View::record(const Change &Entry) {
  this->Log.push_back(Entry);
  if (this->Log.size() > MaxLog) {
    this->LogStart = this->Log.front().Changed.Revision;
    this->Log.pop_front();
  }
}

Update View::updateSince(uint64_t Since) const {
  Update Result;
  Result.Revision = this->Revision;
  Result.LastChangeRevision = this->LastChangeRevision;
  if (Since != 0 && Since >= this->LogStart) {
    Result.Since = Since;
    for (const Change &Entry : this->Log) {
      if (Entry.Changed.Revision > Since) {
        Result.Changes.push_back(Entry);
      }
    }
    return Result;
  }
  Result.Complete = true;
  for (const auto &[Which, Entry] : this->Items) {
    if (!Entry.RemoveAt) {
      Result.Changes.push_back({Entry.Known, false});
    }
  }
  return Result;
}

bool View::expire(base::TimePoint Now) {
  return std::erase_if(this->Items, [&](const auto &Entry) {
           return Entry.second.RemoveAt && *Entry.second.RemoveAt <= Now;
         }) > 0;
}

std::vector<Item> View::items(ItemKind Kind) const {
  std::vector<Item> Found;
  for (const auto &[Which, Entry] : this->Items) {
    if (Which.first == Kind) {
      Found.push_back(Entry.Known);
    }
  }
  return Found;
}

void View::remove(base::TimePoint Now, const Key &Which, Removal Mode) {
  auto Known = this->Items.find(Which);
  // The configuration is only ever replaced.
  if (Known == this->Items.end() || Which.first == ItemKind::Configuration) {
    return;
  }
  if (Mode == Removal::Immediate) {
    this->Items.erase(Known);
    return;
  }
  if (!Known->second.RemoveAt) {
    Known->second.RemoveAt = Now + HoldTime;
  }
}

} // namespace hickorycrank::discovery
