#ifndef HICKORYCRANK_REPLAY_EVENT_QUEUE_BASE_H
#define HICKORYCRANK_REPLAY_EVENT_QUEUE_BASE_H

#include "base/time_type.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace hickorycrank::replay {

/**
 * Virtual time: runs what is due in the order of time, then of scheduling.
 */
class EventQueue {
public:
  /** @return The current virtual time. */
  base::TimePoint now() const { return this->Current; }

  /**
   * Schedules work.
   * @param When When it runs; not before now.
   * @param Run The work.
   */
  void at(base::TimePoint When, std::function<void()> Run) {
    this->Entries.push_back(
        {std::max(When, this->Current), this->Next++, std::move(Run)});
    std::push_heap(this->Entries.begin(), this->Entries.end(), later);
  }

  /**
   * Schedules work.
   * @param Delay Time from now.
   * @param Run The work.
   */
  void after(base::Duration Delay, std::function<void()> Run) {
    this->at(this->Current + Delay, std::move(Run));
  }

  /** Runs all work up to a time. @param End The time, inclusive. */
  void runUntil(base::TimePoint End) {
    while (!this->Entries.empty() && this->Entries.front().When <= End) {
      std::pop_heap(this->Entries.begin(), this->Entries.end(), later);
      Entry Due = std::move(this->Entries.back());
      this->Entries.pop_back();
      this->Current = Due.When;
      Due.Run();
    }
    this->Current = std::max(this->Current, End);
  }

private:
  struct Entry {
    base::TimePoint When;
    uint64_t Sequence = 0;
    std::function<void()> Run;
  };

  static bool later(const Entry &Left, const Entry &Right) {
    return std::pair(Left.When, Left.Sequence) >
           std::pair(Right.When, Right.Sequence);
  }

  std::vector<Entry> Entries;
  uint64_t Next = 0;
  /** Not the clock's epoch, which the engine uses for "never". */
  base::TimePoint Current{std::chrono::hours(1)};
};

} // namespace hickorycrank::replay

#endif
