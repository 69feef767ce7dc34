#include "forward/reply_memory_base.h"

#include <utility>

namespace hickorycrank::forward {

namespace {

/** Limits each of the two sets; some hundred kilobytes together. */
constexpr size_t MaxKeys = 8'192;

} // namespace

uint64_t ReplyMemory::makeKey(base::Fingerprint Content, uint64_t Service) {
  // Without it, different pairs of hashes could have the same sum.
  constexpr uint64_t Spread = 0x9e3779b97f4a7c15;
  return Content.Value * Spread + Service;
}

void ReplyMemory::record(base::TimePoint Now, base::Fingerprint Content,
                         uint64_t Service) {
  if (Now - this->CurrentSince >= MinAge || this->Current.size() >= MaxKeys) {
    this->Previous = std::exchange(this->Current, {});
    // Without any reply in the meantime, the older set is outdated too.
    if (Now - this->CurrentSince >= 2 * MinAge) {
      this->Previous.clear();
    }
    this->CurrentSince = Now;
  }
  this->Current.insert(makeKey(Content, Service));
}

bool ReplyMemory::contains(base::TimePoint Now, base::Fingerprint Content,
                           uint64_t Service) const {
  if (Now - this->CurrentSince >= 2 * MinAge) {
    return false;
  }
  uint64_t Key = makeKey(Content, Service);
  return this->Current.count(Key) != 0 || this->Previous.count(Key) != 0;
}

} // namespace hickorycrank::forward
