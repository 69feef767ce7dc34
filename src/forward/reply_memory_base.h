#ifndef HICKORYCRANK_FORWARD_REPLY_MEMORY_BASE_H
#define HICKORYCRANK_FORWARD_REPLY_MEMORY_BASE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <unordered_set>

namespace hickorycrank::forward {

/**
 * Remembers for some seconds which request content servers of which service
 * have executed and replied to. Memory is bounded: if a limit is reached, the
 * older replies are forgotten before MinAge.
 */
class ReplyMemory {
public:
  /**
   * Records a reply.
   * @param Now Current time.
   * @param Content Content of the request.
   * @param Service Hash of the service of the server that executed it.
   */
  void record(base::TimePoint Now, base::Fingerprint Content, uint64_t Service);

  /**
   * Checks for a recent reply.
   * @param Now Current time.
   * @param Content Content of a request.
   * @param Service Hash of a service.
   * @return Whether a reply of one of its servers to such a request is
   *   remembered; see MinAge.
   */
  bool contains(base::TimePoint Now, base::Fingerprint Content,
                uint64_t Service) const;

  /** Time for which a reply is remembered at least, unless the limit is
   * reached; twice that time at most. */
  static constexpr base::Duration MinAge = std::chrono::seconds(10);

private:
  static uint64_t makeKey(base::Fingerprint Content, uint64_t Service);

  std::unordered_set<uint64_t> Current;
  std::unordered_set<uint64_t> Previous;
  base::TimePoint CurrentSince;
};

} // namespace hickorycrank::forward

#endif
