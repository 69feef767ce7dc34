#ifndef HICKORYCRANK_NET_HTTP_SERVER_BASE_H
#define HICKORYCRANK_NET_HTTP_SERVER_BASE_H

#include "config/settings_type.h"
#include "net/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace hickorycrank::net {

class HttpSession;

/** Limits that protect a server from its clients. */
struct HttpLimits {
  uint32_t MaxBodyBytes = 64 * 1024;
  uint32_t MaxHeaderBytes = 8 * 1024;
  uint32_t MaxConnections = 4'096;
  std::chrono::milliseconds ReadTimeout{2'000}; ///< For one whole request.
  std::chrono::milliseconds IdleTimeout{30'000};
};

/** What happens to bad requests before they reach a handler. */
struct HttpServerCounters {
  uint64_t Accepted = 0;
  uint64_t TooManyConnections = 0;
  uint64_t Malformed = 0;
  uint64_t TooLarge = 0;
  uint64_t ReadTimeouts = 0;
};

/** One request in progress; the handler responds exactly once. */
struct HttpCall {
  HttpRequest Request;
  std::function<void(HttpResponse)> Respond;
  /** Sets what to do if the client goes away before the response. */
  std::function<void(std::function<void()>)> OnDisconnect;
};

/** An HTTP/1.1 server on Beast. All callbacks come from the io_context. */
class HttpServer {
public:
  using Handler = std::function<void(HttpCall)>;

  /**
   * Binds the address; accepts nothing yet.
   * @param Context Runs the server.
   * @param Where Address and port; port 0 lets the system choose one.
   * @param Limits Limits for clients.
   * @param Handle Called for each well-formed request.
   * @param OnRejected Called for each request that is malformed or too large.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  HttpServer(
      boost::asio::io_context &Context, const config::Endpoint &Where,
      HttpLimits Limits, Handler Handle,
      RejectionHandler OnRejected = [](unsigned, const std::string &) {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /** Begins to accept connections. */
  void start();

  /** Marks every response from now on as the last one of its connection. */
  void announceClose();

  /**
   * Stops accepting, closes idle connections and marks every response in
   * progress as the last one of its connection.
   */
  void drain();

  /** Closes all connections at once, such as when a stand-in crashes. */
  void abort();

  /** @return Address and port that are bound. */
  config::Endpoint endpoint() const;
  /** @return Requests that have no response yet. */
  size_t requestsInProgress() const;
  /** @return Open connections. */
  size_t connections() const;
  /** @return What was counted so far. */
  HttpServerCounters counters() const;

private:
  friend class HttpSession;
  struct State;
  static void accept(const std::shared_ptr<State> &State);
  std::shared_ptr<State> Shared;
};

} // namespace hickorycrank::net

#endif
