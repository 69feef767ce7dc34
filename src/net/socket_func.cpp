#include "net/socket_func.h"

#include <cerrno>
#include <sys/socket.h>

namespace hickorycrank::net {

SocketInput peekInput(boost::asio::ip::tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Count =
      recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0) {
    return SocketInput::Bytes;
  }
  bool Nothing =
      Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return Nothing ? SocketInput::None : SocketInput::Closed;
}

} // namespace hickorycrank::net
