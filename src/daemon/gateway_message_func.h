#ifndef HICKORYCRANK_DAEMON_GATEWAY_MESSAGE_FUNC_H
#define HICKORYCRANK_DAEMON_GATEWAY_MESSAGE_FUNC_H

#include "net/forward_server_base.h"
#include "net/upstream_type.h"

#include <chrono>
#include <optional>

namespace hickorycrank::daemon {

/**
 * Reads the caller's remaining timeout from the request headers.
 * @param Request The caller's request.
 * @param Names Names of header fields.
 * @return The timeout, or nothing if the header is absent.
 */
std::optional<std::chrono::milliseconds>
remainingTime(const net::ForwardRequest &Request,
              const net::ForwardHeaders &Names);

/**
 * Computes the fingerprint that identifies requests with equal content.
 * @param Request The caller's request.
 * @return Hash of method, host, target and body.
 */
base::Fingerprint requestFingerprint(const net::ForwardRequest &Request);

/**
 * Builds the request to backend servers. Method, target, body and all header
 * fields except hop-by-hop ones are kept as the caller sent them.
 * @param Request The caller's request.
 * @param Names Names of header fields.
 * @return The request without the per-attempt header fields.
 */
net::UpstreamRequest toUpstream(net::ForwardRequest &&Request,
                                const net::ForwardHeaders &Names);

/**
 * Builds the response to a caller.
 * @param Result Outcome of the call.
 * @param Names Names of header fields.
 * @return The response without message framing fields.
 */
net::ForwardResponse toResponse(const forward::CallResult &Result,
                                const net::ForwardHeaders &Names);

} // namespace hickorycrank::daemon

#endif
