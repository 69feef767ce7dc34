#ifndef HICKORYCRANK_DAEMON_ADMIN_API_FUNC_H
#define HICKORYCRANK_DAEMON_ADMIN_API_FUNC_H

#include "daemon/peer_node_base.h"
#include "daemon/tier_base.h"
#include "net/http_server_base.h"

#include <string>

namespace hickorycrank::daemon {

/** Counters of the HTTP servers of an instance. */
struct HttpCounters {
  net::HttpServerCounters Callers;
  net::HttpServerCounters Admin;
};

/**
 * Serves operators: /live, /ready, /metrics and /status.
 * @param Serving The tier.
 * @param Peers What the instance knows together with its peers.
 * @param Servers Counters of the HTTP servers.
 * @param Call The request; answered exactly once.
 */
void handleAdmin(Tier &Serving, const PeerNode &Peers,
                 const HttpCounters &Servers, const net::HttpCall &Call);

/**
 * Writes all metrics as Prometheus text.
 * @param Serving The tier.
 * @param Peers What the instance knows together with its peers.
 * @param Servers Counters of the HTTP servers.
 * @return Text in the exposition format.
 */
std::string renderMetrics(Tier &Serving, const PeerNode &Peers,
                          const HttpCounters &Servers);

/**
 * Writes an instance's view as JSON.
 * @param Serving The tier.
 * @param Peers What the instance knows together with its peers.
 * @return JSON text.
 */
std::string renderStatus(Tier &Serving, const PeerNode &Peers);

} // namespace hickorycrank::daemon

#endif
