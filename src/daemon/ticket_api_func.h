#ifndef HICKORYCRANK_DAEMON_TICKET_API_FUNC_H
#define HICKORYCRANK_DAEMON_TICKET_API_FUNC_H

#include "daemon/ticket_service_base.h"
#include "net/http_type.h"

#include <functional>

namespace hickorycrank::daemon {

/**
 * Handles a query of a non-idempotent template. A query without a ticket is
 * refused with a new ticket; every other response carries the next ticket.
 * @param QueryTier The tier.
 * @param Tickets The ticket service.
 * @param Source The request; its ticket is empty if the caller sent none.
 * @param ArrivedAt When it arrived.
 * @param Respond Called exactly once.
 */
void handleTicketed(Tier &QueryTier, TicketService &Tickets,
                    TicketedRequest Source, base::TimePoint ArrivedAt,
                    std::function<void(net::HttpResponse)> Respond);

/**
 * Handles POST /v1/tickets.
 * @param QueryTier The tier.
 * @param Tickets The ticket service.
 * @param Organisation Organisation that the ticket is issued to.
 * @return The response with the ticket.
 */
net::HttpResponse handleTicketIssue(Tier &QueryTier, TicketService &Tickets,
                                    const base::OrganisationId &Organisation);

} // namespace hickorycrank::daemon

#endif
