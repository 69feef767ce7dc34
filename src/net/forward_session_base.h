#ifndef HICKORYCRANK_NET_FORWARD_SESSION_BASE_H
#define HICKORYCRANK_NET_FORWARD_SESSION_BASE_H

#include "net/forward_server_base.h"
#include "net/message_write_func.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace hickorycrank::net {

class ForwardSession;

/** State that the sessions of one server share. */
struct ForwardServer::State {
  State(boost::asio::io_context &Context, Callbacks Handlers)
      : Acceptor(Context), Handlers(std::move(Handlers)) {}

  boost::asio::ip::tcp::acceptor Acceptor;
  Callbacks Handlers;
  forward::CallerLimits Limits;
  bool Closing = false; ///< Responses end their connections.
  bool Stopped = false; ///< Nothing is accepted any more.
  size_t InProgress = 0;
  ForwardToken NextToken = 1;
  std::unordered_set<std::shared_ptr<ForwardSession>> Sessions;
  std::unordered_map<ForwardToken, ForwardSession *> Waiting;
  ForwardServerCounters Counters;
  std::shared_ptr<limits::MemoryLedger> Ledger; ///< May be nullptr.
};

/** Phase of a caller's connection. */
enum class SessionPhase {
  Idle,      ///< Between requests.
  Reading,   ///< Some bytes of a request are here.
  Answering, ///< A request waits for its response.
  Writing,   ///< A response is being written.
  Lingering, ///< The last response is out; input is dropped until the end.
  Closed,
};

/**
 * One connection of a caller. One read operation is always pending, so that a
 * caller that goes away is noticed while its request is in progress.
 */
class ForwardSession : public std::enable_shared_from_this<ForwardSession> {
public:
  /**
   * Takes over an accepted connection.
   * @param Socket The connection.
   * @param Server State of the server.
   */
  ForwardSession(boost::asio::ip::tcp::socket Socket,
                 std::shared_ptr<ForwardServer::State> Server);

  /** Begins to read. */
  void start();
  /** Writes a response.
   * @param Response The response.
   * @param TimeLeft Time until the caller's deadline. */
  void respond(ForwardResponse &&Response, base::Duration TimeLeft);
  /** Closes the connection if it is idle. */
  void closeIfIdle();
  /** Closes the connection if it is slow or idle for too long.
   * @param Now Current time. */
  void sweep(base::TimePoint Now);
  /** Closes the connection because it holds too much. */
  void closeForMemory();
  /** @return Bytes of the request and of the response that it holds. */
  uint64_t heldBytes() const { return this->Held.bytes(); }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void onRead(boost::beast::error_code Failure, size_t Count);
  void parse();
  /** Tells the caller to send the body, if the connection has room for it. */
  void sendContinue();
  void dispatch();
  /** Responds to bytes that are no request. @param Reason The parser's error.
   */
  void reject(boost::beast::error_code Reason);
  void write(ForwardResponse &&Response, base::Duration TimeLeft);
  void sweepWrite(base::TimePoint Now);
  void countHeld();
  void onWritten(bool Keep);
  void onEnd();
  void close();
  void enter(SessionPhase Next);

  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<ForwardServer::State> Server;
  SessionPhase Phase = SessionPhase::Idle;
  base::TimePoint PhaseSince;
  boost::beast::flat_buffer Buffer;
  std::array<char, 4096> Chunk;
  std::optional<Parser> Current;
  MessageWrite<false> Outgoing;
  base::TimePoint WriteBy;   ///< When the response is given up.
  uint64_t RequestBytes = 0; ///< Received of the current request.
  limits::HeldBytes Held;
  ForwardToken Token = 0;
  bool KeepAlive = true;
  bool ContinueSent = false;
  bool Head = false; ///< The request is HEAD: its response has no body.
  bool ReadPending = false;
};

} // namespace hickorycrank::net

#endif
