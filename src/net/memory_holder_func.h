#ifndef HICKORYCRANK_NET_MEMORY_HOLDER_FUNC_H
#define HICKORYCRANK_NET_MEMORY_HOLDER_FUNC_H

#include "limits/memory_ledger_base.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace hickorycrank::net {

/** A connection that holds bytes for its peer. */
struct MemoryHolder {
  uint64_t Bytes = 0;
  std::function<void()> Close; ///< Ends the connection and its message.
};

/** What was closed to get below the bound. */
struct ReleasedMemory {
  size_t Connections = 0;
  uint64_t Bytes = 0;
};

/**
 * Closes the largest holders until the others are within the ledger's bound.
 * @param Ledger The ledger of all holders.
 * @param Holders All connections that hold bytes.
 * @return What was closed.
 */
ReleasedMemory closeLargestHolders(const limits::MemoryLedger &Ledger,
                                   const std::vector<MemoryHolder> &Holders);

} // namespace hickorycrank::net

#endif
