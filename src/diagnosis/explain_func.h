#ifndef HICKORYCRANK_DIAGNOSIS_EXPLAIN_FUNC_H
#define HICKORYCRANK_DIAGNOSIS_EXPLAIN_FUNC_H

#include "base/error_type.h"
#include "diagnosis/log_record_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickorycrank::diagnosis {

/**
 * Parses the log of one instance, which has one JSON object per line. Any
 * prefix before the opening brace, such as one added by the platform, is
 * skipped, and so are lines of other programs.
 * @param Name Name of the instance if the log does not contain it.
 * @param Text The log.
 * @return Its records in file order.
 */
InstanceLog parseLog(std::string Name, std::string_view Text);

/**
 * Collects the log records of one request from several instances, together
 * with state changes that these instances logged shortly before.
 * @param RequestId Id of the request.
 * @param Logs Logs of the instances.
 * @return The explanation; NotFound if no record mentions the request.
 */
base::Result<Explanation> explain(const std::string &RequestId,
                                  const std::vector<InstanceLog> &Logs);

/**
 * Formats an explanation for the console.
 * @param Source The explanation.
 * @return One line for each record and each cause.
 */
std::string toText(const Explanation &Source);

} // namespace hickorycrank::diagnosis

#endif
