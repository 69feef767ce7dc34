#ifndef HICKORYCRANK_DISCOVERY_VIEW_BASE_H
#define HICKORYCRANK_DISCOVERY_VIEW_BASE_H

#include "base/time_type.h"
#include "discovery/item_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hickorycrank::discovery {

/** Whether the absence of an item proves that it is gone. */
enum class Removal {
  Immediate, ///< The source has been reliable for a while.
  Deferred,  ///< Items may have lapsed during an outage and come back soon.
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
   * Applies an update.
   * @param Now Current time.
   * @param Newer The update.
   * @param Mode What to do with items that are deleted or, in a complete
   *   update, not named.
   * @return Whether it was taken; older ones and those that begin after this
   *   view's revision are not.
   */
  bool apply(base::TimePoint Now, const Update &Newer, Removal Mode);

  /**
   * Collects what a peer needs.
   * @param Since Revision of the peer's view; 0 if it has none.
   * @return The changes since then, or all items if they are not known.
   */
  Update updateSince(uint64_t Since) const;

  /**
   * Removes items whose hold time has passed.
   * @param Now Current time.
   * @return Whether any was removed.
   */
  bool expire(base::TimePoint Now);

  /** @return Items of one kind, held ones included. @param Kind The kind. */
  std::vector<Item> items(ItemKind Kind) const;
  /** @return Revision up to which the view is complete; 0 if empty. */
  uint64_t revision() const { return this->Revision; }
  /** @return Revision of the last known change; 0 if empty. */
  uint64_t lastChangeRevision() const { return this->LastChangeRevision; }

private:
  struct Held {
    Item Known;
    std::optional<base::TimePoint> RemoveAt;
  };
  using Key = std::pair<ItemKind, std::string>;

  /** Changes that are kept for peers. */
  static constexpr size_t MaxLog = 1'024;

  void applyChange(base::TimePoint Now, const Change &Entry, Removal Mode);
  void removeUnnamed(base::TimePoint Now, const Update &Newer, Removal Mode);
  void record(const Change &Entry);
  void remove(base::TimePoint Now, const Key &Which, Removal Mode);

  std::map<Key, Held> Items;
  uint64_t Revision = 0;
  uint64_t LastChangeRevision = 0;
  std::deque<Change> Log; ///< Changes after LogStart, in their order.
  uint64_t LogStart = 0;
};

} // namespace hickorycrank::discovery

#endif
