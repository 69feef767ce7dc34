#ifndef HICKORYCRANK_REPLAY_REPORT_FUNC_H
#define HICKORYCRANK_REPLAY_REPORT_FUNC_H

#include "replay/report_type.h"
#include "replay/result_type.h"
#include "replay/trace_type.h"
#include "routing/policy_type.h"

#include <string>

namespace hickorycrank::replay {

/**
 * The policy that each trace is compared with: random replica, 3 retries, no
 * other rule.
 * @return The policy.
 */
routing::Policy baselinePolicy();

/**
 * Computes the figures of a run.
 * @param Source The trace.
 * @param Record What was recorded.
 * @return The figures.
 */
Summary summarise(const Trace &Source, const RunRecord &Record);

/**
 * Runs a trace, and where a bound is relative also the run it relates to.
 * @param Source The trace.
 * @param Policy Name of the policy.
 * @param Rules The policy.
 * @return Figures and bounds.
 */
Row replayTrace(const Trace &Source, const std::string &Policy,
                const routing::Policy &Rules);

/** @return Heading of the table. */
std::string tableHeading();

/**
 * Formats a row for people.
 * @param Source The row.
 * @return Its line, and one for each missed bound or broken promise.
 */
std::string toTable(const Row &Source);

/**
 * Formats a row for programs.
 * @param Source The row.
 * @return A JSON object without line breaks.
 */
std::string toJson(const Row &Source);

} // namespace hickorycrank::replay

#endif
