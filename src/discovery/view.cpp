#include "discovery/view_base.h"

#include <algorithm>
#include <set>

namespace hickorycrank::discovery {

bool View::apply(base::TimePoint Now, const Update &Received,
                 RemovalPolicy Policy) {
  if (Received.Revision < this->Revision ||
      (!Received.Complete && Received.Since > this->Revision)) {
    return false;
  }
  for (const Change &Entry : Received.Changes) {
    this->applyChange(Now, Entry, Policy);
  }
  if (Received.Complete) {
    this->removeUnlisted(Now, Received, Policy);
    this->ChangeLog.clear();
    this->LogStartRevision = Received.Revision;
  }
  this->Revision = Received.Revision;
  this->LastChangeRevision =
      std::max(this->LastChangeRevision, Received.LastChangeRevision);
  return true;
}

void View::applyChange(base::TimePoint Now, const Change &Entry,
                       RemovalPolicy Policy) {
  ItemKey Key{Entry.ChangedItem.Kind, Entry.ChangedItem.Name};
  this->LastChangeRevision =
      std::max(this->LastChangeRevision, Entry.ChangedItem.Revision);
  auto Found = this->Items.find(Key);
  // A watch may repeat changes that a listing already contained.
  if (Found != this->Items.end() &&
      Entry.ChangedItem.Revision < Found->second.Current.Revision) {
    return;
  }
  this->logChange(Entry);
  if (Entry.Deleted) {
    this->remove(Now, Key, Policy);
    return;
  }
  this->Items[Key] = StoredItem{Entry.ChangedItem, std::nullopt};
}

void View::removeUnlisted(base::TimePoint Now, const Update &Received,
                          RemovalPolicy Policy) {
  std::set<ItemKey> Listed;
  for (const Change &Entry : Received.Changes) {
    Listed.insert({Entry.ChangedItem.Kind, Entry.ChangedItem.Name});
  }
  std::vector<ItemKey> Unlisted;
  for (const auto &[Key, Entry] : this->Items) {
    if (Listed.count(Key) == 0) {
      Unlisted.push_back(Key);
    }
  }
  for (const ItemKey &Key : Unlisted) {
    this->remove(Now, Key, Policy);
  }
}

void View::logChange(const Change &Entry) {
  this->ChangeLog.push_back(Entry);
  if (this->ChangeLog.size() > MaxLoggedChanges) {
    this->LogStartRevision = this->ChangeLog.front().ChangedItem.Revision;
    this->ChangeLog.pop_front();
  }
}

Update View::updateSince(uint64_t Since) const {
  Update Result;
  Result.Revision = this->Revision;
  Result.LastChangeRevision = this->LastChangeRevision;
  if (Since != 0 && Since >= this->LogStartRevision) {
    Result.Since = Since;
    for (const Change &Entry : this->ChangeLog) {
      if (Entry.ChangedItem.Revision > Since) {
        Result.Changes.push_back(Entry);
      }
    }
    return Result;
  }
  Result.Complete = true;
  for (const auto &[Key, Entry] : this->Items) {
    if (!Entry.RemoveAt) {
      Result.Changes.push_back({Entry.Current, false});
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
  for (const auto &[Key, Entry] : this->Items) {
    if (Key.first == Kind) {
      Found.push_back(Entry.Current);
    }
  }
  return Found;
}

void View::remove(base::TimePoint Now, const ItemKey &Key,
                  RemovalPolicy Policy) {
  auto Found = this->Items.find(Key);
  // The configuration is never removed, only replaced.
  if (Found == this->Items.end() || Key.first == ItemKind::Configuration) {
    return;
  }
  if (Policy == RemovalPolicy::Immediate) {
    this->Items.erase(Found);
    return;
  }
  if (!Found->second.RemoveAt) {
    Found->second.RemoveAt = Now + RemovalDelay;
  }
}

} // namespace hickorycrank::discovery
