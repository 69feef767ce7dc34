#include "fleet/transfer_limit_base.h"

namespace hickorycrank::fleet {

namespace {

/** Updates up to this size are always sent: they take less than a heartbeat
 * period even if many peers copy them over a slow link. */
constexpr size_t SmallUpdateBytes = 16'384;
/** Maximum number of large updates at the same time. A second one uses the link
 * while the first one waits for a slow receiver. */
constexpr size_t MaxLargeTransfers = 2;

} // namespace

TransferLimit::Slot TransferLimit::tryStart(size_t Bytes) {
  if (Bytes <= SmallUpdateBytes) {
    return std::make_shared<bool>(true);
  }
  if (*this->LargeTransfers >= MaxLargeTransfers) {
    return nullptr;
  }
  ++*this->LargeTransfers;
  // The slot may outlive this object.
  return {this->LargeTransfers.get(),
          [Count = this->LargeTransfers](void *) { --*Count; }};
}

} // namespace hickorycrank::fleet
