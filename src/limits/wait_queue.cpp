#include "limits/wait_queue_base.h"

#include <algorithm>

namespace hickorycrank::limits {

WaitEntry WaitQueue::push(const ShardKey &Key, uint32_t Priority,
                          const base::OrganisationId &Organisation,
                          double Weight, base::QueryId Query, uint32_t Slot) {
  PriorityClass &QueueClass =
      this->PriorityClasses[std::min(Priority, PriorityCount - 1)];
  double &FinishTag = QueueClass.LastFinishTags[Organisation];
  double Start = std::max(QueueClass.VirtualTime, FinishTag);
  FinishTag = Start + 1.0 / Weight;
  WaitEntry Entry{Priority, Start, this->NextSequence++, Query, Slot};
  this->Shards[Key].insert(Entry);
  ++QueueClass.Waiting[Organisation];
  ++QueueClass.Total;
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
  PriorityClass &QueueClass =
      this->PriorityClasses[std::min(Entry.Priority, PriorityCount - 1)];
  QueueClass.VirtualTime = std::max(QueueClass.VirtualTime, Entry.StartTag);
  auto Waiting = QueueClass.Waiting.find(Organisation);
  if (--Waiting->second == 0) {
    QueueClass.Waiting.erase(Waiting);
  }
  --QueueClass.Total;
  --this->Size;
  if (QueueClass.Total == 0) {
    // Fair queueing restarts when the backlog is empty.
    QueueClass.LastFinishTags.clear();
    QueueClass.VirtualTime = 0;
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
    Ahead.Total += this->PriorityClasses[I].Total;
  }
  const PriorityClass &QueueClass = this->PriorityClasses[Last];
  auto Own = QueueClass.Waiting.find(Organisation);
  Ahead.Own = Own == QueueClass.Waiting.end() ? 0 : Own->second;
  Ahead.Organisations = QueueClass.Waiting.size();
  return Ahead;
}

} // namespace hickorycrank::limits
