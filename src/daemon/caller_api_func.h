#ifndef HICKORYCRANK_DAEMON_CALLER_API_FUNC_H
#define HICKORYCRANK_DAEMON_CALLER_API_FUNC_H

#include "daemon/tier_base.h"
#include "net/http_server_base.h"
#include "net/http_type.h"

namespace hickorycrank::daemon {

/**
 * Serves POST /v1/query/<template>: authenticates the organisation, binds the
 * parameters, runs the query and responds with an answer or a refusal.
 * @param Serving The tier.
 * @param Call The request; answered exactly once.
 */
void handleCaller(Tier &Serving, net::HttpCall Call);

} // namespace hickorycrank::daemon

#endif
