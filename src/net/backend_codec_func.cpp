#include "net/backend_codec_func.h"

#include "base/digest_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <memory>
#include <sstream>

namespace hickorycrank::net {

namespace json = boost::json;

using base::Error;
using base::ErrorKind;
using query::RefusalKind;
using query::ReplyStatus;

namespace {

constexpr size_t HexDigitsPerHalf = 16;
/** A longer digest of versions is not kept: it would travel in each probe. */
constexpr size_t MaxDigestSize = 128;
/** Cuts larger values, which would wrap round to negative durations. */
constexpr uint64_t LongestRetryAfterMs = 86'400'000;

/**
 * Quotes text as a JSON string.
 * @param Text Any text.
 * @return Quoted and escaped.
 */
std::string quote(const std::string &Text) {
  return json::serialize(json::string(Text));
}

/**
 * Reads an attempt id.
 * @param Text 32 hexadecimal digits.
 * @return The id; zero if the text is not valid, which no attempt has.
 */
base::AttemptId parseAttemptId(std::string_view Text) {
  base::AttemptId Id;
  if (Text.size() != 2 * HexDigitsPerHalf) {
    return Id;
  }
  const char *Middle = Text.data() + HexDigitsPerHalf;
  const char *End = Middle + HexDigitsPerHalf;
  auto High = std::from_chars(Text.data(), Middle, Id.High, 16);
  auto Low = std::from_chars(Middle, End, Id.Low, 16);
  return High.ptr == Middle && Low.ptr == End ? Id : base::AttemptId{};
}

/**
 * Reads an optional unsigned member.
 * @param Object JSON object.
 * @param Key Member name.
 * @return The value, or nothing if absent or not a non-negative integer.
 */
std::optional<uint64_t> findUnsigned(const json::object &Object,
                                     std::string_view Key) {
  const json::value *Member = Object.if_contains(Key);
  if (Member == nullptr) {
    return std::nullopt;
  }
  if (Member->is_uint64()) {
    return Member->get_uint64();
  }
  if (Member->is_int64() && Member->get_int64() >= 0) {
    return static_cast<uint64_t>(Member->get_int64());
  }
  return std::nullopt;
}

/**
 * Reads an optional text member.
 * @param Object JSON object.
 * @param Key Member name.
 * @return The text; empty if absent or no string.
 */
std::string findText(const json::object &Object, std::string_view Key) {
  const json::value *Member = Object.if_contains(Key);
  if (Member == nullptr || !Member->is_string()) {
    return {};
  }
  return std::string(Member->get_string());
}

/**
 * Reads an optional Boolean member.
 * @param Object JSON object.
 * @param Key Member name.
 * @return The value; false if absent.
 */
bool findBoolean(const json::object &Object, std::string_view Key) {
  const json::value *Member = Object.if_contains(Key);
  return Member != nullptr && Member->is_bool() && Member->get_bool();
}

/**
 * Parses a JSON object.
 * @param Body JSON text.
 * @param What Names the message in errors.
 * @return The object, or a protocol error.
 */
base::Result<json::object> parseObject(std::string_view Body,
                                       const char *What) {
  boost::system::error_code Failure;
  json::value Parsed = json::parse(Body, Failure);
  if (Failure || !Parsed.is_object()) {
    return Error{ErrorKind::Protocol,
                 std::string(What) + " is not a JSON object"};
  }
  return std::move(Parsed.get_object());
}

/**
 * Reads a reply status.
 * @param Text Name of the status.
 * @return The status, or nothing.
 */
std::optional<ReplyStatus> parseStatus(std::string_view Text) {
  static constexpr std::pair<std::string_view, ReplyStatus> Names[] = {
      {"ok", ReplyStatus::Ok},
      {"partial", ReplyStatus::Partial},
      {"shed", ReplyStatus::Shed},
      {"version_gone", ReplyStatus::VersionGone},
      {"expired", ReplyStatus::Expired},
      {"cancelled", ReplyStatus::Cancelled},
      {"error", ReplyStatus::Error}};
  for (const auto &[Name, Status] : Names) {
    if (Name == Text) {
      return Status;
    }
  }
  return std::nullopt;
}

/**
 * Extracts the sort key of a row.
 * @param Source The row.
 * @param OrderBy Member name; may be empty.
 * @return The key; monostate if there is none.
 */
query::SortKey extractKey(const json::value &Source,
                          const std::string &OrderBy) {
  if (OrderBy.empty() || !Source.is_object()) {
    return {};
  }
  const json::value *Member = Source.get_object().if_contains(OrderBy);
  if (Member == nullptr) {
    return {};
  }
  if (Member->is_number()) {
    return Member->to_number<double>();
  }
  if (Member->is_string()) {
    return std::string(Member->get_string());
  }
  return {};
}

/**
 * Reads one version of a report.
 * @param Object JSON object.
 * @return The version.
 */
routing::VersionReport readVersion(const json::object &Object) {
  auto Shards = std::make_shared<routing::Layout>();
  Shards->Version =
      base::VersionId(findUnsigned(Object, "version").value_or(0));
  if (const json::value *Names = Object.if_contains("layout");
      Names != nullptr && Names->is_array()) {
    for (const json::value &Name : Names->get_array()) {
      if (Name.is_string()) {
        Shards->Shards.emplace_back(Name.get_string());
      }
    }
  }
  routing::VersionReport Report;
  if (const json::value *Holds = Object.if_contains("holds");
      Holds != nullptr && Holds->is_array()) {
    for (const json::value &Index : Holds->get_array()) {
      if (Index.is_int64() && Index.get_int64() >= 0) {
        Report.Holds.emplace_back(static_cast<uint32_t>(Index.get_int64()));
      }
    }
  }
  Report.ShardLayout = std::move(Shards);
  return Report;
}

/**
 * Reads a report from an object.
 * @param Object JSON object.
 * @return The report.
 */
routing::ServerReport readReport(const json::object &Object) {
  routing::ServerReport Report;
  Report.Server = base::ServerId(findText(Object, "server"));
  Report.Process =
      base::Incarnation(findUnsigned(Object, "incarnation").value_or(0));
  Report.Leaving = findBoolean(Object, "leaving");
  if (const json::value *Load = Object.if_contains("load");
      Load != nullptr && Load->is_number()) {
    Report.Load = Load->to_number<double>();
  }
  Report.Slots =
      static_cast<uint32_t>(findUnsigned(Object, "slots").value_or(0));
  Report.VersionsDigest = findText(Object, "versions_digest");
  if (Report.VersionsDigest.size() > MaxDigestSize) {
    Report.VersionsDigest.clear();
  }
  const json::value *Versions = Object.if_contains("versions");
  if (Versions != nullptr && Versions->is_array()) {
    Report.HasVersions = true;
    for (const json::value &Entry : Versions->get_array()) {
      if (Entry.is_object()) {
        Report.Versions.push_back(readVersion(Entry.get_object()));
      }
    }
  }
  return Report;
}

/**
 * Writes the coverage of an answer.
 * @param Covered The coverage.
 * @return JSON object; unknown record counts are null.
 */
json::object encodeCoverage(const query::Coverage &Covered) {
  json::object Encoded;
  Encoded["expected"] = Covered.Expected;
  Encoded["answered"] = Covered.Answered;
  Encoded["records_expected"] = Covered.RecordsExpected
                                    ? json::value(*Covered.RecordsExpected)
                                    : json::value();
  Encoded["records_answered"] = Covered.RecordsAnswered
                                    ? json::value(*Covered.RecordsAnswered)
                                    : json::value();
  json::array Missing;
  for (const std::string &Name : Covered.Missing) {
    Missing.emplace_back(Name);
  }
  Encoded["missing"] = std::move(Missing);
  return Encoded;
}

} // namespace

std::string encodeSearch(const query::SendAttempt &Attempt,
                         base::Duration Remaining) {
  const query::Request &Source = *Attempt.Source;
  const config::TemplateDoc &Template = *Source.Template;
  std::ostringstream Body;
  Body << R"({"attempt":")" << base::toString(Attempt.Id) << R"(","service":)"
       << quote(Template.Service.Value) << R"(,"shard":)"
       << quote(Attempt.Shard) << R"(,"version":)" << Attempt.Version.Value
       << R"(,"deadline_ms":)"
       << std::chrono::floor<std::chrono::milliseconds>(Remaining).count();
  if (!Template.Idempotent) {
    Body << R"(,"expires_at_ms":)"
         << Source.DeadlineWall.time_since_epoch().count();
  }
  Body << R"(,"template":)" << quote(Template.Name.Value) << R"(,"limit":)"
       << Template.Limit << R"(,"parameters":)" << Source.Parameters.Json
       << '}';
  return Body.str();
}

base::Result<query::Reply> decodeReply(std::string_view Body,
                                       const std::string &OrderBy) {
  base::Result<json::object> Parsed = parseObject(Body, "the reply");
  if (Parsed.has_error()) {
    return Parsed.error();
  }
  const json::object &Object = Parsed.value();
  query::Reply Decoded;
  Decoded.Echo = parseAttemptId(findText(Object, "attempt"));
  auto Status = parseStatus(findText(Object, "status"));
  if (!Status) {
    return Error{ErrorKind::Protocol, "the reply has no known status"};
  }
  Decoded.Status = *Status;
  Decoded.Version =
      base::VersionId(findUnsigned(Object, "version").value_or(0));
  Decoded.Ran = findText(Object, "ran") == "not_run"
                    ? query::ExecutionState::NotRun
                    : query::ExecutionState::MayHaveRun;
  Decoded.Records = findUnsigned(Object, "records");
  Decoded.RecordsTotal = findUnsigned(Object, "records_total");
  if (auto Wait = findUnsigned(Object, "retry_after_ms")) {
    Decoded.RetryAfter =
        std::chrono::milliseconds(std::min(*Wait, LongestRetryAfterMs));
  }
  if (const json::value *Rows = Object.if_contains("rows");
      Rows != nullptr && Rows->is_array()) {
    Decoded.Rows.reserve(Rows->get_array().size());
    for (const json::value &Entry : Rows->get_array()) {
      Decoded.Rows.push_back(
          {extractKey(Entry, OrderBy), json::serialize(Entry)});
    }
  }
  if (const json::value *Report = Object.if_contains("report");
      Report != nullptr && Report->is_object()) {
    Decoded.Report = readReport(Report->get_object());
  }
  return Decoded;
}

base::Result<routing::ServerReport> decodeReport(std::string_view Body) {
  base::Result<json::object> Parsed = parseObject(Body, "the report");
  if (Parsed.has_error()) {
    return Parsed.error();
  }
  routing::ServerReport Report = readReport(Parsed.value());
  if (Report.Server.Value.empty()) {
    return Error{ErrorKind::Protocol, "the report names no server"};
  }
  return Report;
}

base::Result<InstanceList> decodeInstances(std::string_view Body) {
  base::Result<json::object> Parsed = parseObject(Body, "the instance list");
  if (Parsed.has_error()) {
    return Parsed.error();
  }
  const json::object &Object = Parsed.value();
  InstanceList List;
  List.Version = findUnsigned(Object, "version").value_or(0);
  const json::value *Entries = Object.if_contains("instances");
  if (Entries == nullptr || !Entries->is_array()) {
    return Error{ErrorKind::Protocol, "the instance list has no instances"};
  }
  for (const json::value &Entry : Entries->get_array()) {
    if (!Entry.is_object()) {
      continue;
    }
    const json::object &Source = Entry.get_object();
    InstanceListing Listing;
    Listing.Kind = findText(Source, "kind");
    Listing.Service = base::ServiceId(findText(Source, "service"));
    Listing.Server.Server = base::ServerId(findText(Source, "id"));
    Listing.Server.Address = findText(Source, "address");
    Listing.Server.Domain =
        base::FailureDomainId(findText(Source, "failure_domain"));
    Listing.Server.Process =
        base::Incarnation(findUnsigned(Source, "incarnation").value_or(0));
    Listing.Server.Leaving = findText(Source, "state") == "leaving";
    List.Entries.push_back(std::move(Listing));
  }
  return List;
}

base::Result<PlatformValue> decodeValue(std::string_view Body) {
  base::Result<json::object> Parsed = parseObject(Body, "the value");
  if (Parsed.has_error()) {
    return Parsed.error();
  }
  PlatformValue Value;
  Value.Version = findUnsigned(Parsed.value(), "version").value_or(0);
  Value.Text = findText(Parsed.value(), "value");
  return Value;
}

std::string encodeResponse(const std::string &RequestId,
                           const query::Response &Result) {
  if (const auto *Refused = std::get_if<query::Refusal>(&Result)) {
    json::object Body;
    Body["kind"] = toString(Refused->Kind);
    Body["ran"] = toString(Refused->Ran);
    if (Refused->RetryAfter) {
      Body["retry_after_ms"] = Refused->RetryAfter->count();
    }
    Body["remedy"] = Refused->Remedy;
    return json::serialize(
        json::object{{"request_id", RequestId}, {"error", std::move(Body)}});
  }
  const auto &Answered = std::get<query::Answer>(Result);
  std::string Text =
      R"({"request_id":)" + quote(RequestId) + R"(,"snapshot":)" +
      std::to_string(Answered.Snapshot.Value) + R"(,"coverage":)" +
      json::serialize(encodeCoverage(Answered.Covered)) + R"(,"attempts":)" +
      std::to_string(Answered.Attempts) + R"(,"results":[)";
  for (size_t I = 0; I < Answered.Rows.size(); ++I) {
    Text += I == 0 ? "" : ",";
    Text += Answered.Rows[I].Json;
  }
  return Text + "]}";
}

unsigned httpStatus(const query::Response &Result) {
  const auto *Refused = std::get_if<query::Refusal>(&Result);
  if (Refused == nullptr) {
    return 200;
  }
  switch (Refused->Kind) {
  case RefusalKind::BadRequest:
    return 400;
  case RefusalKind::Unauthorised:
    return 401;
  case RefusalKind::UnknownTemplate:
    return 404;
  case RefusalKind::TooLarge:
    return 413;
  case RefusalKind::TicketRequired:
    return 428;
  case RefusalKind::TicketUnknown:
  case RefusalKind::TicketReused:
    return 409;
  case RefusalKind::Quarantined:
    return 422;
  case RefusalKind::DeadlinePassed:
  case RefusalKind::DeadlineExceeded:
    return 504;
  case RefusalKind::BackendError:
    return 502;
  default:
    return 503;
  }
}

} // namespace hickorycrank::net
