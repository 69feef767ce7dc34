#ifndef HICKORYCRANK_NET_BACKEND_CODEC_FUNC_H
#define HICKORYCRANK_NET_BACKEND_CODEC_FUNC_H

#include "base/error_type.h"
#include "query/action_type.h"
#include "query/query_type.h"
#include "routing/server_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickorycrank::net {

/**
 * Writes the body of POST /v1/search.
 * @param Attempt The attempt.
 * @param Remaining Time that is left for it; sent as deadline_ms.
 * @return JSON text.
 */
std::string encodeSearch(const query::SendAttempt &Attempt,
                         base::Duration Remaining);

/**
 * Reads a backend server's reply.
 * @param Body JSON text.
 * @param OrderBy Row member that gives the sort key; may be empty.
 * @return The reply, or a protocol error.
 */
base::Result<query::Reply> decodeReply(std::string_view Body,
                                       const std::string &OrderBy);

/**
 * Reads a backend server's report.
 * @param Body JSON text of GET /v1/report.
 * @return The report, or a protocol error.
 */
base::Result<routing::ServerReport> decodeReport(std::string_view Body);

/** One entry of the platform's list of instances. */
struct InstanceListing {
  std::string Kind; ///< "backend" or "entry".
  base::ServiceId Service;
  routing::ServerListing Server;
};

/** The platform's list at one version. */
struct InstanceList {
  uint64_t Version = 0;
  std::vector<InstanceListing> Entries;
};

/**
 * Reads the platform's list.
 * @param Body JSON text of GET /v1/instances.
 * @return The list, or a protocol error.
 */
base::Result<InstanceList> decodeInstances(std::string_view Body);

/** A value of the platform's configuration service. */
struct PlatformValue {
  uint64_t Version = 0;
  std::string Text;
};

/**
 * Reads a value of the configuration service.
 * @param Body JSON text of GET /v1/value.
 * @return The value, or a protocol error.
 */
base::Result<PlatformValue> decodeValue(std::string_view Body);

/**
 * Writes a response for a caller.
 * @param RequestId Id of the request.
 * @param Result The response.
 * @return JSON text.
 */
std::string encodeResponse(const std::string &RequestId,
                           const query::Response &Result);

/**
 * Maps a response to an HTTP status.
 * @param Result The response.
 * @return Status code.
 */
unsigned httpStatus(const query::Response &Result);

} // namespace hickorycrank::net

#endif
