#include "daemon/ticket_codec_func.h"

#include "net/backend_codec_func.h"

#include <boost/json.hpp>

namespace hickorycrank::daemon {

namespace json = boost::json;

namespace {

/**
 * Parses a JSON object.
 * @param Payload JSON text.
 * @return The object, or nothing.
 */
std::optional<json::object> readObject(std::string_view Payload) {
  boost::system::error_code Failure;
  json::value Parsed = json::parse({Payload.data(), Payload.size()}, Failure);
  if (Failure || !Parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(Parsed.get_object());
}

/**
 * Reads a string member.
 * @param Source The object.
 * @param Name Name of the member.
 * @param Target Receives the value.
 * @return Whether the member exists and is a string.
 */
bool readText(const json::object &Source, const char *Name,
              std::string &Target) {
  const json::value *Found = Source.if_contains(Name);
  if (Found == nullptr || !Found->is_string()) {
    return false;
  }
  Target.assign(Found->get_string().data(), Found->get_string().size());
  return true;
}

/**
 * Reads an integer member.
 * @param Source The object.
 * @param Name Name of the member.
 * @return The number, or nothing.
 */
std::optional<int64_t> readInteger(const json::object &Source,
                                   const char *Name) {
  const json::value *Found = Source.if_contains(Name);
  if (Found == nullptr || !Found->is_int64()) {
    return std::nullopt;
  }
  return Found->get_int64();
}

} // namespace

TicketedResponse makeTicketedResponse(const std::string &RequestId,
                                      const query::Response &Result) {
  TicketedResponse Made;
  Made.Status = net::httpStatus(Result);
  Made.Body = net::encodeResponse(RequestId, Result);
  if (const auto *Refused = std::get_if<query::Refusal>(&Result)) {
    Made.Kind = toString(Refused->Kind);
    Made.Ran = toString(Refused->Ran);
    if (Refused->RetryAfter) {
      Made.RetryAfterSeconds = static_cast<unsigned>(
          std::chrono::ceil<std::chrono::seconds>(*Refused->RetryAfter)
              .count());
    }
  }
  return Made;
}

std::string addMember(std::string Body, std::string_view Name,
                      std::string_view Text) {
  Body.pop_back();
  Body.append(",\"").append(Name).append("\":\"").append(Text).append("\"}");
  return Body;
}

std::string encodeTicketedRequest(const TicketedRequest &Source) {
  return json::serialize(json::object{
      {"request_id", Source.RequestId},
      {"ticket", Source.Ticket},
      {"organisation", Source.Organisation.Value},
      {"template", Source.Template.Value},
      {"body", Source.Body},
      {"expires_at_ms", Source.DeadlineWall.time_since_epoch().count()}});
}

std::optional<TicketedRequest> decodeTicketedRequest(std::string_view Payload) {
  auto Source = readObject(Payload);
  if (!Source) {
    return std::nullopt;
  }
  TicketedRequest Read;
  auto Expiry = readInteger(*Source, "expires_at_ms");
  if (!Expiry || !readText(*Source, "request_id", Read.RequestId) ||
      !readText(*Source, "ticket", Read.Ticket) ||
      !readText(*Source, "organisation", Read.Organisation.Value) ||
      !readText(*Source, "template", Read.Template.Value) ||
      !readText(*Source, "body", Read.Body)) {
    return std::nullopt;
  }
  Read.DeadlineWall = base::WallTime(std::chrono::milliseconds(*Expiry));
  return Read;
}

std::string encodeTicketedResponse(const TicketedResponse &Response) {
  return json::serialize(json::object{
      {"status", static_cast<int64_t>(Response.Status)},
      {"retry_after_s", static_cast<int64_t>(Response.RetryAfterSeconds)},
      {"kind", Response.Kind},
      {"ran", Response.Ran},
      {"body", Response.Body}});
}

std::optional<TicketedResponse>
decodeTicketedResponse(std::string_view Payload) {
  auto Source = readObject(Payload);
  if (!Source) {
    return std::nullopt;
  }
  TicketedResponse Read;
  auto Status = readInteger(*Source, "status");
  auto Retry = readInteger(*Source, "retry_after_s");
  if (!Status || !Retry || !readText(*Source, "kind", Read.Kind) ||
      !readText(*Source, "ran", Read.Ran) ||
      !readText(*Source, "body", Read.Body) || Read.Body.empty()) {
    return std::nullopt;
  }
  Read.Status = static_cast<unsigned>(*Status);
  Read.RetryAfterSeconds = static_cast<unsigned>(*Retry);
  return Read;
}

} // namespace hickorycrank::daemon
