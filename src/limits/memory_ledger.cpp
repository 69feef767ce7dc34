#include "limits/memory_ledger_base.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hickorycrank::limits {

namespace {

/** Fraction of the memory that connections may hold. A buffer that grows has up
 * to twice the size of its content, and the same again is left for the view,
 * the connections themselves and the work on calls. */
constexpr uint64_t MemoryDivisor = 4;
/** Bound if the memory of the process is not known. */
constexpr uint64_t DefaultHeldBytes = 67'108'864;

} // namespace

MemoryLedger::MemoryLedger(uint64_t MaxBytes, std::function<void()> OnExceeded)
    : MaxBytes(MaxBytes), OnExceeded(std::move(OnExceeded)) {}

uint64_t MemoryLedger::excessBytes() const {
  return this->Held > this->MaxBytes ? this->Held - this->MaxBytes : 0;
}

void MemoryLedger::replace(uint64_t Before, uint64_t After) {
  this->Held = this->Held - Before + After;
  if (After > Before && this->Held > this->MaxBytes) {
    this->OnExceeded();
  }
}

HeldBytes::HeldBytes(std::shared_ptr<MemoryLedger> Ledger)
    : Ledger(std::move(Ledger)) {}

HeldBytes::~HeldBytes() { this->set(0); }

void HeldBytes::set(uint64_t Bytes) {
  uint64_t Before = std::exchange(this->Bytes, Bytes);
  if (this->Ledger && Before != Bytes) {
    this->Ledger->replace(Before, Bytes);
  }
}

std::vector<size_t> chooseLargest(const std::vector<uint64_t> &Held,
                                  uint64_t Excess) {
  std::vector<size_t> Order(Held.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::stable_sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return Held[Left] > Held[Right];
  });
  uint64_t Released = 0;
  size_t Count = 0;
  while (Count < Order.size() && Released < Excess && Held[Order[Count]] > 0) {
    Released += Held[Order[Count++]];
  }
  Order.resize(Count);
  return Order;
}

uint64_t heldBytesLimit(uint64_t MemoryBytes) {
  return MemoryBytes == 0 ? DefaultHeldBytes : MemoryBytes / MemoryDivisor;
}

} // namespace hickorycrank::limits
