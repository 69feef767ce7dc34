#include "diagnosis/explain_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <optional>
#include <utility>

namespace hickorycrank::diagnosis {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

/** Records of configuration, store and instance changes are relevant if they
 * are at most this much older than the request's arrival: two full watches of
 * the store and their retries. */
constexpr milliseconds ContextWindow(15'000);
/** Like ContextWindow, for changes of individual servers, which are far more
 * frequent. */
constexpr milliseconds ServerContextWindow(3'000);

/** @param Line A line of a log. @return Its record, or nothing. */
std::optional<LogRecord> parseRecord(std::string_view Line) {
  size_t Begin = Line.find('{');
  if (Begin == std::string_view::npos) {
    return std::nullopt;
  }
  json::error_code Failure;
  json::value Parsed = json::parse(Line.substr(Begin), Failure);
  const json::object *Source = Failure ? nullptr : Parsed.if_object();
  if (Source == nullptr) {
    return std::nullopt;
  }
  const json::value *Timestamp = Source->if_contains("time_ms");
  const json::value *Event = Source->if_contains("event");
  if (Timestamp == nullptr || !Timestamp->is_int64() || Event == nullptr ||
      !Event->is_string()) {
    return std::nullopt;
  }
  LogRecord Record;
  Record.Timestamp = milliseconds(Timestamp->get_int64());
  Record.Event = Event->get_string().c_str();
  for (const auto &[Key, Value] : *Source) {
    if (Value.is_string() && Key != "event") {
      Record.Fields[std::string(Key)] = Value.get_string().c_str();
    }
  }
  return Record;
}

/** @return Value of a field of a record, empty if it is missing. */
std::string fieldText(const LogRecord &Source, const char *Name) {
  auto Found = Source.Fields.find(Name);
  return Found == Source.Fields.end() ? "" : Found->second;
}

bool startsWith(const std::string &Text, std::string_view Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

/** @return Arrival time of the request whose end a record reports. */
milliseconds arrivalTime(const LogRecord &Record) {
  const std::string DurationMs = fieldText(Record, "took_ms");
  return Record.Timestamp -
         milliseconds(std::strtoll(DurationMs.c_str(), nullptr, 10));
}

/** @return Whether a record is relevant to a request that arrived and ended at
 * the given times at the same instance. */
bool isRelevant(const LogRecord &Record, milliseconds Arrival,
                milliseconds End) {
  if (Record.Timestamp > End || startsWith(Record.Event, "request.")) {
    return false;
  }
  bool IsServerEvent = startsWith(Record.Event, "server.");
  return Record.Timestamp >=
         Arrival - (IsServerEvent ? ServerContextWindow : ContextWindow);
}

/** @return Why a request was refused, according to the record of it. */
std::string describeRefusal(const LogRecord &Record) {
  const std::string Reason = fieldText(Record, "reason");
  bool MayHaveRun = fieldText(Record, "ran") == "may_have_run";
  if (Reason == "no_route") {
    return "configuration " + fieldText(Record, "config_version") +
           " has no route for it";
  }
  if (Reason == "not_ready") {
    return "the instance had not loaded a configuration yet";
  }
  if (Reason == "no_server") {
    return "no usable or reachable server of the route in view revision " +
           fieldText(Record, "view_revision") + "; " +
           fieldText(Record, "attempts") + " attempts were sent";
  }
  if (Reason == "overloaded") {
    return MayHaveRun ? "the servers took too long to respond"
                      : "the servers' queues were too long or the servers "
                        "refused it; it was not run";
  }
  if (Reason == "evacuated") {
    return "the failure domains of its servers were evacuated in view "
           "revision " +
           fieldText(Record, "view_revision") + "; it was not run";
  }
  if (Reason == "no_allowed_region") {
    return "no server in a region that the route allows in view revision " +
           fieldText(Record, "view_revision") + "; it was not run";
  }
  if (Reason == "lower_priority") {
    return "more urgent requests needed the room at its servers; it was not "
           "run";
  }
  if (Reason == "quarantined") {
    return "earlier requests with the same content crashed servers";
  }
  if (Reason == "timeout") {
    return fieldText(Record, "answered") + " of " +
           fieldText(Record, "shards") + " shards had replied after " +
           fieldText(Record, "took_ms") + " ms and " +
           fieldText(Record, "attempts") + " attempts";
  }
  if (fieldText(Record, "broken") != "0" && MayHaveRun) {
    return fieldText(Record, "broken") +
           " connections were lost after the request was sent; it may have run";
  }
  return "the servers failed (" + Reason + ")";
}

/** @return Outcome of a request, according to a record of it. */
std::string describeOutcome(const LogRecord &Record) {
  const std::string Route = "route " + fieldText(Record, "route") + ": ";
  if (Record.Event == "request.refused") {
    return Route + "refused: " + describeRefusal(Record);
  }
  if (Record.Event == "request.partial") {
    return Route + fieldText(Record, "answered") + " of " +
           fieldText(Record, "shards") + " shards answered; " +
           fieldText(Record, "not_reached") +
           " of the others were not attempted, the rest were late or failed "
           "when the answer was sent after " +
           fieldText(Record, "took_ms") + " ms";
  }
  if (Record.Event == "request.server_error") {
    return Route + "a server answered with status " +
           fieldText(Record, "status") + ", which was forwarded to the caller";
  }
  return Route + Record.Event;
}

/** @param Timestamp Unix time. @return Time of day in UTC. */
std::string formatTime(milliseconds Timestamp) {
  std::time_t Seconds =
      std::chrono::floor<std::chrono::seconds>(Timestamp).count();
  std::tm Calendar{};
  gmtime_r(&Seconds, &Calendar);
  char Text[40];
  std::snprintf(Text, sizeof Text, "%02d:%02d:%02d.%03d", Calendar.tm_hour,
                Calendar.tm_min, Calendar.tm_sec,
                static_cast<int>(Timestamp.count() % 1'000));
  return Text;
}

} // namespace

InstanceLog parseLog(std::string Name, std::string_view Text) {
  InstanceLog Log{std::move(Name), {}};
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    if (auto Record = parseRecord(Text.substr(0, End))) {
      std::string LoggedName = fieldText(*Record, "instance");
      if (Record->Event == "gateway.started" && !LoggedName.empty()) {
        Log.Instance = std::move(LoggedName);
      }
      Log.Records.push_back(std::move(*Record));
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Log;
}

base::Result<Explanation> explain(const std::string &RequestId,
                                  const std::vector<InstanceLog> &Logs) {
  Explanation Result;
  for (const InstanceLog &Log : Logs) {
    for (const LogRecord &Record : Log.Records) {
      if (fieldText(Record, "request") != RequestId) {
        continue;
      }
      for (const LogRecord &Earlier : Log.Records) {
        if (isRelevant(Earlier, arrivalTime(Record), Record.Timestamp)) {
          Result.Timeline.push_back({Log.Instance, Earlier});
        }
      }
      Result.Timeline.push_back({Log.Instance, Record});
      Result.Outcomes.push_back(Log.Instance + ", " + describeOutcome(Record));
    }
  }
  if (Result.Outcomes.empty()) {
    return base::Error{base::ErrorKind::NotFound,
                       "no log record mentions request " + RequestId +
                           "; complete answers are only counted and not logged "
                           "one by one, and each instance logs at most 40 "
                           "records per second (see field omitted_before)"};
  }
  std::stable_sort(Result.Timeline.begin(), Result.Timeline.end(),
                   [](const TimelineRecord &Left, const TimelineRecord &Right) {
                     return Left.Record.Timestamp < Right.Record.Timestamp;
                   });
  return Result;
}

std::string toText(const Explanation &Source) {
  std::string Text;
  for (const TimelineRecord &Entry : Source.Timeline) {
    Text += formatTime(Entry.Record.Timestamp) + " " + Entry.Instance + " " +
            Entry.Record.Event;
    for (const auto &[Key, Value] : Entry.Record.Fields) {
      if (Key != "level") {
        Text.append(" ").append(Key).append("=").append(Value);
      }
    }
    Text += "\n";
  }
  for (const std::string &Cause : Source.Outcomes) {
    Text += "cause: " + Cause + "\n";
  }
  return Text;
}

} // namespace hickorycrank::diagnosis
