#ifndef HICKORYCRANK_DIAGNOSIS_LOG_RECORD_TYPE_H
#define HICKORYCRANK_DIAGNOSIS_LOG_RECORD_TYPE_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hickorycrank::diagnosis {

/** One structured line of an instance's log. */
struct LogRecord {
  std::chrono::milliseconds At{}; ///< Since 1970, by the instance's clock.
  std::string Event;              ///< Such as "request.refused".
  std::map<std::string, std::string> Fields; ///< All others, as text.
};

/** The log of one instance. */
struct InstanceLog {
  std::string Instance; ///< Name that the log states, or that of its file.
  std::vector<LogRecord> Records;
};

/** One line of a time line that spans several instances. */
struct TimelineRecord {
  std::string Instance;
  LogRecord Record;
};

/** What the logs tell of one request. */
struct Explanation {
  std::vector<TimelineRecord> Timeline; ///< In the order of time.
  std::vector<std::string> Causes;      ///< A sentence for each line about it.
};

} // namespace hickorycrank::diagnosis

#endif
