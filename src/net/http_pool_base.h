#ifndef HICKORYCRANK_NET_HTTP_POOL_BASE_H
#define HICKORYCRANK_NET_HTTP_POOL_BASE_H

#include "base/time_type.h"
#include "config/settings_type.h"
#include "net/http_type.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <variant>

namespace hickorycrank::net {

class HttpConnection;

/** Names an exchange so that it can be cancelled. */
using ExchangeId = uint64_t;

/** How an exchange ended. */
using ExchangeResult = std::variant<HttpResponse, ExchangeError>;

/**
 * Describes an exchange that did not succeed, for the log.
 * @param Result The result.
 * @return The status of a response, or how the exchange failed.
 */
std::string failureReason(const ExchangeResult &Result);

/** Limits of the connections to one server. */
struct PoolLimits {
  uint32_t MaxConnections = 7; ///< Open or opening at once.
  uint32_t MaxOpening = 2;     ///< Opening at once, against connect storms.
  uint32_t MaxResponseBytes = 8 * 1024 * 1024;
  std::chrono::milliseconds ConnectTimeout{500};
  /** A response that keeps arriving may exceed its deadline: only a pause of
   * this length ends it. Zero: the deadline holds for the whole response. */
  std::chrono::milliseconds StallTimeout{0};
  /** Time after its deadline at which such a response ends all the same. */
  std::chrono::milliseconds MaxOverrun{10'000};
  std::chrono::milliseconds MaxIdleAge{20'000}; ///< Idle ones are closed then.
  std::chrono::milliseconds DrainTime{1'000};   ///< For an abandoned reply.
};

/** What a pool counts. */
struct PoolCounters {
  uint64_t Opened = 0;
  uint64_t OpenFailed = 0;
  uint64_t Reused = 0;
  uint64_t Drained = 0;     ///< Abandoned replies read to their end.
  uint64_t DrainClosed = 0; ///< Connections closed with an unread reply.
};

/**
 * Connections to one HTTP server, each with one exchange at a time. A
 * connection whose reply was abandoned is not reused before that reply has
 * been read to its end; otherwise the next exchange could get it. Thread-safe;
 * callbacks come from the io_context and hold no lock.
 */
class HttpPool : public std::enable_shared_from_this<HttpPool> {
public:
  using Callback = std::function<void(ExchangeResult)>;

  /**
   * Creates a pool without connections.
   * @param Context Runs the connections.
   * @param Target The server.
   * @param Limits Limits of the pool.
   */
  HttpPool(boost::asio::io_context &Context, config::Endpoint Target,
           PoolLimits Limits);
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /**
   * Sends a request on an idle or new connection; waits for one if the limits
   * are reached.
   * @param Request The request; Path may carry a query string.
   * @param Deadline Time by which the reply must be complete.
   * @param Fresh Use a new connection.
   * @param Done Called exactly once unless the exchange is cancelled.
   * @return Name of the exchange.
   */
  ExchangeId send(HttpRequest Request, base::TimePoint Deadline, bool Fresh,
                  Callback Done);

  /**
   * Abandons an exchange; its callback is not called afterwards.
   * @param Exchange The exchange; unknown names are ignored.
   * @param CloseConnection Close the connection instead of reading the reply.
   */
  void cancel(ExchangeId Exchange, bool CloseConnection);

  /** Closes all idle connections and all others after their exchange. */
  void retireAll();

  /** Opens connections in advance. @param Count How many to have open. */
  void warm(uint32_t Count);

  /**
   * Drops all callbacks, which may refer to the owner of this pool. Only for
   * teardown, when no thread runs the io_context any more.
   */
  void releaseCallbacks();

  /** @param Count Connections that may be open from now on. */
  void setMaxConnections(uint32_t Count);

  /** @return Open or opening connections. */
  size_t connections() const;
  /** @return What was counted so far. */
  PoolCounters counters() const;

private:
  friend class HttpConnection;

  /** An exchange that waits for a connection. */
  struct Pending {
    ExchangeId Id = 0;
    HttpRequest Request;
    base::TimePoint Deadline;
    bool Fresh = false;
    Callback Done;
  };

  /** What to do once the lock has been released. */
  using Deferred = std::vector<std::function<void()>>;

  void serveWaiting(Deferred &Later);
  void openFor(Deferred &Later);
  void connectionOpened(const std::shared_ptr<HttpConnection> &Connection);
  void connectionIdle(const std::shared_ptr<HttpConnection> &Connection,
                      bool Drained);
  void connectionClosed(const std::shared_ptr<HttpConnection> &Connection,
                        bool NeverOpened, ExchangeFault Fault);

  boost::asio::io_context &Context;
  config::Endpoint Target;
  mutable std::mutex Mutex; ///< Guards the members below.
  PoolLimits Limits;
  std::list<std::shared_ptr<HttpConnection>> Open;
  std::list<Pending> Waiting;
  uint32_t Opening = 0;
  ExchangeId NextExchange = 1;
  PoolCounters Counters;
};

} // namespace hickorycrank::net

#endif
