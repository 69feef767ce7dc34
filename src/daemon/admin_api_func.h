#ifndef HICKORYCRANK_DAEMON_ADMIN_API_FUNC_H
#define HICKORYCRANK_DAEMON_ADMIN_API_FUNC_H

#include "daemon/peer_node_base.h"
#include "daemon/tier_base.h"
#include "net/http_server_base.h"

#include <string>

namespace hickorycrank::daemon {

/** Counters of the two HTTP servers of an instance. */
struct HttpCounters {
  net::HttpServerCounters Callers;
  net::HttpServerCounters Admin;
};

/**
 * Handles an operator's request for /live, /ready, /metrics or /status.
 * @param QueryTier The tier.
 * @param Peers Membership and replicated state of this instance.
 * @param Servers Counters of the caller and admin HTTP servers.
 * @param Call The request; answered exactly once.
 */
void handleAdmin(Tier &QueryTier, const PeerNode &Peers,
                 const HttpCounters &Servers, const net::HttpCall &Call);

/**
 * Renders all metrics in the Prometheus text format.
 * @param QueryTier The tier.
 * @param Peers Membership and replicated state of this instance.
 * @param Servers Counters of the caller and admin HTTP servers.
 * @return Text in the exposition format.
 */
std::string renderMetrics(Tier &QueryTier, const PeerNode &Peers,
                          const HttpCounters &Servers);

/**
 * Renders the status page of this instance as JSON.
 * @param QueryTier The tier.
 * @param Peers Membership and replicated state of this instance.
 * @return JSON text.
 */
std::string renderStatus(Tier &QueryTier, const PeerNode &Peers);

} // namespace hickorycrank::daemon

#endif
