#ifndef HICKORYCRANK_DAEMON_CALLER_API_FUNC_H
#define HICKORYCRANK_DAEMON_CALLER_API_FUNC_H

#include "daemon/ticket_service_base.h"
#include "daemon/tier_base.h"
#include "net/http_server_base.h"
#include "net/http_type.h"

namespace hickorycrank::daemon {

/**
 * Serves POST /v1/query/<template> and POST /v1/tickets: authenticates the
 * organisation, binds the parameters, executes the query and responds
 * with an answer or a refusal.
 * @param QueryTier The tier.
 * @param Tickets Executes non-idempotent queries.
 * @param Call The request; answered exactly once.
 */
void handleCaller(Tier &QueryTier, TicketService &Tickets, net::HttpCall Call);

} // namespace hickorycrank::daemon

#endif
