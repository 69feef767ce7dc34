#include "limits/wait_queue_base.h"

#include <algorithm>

namespace hickorycrank::limits {

WaitEntry WaitQueue::push(const ShardKey &Key, uint32_t Priority,
                          const base::OrganisationId &Organisation,
                          double Weight, base::QueryId Query, uint32_t Slot) {
  Class &Level = this->Classes[std::min(Priority, PriorityCount - 1)];
  double &Finish = Level.LastFinish[Organisation];
  double Start = std::max(Level.VirtualTime, Finish);
  Finish = Start + 1.0 / Weight;
  WaitEntry Entry{Priority, Start, this->NextSequence++, Query, Slot};
  this->Shards[Key].insert(Entry);
  ++Level.Waiting[Organisation];
  ++Level.Total;
  ++this->Size;
  return Entry;
}

void WaitQueue::remove(const ShardKey &Key,
                       const base::OrganisationId &Organisation,
                       const WaitEntry &Entry) {
  auto Found = this->Shards.find(Key);
  if (Found == this->Shards.end() || Found->second.erase(Entry) == 0) {
    return;
  }
  if (Found->second.empty()) {
    this->Shards.erase(Found);
  }
  Class &Level = this->Classes[std::min(Entry.Priority, PriorityCount - 1)];
  Level.VirtualTime = std::max(Level.VirtualTime, Entry.StartTag);
  auto Waiting = Level.Waiting.find(Organisation);
  if (--Waiting->second == 0) {
    Level.Waiting.erase(Waiting);
  }
  --Level.Total;
  --this->Size;
  if (Level.Total == 0) {
    // Without a backlog nobody is owed anything.
    Level.LastFinish.clear();
    Level.VirtualTime = 0;
  }
}

std::optional<WaitEntry> WaitQueue::front(const ShardKey &Key) const {
  auto Found = this->Shards.find(Key);
  if (Found == this->Shards.end()) {
    return std::nullopt;
  }
  return *Found->second.begin();
}

QueueDepth WaitQueue::count(uint32_t Priority,
                            const base::OrganisationId &Organisation) const {
  QueueDepth Ahead;
  uint32_t Last = std::min(Priority, PriorityCount - 1);
  for (uint32_t I = 0; I <= Last; ++I) {
    Ahead.Total += this->Classes[I].Total;
  }
  const Class &Level = this->Classes[Last];
  auto Own = Level.Waiting.find(Organisation);
  Ahead.Own = Own == Level.Waiting.end() ? 0 : Own->second;
  Ahead.Organisations = Level.Waiting.size();
  return Ahead;
}

} // namespace hickorycrank::limits
