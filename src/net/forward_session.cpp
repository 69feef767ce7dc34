#include "net/forward_session_base.h"

#include "net/bounded_parse_func.h"
#include "net/reply_check_func.h"
#include "net/socket_func.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <utility>

namespace hickorycrank::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/** Time that input is read after the last response, so that unread bytes do
 * not reset the connection before the caller has the response. */
constexpr base::Duration LingerTime = std::chrono::milliseconds(1'000);
/** Time for the response to a request that states no valid deadline. */
constexpr base::Duration RejectTime = std::chrono::seconds(10);
/** Input kept while a request is in progress; more closes the connection. */
constexpr size_t MaxPipelinedBytes = 65'536;
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/** @return Status of the response to a request that the parser rejects. */
http::status rejectionStatus(beast::error_code Reason) {
  if (Reason == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  if (Reason == http::error::header_limit ||
      Reason == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  return http::status::bad_request;
}

} // namespace

ForwardSession::ForwardSession(tcp::socket Socket,
                               std::shared_ptr<ForwardServer::State> Server)
    : Socket(std::move(Socket)), Server(std::move(Server)),
      PhaseSince(base::Clock::now()), Held(this->Server->Ledger) {}

void ForwardSession::start() { this->read(); }

void ForwardSession::read() {
  if (this->ReadPending || this->Phase == SessionPhase::Closed) {
    return;
  }
  this->ReadPending = true;
  this->Socket.async_read_some(asio::buffer(this->Chunk),
                               [Self = this->shared_from_this()](
                                   beast::error_code Failure, size_t Count) {
                                 Self->ReadPending = false;
                                 Self->onRead(Failure, Count);
                               });
}

void ForwardSession::onRead(beast::error_code Failure, size_t Count) {
  if (this->Phase == SessionPhase::Closed) {
    return;
  }
  if (Failure) {
    // A caller that only sends no more still gets an answer that is ready.
    if (this->Phase != SessionPhase::Writing) {
      this->onEnd();
    }
    return;
  }
  if (this->Phase == SessionPhase::Lingering) {
    this->read();
    return;
  }
  auto Room = this->Buffer.prepare(Count);
  asio::buffer_copy(Room, asio::buffer(this->Chunk, Count));
  this->Buffer.commit(Count);
  if (this->Phase == SessionPhase::Idle) {
    this->enter(SessionPhase::Reading);
  }
  if (this->Phase == SessionPhase::Reading) {
    this->parse();
  } else if (this->Buffer.size() > MaxPipelinedBytes) {
    this->onEnd();
    return;
  }
  this->countHeld();
  this->read();
}

void ForwardSession::parse() {
  if (!this->Current) {
    this->Current.emplace();
    this->Current->eager(true);
    this->Current->header_limit(this->Server->Limits.MaxHeaderBytes);
    this->Current->body_limit(this->Server->Limits.MaxBodyBytes);
    this->ContinueSent = false;
    this->RequestBytes = 0;
  }
  size_t Before = this->Buffer.size();
  beast::error_code Failure = parseBounded(*this->Current, this->Buffer);
  this->RequestBytes += Before - this->Buffer.size();
  // The parser does not limit a chunk's extension or a trailer.
  if (!Failure && !this->Current->is_done() &&
      this->Buffer.size() > this->Server->Limits.MaxHeaderBytes) {
    Failure = http::error::header_limit;
  }
  if (Failure) {
    this->reject(Failure);
    return;
  }
  if (this->Current->is_header_done() &&
      hasForeignCoding(this->Current->get())) {
    this->reject(http::error::bad_transfer_encoding);
    return;
  }
  if (this->Current->is_done()) {
    this->dispatch();
    return;
  }
  if (this->Current->is_header_done() && !this->ContinueSent &&
      beast::iequals(this->Current->get()[http::field::expect],
                     "100-continue")) {
    this->sendContinue();
  }
}

void ForwardSession::sendContinue() {
  this->ContinueSent = true;
  size_t Written = writeAtOnce(this->Socket, ContinueResponse);
  // Callers send the body after a time of their own if they get no interim
  // response, but part of one would spoil the response that follows.
  if (Written > 0 && Written < ContinueResponse.size()) {
    ++this->Server->Counters.WritesStalled;
    this->close();
  }
}

void ForwardSession::dispatch() {
  ForwardRequest Request = this->Current->release();
  this->Current.reset();
  this->KeepAlive = Request.keep_alive();
  this->Head = Request.method() == http::verb::head;
  this->enter(SessionPhase::Answering);
  ++this->Server->InProgress;
  ++this->Server->Counters.Requests;
  this->Token = this->Server->NextToken++;
  this->Server->Waiting[this->Token] = this;
  this->Server->Handlers.OnRequest(this->Token, std::move(Request));
}

void ForwardSession::respond(ForwardResponse &&Response,
                             base::Duration TimeLeft) {
  this->Server->Waiting.erase(this->Token);
  --this->Server->InProgress;
  this->write(std::move(Response), TimeLeft);
}

void ForwardSession::reject(beast::error_code Reason) {
  http::status Status = rejectionStatus(Reason);
  ++(Status == http::status::bad_request ? this->Server->Counters.Malformed
                                         : this->Server->Counters.TooLarge);
  this->Server->Handlers.OnRejected(static_cast<unsigned>(Status),
                                    Reason.message());
  this->Current.reset();
  this->KeepAlive = false;
  this->write(ForwardResponse(Status, 11), RejectTime);
}

void ForwardSession::write(ForwardResponse &&Response,
                           base::Duration TimeLeft) {
  ForwardResponse &Message = this->Outgoing.Content;
  Message = std::move(Response);
  bool Keep = this->KeepAlive && !this->Server->Closing;
  Message.version(11);
  Message.keep_alive(Keep);
  if (this->Head || isBodyless(Message.result_int())) {
    Message.body().clear();
  } else {
    Message.content_length(Message.body().size());
  }
  this->enter(SessionPhase::Writing);
  this->RequestBytes = 0;
  this->WriteBy = this->PhaseSince +
                  std::max(TimeLeft, base::Duration::zero()) +
                  ForwardServer::WriteMargin;
  startWrite(
      this->Socket, this->Outgoing,
      [Self = this->shared_from_this(), Keep](beast::error_code Failure) {
        if (Failure) {
          Self->close();
          return;
        }
        Self->onWritten(Keep);
      });
  this->countHeld();
}

void ForwardSession::countHeld() {
  if (this->Phase != SessionPhase::Closed) {
    this->Held.set(this->RequestBytes + this->Buffer.size() +
                   this->Outgoing.heldBytes());
  }
}

void ForwardSession::onWritten(bool Keep) {
  if (this->Phase == SessionPhase::Closed) {
    return;
  }
  this->countHeld();
  if (!Keep) {
    beast::error_code Ignored; // The caller may have closed it already.
    this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    this->enter(SessionPhase::Lingering);
    this->read();
    return;
  }
  this->enter(SessionPhase::Idle);
  if (this->Server->Stopped) {
    this->close();
    return;
  }
  if (this->Buffer.size() > 0) {
    this->enter(SessionPhase::Reading);
    this->parse();
  }
  this->read();
}

void ForwardSession::onEnd() {
  if (this->Phase == SessionPhase::Answering) {
    ++this->Server->Counters.CallersGone;
    this->Server->Waiting.erase(this->Token);
    --this->Server->InProgress;
    this->Server->Handlers.OnCallerGone(this->Token);
  }
  this->close();
}

void ForwardSession::close() {
  if (this->Phase == SessionPhase::Closed) {
    return;
  }
  this->enter(SessionPhase::Closed);
  this->Held.set(0);
  beast::error_code Ignored;
  this->Socket.close(Ignored);
  this->Server->Sessions.erase(this->shared_from_this());
}

void ForwardSession::closeIfIdle() {
  if (this->Phase == SessionPhase::Idle) {
    this->close();
  }
}

void ForwardSession::sweep(base::TimePoint Now) {
  base::Duration Age = Now - this->PhaseSince;
  switch (this->Phase) {
  case SessionPhase::Idle:
    if (Age > this->Server->Limits.IdleTimeout) {
      ++this->Server->Counters.IdleClosed;
      this->close();
    }
    break;
  case SessionPhase::Reading:
    // A body may take as long as an idle connection may stay open.
    if (Age > (this->Current && this->Current->is_header_done()
                   ? this->Server->Limits.IdleTimeout
                   : this->Server->Limits.HeaderTimeout)) {
      ++this->Server->Counters.HeaderTimeouts;
      this->close();
    }
    break;
  case SessionPhase::Writing:
    this->sweepWrite(Now);
    break;
  case SessionPhase::Lingering:
    if (Age > LingerTime) {
      this->close();
    }
    break;
  case SessionPhase::Answering:
  case SessionPhase::Closed:
    break;
  }
}

void ForwardSession::sweepWrite(base::TimePoint Now) {
  bool Stalled =
      Now - this->Outgoing.ProgressAt > ForwardServer::WriteStallTime;
  if (!Stalled && Now <= this->WriteBy) {
    return;
  }
  ++(Stalled ? this->Server->Counters.WritesStalled
             : this->Server->Counters.WritesTooLate);
  this->close();
}

void ForwardSession::closeForMemory() {
  if (this->heldBytes() == 0) {
    return; // Its message has ended since it was chosen.
  }
  ++this->Server->Counters.ClosedForMemory;
  this->onEnd();
}

void ForwardSession::enter(SessionPhase Next) {
  this->Phase = Next;
  this->PhaseSince = base::Clock::now();
}

} // namespace hickorycrank::net
