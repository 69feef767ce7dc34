#ifndef HICKORYCRANK_NET_FORWARD_SERVER_BASE_H
#define HICKORYCRANK_NET_FORWARD_SERVER_BASE_H

#include "base/time_type.h"
#include "config/settings_type.h"
#include "forward/route_type.h"
#include "net/http_type.h"
#include "net/memory_holder_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickorycrank::net {

using ForwardRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using ForwardResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Names a request of a caller at a ForwardServer; never reused. */
using ForwardToken = uint64_t;

/** What a ForwardServer counts. */
struct ForwardServerCounters {
  uint64_t Accepted = 0;
  uint64_t Requests = 0;
  uint64_t Malformed = 0;
  uint64_t TooLarge = 0;
  uint64_t HeaderTimeouts = 0;
  uint64_t IdleClosed = 0;
  uint64_t CallersGone = 0;
  uint64_t WritesStalled = 0;   ///< Callers that took no byte for too long.
  uint64_t WritesTooLate = 0;   ///< Responses not taken before the deadline.
  uint64_t ClosedForMemory = 0; ///< Connections that held too much.
};

/**
 * An HTTP/1.1 server that hands whole requests on with all of their header
 * fields. It runs on one thread, that of the io_context.
 */
class ForwardServer {
public:
  /** Time without any progress after which a response is given up. */
  static constexpr base::Duration WriteStallTime = std::chrono::seconds(5);
  /** Time after the caller's deadline for the rest of its response. */
  static constexpr base::Duration WriteMargin = std::chrono::seconds(2);

  /** What the server tells its owner. */
  struct Callbacks {
    /** A whole request; answered by respond(). */
    std::function<void(ForwardToken, ForwardRequest &&)> OnRequest;
    /** The caller of a request has closed its connection. */
    std::function<void(ForwardToken)> OnCallerGone;
    /** A connection has sent bytes that are no request within the limits. */
    RejectionHandler OnRejected = [](unsigned, const std::string &) {};
  };

  /**
   * Binds the address; accepts nothing yet.
   * @param Context Runs the server on one thread.
   * @param Where Address and port; port 0 lets the system choose one.
   * @param Handlers What to tell the owner.
   * @throws boost::system::system_error if the address cannot be bound.
   */
  ForwardServer(boost::asio::io_context &Context, const config::Endpoint &Where,
                Callbacks Handlers);
  ~ForwardServer();
  ForwardServer(const ForwardServer &) = delete;
  ForwardServer &operator=(const ForwardServer &) = delete;

  /** Begins to accept connections. */
  void start();

  /** Counts what connections hold from now on; call it before start().
   * @param Ledger The ledger. */
  void setLedger(std::shared_ptr<limits::MemoryLedger> Ledger);

  /** Appends the connections that hold bytes.
   * @param Out Valid until a connection is opened or closed otherwise than by
   *   the list. */
  void listHolders(std::vector<MemoryHolder> &Out);

  /** Puts limits in force. @param Limits Limits for callers; heads are limited
   * to MaxUnparsedBytes in any case. */
  void setLimits(const forward::CallerLimits &Limits);

  /**
   * Answers a request; a token whose caller has gone is ignored.
   * @param Token The request.
   * @param Response The response; its framing fields are set here.
   * @param TimeLeft Time until the caller's deadline. The response is given up
   *   WriteMargin later, as nobody waits for it then.
   */
  void respond(ForwardToken Token, ForwardResponse &&Response,
               base::Duration TimeLeft);

  /**
   * Sets whether each response is the last one of its connection.
   * @param Closing Whether callers shall reconnect, and so may reach others.
   */
  void setClosing(bool Closing);

  /** Stops accepting and closes idle connections. */
  void stopAccepting();

  /** Closes connections that are idle or slow. @param Now Current time. */
  void sweep(base::TimePoint Now);

  /** @return Requests without a complete response. */
  size_t requestsInProgress() const;
  /** @return Open connections. */
  size_t connections() const;
  /** @return Address and port that are bound. */
  config::Endpoint endpoint() const;
  /** @return What was counted so far. */
  const ForwardServerCounters &counters() const;

private:
  friend class ForwardSession;
  struct State;
  static void accept(const std::shared_ptr<State> &Shared);
  std::shared_ptr<State> Shared;
};

} // namespace hickorycrank::net

#endif
