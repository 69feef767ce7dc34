#include "replay/queue_floor_func.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorycrank::replay {

namespace {

using base::Duration;

/** A change of the number of slots in a group. */
struct SlotChange {
  Duration At{};
  bool Added = false;
};

/** The slots of one group, by the time at which each becomes free. */
class CentralQueue {
public:
  CentralQueue(uint32_t Slots, std::vector<SlotChange> Changes)
      : FreeAt(Slots, Duration::zero()), Changes(std::move(Changes)) {
    std::stable_sort(this->Changes.begin(), this->Changes.end(),
                     [](const SlotChange &Left, const SlotChange &Right) {
                       return Left.At < Right.At;
                     });
  }

  /** @param Now Arrival of the work. @param Service Its length.
   * @return When it ends. */
  Duration run(Duration Now, Duration Service) {
    this->applyChanges(Now);
    std::pop_heap(this->FreeAt.begin(), this->FreeAt.end(), std::greater<>());
    Duration End = std::max(this->FreeAt.back(), Now) + Service;
    this->FreeAt.back() = End;
    std::push_heap(this->FreeAt.begin(), this->FreeAt.end(), std::greater<>());
    return End;
  }

private:
  /** Lost slots are those that would be busy longest, which is favourable. */
  void applyChanges(Duration Now) {
    for (; this->Next < this->Changes.size() &&
           this->Changes[this->Next].At <= Now;
         ++this->Next) {
      if (this->Changes[this->Next].Added) {
        this->FreeAt.push_back(this->Changes[this->Next].At);
      } else if (this->FreeAt.size() > 1) {
        this->FreeAt.erase(
            std::max_element(this->FreeAt.begin(), this->FreeAt.end()));
      }
    }
    std::make_heap(this->FreeAt.begin(), this->FreeAt.end(), std::greater<>());
  }

  std::vector<Duration> FreeAt;
  std::vector<SlotChange> Changes;
  size_t Next = 0;
};

/** @return The central queue of each group of the trace. */
std::vector<CentralQueue> makeQueues(const Trace &Source) {
  const TraceConfig &Config = Source.Config;
  std::vector<std::vector<SlotChange>> Changes(Config.Groups);
  for (const TraceEvent &Event : Source.Events) {
    if (Event.Kind != EventKind::Crash) {
      continue;
    }
    for (uint32_t Server : Event.Servers) {
      std::vector<SlotChange> &Target = Changes[Server / Config.Replicas];
      for (uint32_t Slot = 0; Slot < Config.Slots; ++Slot) {
        Target.push_back({Event.At, false});
        if (Event.For > Duration::zero()) {
          Target.push_back({Event.At + Event.For, true});
        }
      }
    }
  }
  std::vector<CentralQueue> Queues;
  Queues.reserve(Changes.size());
  for (std::vector<SlotChange> &OfGroup : Changes) {
    Queues.emplace_back(Config.Replicas * Config.Slots, std::move(OfGroup));
  }
  return Queues;
}

} // namespace

std::vector<Duration> queueFloor(const Trace &Source, const RunRecord &Record) {
  const TraceConfig &Config = Source.Config;
  size_t Shards = size_t{Config.Groups} * Config.ShardsPerGroup;
  std::vector<const QueryRecord *> Arrived;
  for (const QueryRecord &Query : Record.Queries) {
    if (Query.Service.size() == Shards) {
      Arrived.push_back(&Query);
    }
  }
  std::stable_sort(Arrived.begin(), Arrived.end(),
                   [](const QueryRecord *Left, const QueryRecord *Right) {
                     return Left->SentAt < Right->SentAt;
                   });
  std::vector<CentralQueue> Queues = makeQueues(Source);
  std::vector<Duration> Latencies;
  for (const QueryRecord *Query : Arrived) {
    Duration End = Query->SentAt;
    for (const auto &[Shard, Service] : Query->Service) {
      CentralQueue &Target = Queues[Shard / Config.ShardsPerGroup];
      End = std::max(End, Target.run(Query->SentAt, Service));
    }
    if (Query->SentAt >= Config.Warmup) {
      Latencies.push_back(End - Query->SentAt + 2 * Config.Network);
    }
  }
  return Latencies;
}

} // namespace hickorycrank::replay
