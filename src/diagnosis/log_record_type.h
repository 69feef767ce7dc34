#ifndef HICKORYCRANK_DIAGNOSIS_LOG_RECORD_TYPE_H
#define HICKORYCRANK_DIAGNOSIS_LOG_RECORD_TYPE_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hickorycrank::diagnosis {

/** One line of an instance's structured log. */
struct LogRecord {
  /** Unix time, by the instance's clock. */
  std::chrono::milliseconds Timestamp{};
  std::string Event; ///< Event name, such as "request.refused".
  std::map<std::string, std::string> Fields; ///< All other string fields.
};

/** The log of one instance. */
struct InstanceLog {
  std::string Instance; ///< Name from the log, or of the log file.
  std::vector<LogRecord> Records;
};

/** One record of a timeline that spans several instances. */
struct TimelineRecord {
  std::string Instance;
  LogRecord Record;
};

/** Why a request ended as it did, according to the logs. */
struct Explanation {
  std::vector<TimelineRecord> Timeline; ///< Sorted by time.
  /** How the request ended at each instance, one text for each log record of
   * it. */
  std::vector<std::string> Outcomes;
};

} // namespace hickorycrank::diagnosis

#endif
