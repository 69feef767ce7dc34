#ifndef HICKORYCRANK_DAEMON_ADMIN_API_FUNC_H
#define HICKORYCRANK_DAEMON_ADMIN_API_FUNC_H

#include "daemon/tier_base.h"
#include "net/http_server_base.h"

#include <string>

namespace hickorycrank::daemon {

/**
 * Serves operators: /live, /ready, /metrics and /status.
 * @param Serving The tier.
 * @param Call The request; answered exactly once.
 */
void handleAdmin(Tier &Serving, const net::HttpCall &Call);

/**
 * Writes all metrics as Prometheus text.
 * @param Serving The tier.
 * @return Text in the exposition format.
 */
std::string renderMetrics(Tier &Serving);

/**
 * Writes an instance's view as JSON.
 * @param Serving The tier.
 * @return JSON text.
 */
std::string renderStatus(Tier &Serving);

} // namespace hickorycrank::daemon

#endif
