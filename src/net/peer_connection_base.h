#ifndef HICKORYCRANK_NET_PEER_CONNECTION_BASE_H
#define HICKORYCRANK_NET_PEER_CONNECTION_BASE_H

#include "net/peer_transport_base.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <memory>
#include <string>

namespace hickorycrank::net {

/**
 * One TCP connection between two instances. Its socket and queue are only
 * touched on its strand.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  /**
   * Wraps a socket.
   * @param Socket Accepted, or closed if it is to be connected; its executor
   *     is a strand.
   * @param Owner Gets what is received.
   * @param Limits Limits of the connections.
   */
  PeerConnection(boost::asio::ip::tcp::socket Socket,
                 std::weak_ptr<PeerTransport> Owner, const PeerLimits &Limits);

  /** Begins to read on an accepted socket. */
  void serve();
  /** Connects. @param Target Where to. */
  void connect(const boost::asio::ip::tcp::endpoint &Target);
  /**
   * Queues a frame.
   * @param Frame Bytes with their length.
   * @param OnFailure Called if they are known not to arrive whole.
   */
  void write(std::string Frame, PeerTransport::FailureCallback OnFailure);
  /** Closes the connection. */
  void close();
  /** @return When a valid frame last arrived, or when it was opened. */
  base::TimePoint lastHeard() const { return this->LastHeard.load(); }
  /** Records that a valid frame arrived. */
  void heard() { this->LastHeard = base::Clock::now(); }

private:
  /** A frame to write. */
  struct Pending {
    std::string Frame;
    PeerTransport::FailureCallback OnFailure;
  };

  void readLength();
  void readFrame(size_t Length);
  void writeNext();
  void closeNow();
  void watchIdle(std::chrono::milliseconds Span);

  boost::asio::ip::tcp::socket Socket;
  std::weak_ptr<PeerTransport> Owner;
  PeerLimits Limits;
  boost::asio::steady_timer Timer;
  std::atomic<base::TimePoint> LastHeard;
  base::TimePoint LastUsed; ///< Read or written.
  std::array<unsigned char, 4> Length{};
  std::string Incoming;
  std::deque<Pending> Queue;
  size_t QueuedBytes = 0;
  bool Connected = false;
  bool Writing = false;
  bool Closed = false;
};

} // namespace hickorycrank::net

#endif
