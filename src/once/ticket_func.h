#ifndef HICKORYCRANK_ONCE_TICKET_FUNC_H
#define HICKORYCRANK_ONCE_TICKET_FUNC_H

#include "once/ticket_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace hickorycrank::once {

/**
 * Serializes the members of a ticket that its MAC covers.
 * @param Source The ticket.
 * @return Text that is unique for each combination of members except the MAC.
 */
std::string signedText(const Ticket &Source);

/**
 * Serializes a ticket for a header or a JSON string.
 * @param Source The ticket with its MAC.
 * @return Printable text without spaces.
 */
std::string formatTicket(const Ticket &Source);

/**
 * Parses a ticket. Does not verify the MAC, which only the issuer can do.
 * @param Text Text from a caller.
 * @return The ticket, or nothing if the text is malformed.
 */
std::optional<Ticket> parseTicket(std::string_view Text);

/**
 * Computes a digest of a request that does not depend on the order of its
 * parameters. It covers the parameters as the caller sent them, before
 * defaults of the query template are filled in, because defaults may change
 * with the configuration between a request and its repeat.
 * @param Template Name of the template.
 * @param Body The caller's JSON object.
 * @return Hexadecimal SHA-256.
 */
std::string contentDigest(std::string_view Template, std::string_view Body);

} // namespace hickorycrank::once

#endif
