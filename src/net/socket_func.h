#ifndef HICKORYCRANK_NET_SOCKET_FUNC_H
#define HICKORYCRANK_NET_SOCKET_FUNC_H

#include <boost/asio/ip/tcp.hpp>

namespace hickorycrank::net {

/** What a look at a socket's input finds. */
enum class SocketInput {
  None,   ///< Nothing to read, and the peer has not closed.
  Bytes,  ///< Bytes can be read.
  Closed, ///< The peer has closed, or the connection broke.
};

/**
 * Looks at the input without consuming it. A completed wait for readability
 * does not tell the state by itself: a reactor event for bytes that have been
 * read meanwhile completes a wait that was started afterwards.
 * @param Socket A connected socket.
 * @return What was found.
 */
SocketInput peekInput(boost::asio::ip::tcp::socket &Socket);

} // namespace hickorycrank::net

#endif
