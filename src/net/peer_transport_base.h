#ifndef HICKORYCRANK_NET_PEER_TRANSPORT_BASE_H
#define HICKORYCRANK_NET_PEER_TRANSPORT_BASE_H

#include "base/time_type.h"
#include "config/settings_type.h"
#include "peers/message_type.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace hickorycrank::net {

class PeerConnection;

/** Limits of the connections between instances. */
struct PeerLimits {
  uint32_t MaxConnections = 2'048;
  size_t MaxQueuedBytes = 4'194'304; ///< Waiting on one connection.
  std::chrono::milliseconds ConnectTimeout{500};
  std::chrono::milliseconds IdleTime{20'000};
  /** A call does not go out on a connection that has been quiet for longer,
   * because that one may have gone silent. */
  std::chrono::milliseconds TrustTime{5'000};
};

/** What a transport counts. */
enum class PeerCount {
  ControlBytesSent, ///< All but calls and their replies.
  ControlBytesReceived,
  CallBytesSent,
  CallBytesReceived,
  FramesSent,
  FramesReceived, ///< Well-formed and authenticated.
  Malformed,
  Unauthenticated,
  TooLarge,
  UnsupportedVersion,
  QueueFull, ///< Frames not sent.
  ConnectFailed,
  ConnectionsOpened,
};

inline constexpr size_t PeerCountSize = 13;

/** What a test does to a frame. */
struct FrameFate {
  bool Drop = false;
  std::chrono::milliseconds Delay{0};
};

/**
 * Exchanges authenticated frames with other instances over TCP. A connection
 * carries frames both ways, whoever opened it. Thread-safe; callbacks come
 * from the io_context and hold no lock.
 */
class PeerTransport : public std::enable_shared_from_this<PeerTransport> {
public:
  using Receiver = std::function<void(const peers::Envelope &)>;
  using FrameHook = std::function<FrameFate(const peers::Envelope &)>;
  /** Called if a message cannot be sent, with whether bytes may have left. */
  using FailureCallback = std::function<void(bool MayHaveLeft)>;

  /**
   * Binds the address; accepts nothing yet.
   * @param Context Runs the transport.
   * @param Where Address and port; port 0 lets the system choose one.
   * @param Key Secret shared by the instances.
   * @param Limits Limits of the connections.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  PeerTransport(boost::asio::io_context &Context, const config::Endpoint &Where,
                std::string Key, PeerLimits Limits);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /** Begins to accept. @param Receive Called for each valid message. */
  void start(Receiver Receive);

  /** Closes everything; nothing is received or sent afterwards. */
  void stop();

  /**
   * Sends a message.
   * @param Address "address:port" of the recipient.
   * @param Message The message.
   * @param NewConnection Do not use an open connection.
   * @param OnFailure Called at most once, if it is known not to arrive whole.
   */
  void send(const std::string &Address, const peers::Envelope &Message,
            bool NewConnection, FailureCallback OnFailure = nullptr);

  /** Lets a test drop or delay what is sent. @param Hook Asked per message. */
  void setFrameHook(FrameHook Hook);

  /** @return Address and port that are bound. */
  config::Endpoint endpoint() const { return this->Bound; }
  /** @param Which A counter. @return What was counted so far. */
  uint64_t count(PeerCount Which) const {
    return this->Counts[static_cast<size_t>(Which)];
  }
  /** @return Open or opening connections. */
  size_t connections() const;

private:
  friend class PeerConnection;

  void accept();
  void add(PeerCount Which, uint64_t Count = 1) {
    this->Counts[static_cast<size_t>(Which)] += Count;
  }
  void dispatch(const std::string &Address, const peers::Envelope &Message,
                bool NewConnection, FailureCallback OnFailure);
  void received(const std::shared_ptr<PeerConnection> &Source,
                const std::string &Frame);
  void closed(const std::shared_ptr<PeerConnection> &Connection);

  boost::asio::io_context &Context;
  std::string Key;
  PeerLimits Limits;
  boost::asio::ip::tcp::acceptor Acceptor;
  config::Endpoint Bound;
  std::array<std::atomic<uint64_t>, PeerCountSize> Counts{};
  std::atomic<bool> Stopped{false};
  mutable std::mutex Mutex; ///< Guards the members below.
  Receiver Receive;
  FrameHook Hook;
  std::map<std::string, std::shared_ptr<PeerConnection>> ByAddress;
  std::set<std::shared_ptr<PeerConnection>> Open;
};

/**
 * Names a counter in metrics.
 * @param Which The counter.
 * @return Stable lower-case name.
 */
const char *toString(PeerCount Which);

} // namespace hickorycrank::net

#endif
