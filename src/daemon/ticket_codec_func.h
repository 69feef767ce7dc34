#ifndef HICKORYCRANK_DAEMON_TICKET_CODEC_FUNC_H
#define HICKORYCRANK_DAEMON_TICKET_CODEC_FUNC_H

#include "base/id_type.h"
#include "base/time_type.h"
#include "query/query_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace hickorycrank::daemon {

/** A non-idempotent request of an authenticated organisation. */
struct TicketedRequest {
  std::string RequestId;
  std::string Ticket; ///< As sent by the caller.
  base::OrganisationId Organisation;
  base::TemplateId Template;
  std::string Body; ///< The caller's JSON object of parameters.
  base::WallTime
      DeadlineWall; ///< Deadline as wall clock time, for use by the issuer.
};

/** The response to a ticketed request, as recorded and forwarded to peers. */
struct TicketedResponse {
  unsigned Status = 200;
  unsigned RetryAfterSeconds = 0;
  std::string Kind; ///< Refusal kind; empty for an answer.
  std::string Ran;  ///< Run state of a refusal; empty for an answer.
  std::string Body; ///< JSON object for the caller.
};

/**
 * Builds the response to a caller.
 * @param RequestId Id of the request that was executed.
 * @param Result Its result.
 * @return The response.
 */
TicketedResponse makeTicketedResponse(const std::string &RequestId,
                                      const query::Response &Result);

/**
 * Appends a string member to a JSON object.
 * @param Body JSON object with at least one member.
 * @param Name Name; must not need JSON escaping.
 * @param Text Value; must not need JSON escaping.
 * @return JSON text.
 */
std::string addMember(std::string Body, std::string_view Name,
                      std::string_view Text);

/**
 * Encodes a request to be forwarded to the ticket's issuer.
 * @param Source The request.
 * @return JSON text.
 */
std::string encodeTicketedRequest(const TicketedRequest &Source);

/**
 * Decodes a forwarded request.
 * @param Payload JSON text.
 * @return The request, or nothing if the payload is malformed.
 */
std::optional<TicketedRequest> decodeTicketedRequest(std::string_view Payload);

/**
 * Encodes a response to be recorded or sent to another instance.
 * @param Response The response.
 * @return JSON text.
 */
std::string encodeTicketedResponse(const TicketedResponse &Response);

/**
 * Decodes a recorded or forwarded response.
 * @param Payload JSON text.
 * @return The response, or nothing if the payload is malformed.
 */
std::optional<TicketedResponse>
decodeTicketedResponse(std::string_view Payload);

} // namespace hickorycrank::daemon

#endif
