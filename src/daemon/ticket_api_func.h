#ifndef HICKORYCRANK_DAEMON_TICKET_API_FUNC_H
#define HICKORYCRANK_DAEMON_TICKET_API_FUNC_H

#include "daemon/ticket_service_base.h"
#include "net/http_type.h"

#include <functional>

namespace hickorycrank::daemon {

/**
 * Serves a query of a non-idempotent template. Without a ticket it is refused
 * with a fresh one; every other response carries the next one.
 * @param Serving The tier.
 * @param Tickets The ticket service.
 * @param Source The request; its ticket is empty if the caller sent none.
 * @param ArrivedAt When it arrived.
 * @param Respond Called exactly once.
 */
void handleTicketed(Tier &Serving, TicketService &Tickets,
                    TicketedRequest Source, base::TimePoint ArrivedAt,
                    std::function<void(net::HttpResponse)> Respond);

/**
 * Serves POST /v1/tickets.
 * @param Serving The tier.
 * @param Tickets The ticket service.
 * @param Organisation To whom the ticket is issued.
 * @return The response with the ticket.
 */
net::HttpResponse handleTicketIssue(Tier &Serving, TicketService &Tickets,
                                    const base::OrganisationId &Organisation);

} // namespace hickorycrank::daemon

#endif
