#ifndef HICKORYCRANK_DAEMON_GATEWAY_MESSAGE_FUNC_H
#define HICKORYCRANK_DAEMON_GATEWAY_MESSAGE_FUNC_H

#include "net/forward_server_base.h"
#include "net/upstream_type.h"

#include <chrono>
#include <optional>

namespace hickorycrank::daemon {

/**
 * Reads how long a caller will still wait.
 * @param Request The caller's request.
 * @param Names Names of header fields.
 * @return The time, or nothing if it is not stated.
 */
std::optional<std::chrono::milliseconds>
remainingTime(const net::ForwardRequest &Request,
              const net::ForwardHeaders &Names);

/**
 * Hashes what makes a request the same as another one.
 * @param Request The caller's request.
 * @return Hash of method, host, target and body.
 */
base::Fingerprint contentOf(const net::ForwardRequest &Request);

/**
 * Builds the request for backend servers; method, target, body and all fields
 * but those of one connection stay as the caller sent them.
 * @param Request The caller's request.
 * @param Names Names of header fields.
 * @return The request without the fields that differ between attempts.
 */
net::UpstreamRequest toUpstream(net::ForwardRequest &&Request,
                                const net::ForwardHeaders &Names);

/**
 * Builds the response to a caller.
 * @param Result What the caller gets.
 * @param Names Names of header fields.
 * @return The response without framing fields.
 */
net::ForwardResponse toResponse(const forward::CallResult &Result,
                                const net::ForwardHeaders &Names);

} // namespace hickorycrank::daemon

#endif
