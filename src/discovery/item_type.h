#ifndef HICKORYCRANK_DISCOVERY_ITEM_TYPE_H
#define HICKORYCRANK_DISCOVERY_ITEM_TYPE_H

#include "base/error_type.h"
#include "discovery/store_position_type.h"
#include "forward/route_type.h"
#include "forward/server_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickorycrank::discovery {

/** Kinds of items in the platform's key-value store. */
enum class ItemKind {
  Server,        ///< One backend server; the name is its id.
  Configuration, ///< The current configuration; the name is empty.
  Evacuation,    ///< An evacuated failure domain; the name is its id.
};

/** A key-value pair of the store. */
struct Item {
  ItemKind Kind = ItemKind::Server;
  std::string Name;
  std::string Value;      ///< Raw bytes.
  StorePosition Position; ///< Position of the last change of this item.
};

/** A write or deletion of one item. */
struct Change {
  Item ChangedItem;
  bool Deleted = false; ///< The item was deleted; its value is empty.
};

/** Changes that bring a view of the store up to a position. */
struct Update {
  StorePosition Position;   ///< The view's position afterwards.
  StorePosition LastChange; ///< Latest position of any change.
  StorePosition Since;   ///< Applies to views of its epoch that are not before.
  bool Complete = false; ///< Changes lists every item of the store; items of
                         ///< the view that are not listed were deleted.
  std::vector<Change> Changes;
};

/** One page of a listing of the store. */
struct Page {
  uint64_t Revision = 0; ///< Store revision at the time of the listing.
  std::vector<Item> Items;
  std::string LastKey;  ///< Key that the next page begins after.
  bool HasMore = false; ///< Whether more pages follow.
};

/** Encodes requests to the platform's store and decodes its responses. */
struct StoreProtocol {
  /** Returns the request target of a page of the listing. Takes the last key of
   * the previous page, empty for the first page. */
  std::function<std::string(const std::string &)> ListTarget;
  /** Returns the request target of a watch (long poll). Takes the revision
   * after which changes are wanted and the maximum time to wait for one. */
  std::function<std::string(uint64_t, std::chrono::milliseconds)> WatchTarget;
  /** Decodes the body of a response to a listing. */
  std::function<base::Result<Page>(const std::string &)> DecodePage;
  /** Decodes the body of a response to a watch. */
  std::function<base::Result<Update>(const std::string &)> DecodeChanges;
  /** Reads the store's epoch from the header fields of a response; names are in
   * lower case. Returns 0 if it states none. */
  std::function<uint64_t(const std::map<std::string, std::string> &)>
      DecodeEpoch;
  /** Decodes an item of kind Server. */
  std::function<base::Result<forward::ServerEntry>(const Item &)> DecodeServer;
  /** Decodes an item of kind Configuration. */
  std::function<base::Result<forward::RouteTable>(const Item &)> DecodeRoutes;
  /** HTTP status with which the store answers a watch whose start revision it
   * no longer keeps. */
  unsigned HistoryGoneStatus = 0;
};

} // namespace hickorycrank::discovery

#endif
