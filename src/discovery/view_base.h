#ifndef HICKORYCRANK_DISCOVERY_VIEW_BASE_H
#define HICKORYCRANK_DISCOVERY_VIEW_BASE_H

#include "base/time_type.h"
#include "discovery/item_type.h"

#include <map>
#include <optional>
#include <string>

namespace hickorycrank::discovery {

/** Whether the absence of an item proves that it is gone. */
enum class Removal {
  Immediate, ///< The source has been reliable for a while.
  Held,      ///< Items may have lapsed during an outage and come back soon.
};

/**
 * What this instance knows from the platform's store. Peers may copy it, so
 * that an instance that has lost the store follows the others.
 */
class View {
public:
  /** Time that an item is kept after its removal was seen during or shortly
   * after an outage: servers that live announce themselves again within 2 s. */
  static constexpr base::Duration HoldTime = std::chrono::milliseconds(2'400);

  /**
   * Replaces all items unless the snapshot is older than this view.
   * @param Now Current time.
   * @param Newer The snapshot.
   * @param Mode What to do with items that are not in it.
   * @return Whether it was taken.
   */
  bool apply(base::TimePoint Now, const Snapshot &Newer, Removal Mode);

  /**
   * Applies changes in their order.
   * @param Now Current time.
   * @param Newer The changes.
   * @param Mode What to do with deleted items.
   */
  void apply(base::TimePoint Now, const ChangeSet &Newer, Removal Mode);

  /**
   * Removes items whose hold time has passed.
   * @param Now Current time.
   * @return Whether any was removed.
   */
  bool expire(base::TimePoint Now);

  /** @return Items of one kind, held ones included. @param Kind The kind. */
  std::vector<Item> items(ItemKind Kind) const;
  /** @return All items but those that are held, for peers. */
  Snapshot snapshot() const;
  /** @return Revision up to which the view is complete; 0 if empty. */
  uint64_t revision() const { return this->Revision; }
  /** @return Revision of the last known change; 0 if empty. */
  uint64_t changedAt() const { return this->ChangedAt; }

private:
  struct Held {
    Item Known;
    std::optional<base::TimePoint> RemoveAt;
  };
  using Key = std::pair<ItemKind, std::string>;

  void remove(base::TimePoint Now, const Key &Which, Removal Mode);

  std::map<Key, Held> Items;
  uint64_t Revision = 0;
  uint64_t ChangedAt = 0;
};

} // namespace hickorycrank::discovery

#endif
