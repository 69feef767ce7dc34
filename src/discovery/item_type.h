#ifndef HICKORYCRANK_DISCOVERY_ITEM_TYPE_H
#define HICKORYCRANK_DISCOVERY_ITEM_TYPE_H

#include "base/error_type.h"
#include "forward/route_type.h"
#include "forward/server_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hickorycrank::discovery {

/** What an item of the platform's store describes. */
enum class ItemKind {
  Server,        ///< One backend server; the name is its id.
  Configuration, ///< The newest configuration; the name is empty.
};

/** One item of the store. */
struct Item {
  ItemKind Kind = ItemKind::Server;
  std::string Name;
  std::string Value;     ///< Bytes as they were written.
  uint64_t Revision = 0; ///< Of the item's last change.
};

/** A change of one item. */
struct Change {
  Item Changed;
  bool Deleted = false; ///< The item is gone; it has no value.
};

/** What brings a view up to a revision. */
struct Update {
  uint64_t Revision = 0;           ///< Up to which it is complete.
  uint64_t LastChangeRevision = 0; ///< Revision of the last known change.
  uint64_t Since = 0;    ///< It applies to views from this revision on.
  bool Complete = false; ///< All items; those that are not named are gone.
  std::vector<Change> Changes;
};

/** One page of a listing. */
struct Page {
  uint64_t Revision = 0;
  std::vector<Item> Items;
  std::string LastKey; ///< Key that the next page begins after.
  bool HasMore = false;
};

/** How the platform's store is asked and how its answers are read. */
struct StoreDialect {
  /** Request target of a page. Takes the last key before it, empty at first. */
  std::function<std::string(const std::string &)> ListTarget;
  /** Request target of a watch after a revision that waits for so long. */
  std::function<std::string(uint64_t, std::chrono::milliseconds)> WatchTarget;
  std::function<base::Result<Page>(const std::string &)> DecodePage;
  std::function<base::Result<Update>(const std::string &)> DecodeChanges;
  std::function<base::Result<forward::ServerEntry>(const Item &)> DecodeServer;
  std::function<base::Result<forward::RouteTable>(const Item &)> DecodeRoutes;
  /** Status of a watch whose history is no longer available. */
  unsigned HistoryGoneStatus = 0;
};

} // namespace hickorycrank::discovery

#endif
