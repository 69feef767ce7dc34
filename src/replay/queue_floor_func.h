#ifndef HICKORYCRANK_REPLAY_QUEUE_FLOOR_FUNC_H
#define HICKORYCRANK_REPLAY_QUEUE_FLOOR_FUNC_H

#include "replay/result_type.h"
#include "replay/trace_type.h"

#include <vector>

namespace hickorycrank::replay {

/**
 * Computes latencies that no routing can shorten while it runs all the work:
 * each group is one central queue, first come first served, in front of the
 * slots of its servers that run. Arrivals and service times are those of a
 * recorded run; work that a crash interrupts counts as done. Only crashes are
 * taken into account among the faults.
 * @param Source The trace; each query must need all shards.
 * @param Record A run of it.
 * @return Latency of each query whose shards all ran, in the order of arrival
 *   and without the warm-up.
 */
std::vector<base::Duration> queueFloor(const Trace &Source,
                                       const RunRecord &Record);

} // namespace hickorycrank::replay

#endif
