#ifndef HICKORYCRANK_DISCOVERY_STORE_POSITION_TYPE_H
#define HICKORYCRANK_DISCOVERY_STORE_POSITION_TYPE_H

#include <compare>
#include <cstdint>

namespace hickorycrank::discovery {

/**
 * A point in the history of the store. A store that is restored from a copy
 * starts a new epoch and assigns revisions again, so that revisions alone order
 * changes only within one epoch.
 */
struct StorePosition {
  uint64_t Epoch = 0;    ///< 0 if unknown.
  uint64_t Revision = 0; ///< 0 before the first revision of the epoch.

  auto operator<=>(const StorePosition &) const = default;
};

} // namespace hickorycrank::discovery

#endif
