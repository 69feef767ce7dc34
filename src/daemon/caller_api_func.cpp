#include "daemon/caller_api_func.h"

#include "base/digest_func.h"
#include "config/binding_func.h"
#include "daemon/log_func.h"
#include "daemon/request_func.h"
#include "daemon/ticket_api_func.h"
#include "net/backend_codec_func.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using query::ExecutionState;
using query::Refusal;
using query::RefusalKind;

namespace {

constexpr std::string_view TicketsPath = "/v1/tickets";
constexpr std::string_view QueryPrefix = "/v1/query/";
constexpr std::string_view BearerPrefix = "Bearer ";
// Retry delays advised to callers.
constexpr std::chrono::milliseconds NotReadyRetryAfter(500);
constexpr std::chrono::milliseconds ShuttingDownRetryAfter(50);

/** A caller's request while it is being validated and executed. */
struct Incoming {
  std::string RequestId;
  std::string Template;
  std::string Organisation;
  base::TimePoint ArrivedAt;
  std::function<void(net::HttpResponse)> Respond;
};

/**
 * Sends the response, records metrics and writes a log line.
 * @param QueryTier The tier.
 * @param Call The request.
 * @param Result Its response.
 */
void finish(Tier &QueryTier, const Incoming &Call,
            const query::Response &Result) {
  metrics::Labels Series{{"template", Call.Template},
                         {"organisation", Call.Organisation}};
  base::Duration Latency = Clock::now() - Call.ArrivedAt;
  LogFields Fields{
      {"request_id", Call.RequestId},
      {"template", Call.Template},
      {"organisation", Call.Organisation},
      {"latency_ms", std::to_string(base::toMilliseconds(Latency))}};
  net::HttpResponse Response;
  Response.Status = net::httpStatus(Result);
  Response.Body = net::encodeResponse(Call.RequestId, Result);
  if (const auto *Refused = std::get_if<Refusal>(&Result)) {
    Fields["kind"] = toString(Refused->Kind);
    Fields["ran"] = toString(Refused->Ran);
    if (Refused->RetryAfter) {
      Response.RetryAfterSeconds = static_cast<unsigned>(
          std::chrono::ceil<std::chrono::seconds>(*Refused->RetryAfter)
              .count());
    }
    Series["kind"] = toString(Refused->Kind);
    QueryTier.metrics().add("hickorycrank_refusals", Series);
    logEvent(LogLevel::Warning, "query.refused", Fields);
  } else {
    const auto &Answered = std::get<query::Answer>(Result);
    Fields["snapshot"] = std::to_string(Answered.Snapshot.Value);
    Fields["attempts"] = std::to_string(Answered.Attempts);
    QueryTier.metrics().recordLatency("hickorycrank_answer_latency", Series,
                                      Latency);
    QueryTier.metrics().recordShare(
        "hickorycrank_answer_coverage", Series,
        static_cast<double>(Answered.Covered.Answered) /
            static_cast<double>(Answered.Covered.Expected));
    logEvent(LogLevel::Info, "query.answered", Fields);
  }
  Call.Respond(std::move(Response));
}

/**
 * Responds with a refusal that was decided before the query reached an engine.
 * @param QueryTier The tier.
 * @param Call The request.
 * @param Kind Kind of refusal.
 * @param Remedy Advice to the caller.
 * @param RetryAfter When to retry, if a retry can succeed.
 */
void refuse(Tier &QueryTier, const Incoming &Call, RefusalKind Kind,
            std::string Remedy,
            std::optional<std::chrono::milliseconds> RetryAfter = {}) {
  finish(QueryTier, Call,
         Refusal{Kind, ExecutionState::NotRun, RetryAfter, std::move(Remedy)});
}

/**
 * Reads the caller's deadline header.
 * @param Headers Headers of the request.
 * @param Default Deadline of the template.
 * @return The shorter of the two, or nothing if the header is not a number.
 */
std::optional<std::chrono::milliseconds>
readDeadline(const std::map<std::string, std::string> &Headers,
             std::chrono::milliseconds Default) {
  auto Found = Headers.find("x-deadline-ms");
  if (Found == Headers.end()) {
    return Default;
  }
  const std::string &Text = Found->second;
  int64_t Milliseconds = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Status != std::errc() || End != Text.data() + Text.size()) {
    return std::nullopt;
  }
  // Clamp at 0: the smallest integer would wrap around to a late deadline.
  return std::clamp(std::chrono::milliseconds(Milliseconds),
                    std::chrono::milliseconds(0), Default);
}

/**
 * Authenticates the organisation that sent a request.
 * @param InForce Configuration in force.
 * @param Headers Headers of the request.
 * @return The organisation, or nullptr.
 */
std::shared_ptr<const config::OrganisationDoc>
identify(const config::Configuration &InForce,
         const std::map<std::string, std::string> &Headers) {
  auto Found = Headers.find("authorization");
  if (Found == Headers.end() || Found->second.rfind(BearerPrefix, 0) != 0) {
    return nullptr;
  }
  return config::authenticate(
      InForce, std::string_view(Found->second).substr(BearerPrefix.size()));
}

/**
 * Executes a bound request.
 * @param QueryTier The tier.
 * @param Call The request as it arrived.
 * @param Source The bound request.
 * @param OnDisconnect Registers a function to call when the caller disconnects.
 */
void run(Tier &QueryTier, const Incoming &Call,
         std::shared_ptr<const query::Request> Source,
         const std::function<void(std::function<void()>)> &OnDisconnect) {
  auto Engine = QueryTier.serviceEngine(Source->Template->Service);
  if (!Engine) {
    refuse(QueryTier, Call, RefusalKind::NoSnapshot,
           "the backend service is not known yet; retry later",
           NotReadyRetryAfter);
    return;
  }
  base::QueryId Query = Engine->submit(
      std::move(Source), [&QueryTier, Call](const query::Response &Result) {
        finish(QueryTier, Call, Result);
      });
  OnDisconnect([Engine, Query] { Engine->cancel(Query); });
}

} // namespace

void handleCaller(Tier &QueryTier, TicketService &Tickets, net::HttpCall Call) {
  Incoming IncomingCall;
  IncomingCall.RequestId = base::toString(base::randomAttemptId());
  IncomingCall.ArrivedAt = Clock::now();
  IncomingCall.Respond = std::move(Call.Respond);
  if (QueryTier.State == Readiness::Draining) {
    refuse(QueryTier, IncomingCall, RefusalKind::ShuttingDown,
           "this instance is shutting down; send the request again on a "
           "new connection",
           ShuttingDownRetryAfter);
    return;
  }
  auto InForce = QueryTier.configuration();
  if (!InForce || QueryTier.State != Readiness::Ready) {
    refuse(QueryTier, IncomingCall, RefusalKind::NotReady,
           "this instance has no configuration yet; retry later",
           NotReadyRetryAfter);
    return;
  }
  const net::HttpRequest &Request = Call.Request;
  auto Organisation = identify(*InForce, Request.Headers);
  if (!Organisation) {
    refuse(QueryTier, IncomingCall, RefusalKind::Unauthorised,
           "send Authorization: Bearer <organisation>:<key> with a valid key");
    return;
  }
  IncomingCall.Organisation = Organisation->Name.Value;
  if (Request.Method == "POST" && Request.Path == TicketsPath) {
    IncomingCall.Respond(
        handleTicketIssue(QueryTier, Tickets, Organisation->Name));
    return;
  }
  bool IsQuery =
      Request.Method == "POST" && Request.Path.rfind(QueryPrefix, 0) == 0;
  base::TemplateId Name(IsQuery ? Request.Path.substr(QueryPrefix.size())
                                : std::string());
  auto Template = InForce->Templates.find(Name);
  // Another organisation's template gets the same refusal, so that its
  // existence is not revealed.
  if (Template == InForce->Templates.end() ||
      Organisation->Templates.count(Name) == 0) {
    refuse(QueryTier, IncomingCall, RefusalKind::UnknownTemplate,
           "POST to /v1/query/<template> with a template of your "
           "organisation");
    return;
  }
  IncomingCall.Template = Name.Value;
  auto Limit = readDeadline(Request.Headers, Template->second->Deadline);
  if (!Limit) {
    refuse(QueryTier, IncomingCall, RefusalKind::BadRequest,
           "X-Deadline-Ms must be a whole number of milliseconds");
    return;
  }
  base::WallTime DeadlineWall = wallClockNow() + *Limit;
  if (!Template->second->Idempotent) {
    auto Ticket = Request.Headers.find("x-ticket");
    TicketedRequest Source;
    Source.RequestId = IncomingCall.RequestId;
    Source.Ticket =
        Ticket == Request.Headers.end() ? std::string() : Ticket->second;
    Source.Organisation = Organisation->Name;
    Source.Template = Name;
    Source.Body = Request.Body;
    Source.DeadlineWall = DeadlineWall;
    handleTicketed(QueryTier, Tickets, std::move(Source),
                   IncomingCall.ArrivedAt, std::move(IncomingCall.Respond));
    return;
  }
  auto Built = buildRequest({IncomingCall.RequestId, Template->second,
                             std::move(Organisation), Request.Body,
                             IncomingCall.ArrivedAt + *Limit, DeadlineWall});
  if (Built.has_error()) {
    refuse(QueryTier, IncomingCall, RefusalKind::BadRequest,
           Built.error().Message);
    return;
  }
  run(QueryTier, IncomingCall, std::move(Built.value()), Call.OnDisconnect);
}

} // namespace hickorycrank::daemon
