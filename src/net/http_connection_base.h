#ifndef HICKORYCRANK_NET_HTTP_CONNECTION_BASE_H
#define HICKORYCRANK_NET_HTTP_CONNECTION_BASE_H

#include "net/http_pool_base.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace hickorycrank::net {

/** Phase of a pooled connection; guarded by the pool's lock. */
enum class ConnectionPhase {
  Opening,
  Idle,
  Busy,
  Draining, ///< Reads a reply that nobody wants any more.
  Closed,
};

/**
 * One connection of a pool. The I/O runs on the stream's strand; Phase and
 * Exchange belong to the pool and are guarded by its lock.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /**
   * Creates a connection that is not open yet.
   * @param Context Runs the connection.
   * @param Owner The pool.
   * @param Limits Limits of the pool.
   */
  HttpConnection(boost::asio::io_context &Context,
                 std::weak_ptr<HttpPool> Owner, PoolLimits Limits);

  /** Connects. @param Target The server. */
  void open(const config::Endpoint &Target);

  /**
   * Sends a request and reads the reply.
   * @param Request The request.
   * @param Deadline Time by which the reply must be complete.
   * @param Done Called once with the result, unless abandoned.
   */
  void exchange(HttpRequest Request, base::TimePoint Deadline,
                HttpPool::Callback Done);

  /** Drops the callback; the reply is read within the drain time. */
  void abandon();

  /** @return The callback, which is not called any more; for teardown. */
  HttpPool::Callback takeCallback() { return std::move(this->Done); }

  /** Closes at once. */
  void close();

  ConnectionPhase Phase = ConnectionPhase::Opening; ///< Guarded by the pool.
  ExchangeId Exchange = 0;                          ///< Guarded by the pool.
  bool Retired = false;      ///< Close when idle; guarded by the pool.
  base::TimePoint IdleSince; ///< Guarded by the pool.

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onConnected(boost::beast::error_code Failure);
  void onWritten(boost::beast::error_code Failure, size_t Bytes);
  void readSome();
  void onRead(boost::beast::error_code Failure);
  void fail(ExchangeError Reason);
  void watchWhileIdle();

  boost::beast::tcp_stream Stream;
  std::weak_ptr<HttpPool> Owner;
  PoolLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<boost::beast::http::request<boost::beast::http::string_body>>
      Outgoing;
  std::optional<Parser> Incoming;
  HttpPool::Callback Done;
  std::string Expected;     ///< Text that the reply must hold.
  base::TimePoint Deadline; ///< For the reply, unless it keeps arriving.
  bool Abandoned = false;
  bool InExchange = false;
  bool Closed = false;
  bool IdleWatch = false; ///< A wait for the server's close is pending.
};

} // namespace hickorycrank::net

#endif
