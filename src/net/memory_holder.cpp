#include "net/memory_holder_func.h"

namespace hickorycrank::net {

ReleasedMemory closeLargestHolders(const limits::MemoryLedger &Ledger,
                                   const std::vector<MemoryHolder> &Holders) {
  std::vector<uint64_t> Held;
  Held.reserve(Holders.size());
  for (const MemoryHolder &Holder : Holders) {
    Held.push_back(Holder.Bytes);
  }
  ReleasedMemory Released;
  for (size_t Index : limits::chooseLargest(Held, Ledger.excessBytes())) {
    ++Released.Connections;
    Released.Bytes += Held[Index];
    Holders[Index].Close();
  }
  return Released;
}

} // namespace hickorycrank::net
