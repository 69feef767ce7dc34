#include "discovery/view_base.h"

#include <algorithm>
#include <set>

namespace hickorycrank::discovery {

bool View::apply(base::TimePoint Now, const Update &Received,
                 RemovalPolicy Policy) {
  bool LeavesGap = Received.Since.Epoch != this->Position.Epoch ||
                   Received.Since > this->Position;
  if (Received.Position < this->Position || (!Received.Complete && LeavesGap)) {
    return false;
  }
  if (Received.Position.Epoch != this->Position.Epoch) {
    Policy = RemovalPolicy::Deferred;
  }
  for (const Change &Changed : Received.Changes) {
    this->applyChange(Now, Changed, Policy);
  }
  if (Received.Complete) {
    this->removeUnlisted(Now, Received, Policy);
    this->ChangeLog.clear();
    this->LogStart = Received.Position;
  }
  this->Position = Received.Position;
  this->LastChange = std::max(this->LastChange, Received.LastChange);
  return true;
}

void View::applyChange(base::TimePoint Now, const Change &Changed,
                       RemovalPolicy Policy) {
  ItemKey Key{Changed.ChangedItem.Kind, Changed.ChangedItem.Name};
  this->LastChange = std::max(this->LastChange, Changed.ChangedItem.Position);
  auto Found = this->Items.find(Key);
  // A watch may repeat changes that a listing already contained.
  if (Found != this->Items.end() &&
      Changed.ChangedItem.Position < Found->second.Current.Position) {
    return;
  }
  this->logChange(Changed);
  if (Changed.Deleted) {
    // Only operators delete evacuations; no lease can have lapsed.
    this->remove(Now, Key,
                 Key.first == ItemKind::Evacuation ? RemovalPolicy::Immediate
                                                   : Policy);
    return;
  }
  this->Items[Key] = StoredItem{Changed.ChangedItem, std::nullopt};
}

void View::removeUnlisted(base::TimePoint Now, const Update &Received,
                          RemovalPolicy Policy) {
  std::set<ItemKey> Listed;
  for (const Change &Changed : Received.Changes) {
    Listed.insert({Changed.ChangedItem.Kind, Changed.ChangedItem.Name});
  }
  std::vector<ItemKey> Unlisted;
  for (const auto &[Key, Stored] : this->Items) {
    if (Listed.count(Key) == 0) {
      Unlisted.push_back(Key);
    }
  }
  for (const ItemKey &Key : Unlisted) {
    this->remove(Now, Key, Policy);
  }
}

void View::logChange(const Change &Changed) {
  const Item &Entry = Changed.ChangedItem;
  this->ChangeLog.push_back(
      {{Entry.Kind, Entry.Name}, Entry.Position, Changed.Deleted});
  if (this->ChangeLog.size() > MaxLoggedChanges) {
    this->LogStart = this->ChangeLog.front().Position;
    this->ChangeLog.pop_front();
  }
}

std::vector<Change> View::lastChangesSince(const StorePosition &Since) const {
  std::vector<Change> Newest;
  std::set<ItemKey> Seen;
  for (auto Logged = this->ChangeLog.rbegin(); Logged != this->ChangeLog.rend();
       ++Logged) {
    if (Logged->Position <= Since || !Seen.insert(Logged->Key).second) {
      continue;
    }
    auto Stored = this->Items.find(Logged->Key);
    if (Logged->Deleted) {
      const auto &[Kind, Name] = Logged->Key;
      Newest.push_back({{Kind, Name, "", Logged->Position}, true});
    } else if (Stored != this->Items.end()) {
      Newest.push_back({Stored->second.Current, false});
    }
  }
  std::reverse(Newest.begin(), Newest.end());
  return Newest;
}

Update View::updateSince(const StorePosition &Since) const {
  Update Result;
  Result.Position = this->Position;
  Result.LastChange = this->LastChange;
  bool Logged = Since.Revision != 0 && Since.Epoch == this->Position.Epoch &&
                Since >= this->LogStart;
  if (Logged) {
    Result.Since = Since;
    Result.Changes = this->lastChangesSince(Since);
    return Result;
  }
  Result.Complete = true;
  for (const auto &[Key, Stored] : this->Items) {
    if (!Stored.RemoveAt) {
      Result.Changes.push_back({Stored.Current, false});
    }
  }
  return Result;
}

bool View::expire(base::TimePoint Now) {
  return std::erase_if(this->Items, [&](const auto &KeyAndItem) {
           return KeyAndItem.second.RemoveAt &&
                  *KeyAndItem.second.RemoveAt <= Now;
         }) > 0;
}

std::vector<Item> View::items(ItemKind Kind) const {
  std::vector<Item> Found;
  for (const auto &[Key, Stored] : this->Items) {
    if (Key.first == Kind) {
      Found.push_back(Stored.Current);
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
