#ifndef HICKORYCRANK_FLEET_TRANSFER_LIMIT_BASE_H
#define HICKORYCRANK_FLEET_TRANSFER_LIMIT_BASE_H

#include <cstddef>
#include <memory>

namespace hickorycrank::fleet {

/**
 * Limits the large view updates that an instance sends at the same time. If all
 * instances of a failure domain copied a large change from the same one at
 * once, each would get so small a share of its network link that none would be
 * done in time. Those that are refused copy the change from the instances that
 * have received it meanwhile. Not thread-safe.
 */
class TransferLimit {
public:
  /** Keeps a transfer counted until it is destroyed. */
  using Slot = std::shared_ptr<void>;

  /**
   * Requests permission to send an update.
   * @param Bytes Size of the update.
   * @return A slot to be kept until the update has been sent, or null if too
   *   many large updates are being sent.
   */
  Slot tryStart(size_t Bytes);

private:
  std::shared_ptr<size_t> LargeTransfers = std::make_shared<size_t>(0);
};

} // namespace hickorycrank::fleet

#endif
