#ifndef HICKORYCRANK_DISCOVERY_READ_CURSOR_BASE_H
#define HICKORYCRANK_DISCOVERY_READ_CURSOR_BASE_H

#include "discovery/item_type.h"

#include <optional>
#include <string>

namespace hickorycrank::discovery {

/** How a response relates to the epoch that is being read. */
enum class EpochCheck {
  Same,     ///< It belongs to that epoch.
  Restored, ///< It begins a new epoch; the store must be listed again.
  Outdated, ///< It is from an earlier epoch and must be discarded.
};

/**
 * Position of a reader of the store: within a listing, or in the watch that
 * follows it. Turns the store's responses into updates of a View.
 */
class ReadCursor {
public:
  /**
   * Moves to a position, unless the cursor is already beyond it.
   * @param Known Position up to which a view is complete.
   */
  void advanceTo(const StorePosition &Known);

  /**
   * Checks the epoch of a response; call it before using the response. If the
   * store was restored, the cursor restarts with a listing.
   * @param Epoch Epoch in which the store answered; 0 if it states none.
   * @return How the response relates to the epoch that is being read.
   */
  EpochCheck checkEpoch(uint64_t Epoch);

  /** Restarts with a listing: the store no longer keeps the history. */
  void restart();
  /** Drops the pages of an unfinished listing. */
  void abortListing();

  /**
   * Adds a page of the listing.
   * @param Received The page, in the current epoch.
   * @return The complete update after the last page.
   */
  std::optional<Update> addPage(Page &&Received);

  /**
   * Moves past the changes that a watch returned.
   * @param Received The changes, in the current epoch.
   * @return The update for the view.
   */
  Update addChanges(Update &&Received);

  /** @return Whether the next call is a page of the listing. */
  bool isListing() const { return this->Position.Revision == 0; }
  /** @return Key after which the next page begins; empty for the first one. */
  const std::string &pageCursor() const { return this->PageCursor; }
  /** @return Position after which changes are watched. */
  const StorePosition &position() const { return this->Position; }

private:
  StorePosition Position; ///< Its revision is 0 until a listing is complete.
  Update PartialListing;  ///< Pages received so far.
  /** Last key of the previous page; empty before the first page. */
  std::string PageCursor;
};

} // namespace hickorycrank::discovery

#endif
