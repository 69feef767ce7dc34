#include "net/socket_func.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

size_t writeAtOnce(boost::asio::ip::tcp::socket &Socket,
                   std::string_view Bytes) {
  ssize_t Count = send(Socket.native_handle(), Bytes.data(), Bytes.size(),
                       MSG_DONTWAIT | MSG_NOSIGNAL);
  return Count > 0 ? static_cast<size_t>(Count) : 0;
}

namespace {

/** Idle time before the first probe, and time between probes, in seconds. */
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
/** Probes without an answer that break the connection. */
constexpr int ProbeCount = 2;
/** Time for sent bytes to be acknowledged. */
constexpr unsigned AcknowledgeTimeoutMs = 2'000;

} // namespace

void detectSilentPeer(boost::asio::ip::tcp::socket &Socket) {
  int Handle = Socket.native_handle();
  int On = 1;
  // Without an option, the timeouts of the requests still find silent peers.
  setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeAfterSeconds,
             sizeof ProbeAfterSeconds);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeIntervalSeconds,
             sizeof ProbeIntervalSeconds);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &ProbeCount, sizeof ProbeCount);
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &AcknowledgeTimeoutMs,
             sizeof AcknowledgeTimeoutMs);
}

} // namespace hickorycrank::net
