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
   *   update, not listed.
   * @return Whether the update was applied. Updates that are older than the
   *   view are rejected, and so are those that would leave a gap because they
   *   begin after the view's revision.
   */
  bool apply(base::TimePoint Now, const Update &Received, RemovalPolicy Policy);

  /**
   * Creates an update for a peer.
   * @param Since Revision of the peer's view; 0 if it has none.
   * @return The changes since that revision, or a complete update if the change
   *   log does not reach back that far.
   */
  Update updateSince(uint64_t Since) const;

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
  /** @return Revision up to which the view is complete; 0 if empty. */
  uint64_t revision() const { return this->Revision; }
  /** @return Revision of the last known change; 0 if empty. */
  uint64_t lastChangeRevision() const { return this->LastChangeRevision; }

private:
  struct StoredItem {
    Item Current;
    std::optional<base::TimePoint>
        RemoveAt; ///< When the item is removed; empty if no removal is pending.
  };
  using ItemKey = std::pair<ItemKind, std::string>;

  /** Maximum number of changes that are kept for updates to peers. */
  static constexpr size_t MaxLoggedChanges = 1'024;

  void applyChange(base::TimePoint Now, const Change &Changed,
                   RemovalPolicy Policy);
  void removeUnlisted(base::TimePoint Now, const Update &Received,
                      RemovalPolicy Policy);
  void logChange(const Change &Changed);
  void remove(base::TimePoint Now, const ItemKey &Key, RemovalPolicy Policy);

  std::map<ItemKey, StoredItem> Items;
  uint64_t Revision = 0;
  uint64_t LastChangeRevision = 0;
  /** Changes after LogStartRevision, oldest first. */
  std::deque<Change> ChangeLog;
  uint64_t LogStartRevision = 0;
};

} // namespace hickorycrank::discovery

#endif
