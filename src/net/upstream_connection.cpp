#include "net/upstream_connection_base.h"

#include "config/settings_func.h"
#include "net/bounded_parse_func.h"
#include "net/forward_header_func.h"
#include "net/relay_header_func.h"
#include "net/reply_check_func.h"
#include "net/socket_func.h"
#include "net/upstream_pool_base.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace hickorycrank::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::Clock;

namespace {

/** Longest time for a connection to open; a server that is reached needs a few
 * round trips and one slot. */
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(300);
/** Time for the reply to an abandoned attempt. Pauses of servers are shorter;
 * work for a caller that has gone must end within half a second. */
constexpr base::Duration DrainTime = std::chrono::milliseconds(300);
/** Idle time if the server states none, and its margin if it does. */
constexpr base::Duration DefaultKeepAlive = std::chrono::seconds(8);
constexpr base::Duration KeepAliveMargin = std::chrono::milliseconds(700);
/** Maximum size of a reply with all that precedes it on the connection: a
 * server may send bytes without end, also in a chunk's extension, a trailer or
 * interim replies, which the parser does not limit. */
constexpr uint64_t MaxReplyBytes = 8'388'608;
/** Maximum size of what is not body: heads, chunk headers, trailers, interim
 * replies and replies to other attempts. They cost far more time for each byte
 * than a body does. */
constexpr uint64_t MaxFramingBytes = 131'072;
/** Number of requests after which a connection is closed. It bounds the memory
 * for their attempt ids. */
constexpr size_t MaxCarriedIds = 512;

} // namespace

UpstreamConnection::UpstreamConnection(asio::io_context &Context,
                                       UpstreamPool &Owner,
                                       forward::ServerKey Server)
    : Socket(Context), Owner(Owner), Server(Server), PhaseSince(Clock::now()),
      KeepAlive(DefaultKeepAlive), Held(Owner.Ledger) {}

bool UpstreamConnection::open(const std::string &Address,
                              std::optional<UpstreamAttempt> First) {
  auto Where = config::parseEndpoint(Address);
  if (!Where) {
    return false;
  }
  this->Current = std::move(First);
  this->Probe = !this->Current;
  tcp::endpoint Target(asio::ip::make_address(Where->Address), Where->Port);
  beast::error_code Ignored; // A socket that cannot be opened fails below.
  this->Socket.open(Target.protocol(), Ignored);
  this->Socket.set_option(tcp::no_delay(true), Ignored);
  detectSilentPeer(this->Socket);
  this->Socket.async_connect(
      Target, [Self = this->shared_from_this()](beast::error_code Failure) {
        Self->onConnected(Failure);
      });
  return true;
}

void UpstreamConnection::onConnected(beast::error_code Failure) {
  if (this->Phase == UpstreamPhase::Closed) {
    return;
  }
  if (Failure) {
    ++this->Owner.Counters.ConnectFailed;
    this->fail(forward::AttemptFailure::NotSent);
    return;
  }
  this->read();
  if (this->Current) {
    this->write();
    return;
  }
  this->becomeIdle();
  if (std::exchange(this->Probe, false)) {
    this->Owner.Handlers.OnProbed(this->Server, true);
  }
}

void UpstreamConnection::send(UpstreamAttempt Next) {
  this->Current = std::move(Next);
  this->write();
}

void UpstreamConnection::write() {
  this->Phase = UpstreamPhase::Busy;
  this->PhaseSince = Clock::now();
  this->Abandoned = false;
  this->resetReceived();
  this->CarriedIds.push_back(this->Current->Source->IdHash);
  const forward::SendAttempt &Order = this->Current->Order;
  auto &Message = this->Outgoing.Content;
  Message = this->Current->Source->Message;
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Order.Remaining);
  Message.set(this->Owner.Names.Remaining,
              std::to_string(std::max<int64_t>(1, Left.count())));
  Message.set(this->Owner.Names.ExpectedServer, Order.ServerId.Value);
  if (!this->Current->RelayTried.empty()) {
    Message.set(RelayTriedField, this->Current->RelayTried);
  }
  startWrite(this->Socket, this->Outgoing,
             [Self = this->shared_from_this()](beast::error_code Failure) {
               Self->countHeld();
               // A failed write also ends the pending read.
               if (Failure && Self->Phase != UpstreamPhase::Closed) {
                 Self->fail(forward::AttemptFailure::Broken);
               }
             });
  this->countHeld();
}

void UpstreamConnection::countHeld() {
  if (this->Phase != UpstreamPhase::Closed) {
    this->Held.set(this->ReceivedBytes + this->Outgoing.heldBytes());
  }
}

void UpstreamConnection::read() {
  this->Socket.async_read_some(asio::buffer(this->Chunk),
                               [Self = this->shared_from_this()](
                                   beast::error_code Failure, size_t Count) {
                                 Self->onRead(Failure, Count);
                               });
}

void UpstreamConnection::onRead(beast::error_code Failure, size_t Count) {
  if (this->Phase == UpstreamPhase::Closed) {
    return;
  }
  if (Failure) {
    if (Failure == asio::error::eof && this->Phase == UpstreamPhase::Busy) {
      this->parse(true);
      return;
    }
    this->fail(forward::AttemptFailure::Broken);
    return;
  }
  if (this->Phase != UpstreamPhase::Busy) {
    ++this->Owner.Counters.SurplusBytes;
    this->fail(forward::AttemptFailure::Broken);
    return;
  }
  this->ReceivedBytes += Count;
  this->Owner.UnfinishedBytes += Count;
  this->countHeld();
  if (this->isReplyTooLarge()) {
    this->failOversized();
    return;
  }
  this->Owner.limitUnfinishedBytes();
  if (this->Phase == UpstreamPhase::Closed) {
    return;
  }
  auto Room = this->Buffer.prepare(Count);
  asio::buffer_copy(Room, asio::buffer(this->Chunk, Count));
  this->Buffer.commit(Count);
  this->parse(false);
  if (this->Phase != UpstreamPhase::Closed) {
    this->read();
  }
}

bool UpstreamConnection::isReplyTooLarge() const {
  uint64_t BodyBytes = this->Incoming ? this->Incoming->get().body().size() : 0;
  return this->ReceivedBytes > MaxReplyBytes ||
         this->ReceivedBytes > BodyBytes + MaxFramingBytes;
}

void UpstreamConnection::failOversized() {
  ++this->Owner.Counters.OversizedReplies;
  this->reportBadReply("too large");
  this->fail(forward::AttemptFailure::Broken);
}

void UpstreamConnection::reportBadReply(const std::string &Reason) {
  if (this->Current) {
    this->Owner.Handlers.OnBadReply(this->Current->Order.Address, Reason);
  }
}

void UpstreamConnection::failMalformed(const std::string &Reason) {
  ++this->Owner.Counters.MalformedReplies;
  this->reportBadReply(Reason);
  this->fail(forward::AttemptFailure::Broken);
}

void UpstreamConnection::failForMemory() {
  if (this->heldBytes() == 0) {
    return; // Its message has ended since it was chosen.
  }
  ++this->Owner.Counters.ClosedForMemory;
  // The kernel may have taken bytes whose completion has not been handled yet.
  this->fail(forward::AttemptFailure::GivenUp);
}

void UpstreamConnection::resetReceived() {
  this->Owner.UnfinishedBytes -= std::exchange(this->ReceivedBytes, 0);
  this->countHeld();
}

void UpstreamConnection::startReply() {
  this->Incoming.emplace();
  this->Incoming->eager(true);
  this->Incoming->body_limit(MaxReplyBytes);
  this->Incoming->skip(this->Current->Source->Message.method() ==
                       http::verb::head);
}

beast::error_code UpstreamConnection::parseEnd(Parser &Unfinished) {
  // The parser takes an end without any byte for a reply with status 200.
  if (!Unfinished.got_some()) {
    return http::error::partial_message;
  }
  beast::error_code Failure;
  Unfinished.put_eof(Failure);
  if (!Failure && !Unfinished.is_done()) {
    return http::error::partial_message;
  }
  return Failure;
}

void UpstreamConnection::parse(bool End) {
  // Each round reads one reply; replies to other attempts are dropped.
  while (this->Phase == UpstreamPhase::Busy) {
    if (!this->Incoming) {
      this->startReply();
    }
    beast::error_code Failure = parseBounded(*this->Incoming, this->Buffer);
    if (!Failure && End && !this->Incoming->is_done()) {
      Failure = parseEnd(*this->Incoming);
    }
    if (Failure == http::error::partial_message) {
      this->fail(forward::AttemptFailure::Broken);
      return;
    }
    if (Failure) {
      this->failMalformed(Failure.message());
      return;
    }
    if (!this->Incoming->is_done()) {
      return;
    }
    if (holdsOtherReply(this->Incoming->get())) {
      this->failMalformed("another reply within a head");
      return;
    }
    if (const char *Reason = findForbidden(this->Incoming->get(),
                                           this->Current->Source->Message)) {
      this->failMalformed(Reason);
      return;
    }
    if (this->isForeign(*this->Incoming)) {
      this->Incoming.reset();
      this->SawForeign = true;
      ++this->Owner.Counters.ForeignReplies;
      if (End) {
        this->fail(forward::AttemptFailure::Broken);
      }
      continue;
    }
    this->finish(!End);
  }
}

bool UpstreamConnection::isForeign(const Parser &Received) const {
  if (Received.get().result_int() < 200) {
    return true; // An interim reply; the final one follows.
  }
  auto Echo = Received.get().find(this->Owner.Names.AttemptId);
  return Echo != Received.get().end() &&
         Echo->value() != this->Current->Source->AttemptId;
}

forward::Reply UpstreamConnection::takeReply(Parser &Received) const {
  const ForwardHeaders &Names = this->Owner.Names;
  http::response<http::string_body> Message = Received.release();
  forward::Reply Taken;
  Taken.Status = Message.result_int();
  Taken.Reason = std::string(Message.reason());
  Taken.Signature = std::string(Message[Names.Signature]);
  Taken.NotExecuted = Message.find(Names.NotExecuted) != Message.end();
  Taken.Misdirected = Message.result() == http::status::misdirected_request;
  Taken.Merged = Message.find(Names.PartSignatures) != Message.end();
  Taken.Unsent = Message.find(RelayUnsentField) != Message.end();
  Taken.Load = parseLoad(Message[Names.ServerLoad]);
  Taken.RateLimit = parseRateLimit(Message[Names.RateLimit]);
  Taken.ColdRemaining = parseMilliseconds(Message[Names.ColdRemaining]);
  Taken.ServerLeaving = Message[Names.ServerLeaving] == "1";
  Taken.RetryAfter = parseRetryAfter(Message[http::field::retry_after]);
  // What a reply says of its execution is stated anew to callers and peers.
  Message.erase(Names.NotExecuted);
  Message.erase(RelayUnsentField);
  Taken.Fields = endToEndFields(Message);
  Taken.Body = std::move(Message.body());
  return Taken;
}

bool UpstreamConnection::hasCarried(uint64_t IdHash) const {
  return std::find(this->CarriedIds.begin(), this->CarriedIds.end(), IdHash) !=
         this->CarriedIds.end();
}

bool UpstreamConnection::mayStayOpen() const {
  // A late copy of a reply without the attempt id could not be told from the
  // next reply.
  bool Echoed = this->Incoming->get().find(this->Owner.Names.AttemptId) !=
                this->Incoming->get().end();
  return Echoed && this->Incoming->keep_alive() &&
         !this->Incoming->need_eof() && !this->SawForeign &&
         !this->Outgoing.isPending() && !this->Retired &&
         this->CarriedIds.size() < MaxCarriedIds;
}

void UpstreamConnection::finish(bool Reusable) {
  bool KeepOpen = Reusable && this->mayStayOpen();
  if (this->Buffer.size() > 0) {
    ++this->Owner.Counters.SurplusBytes;
    KeepOpen = false;
  }
  auto Stated = parseKeepAlive(this->Incoming->get()[http::field::keep_alive]);
  if (Stated) {
    this->KeepAlive = *Stated - KeepAliveMargin;
  }
  forward::Reply Taken = this->takeReply(*this->Incoming);
  this->Incoming.reset();
  forward::AttemptRef Ref = this->Current->Order.Ref;
  this->Current.reset();
  if (KeepOpen) {
    this->becomeIdle();
  } else {
    this->close();
  }
  this->Owner.Handlers.OnReply(Ref, this->Server, std::move(Taken));
}

void UpstreamConnection::becomeIdle() {
  this->Phase = UpstreamPhase::Idle;
  this->PhaseSince = Clock::now();
  this->resetReceived();
  this->Abandoned = false;
  if (this->Retired) {
    this->close();
  }
}

void UpstreamConnection::abandon(base::TimePoint Now) {
  if (this->Phase == UpstreamPhase::Connecting) {
    forward::AttemptRef Ref = this->Current->Order.Ref;
    this->Current.reset();
    // Whether it opens still tells whether the server can be reached.
    this->Probe = true;
    this->Owner.Handlers.OnAbandonedEnd(Ref, this->Server,
                                        forward::AttemptFailure::NotSent);
    return;
  }
  this->Abandoned = true;
  this->AbandonedAt = Now;
}

void UpstreamConnection::close() {
  if (this->Phase == UpstreamPhase::Closed) {
    return;
  }
  this->Phase = UpstreamPhase::Closed;
  this->resetReceived();
  this->Held.set(0);
  beast::error_code Ignored; // The server may have closed it already.
  this->Socket.close(Ignored);
  this->Owner.closed(*this);
}

void UpstreamConnection::fail(forward::AttemptFailure Kind) {
  auto Self = this->shared_from_this();
  std::optional<UpstreamAttempt> Failed = std::exchange(this->Current, {});
  bool WasAbandoned = this->Abandoned;
  this->close();
  if (std::exchange(this->Probe, false)) {
    this->Owner.Handlers.OnProbed(this->Server, false);
  }
  if (!Failed) {
    return;
  }
  if (WasAbandoned) {
    this->Owner.Handlers.OnAbandonedEnd(Failed->Order.Ref, this->Server, Kind);
    return;
  }
  // A caller that waits is told only whether the server may have the request.
  bool Unsent = Kind == forward::AttemptFailure::NotSent;
  this->Owner.Handlers.OnFailure(Failed->Order.Ref, this->Server,
                                 Unsent ? Kind
                                        : forward::AttemptFailure::Broken);
}

bool UpstreamConnection::sweep(base::TimePoint Now) {
  switch (this->Phase) {
  case UpstreamPhase::Connecting:
    if (Now - this->PhaseSince > ConnectTimeout) {
      ++this->Owner.Counters.ConnectFailed;
      this->fail(forward::AttemptFailure::NotSent);
    }
    return false;
  case UpstreamPhase::Idle:
    if (Now - this->PhaseSince > this->KeepAlive) {
      this->close();
    }
    return false;
  case UpstreamPhase::Busy:
    return this->sweepBusy(Now);
  case UpstreamPhase::Closed:
    return false;
  }
  return false;
}

bool UpstreamConnection::sweepBusy(base::TimePoint Now) {
  if (this->Abandoned && Now - this->AbandonedAt > DrainTime) {
    ++this->Owner.Counters.AbandonedClosed;
    this->fail(forward::AttemptFailure::GivenUp);
    return true;
  }
  if (this->Outgoing.isPending() &&
      Now - this->Outgoing.ProgressAt > UpstreamPool::WriteStallTime) {
    ++this->Owner.Counters.WritesStalled;
    this->fail(forward::AttemptFailure::GivenUp);
  }
  return false;
}

bool UpstreamConnection::isReusable(base::TimePoint Now,
                                    base::Duration MaxIdle) const {
  return this->Phase == UpstreamPhase::Idle && !this->Retired &&
         Now - this->PhaseSince <= std::min(MaxIdle, this->KeepAlive);
}

} // namespace hickorycrank::net
