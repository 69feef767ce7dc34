#ifndef HICKORYCRANK_REPLAY_TRACE_FUNC_H
#define HICKORYCRANK_REPLAY_TRACE_FUNC_H

#include "base/error_type.h"
#include "replay/trace_type.h"

#include <string_view>

namespace hickorycrank::replay {

/**
 * Reads a trace: JSON lines, first the configuration, then the events, last
 * the bounds.
 * @param Text The lines.
 * @return The trace, or what is wrong with it.
 */
base::Result<Trace> parseTrace(std::string_view Text);

/**
 * Leaves out all events but changes of the load.
 * @param Source A trace.
 * @return The fault-free trace.
 */
Trace withoutFaults(const Trace &Source);

/**
 * Names a bound in traces and reports.
 * @param Kind The kind.
 * @return Stable lower-case name.
 */
const char *toString(BoundKind Kind);

/**
 * Computes the request rate that gives a load.
 * @param Config The deployment and the workload.
 * @param Load Share of all slots to keep busy.
 * @return Requests per second.
 */
double requestRate(const TraceConfig &Config, double Load);

} // namespace hickorycrank::replay

#endif
