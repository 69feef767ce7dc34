#ifndef HICKORYCRANK_ONCE_TICKET_FUNC_H
#define HICKORYCRANK_ONCE_TICKET_FUNC_H

#include "once/ticket_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace hickorycrank::once {

/**
 * Writes what a ticket's MAC covers.
 * @param Source The ticket.
 * @return Text; different for tickets that differ in any member but the MAC.
 */
std::string signedText(const Ticket &Source);

/**
 * Writes a ticket for a header or a JSON string.
 * @param Source The ticket with its MAC.
 * @return Printable text without spaces.
 */
std::string formatTicket(const Ticket &Source);

/**
 * Reads a ticket; its MAC is not checked, which only the issuer can do.
 * @param Text Text from a caller.
 * @return The ticket, or nothing if the text is not one.
 */
std::optional<Ticket> parseTicket(std::string_view Text);

/**
 * Identifies what a caller asks for, whatever the order of its parameters.
 * The caller's own text is used and not the bound parameters, because defaults
 * may change with the configuration between a request and its repeat.
 * @param Template Name of the template.
 * @param Body The caller's JSON object.
 * @return Hexadecimal SHA-256.
 */
std::string contentDigest(std::string_view Template, std::string_view Body);

} // namespace hickorycrank::once

#endif
