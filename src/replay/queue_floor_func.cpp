#include "replay/queue_floor_func.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorycrank::replay {

namespace {

/** A change of the number of slots in a group. */
struct SlotChange {
  double AtMs = 0;
  bool Added = false;
};

/** The slots of one group, by the time at which each becomes free. */
class CentralQueue {
public:
  CentralQueue(uint32_t Slots, std::vector<SlotChange> Changes)
      : FreeAt(Slots, 0), Changes(std::move(Changes)) {
    std::stable_sort(this->Changes.begin(), this->Changes.end(),
                     [](const SlotChange &Left, const SlotChange &Right) {
                       return Left.AtMs < Right.AtMs;
                     });
  }

  /** @param NowMs Arrival of the work. @param ServiceMs Its length.
   * @return When it ends. */
  double run(double NowMs, double ServiceMs) {
    this->applyChanges(NowMs);
    std::pop_heap(this->FreeAt.begin(), this->FreeAt.end(), std::greater<>());
    double End = std::max(this->FreeAt.back(), NowMs) + ServiceMs;
    this->FreeAt.back() = End;
    std::push_heap(this->FreeAt.begin(), this->FreeAt.end(), std::greater<>());
    return End;
  }

private:
  /** Lost slots are those that would be busy longest, which is favourable. */
  void applyChanges(double NowMs) {
    for (; this->Next < this->Changes.size() &&
           this->Changes[this->Next].AtMs <= NowMs;
         ++this->Next) {
      if (this->Changes[this->Next].Added) {
        this->FreeAt.push_back(this->Changes[this->Next].AtMs);
      } else if (this->FreeAt.size() > 1) {
        this->FreeAt.erase(
            std::max_element(this->FreeAt.begin(), this->FreeAt.end()));
      }
    }
    std::make_heap(this->FreeAt.begin(), this->FreeAt.end(), std::greater<>());
  }

  std::vector<double> FreeAt;
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
        Target.push_back({base::toMilliseconds(Event.At), false});
        if (Event.For > base::Duration::zero()) {
          Target.push_back({base::toMilliseconds(Event.At + Event.For), true});
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

std::vector<double> queueFloorMs(const Trace &Source, const RunRecord &Record) {
  const TraceConfig &Config = Source.Config;
  size_t Shards = size_t{Config.Groups} * Config.ShardsPerGroup;
  std::vector<const QueryRecord *> Arrived;
  for (const QueryRecord &Query : Record.Queries) {
    if (Query.ServiceMs.size() == Shards) {
      Arrived.push_back(&Query);
    }
  }
  std::stable_sort(Arrived.begin(), Arrived.end(),
                   [](const QueryRecord *Left, const QueryRecord *Right) {
                     return Left->SentAt < Right->SentAt;
                   });
  std::vector<CentralQueue> Queues = makeQueues(Source);
  std::vector<double> Latencies;
  for (const QueryRecord *Query : Arrived) {
    double Begin = base::toMilliseconds(Query->SentAt);
    double End = Begin;
    for (const auto &[Shard, ServiceMs] : Query->ServiceMs) {
      CentralQueue &Target = Queues[Shard / Config.ShardsPerGroup];
      End = std::max(End, Target.run(Begin, ServiceMs));
    }
    if (Query->SentAt >= Config.Warmup) {
      Latencies.push_back(End - Begin +
                          base::toMilliseconds(2 * Config.Network));
    }
  }
  return Latencies;
}

} // namespace hickorycrank::replay
