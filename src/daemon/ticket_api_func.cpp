#include "daemon/ticket_api_func.h"

#include "daemon/log_func.h"

#include <utility>

namespace hickorycrank::daemon {

namespace {

/**
 * Counts and logs a response.
 * @param Serving The tier.
 * @param Source The request.
 * @param ArrivedAt When it arrived.
 * @param Given The response.
 */
void record(Tier &Serving, const TicketedRequest &Source,
            base::TimePoint ArrivedAt, const TicketedResponse &Given) {
  metrics::Labels Series{{"template", Source.Template.Value},
                         {"organisation", Source.Organisation.Value}};
  base::Duration Latency = base::Clock::now() - ArrivedAt;
  LogFields Fields{
      {"request_id", Source.RequestId},
      {"template", Source.Template.Value},
      {"organisation", Source.Organisation.Value},
      {"latency_ms", std::to_string(base::toMilliseconds(Latency))}};
  if (Given.Kind.empty()) {
    Serving.metrics().recordLatency("hickorycrank_answer_latency", Series,
                                    Latency);
    logEvent(LogLevel::Info, "query.answered", Fields);
    return;
  }
  Fields["kind"] = Given.Kind;
  Fields["ran"] = Given.Ran;
  Series["kind"] = Given.Kind;
  Serving.metrics().add("hickorycrank_refusals", Series);
  logEvent(LogLevel::Warning, "query.refused", Fields);
}

} // namespace

void handleTicketed(Tier &Serving, TicketService &Tickets,
                    TicketedRequest Source, base::TimePoint ArrivedAt,
                    std::function<void(net::HttpResponse)> Respond) {
  bool HasTicket = !Source.Ticket.empty();
  // Shared: both the request and the callback need it.
  auto Shared = std::make_shared<const TicketedRequest>(std::move(Source));
  auto Finish = [&Serving, Self = Tickets.shared_from_this(), Shared, ArrivedAt,
                 HasTicket,
                 Respond = std::move(Respond)](const TicketedResponse &Given) {
    record(Serving, *Shared, ArrivedAt, Given);
    net::HttpResponse Response;
    Response.Status = Given.Status;
    Response.RetryAfterSeconds = Given.RetryAfterSeconds;
    Response.Body = addMember(Given.Body, HasTicket ? "next_ticket" : "ticket",
                              Self->issue(Shared->Organisation));
    Respond(std::move(Response));
  };
  if (!HasTicket) {
    Finish(toTicketed(
        Shared->RequestId,
        query::Refusal{query::RefusalKind::TicketRequired,
                       query::ExecutionState::NotRun, std::nullopt,
                       "send it again with the ticket of this response in "
                       "X-Ticket"}));
    return;
  }
  Tickets.submit(*Shared, std::move(Finish));
}

net::HttpResponse handleTicketIssue(Tier &Serving, TicketService &Tickets,
                                    const base::OrganisationId &Organisation) {
  Serving.metrics().add("hickorycrank_tickets_requested",
                        {{"organisation", Organisation.Value}});
  net::HttpResponse Response;
  Response.Body = R"({"ticket":")" + Tickets.issue(Organisation) + "\"}";
  return Response;
}

} // namespace hickorycrank::daemon
