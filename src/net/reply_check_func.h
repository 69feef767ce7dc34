#ifndef HICKORYCRANK_NET_REPLY_CHECK_FUNC_H
#define HICKORYCRANK_NET_REPLY_CHECK_FUNC_H

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace hickorycrank::net {

/**
 * Tells whether a reply was parsed from the beginning of one reply and a whole
 * other one. Bytes left over from an earlier reply, which end within a line,
 * join the next reply's status line to that line. The rest of its head then
 * counts as the head of the first, with the attempt id that is expected.
 * @param Received A reply as parsed, with its trailer.
 * @return Whether a status line stands in its reason phrase or in a field.
 */
bool holdsOtherReply(
    const boost::beast::http::response<boost::beast::http::string_body>
        &Received);

/**
 * Finds what HTTP forbids in a reply and the parser lets pass: a status that
 * does not exist or answers nothing that was asked for, and framing that
 * recipients may read in different ways.
 * @param Received A reply as parsed; it may be an interim one.
 * @param Request Fields of the request.
 * @return What is wrong, for logs, or nullptr.
 */
const char *findForbidden(
    const boost::beast::http::response<boost::beast::http::string_body>
        &Received,
    const boost::beast::http::fields &Request);

/**
 * Tells whether a message has a transfer coding other than "chunked". Nobody
 * asks for others, and the parser leaves them in the body or ends the message
 * in the wrong place.
 * @param Fields Fields of a request or reply.
 * @return Whether it has.
 */
bool hasForeignCoding(const boost::beast::http::fields &Fields);

/**
 * Tells whether messages with a status have no body and state no length.
 * @param Status The status.
 * @return Whether it is informational or 204.
 */
bool isBodyless(unsigned Status);

} // namespace hickorycrank::net

#endif
