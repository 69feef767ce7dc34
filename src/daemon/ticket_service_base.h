#ifndef HICKORYCRANK_DAEMON_TICKET_SERVICE_BASE_H
#define HICKORYCRANK_DAEMON_TICKET_SERVICE_BASE_H

#include "daemon/peer_call_type.h"
#include "daemon/ticket_codec_func.h"
#include "daemon/tier_base.h"
#include "once/registry_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hickorycrank::daemon {

/**
 * Executes non-idempotent requests at most once: checks tickets that this
 * process issued, and forwards requests with other tickets to their issuers.
 * Thread-safe; no lock is held during I/O or callbacks.
 */
class TicketService : public std::enable_shared_from_this<TicketService> {
public:
  using Callback = std::function<void(TicketedResponse)>;

  /**
   * Creates the service with a new random secret.
   * @param Context Runs timers.
   * @param QueryTier The tier; must outlive the callbacks.
   * @param Process Incarnation of this process.
   */
  TicketService(boost::asio::io_context &Context, Tier &QueryTier,
                base::Incarnation Process);

  /** Sets how other instances are called. @param Call The call function. */
  void setPeerCallFunction(PeerCallFunction Call);

  /** @return Handler for requests that other instances forward. */
  PeerCallHandler peerCallHandler();

  /**
   * Issues a ticket.
   * @param Organisation Organisation that it is issued to.
   * @return Text of the ticket.
   */
  std::string issue(const base::OrganisationId &Organisation);

  /**
   * Submits a request with a ticket. It continues if its caller disconnects.
   * @param Source The request.
   * @param Done Called exactly once.
   */
  void submit(const TicketedRequest &Source, Callback Done);

  /** Removes expired tickets. @param Now Current time. */
  void expire(base::TimePoint Now);

  /** @return Number of requests that this process is executing. */
  size_t running() const;

private:
  /** A caller that waits for the response to a running request. */
  struct Waiter {
    explicit Waiter(boost::asio::io_context &Context) : Timer(Context) {}
    Callback Done; ///< Empty once called.
    boost::asio::steady_timer Timer;
  };
  using WaiterPointer = std::shared_ptr<Waiter>;

  /** A request that is ready to be executed, or the reason for its refusal. */
  struct Prepared {
    std::shared_ptr<const query::Request> Source; ///< Null if refused.
    std::shared_ptr<ServiceEngine> Engine;
    query::Refusal Reason;
  };

  Prepared prepare(const TicketedRequest &Source);
  void runHere(const TicketedRequest &Source, const once::Ticket &ParsedTicket,
               Callback Done);
  void forward(const TicketedRequest &Source, const once::Ticket &ParsedTicket,
               Callback Done);
  void onFinished(base::AttemptId Nonce, const query::Request &Source,
                  const query::Response &Result);
  void onWaiterDue(base::AttemptId Nonce, const WaiterPointer &Due,
                   const std::string &RequestId);

  boost::asio::io_context &Context;
  Tier &QueryTier;
  mutable std::mutex Mutex; ///< Guards the members below.
  once::TicketRegistry Registry;
  PeerCallFunction Call;
  std::map<base::AttemptId, std::vector<WaiterPointer>> Waiters;
};

} // namespace hickorycrank::daemon

#endif
