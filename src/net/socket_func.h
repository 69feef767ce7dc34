#ifndef HICKORYCRANK_NET_SOCKET_FUNC_H
#define HICKORYCRANK_NET_SOCKET_FUNC_H

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>

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

/**
 * Writes as many bytes as the kernel takes at once. A synchronous write of
 * Boost.Asio waits for a peer that reads nothing, and with it the whole
 * process.
 * @param Socket A connected socket.
 * @param Bytes What is to be written.
 * @return Number of bytes written; 0 also if the connection is broken, which
 *   shows at the next read.
 */
size_t writeAtOnce(boost::asio::ip::tcp::socket &Socket,
                   std::string_view Bytes);

/**
 * Makes the kernel break a connection whose peer no longer answers, as after a
 * network partition or when a middlebox has lost track of it. Idle connections
 * are probed; unacknowledged bytes break it after a similar time.
 * @param Socket An open socket.
 */
void detectSilentPeer(boost::asio::ip::tcp::socket &Socket);

} // namespace hickorycrank::net

#endif
