#include "daemon/ticket_api_func.h"

#include "daemon/log_func.h"

#include <utility>

namespace hickorycrank::daemon {

namespace {

/**
 * Records metrics and writes a log line for a response.
 * @param QueryTier The tier.
 * @param Source The request.
 * @param ArrivedAt When it arrived.
 * @param TicketResponse The response.
 */
void record(Tier &QueryTier, const TicketedRequest &Source,
            base::TimePoint ArrivedAt, const TicketedResponse &TicketResponse) {
  metrics::Labels Series{{"template", Source.Template.Value},
                         {"organisation", Source.Organisation.Value}};
  base::Duration Latency = base::Clock::now() - ArrivedAt;
  LogFields Fields{
      {"request_id", Source.RequestId},
      {"template", Source.Template.Value},
      {"organisation", Source.Organisation.Value},
      {"latency_ms", std::to_string(base::toMilliseconds(Latency))}};
  if (TicketResponse.Kind.empty()) {
    QueryTier.metrics().recordLatency("hickorycrank_answer_latency", Series,
                                      Latency);
    logEvent(LogLevel::Info, "query.answered", Fields);
    return;
  }
  Fields["kind"] = TicketResponse.Kind;
  Fields["ran"] = TicketResponse.Ran;
  Series["kind"] = TicketResponse.Kind;
  QueryTier.metrics().add("hickorycrank_refusals", Series);
  logEvent(LogLevel::Warning, "query.refused", Fields);
}

} // namespace

void handleTicketed(Tier &QueryTier, TicketService &Tickets,
                    TicketedRequest Source, base::TimePoint ArrivedAt,
                    std::function<void(net::HttpResponse)> Respond) {
  bool HasTicket = !Source.Ticket.empty();
  // Shared between the call to submit() and the callback.
  auto Shared = std::make_shared<const TicketedRequest>(std::move(Source));
  auto Finish = [&QueryTier, Self = Tickets.shared_from_this(), Shared,
                 ArrivedAt, HasTicket, Respond = std::move(Respond)](
                    const TicketedResponse &TicketResponse) {
    record(QueryTier, *Shared, ArrivedAt, TicketResponse);
    net::HttpResponse Response;
    Response.Status = TicketResponse.Status;
    Response.RetryAfterSeconds = TicketResponse.RetryAfterSeconds;
    Response.Body =
        addMember(TicketResponse.Body, HasTicket ? "next_ticket" : "ticket",
                  Self->issue(Shared->Organisation));
    Respond(std::move(Response));
  };
  if (!HasTicket) {
    Finish(makeTicketedResponse(
        Shared->RequestId,
        query::Refusal{query::RefusalKind::TicketRequired,
                       query::ExecutionState::NotRun, std::nullopt,
                       "send the request again with the ticket of this "
                       "response in X-Ticket"}));
    return;
  }
  Tickets.submit(*Shared, std::move(Finish));
}

net::HttpResponse handleTicketIssue(Tier &QueryTier, TicketService &Tickets,
                                    const base::OrganisationId &Organisation) {
  QueryTier.metrics().add("hickorycrank_tickets_requested",
                          {{"organisation", Organisation.Value}});
  net::HttpResponse Response;
  Response.Body = R"({"ticket":")" + Tickets.issue(Organisation) + "\"}";
  return Response;
}

} // namespace hickorycrank::daemon
