#ifndef HICKORYCRANK_DISCOVERY_VIEW_BASE_H
#define HICKORYCRANK_DISCOVERY_VIEW_BASE_H

#include "base/time_type.h"
#include "discovery/item_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hickorycrank::discovery {

/** When an item that is missing from the store is removed from a view. */
enum class RemovalPolicy {
  Immediate, ///< At once; for use while the store has been reliable for a
             ///< while.
  Deferred,  ///< After a delay: an item whose lease lapsed in an
             ///< outage may be written again soon.
};

/**
 * This instance's replica of the platform's store. Peers may copy it, so that
 * an instance that cannot reach the store follows the others.
 */
class View {
public:
  /** Delay of a removal that is seen during or shortly after an outage of the
   * store. Servers that are alive register again within 2 s. */
  static constexpr base::Duration RemovalDelay =
      std::chrono::milliseconds(2'400);

  /**
   * Applies an update.
   * @param Now Current time.
   * @param Received The update.
   * @param Policy When to remove items that are deleted or, in a complete
   *   update, not listed. A deleted evacuation is removed at once.
   * @return Whether the update was applied. Updates that are older than the
   *   view are rejected, and so are those that would leave a gap because they
   *   begin after the view's position or in another epoch. A complete update of
   *   a new epoch replaces the view; items that it lacks are removed with delay
   *   in any case, because their writers may be about to write them again.
   */
  bool apply(base::TimePoint Now, const Update &Received, RemovalPolicy Policy);

  /**
   * Creates an update for a peer.
   * @param Since Position of the peer's view; its revision is 0 if it has none.
   * @return The last change of each item since that position, or a complete
   *   update if the change log does not reach back that far.
   */
  Update updateSince(const StorePosition &Since) const;

  /**
   * Removes items whose deferred removal is due.
   * @param Now Current time.
   * @return Whether any item was removed.
   */
  bool expire(base::TimePoint Now);

  /**
   * Lists the items of one kind.
   * @param Kind The kind.
   * @return The items, including those whose removal is pending.
   */
  std::vector<Item> items(ItemKind Kind) const;
  /** @return Position up to which the view is complete; 0 if empty. */
  const StorePosition &position() const { return this->Position; }
  /** @return Position of the last known change; 0 if empty. */
  const StorePosition &lastChange() const { return this->LastChange; }

private:
  struct StoredItem {
    Item Current;
    std::optional<base::TimePoint>
        RemoveAt; ///< When the item is removed; empty if no removal is pending.
  };
  using ItemKey = std::pair<ItemKind, std::string>;
  /** A change without the item's value, which may be large and superseded. */
  struct LoggedChange {
    ItemKey Key;
    StorePosition Position;
    bool Deleted = false;
  };

  /** Maximum number of changes that are kept for updates to peers. */
  static constexpr size_t MaxLoggedChanges = 1'024;

  void applyChange(base::TimePoint Now, const Change &Changed,
                   RemovalPolicy Policy);
  void removeUnlisted(base::TimePoint Now, const Update &Received,
                      RemovalPolicy Policy);
  void logChange(const Change &Changed);
  std::vector<Change> lastChangesSince(const StorePosition &Since) const;
  void remove(base::TimePoint Now, const ItemKey &Key, RemovalPolicy Policy);

  std::map<ItemKey, StoredItem> Items;
  StorePosition Position;
  StorePosition LastChange;
  /** Changes after LogStart, oldest first. */
  std::deque<LoggedChange> ChangeLog;
  StorePosition LogStart;
};

} // namespace hickorycrank::discovery

#endif
