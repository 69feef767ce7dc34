#include "replay/trace_func.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <set>
#include <string>
#include <utility>

namespace hickorycrank::replay {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<const char *, EventKind>, 14> EventNames = {{
    {"load", EventKind::Load},
    {"slow", EventKind::Slow},
    {"crash", EventKind::Crash},
    {"restart", EventKind::Restart},
    {"drain", EventKind::Drain},
    {"silence", EventKind::Silence},
    {"shed", EventKind::Shed},
    {"fail", EventKind::Fail},
    {"publish", EventKind::Publish},
    {"retire", EventKind::Retire},
    {"stale_reports", EventKind::StaleReports},
    {"invert_reports", EventKind::InvertReports},
    {"pause", EventKind::Pause},
    {"crashing_request", EventKind::CrashingRequest},
}};

constexpr std::array<std::pair<const char *, BoundKind>, 12> BoundNames = {{
    {"p99_over_fault_free", BoundKind::P99OverFaultFree},
    {"p99_over_no_reports", BoundKind::P99OverNoReports},
    {"p99_over_queue_floor", BoundKind::P99OverQueueFloor},
    {"extra_load", BoundKind::ExtraLoad},
    {"extra_load_any_second", BoundKind::ExtraLoadAnySecond},
    {"coverage", BoundKind::Coverage},
    {"goodput_recovery", BoundKind::GoodputRecovery},
    {"timeouts_per_connection", BoundKind::TimeoutsPerConnection},
    {"ejections", BoundKind::Ejections},
    {"restart_share", BoundKind::RestartShare},
    {"servers_lost", BoundKind::ServersLost},
    {"others_affected", BoundKind::OthersAffected},
}};

/** Reads the members of one line and notes what is wrong. */
class LineReader {
public:
  /** @param Source The line's object. */
  explicit LineReader(const json::object &Source) : Source(Source) {}

  /**
   * Reads a number.
   * @param Key Its key.
   * @param Target Left unchanged if the key is absent.
   */
  template <typename T> void number(const char *Key, T &Target) {
    if (const json::value *Found = this->find(Key)) {
      if (Found->is_number()) {
        Target = static_cast<T>(Found->to_number<double>());
      } else {
        this->Problem = std::string(Key) + " must be a number";
      }
    }
  }

  /**
   * Reads a span in milliseconds.
   * @param Key Its key.
   * @param Target Left unchanged if the key is absent.
   */
  template <typename T> void span(const char *Key, T &Target) {
    double Ms = base::toMilliseconds(Target);
    this->number(Key, Ms);
    Target = std::chrono::duration_cast<T>(base::fromMilliseconds(Ms));
  }

  /**
   * Reads a text.
   * @param Key Its key.
   * @param Target Left unchanged if the key is absent.
   */
  void text(const char *Key, std::string &Target) {
    if (const json::value *Found = this->find(Key)) {
      if (Found->is_string()) {
        Target = std::string(Found->as_string());
      } else {
        this->Problem = std::string(Key) + " must be a string";
      }
    }
  }

  /**
   * Reads a truth value.
   * @param Key Its key.
   * @param Target Left unchanged if the key is absent.
   */
  void truth(const char *Key, bool &Target) {
    if (const json::value *Found = this->find(Key)) {
      if (Found->is_bool()) {
        Target = Found->as_bool();
      } else {
        this->Problem = std::string(Key) + " must be true or false";
      }
    }
  }

  /** @param Key A key. @return Its array; empty if absent. */
  json::array list(const char *Key) {
    const json::value *Found = this->find(Key);
    if (Found != nullptr && !Found->is_array()) {
      this->Problem = std::string(Key) + " must be an array";
    }
    return Found != nullptr && Found->is_array() ? Found->as_array()
                                                 : json::array();
  }

  /** @return What is wrong, such as a key that nobody read. */
  std::string problem() const {
    for (const auto &Member : this->Source) {
      if (this->Problem.empty() &&
          this->Read.count(std::string(Member.key())) == 0) {
        return "unknown key " + std::string(Member.key());
      }
    }
    return this->Problem;
  }

private:
  const json::value *find(const char *Key) {
    this->Read.insert(Key);
    return this->Source.if_contains(Key);
  }

  const json::object &Source;
  std::set<std::string> Read;
  std::string Problem;
};

/**
 * Reads one class of requests.
 * @param Source Its object.
 * @param Target Receives it.
 * @return What is wrong, or an empty text.
 */
std::string readClass(const json::value &Source, RequestClass &Target) {
  if (!Source.is_object()) {
    return "each class must be an object";
  }
  LineReader Reader(Source.as_object());
  std::string Selection = "all";
  Reader.text("name", Target.Name);
  Reader.text("organisation", Target.Organisation);
  Reader.number("weight", Target.OrganisationWeight);
  Reader.number("share", Target.Share);
  Reader.text("selection", Selection);
  Reader.number("shards", Target.Shards);
  Reader.span("deadline_ms", Target.Deadline);
  Reader.number("goal", Target.Goal);
  Reader.number("floor", Target.Floor);
  Reader.number("priority", Target.Priority);
  Reader.truth("idempotent", Target.Idempotent);
  Reader.number("distinct", Target.Distinct);
  std::string Canary = "shape";
  Reader.text("canary", Canary);
  if (Canary == "content") {
    Target.Canary = config::CanaryRule::Content;
  } else if (Canary != "shape") {
    return "canary must be shape or content";
  }
  if (Selection == "by_key") {
    Target.Selection = config::ShardSelection::ByKey;
  } else if (Selection == "listed") {
    Target.Selection = config::ShardSelection::Listed;
  } else if (Selection != "all") {
    return "selection must be all, by_key or listed";
  }
  return Reader.problem();
}

/**
 * Reads the configuration line.
 * @param Line The line.
 * @param Target Receives it.
 * @return What is wrong, or an empty text.
 */
std::string readConfig(const json::object &Line, TraceConfig &Target) {
  LineReader Reader(Line);
  Reader.text("trace", Target.Name);
  Reader.number("seed", Target.Seed);
  Reader.span("length_ms", Target.Length);
  Reader.span("warmup_ms", Target.Warmup);
  Reader.number("instances", Target.Instances);
  Reader.number("domains", Target.Domains);
  Reader.number("groups", Target.Groups);
  Reader.number("replicas", Target.Replicas);
  Reader.number("shards_per_group", Target.ShardsPerGroup);
  Reader.number("slots", Target.Slots);
  Reader.number("queue_limit", Target.QueueLimit);
  Reader.number("connection_cap", Target.ConnectionCap);
  Reader.number("service_ms", Target.ServiceMs);
  Reader.number("service_sigma", Target.ServiceSigma);
  Reader.span("network_ms", Target.Network);
  Reader.span("connect_ms", Target.Connect);
  Reader.span("report_ms", Target.ReportEvery);
  Reader.number("load", Target.Load);
  for (const json::value &Entry : Reader.list("classes")) {
    std::string Problem = readClass(Entry, Target.Classes.emplace_back());
    if (!Problem.empty()) {
      return Problem;
    }
  }
  bool Valid =
      Target.Instances > 0 && Target.Domains > 0 && Target.Groups > 0 &&
      Target.Replicas > 0 && Target.ShardsPerGroup > 0 && Target.Slots > 0 &&
      Target.Load > 0 && Target.ServiceMs > 0 &&
      Target.ReportEvery > base::Duration::zero() && !Target.Classes.empty();
  return Valid ? Reader.problem() : "sizes, load and classes must be given";
}

/**
 * Reads one event and its repetitions.
 * @param Line The line.
 * @param Target The trace that receives them.
 * @return What is wrong, or an empty text.
 */
std::string readEvent(const json::object &Line, Trace &Target) {
  LineReader Reader(Line);
  TraceEvent Event;
  std::string Name;
  uint32_t Repeat = 1;
  uint32_t EachNth = 0;
  base::Duration Every{};
  Reader.text("event", Name);
  Reader.span("at_ms", Event.At);
  Reader.span("for_ms", Event.For);
  Reader.number("value", Event.Value);
  Reader.number("instance", Event.Instance);
  Reader.number("class", Event.Class);
  Reader.truth("new_shape", Event.NewShape);
  Reader.span("retry_after_ms", Event.RetryAfter);
  Reader.number("repeat", Repeat);
  Reader.span("every_ms", Every);
  Reader.number("each_nth", EachNth);
  const TraceConfig &Config = Target.Config;
  uint32_t Count = Config.Groups * Config.Replicas;
  for (const json::value &Entry : Reader.list("servers")) {
    if (!Entry.is_int64() || Entry.as_int64() < 0 ||
        Entry.as_int64() >= static_cast<int64_t>(Count)) {
      return "servers must be positions below " + std::to_string(Count);
    }
    Event.Servers.push_back(static_cast<uint32_t>(Entry.as_int64()));
  }
  if (Event.Servers.empty()) { // All, or each nth.
    for (uint32_t I = 0; I < Count; I += std::max(EachNth, 1U)) {
      Event.Servers.push_back(I);
    }
  }
  const auto *Found =
      std::find_if(EventNames.begin(), EventNames.end(),
                   [&Name](const auto &Entry) { return Name == Entry.first; });
  if (Found == EventNames.end()) {
    return "unknown event " + Name;
  }
  if (Event.Instance >= Config.Instances ||
      Event.Class >= Config.Classes.size()) {
    return "instance and class must be positions in the configuration";
  }
  Event.Kind = Found->second;
  for (uint32_t I = 0; I < Repeat; ++I) {
    Target.Events.push_back(Event);
    Event.At += Every;
  }
  return Reader.problem();
}

/**
 * Reads the line of bounds.
 * @param Source Value of its only member.
 * @param Target The trace that receives them.
 * @return What is wrong, or an empty text.
 */
std::string readBounds(const json::value &Source, Trace &Target) {
  if (!Source.is_object()) {
    return "bounds must be an object";
  }
  for (const auto &Member : Source.as_object()) {
    const auto *Found = std::find_if(
        BoundNames.begin(), BoundNames.end(),
        [&Member](const auto &Entry) { return Member.key() == Entry.first; });
    if (Found == BoundNames.end() || !Member.value().is_number()) {
      return "unknown bound " + std::string(Member.key());
    }
    Target.Bounds.push_back(
        {Found->second, Member.value().to_number<double>()});
  }
  return {};
}

} // namespace

base::Result<Trace> parseTrace(std::string_view Text) {
  Trace Target;
  size_t Number = 0;
  bool Ended = false;
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    ++Number;
    if (Line.empty()) {
      continue;
    }
    json::error_code Failure;
    json::value Parsed =
        json::parse(json::string_view(Line.data(), Line.size()), Failure);
    std::string Problem;
    if (Failure || !Parsed.is_object()) {
      Problem = "not a JSON object";
    } else if (Ended) {
      Problem = "bounds must be the last line";
    } else if (Number == 1) {
      Problem = readConfig(Parsed.as_object(), Target.Config);
    } else if (const json::value *Stated =
                   Parsed.as_object().if_contains("bounds")) {
      Problem = readBounds(*Stated, Target);
      Ended = true;
    } else {
      Problem = readEvent(Parsed.as_object(), Target);
    }
    if (!Problem.empty()) {
      return base::Error{base::ErrorKind::BadSyntax,
                         "line " + std::to_string(Number) + ": " + Problem};
    }
  }
  if (!Ended) {
    return base::Error{base::ErrorKind::MissingKey,
                       "the last line must state the bounds"};
  }
  std::stable_sort(Target.Events.begin(), Target.Events.end(),
                   [](const TraceEvent &Left, const TraceEvent &Right) {
                     return Left.At < Right.At;
                   });
  return Target;
}

Trace withoutFaults(const Trace &Source) {
  Trace Kept = Source;
  std::erase_if(Kept.Events, [](const TraceEvent &Event) {
    return Event.Kind != EventKind::Load;
  });
  return Kept;
}

const char *toString(BoundKind Kind) {
  return BoundNames[static_cast<size_t>(Kind)].first;
}

double requestRate(const TraceConfig &Config, double Load) {
  double Shards = 0;
  double Shares = 0;
  for (const RequestClass &Class : Config.Classes) {
    double Needed = Config.Groups * Config.ShardsPerGroup;
    if (Class.Selection == config::ShardSelection::ByKey) {
      Needed = 1;
    } else if (Class.Selection == config::ShardSelection::Listed) {
      Needed = Class.Shards;
    }
    Shards += Class.Share * Needed;
    Shares += Class.Share;
  }
  double MeanSeconds = Config.ServiceMs / 1'000 *
                       std::exp(Config.ServiceSigma * Config.ServiceSigma / 2);
  double Capacity =
      Config.Groups * Config.Replicas * Config.Slots / MeanSeconds;
  return Load * Capacity / (Shards / Shares);
}

} // namespace hickorycrank::replay
