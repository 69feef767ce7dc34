#ifndef HICKORYCRANK_LIMITS_MEMORY_LEDGER_BASE_H
#define HICKORYCRANK_LIMITS_MEMORY_LEDGER_BASE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace hickorycrank::limits {

/** Sum of the bytes that the connections of a process hold for their peers:
 * messages that are incomplete or that the peer has not taken yet. */
class MemoryLedger {
public:
  /**
   * Creates an empty ledger.
   * @param MaxBytes Maximum of the sum.
   * @param OnExceeded Called whenever the sum grows and is above MaxBytes. It
   *   may be called from any connection, so it must close none by itself.
   */
  MemoryLedger(uint64_t MaxBytes, std::function<void()> OnExceeded);

  /** @return Sum of the held bytes. */
  uint64_t heldBytes() const { return this->Held; }
  /** @return Maximum of the sum in bytes. */
  uint64_t maxBytes() const { return this->MaxBytes; }
  /** @return Bytes above the maximum; 0 if there are none. */
  uint64_t excessBytes() const;

private:
  friend class HeldBytes;
  void replace(uint64_t Before, uint64_t After);

  uint64_t MaxBytes;
  uint64_t Held = 0;
  std::function<void()> OnExceeded;
};

/** The bytes that one connection holds, as a part of a ledger's sum. */
class HeldBytes {
public:
  /** @param Ledger The ledger; nullptr if nothing bounds the sum. */
  explicit HeldBytes(std::shared_ptr<MemoryLedger> Ledger);
  ~HeldBytes();
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  /** Replaces the number. @param Bytes Bytes held from now on. */
  void set(uint64_t Bytes);
  /** @return Bytes held. */
  uint64_t bytes() const { return this->Bytes; }

private:
  std::shared_ptr<MemoryLedger> Ledger;
  uint64_t Bytes = 0;
};

/**
 * Chooses which holders release their bytes so that the others fit. The largest
 * go first: they are few, and those that take their messages in time hold
 * little.
 * @param Held Bytes of each holder.
 * @param Excess Bytes to be released.
 * @return Indices into Held, the largest holder first. All holders of more
 *   than 0 bytes if together they hold less than Excess.
 */
std::vector<size_t> chooseLargest(const std::vector<uint64_t> &Held,
                                  uint64_t Excess);

/**
 * Finds the bound of a process.
 * @param MemoryBytes Memory of the process; 0 if it is not known.
 * @return Maximum of the bytes that all connections together hold.
 */
uint64_t heldBytesLimit(uint64_t MemoryBytes);

} // namespace hickorycrank::limits

#endif
