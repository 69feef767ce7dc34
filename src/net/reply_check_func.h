#ifndef HICKORYCRANK_NET_REPLY_CHECK_FUNC_H
#define HICKORYCRANK_NET_REPLY_CHECK_FUNC_H

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

} // namespace hickorycrank::net

#endif
