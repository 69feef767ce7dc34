#include "discovery/view_base.h"

#include <algorithm>
#include <set>

namespace hickorycrank::discovery {

bool View::apply(base::TimePoint Now, const Snapshot &Newer, Removal Mode) {
  if (Newer.Revision < this->Revision) {
    return false;
  }
  std::set<Key> Present;
  for (const Item &Entry : Newer.Items) {
    Key Which{Entry.Kind, Entry.Name};
    Present.insert(Which);
    this->ChangedAt = std::max(this->ChangedAt, Entry.Revision);
    this->Items[Which] = Held{Entry, std::nullopt};
  }
  std::vector<Key> Absent;
  for (const auto &[Which, Entry] : this->Items) {
    if (Present.count(Which) == 0) {
      Absent.push_back(Which);
    }
  }
  for (const Key &Which : Absent) {
    this->remove(Now, Which, Mode);
  }
  this->Revision = Newer.Revision;
  this->ChangedAt = std::max(this->ChangedAt, Newer.ChangedAt);
  return true;
}

void View::apply(base::TimePoint Now, const ChangeSet &Newer, Removal Mode) {
  for (const Change &Entry : Newer.Changes) {
    Key Which{Entry.Changed.Kind, Entry.Changed.Name};
    this->ChangedAt = std::max(this->ChangedAt, Entry.Changed.Revision);
    auto Known = this->Items.find(Which);
    if (Known != this->Items.end() &&
        Entry.Changed.Revision < Known->second.Known.Revision) {
      continue;
    }
    if (Entry.Deleted) {
      this->remove(Now, Which, Mode);
    } else {
      this->Items[Which] = Held{Entry.Changed, std::nullopt};
    }
  }
  this->Revision = std::max(this->Revision, Newer.Revision);
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

Snapshot View::snapshot() const {
  Snapshot All;
  All.Revision = this->Revision;
  All.ChangedAt = this->ChangedAt;
  for (const auto &[Which, Entry] : this->Items) {
    if (!Entry.RemoveAt) {
      All.Items.push_back(Entry.Known);
    }
  }
  return All;
}

void View::remove(base::TimePoint Now, const Key &Which, Removal Mode) {
  auto Known = this->Items.find(Which);
  if (Known == this->Items.end()) {
    return;
  }
  // The configuration is only ever replaced.
  if (Which.first == ItemKind::Configuration) {
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
