#include "daemon/gateway_message_func.h"

#include "base/digest_func.h"
#include "net/forward_header_func.h"

#include <charconv>
#include <cstdio>
#include <utility>

namespace hickorycrank::daemon {

namespace http = boost::beast::http;

namespace {

/** Longest time that a caller may state, in milliseconds; above any use. */
constexpr double MaxRemainingMs = 1e9;

unsigned statusOf(const forward::Refusal &Refused) {
  if (Refused.Reason == forward::RefusalReason::NoRoute) {
    return 404;
  }
  if (!Refused.MayHaveRun) {
    return 503; // Tells the caller that the request was not executed.
  }
  return Refused.Reason == forward::RefusalReason::Timeout ? 504 : 502;
}

net::ForwardResponse fromRefusal(const forward::Refusal &Refused) {
  net::ForwardResponse Response(http::int_to_status(statusOf(Refused)), 11);
  Response.set(http::field::content_type, "application/json");
  if (Refused.RetryAfter) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.3f",
                  static_cast<double>(Refused.RetryAfter->count()) / 1'000);
    Response.set(http::field::retry_after, Text);
  }
  Response.body() = std::string(R"({"error":{"kind":")") +
                    forward::toString(Refused.Reason) + R"(","ran":")" +
                    (Refused.MayHaveRun ? "may_have_run" : "not_run") + "\"}}";
  return Response;
}

net::ForwardResponse fromMerged(const forward::MergedAnswer &Merged,
                                const net::ForwardHeaders &Names) {
  net::ForwardResponse Response(http::status::ok, 11);
  std::string Signatures;
  for (const std::string &Entry : Merged.Signatures) {
    Signatures += (Signatures.empty() ? "" : ", ") + Entry;
  }
  Response.set(Names.PartSignatures, Signatures);
  Response.set(Names.MissingParts, std::to_string(Merged.Missing));
  Response.set(http::field::content_type, "application/octet-stream");
  Response.body() = Merged.Records;
  return Response;
}

net::ForwardResponse fromReply(const forward::Reply &Received) {
  net::ForwardResponse Response;
  Response.result(Received.Status);
  Response.reason(Received.Reason);
  for (const auto &[Name, Value] : Received.Fields) {
    Response.insert(Name, Value);
  }
  Response.body() = Received.Body;
  return Response;
}

} // namespace

std::optional<std::chrono::milliseconds>
remainingTime(const net::ForwardRequest &Request,
              const net::ForwardHeaders &Names) {
  auto Text = Request[Names.Remaining];
  double Milliseconds = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  bool InRange = Milliseconds >= 0 && Milliseconds <= MaxRemainingMs;
  if (Status != std::errc() || !InRange) { // A NaN is not in range either.
    return std::nullopt;
  }
  return std::chrono::milliseconds(static_cast<int64_t>(Milliseconds));
}

base::Fingerprint requestFingerprint(const net::ForwardRequest &Request) {
  auto Hash = [](auto Text, uint64_t Seed) {
    return base::stableHash({Text.data(), Text.size()}, Seed);
  };
  uint64_t Mixed = Hash(Request.method_string(), 0);
  Mixed = Hash(Request[http::field::host], Mixed);
  Mixed = Hash(Request.target(), Mixed);
  return base::Fingerprint(base::stableHash(Request.body(), Mixed));
}

net::UpstreamRequest toUpstream(net::ForwardRequest &&Request,
                                const net::ForwardHeaders &Names) {
  net::UpstreamRequest Result;
  Result.AttemptId = std::string(Request[Names.AttemptId]);
  Result.IdHash = base::stableHash(Result.AttemptId);
  Result.Message.version(11);
  Result.Message.method_string(Request.method_string());
  Result.Message.target(Request.target());
  for (const auto &[Name, Value] : net::endToEndFields(Request)) {
    Result.Message.insert(Name, Value);
  }
  Result.Message.erase(http::field::expect);
  Result.Message.erase(Names.Remaining);
  Result.Message.erase(Names.ExpectedServer);
  bool HasBody = Request.has_content_length() || Request.chunked();
  Result.Message.body() = std::move(Request.body());
  if (HasBody) {
    Result.Message.content_length(Result.Message.body().size());
  }
  return Result;
}

net::ForwardResponse toResponse(const forward::CallResult &Result,
                                const net::ForwardHeaders &Names) {
  if (const auto *Refused = std::get_if<forward::Refusal>(&Result)) {
    return fromRefusal(*Refused);
  }
  if (const auto *Merged = std::get_if<forward::MergedAnswer>(&Result)) {
    return fromMerged(*Merged, Names);
  }
  return fromReply(std::get<forward::Reply>(Result));
}

} // namespace hickorycrank::daemon
