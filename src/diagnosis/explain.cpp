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

/** Time before a request in which changes of configuration, store and
 * instance count: two whole watches of the store and their retries. */
constexpr milliseconds ContextTime(15'000);
/** The same for changes of single servers, of which there are many. */
constexpr milliseconds ServerContextTime(3'000);

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
  const json::value *At = Source->if_contains("time_ms");
  const json::value *Event = Source->if_contains("event");
  if (At == nullptr || !At->is_int64() || Event == nullptr ||
      !Event->is_string()) {
    return std::nullopt;
  }
  LogRecord Record;
  Record.At = milliseconds(At->get_int64());
  Record.Event = Event->get_string().c_str();
  for (const auto &[Key, Value] : *Source) {
    if (Value.is_string() && Key != "event") {
      Record.Fields[std::string(Key)] = Value.get_string().c_str();
    }
  }
  return Record;
}

/** @return A field of a record, empty if it has none. */
std::string field(const LogRecord &Source, const char *Name) {
  auto Found = Source.Fields.find(Name);
  return Found == Source.Fields.end() ? "" : Found->second;
}

bool startsWith(const std::string &Text, std::string_view Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

/** @return Arrival of the request that a record ends. */
milliseconds arrival(const LogRecord &Ended) {
  const std::string Took = field(Ended, "took_ms");
  return Ended.At - milliseconds(std::strtoll(Took.c_str(), nullptr, 10));
}

/** @return Whether a record may explain a request that arrived and ended at
 * these times at the same instance. */
bool isContext(const LogRecord &Record, milliseconds Arrived,
               milliseconds Ended) {
  if (Record.At > Ended || startsWith(Record.Event, "request.")) {
    return false;
  }
  bool Server = startsWith(Record.Event, "server.");
  return Record.At >= Arrived - (Server ? ServerContextTime : ContextTime);
}

/** @return Why a request got no answer, from the line about its refusal. */
std::string describeRefusal(const LogRecord &Record) {
  const std::string Reason = field(Record, "reason");
  bool MayHaveRun = field(Record, "ran") == "may_have_run";
  if (Reason == "no_route") {
    return "configuration " + field(Record, "config_version") +
           " has no route for it";
  }
  if (Reason == "not_ready") {
    return "the instance had no configuration yet";
  }
  if (Reason == "no_server") {
    return "no server of the route may be used or reached in view revision " +
           field(Record, "view_revision") + "; " + field(Record, "attempts") +
           " attempts were sent";
  }
  if (Reason == "overloaded") {
    return MayHaveRun ? "the servers took too long"
                      : "the servers' queues were too long or they refused "
                        "it, and it has not run";
  }
  if (Reason == "quarantined") {
    return "its content crashed servers before";
  }
  if (Reason == "timeout") {
    return field(Record, "answered") + " of " + field(Record, "shards") +
           " parts had a reply after " + field(Record, "took_ms") + " ms and " +
           field(Record, "attempts") + " attempts";
  }
  if (field(Record, "broken") != "0" && MayHaveRun) {
    return field(Record, "broken") +
           " connections broke after the request was sent; it may have run";
  }
  return "its servers failed (" + Reason + ")";
}

std::string describe(const LogRecord &Record) {
  const std::string Route = "route " + field(Record, "route") + ": ";
  if (Record.Event == "request.refused") {
    return Route + "refused: " + describeRefusal(Record);
  }
  if (Record.Event == "request.partial") {
    return Route + field(Record, "answered") + " of " +
           field(Record, "shards") + " shards answered; " +
           field(Record, "not_reached") +
           " of the others got no attempt, the rest were late or failed when "
           "the answer left after " +
           field(Record, "took_ms") + " ms";
  }
  if (Record.Event == "request.server_error") {
    return Route + "a server answered with status " + field(Record, "status") +
           ", which was passed on";
  }
  return Route + Record.Event;
}

std::string formatTime(milliseconds At) {
  std::time_t Seconds = std::chrono::floor<std::chrono::seconds>(At).count();
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[40];
  std::snprintf(Text, sizeof Text, "%02d:%02d:%02d.%03d", Parts.tm_hour,
                Parts.tm_min, Parts.tm_sec,
                static_cast<int>(At.count() % 1'000));
  return Text;
}

} // namespace

InstanceLog parseLog(std::string Name, std::string_view Text) {
  InstanceLog Log{std::move(Name), {}};
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    if (auto Record = parseRecord(Text.substr(0, End))) {
      std::string Stated = field(*Record, "instance");
      if (Record->Event == "gateway.started" && !Stated.empty()) {
        Log.Instance = std::move(Stated);
      }
      Log.Records.push_back(std::move(*Record));
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Log;
}

base::Result<Explanation> explain(const std::string &RequestId,
                                  const std::vector<InstanceLog> &Logs) {
  Explanation Found;
  for (const InstanceLog &Log : Logs) {
    for (const LogRecord &Record : Log.Records) {
      if (field(Record, "request") != RequestId) {
        continue;
      }
      for (const LogRecord &Earlier : Log.Records) {
        if (isContext(Earlier, arrival(Record), Record.At)) {
          Found.Timeline.push_back({Log.Instance, Earlier});
        }
      }
      Found.Timeline.push_back({Log.Instance, Record});
      Found.Causes.push_back(Log.Instance + ", " + describe(Record));
    }
  }
  if (Found.Causes.empty()) {
    return base::Error{base::ErrorKind::NotFound,
                       "no line is about request " + RequestId +
                           "; whole answers are only counted, and lines are "
                           "left out above 40 a second (omitted_before)"};
  }
  std::stable_sort(Found.Timeline.begin(), Found.Timeline.end(),
                   [](const TimelineRecord &Left, const TimelineRecord &Right) {
                     return Left.Record.At < Right.Record.At;
                   });
  return Found;
}

std::string toText(const Explanation &Source) {
  std::string Text;
  for (const TimelineRecord &Entry : Source.Timeline) {
    Text += formatTime(Entry.Record.At) + " " + Entry.Instance + " " +
            Entry.Record.Event;
    for (const auto &[Key, Value] : Entry.Record.Fields) {
      if (Key != "level") {
        Text.append(" ").append(Key).append("=").append(Value);
      }
    }
    Text += "\n";
  }
  for (const std::string &Cause : Source.Causes) {
    Text += "cause: " + Cause + "\n";
  }
  return Text;
}

} // namespace hickorycrank::diagnosis
