#ifndef HICKORYCRANK_DIAGNOSIS_EXPLAIN_FUNC_H
#define HICKORYCRANK_DIAGNOSIS_EXPLAIN_FUNC_H

#include "base/error_type.h"
#include "diagnosis/log_record_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickorycrank::diagnosis {

/**
 * Reads the log of one instance. What stands before the brace of a line, such
 * as a prefix of the platform, is skipped, and so are lines of other programs.
 * @param Name Name of the instance if the log does not state it.
 * @param Text The log.
 * @return Its records in the order of the file.
 */
InstanceLog parseLog(std::string Name, std::string_view Text);

/**
 * Joins what several logs tell of one request: the lines about it, and what
 * the instances that saw it believed and changed shortly before.
 * @param RequestId Id of the request.
 * @param Logs Logs of the instances.
 * @return The explanation; NotFound if no line is about the request.
 */
base::Result<Explanation> explain(const std::string &RequestId,
                                  const std::vector<InstanceLog> &Logs);

/** @param Source An explanation. @return It as text, one line for each record
 * and cause. */
std::string toText(const Explanation &Source);

} // namespace hickorycrank::diagnosis

#endif
