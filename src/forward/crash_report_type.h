#ifndef HICKORYCRANK_FORWARD_CRASH_REPORT_TYPE_H
#define HICKORYCRANK_FORWARD_CRASH_REPORT_TYPE_H

#include "base/id_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace hickorycrank::forward {

/** Crashes of servers during calls with the same content, as instances report
 * them to each other. */
struct CrashReport {
  base::Fingerprint Content;
  /** Calls during which servers crashed; unique among all instances, so that
   * the reports of several instances can be added up. */
  std::vector<uint64_t> Calls;
  std::chrono::milliseconds Age{0}; ///< Time since the last known crash.
  /** Service of the server that crashed during each of Calls, as a hash;
   * shorter or empty if it is not known. */
  std::vector<uint64_t> Services = {};
};

} // namespace hickorycrank::forward

#endif
