#include "net/http_connection_base.h"

#include "net/forward_header_func.h"
#include "net/reply_check_func.h"
#include "net/socket_func.h"

#include <algorithm>
#include <boost/asio/strand.hpp>
#include <utility>

namespace hickorycrank::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/**
 * Classifies an error of the transport.
 * @param Failure The error.
 * @return What the exchange reports.
 */
ExchangeFault classify(beast::error_code Failure) {
  if (Failure == asio::error::connection_refused ||
      Failure == asio::error::host_unreachable ||
      Failure == asio::error::network_unreachable) {
    return ExchangeFault::Refused;
  }
  if (Failure == beast::error::timeout) {
    return ExchangeFault::Timeout;
  }
  if (Failure.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      Failure != http::error::end_of_stream &&
      Failure != http::error::partial_message) {
    return ExchangeFault::Garbage;
  }
  return ExchangeFault::Reset;
}

} // namespace

HttpConnection::HttpConnection(asio::io_context &Context,
                               std::weak_ptr<HttpPool> Owner, PoolLimits Limits)
    : Stream(asio::make_strand(Context)), Owner(std::move(Owner)),
      Limits(Limits), Buffer(MaxUnparsedBytes) {}

void HttpConnection::open(const config::Endpoint &Target) {
  tcp::endpoint Address(asio::ip::make_address(Target.Address), Target.Port);
  asio::dispatch(
      this->Stream.get_executor(), [Self = this->shared_from_this(), Address] {
        Self->Stream.expires_after(Self->Limits.ConnectTimeout);
        Self->Stream.async_connect(Address, [Self](beast::error_code Failure) {
          Self->onConnected(Failure);
        });
      });
}

void HttpConnection::onConnected(beast::error_code Failure) {
  auto Pool = this->Owner.lock();
  if (!Pool) {
    return;
  }
  if (Failure || this->Closed) {
    this->Closed = true;
    Pool->connectionClosed(this->shared_from_this(), true, classify(Failure));
    return;
  }
  beast::error_code Ignored;
  this->Stream.socket().set_option(tcp::no_delay(true), Ignored);
  detectSilentPeer(this->Stream.socket());
  this->watchWhileIdle();
  Pool->connectionOpened(this->shared_from_this());
}

void HttpConnection::watchWhileIdle() {
  this->IdleWatch = true;
  this->Stream.socket().async_wait(
      tcp::socket::wait_read,
      [Self = this->shared_from_this()](beast::error_code Failure) {
        Self->IdleWatch = false;
        if (Failure || Self->InExchange) {
          return;
        }
        if (peekInput(Self->Stream.socket()) == SocketInput::None) {
          Self->watchWhileIdle();
          return;
        }
        Self->close(); // Closed by the server, or unsolicited bytes.
      });
}

void HttpConnection::exchange(HttpRequest Request, base::TimePoint Deadline,
                              HttpPool::Callback Callback) {
  asio::dispatch(
      this->Stream.get_executor(),
      [Self = this->shared_from_this(), Request = std::move(Request), Deadline,
       Callback = std::move(Callback)]() mutable {
        Self->Done = std::move(Callback);
        Self->Abandoned = false;
        Self->InExchange = true;
        if (Self->IdleWatch) {
          beast::error_code Ignored;
          Self->Stream.socket().cancel(Ignored);
        }
        if (Self->Closed) {
          Self->fail({ExchangeStage::Connecting, ExchangeFault::Reset});
          return;
        }
        if (Deadline <= base::Clock::now()) {
          // The process was paused between the decision and this moment.
          Self->fail({ExchangeStage::Connecting, ExchangeFault::Timeout});
          return;
        }
        Self->Outgoing.emplace();
        Self->Outgoing->method_string(Request.Method);
        Self->Outgoing->target(Request.Path);
        Self->Outgoing->version(11);
        Self->Outgoing->set(http::field::host, "hickorycrank");
        for (const auto &[Name, Value] : Request.Headers) {
          Self->Outgoing->set(Name, Value);
        }
        if (!Request.Body.empty()) {
          Self->Outgoing->set(http::field::content_type, "application/json");
        }
        Self->Expected = std::move(Request.ExpectInReply);
        Self->Outgoing->body() = std::move(Request.Body);
        Self->Outgoing->prepare_payload();
        Self->Deadline = Deadline;
        Self->Stream.expires_at(Deadline);
        http::async_write(Self->Stream, *Self->Outgoing,
                          [Self](beast::error_code Failure, size_t Bytes) {
                            Self->onWritten(Failure, Bytes);
                          });
      });
}

void HttpConnection::onWritten(beast::error_code Failure, size_t) {
  if (Failure) {
    // Even a failed write may have handed bytes to the kernel.
    this->fail({ExchangeStage::Sent, classify(Failure)});
    return;
  }
  this->Incoming.emplace();
  this->Incoming->body_limit(this->Limits.MaxResponseBytes);
  if (this->Limits.StallTimeout.count() > 0) {
    this->Incoming->eager(true);
    this->readSome();
    return;
  }
  http::async_read(
      this->Stream, this->Buffer, *this->Incoming,
      [Self = this->shared_from_this()](beast::error_code Failure, size_t) {
        Self->onRead(Failure);
      });
}

void HttpConnection::readSome() {
  http::async_read_some(
      this->Stream, this->Buffer, *this->Incoming,
      [Self = this->shared_from_this()](beast::error_code Failure, size_t) {
        if (Failure || Self->Incoming->is_done()) {
          Self->onRead(Failure);
          return;
        }
        base::TimePoint StalledAt =
            base::Clock::now() + Self->Limits.StallTimeout;
        // An abandoned reply has its own timeout.
        if (!Self->Abandoned) {
          Self->Stream.expires_at(
              std::clamp(StalledAt, Self->Deadline,
                         Self->Deadline + Self->Limits.MaxOverrun));
        }
        Self->readSome();
      });
}

void HttpConnection::onRead(beast::error_code Failure) {
  if (Failure) {
    this->fail({ExchangeStage::Sent, classify(Failure)});
    return;
  }
  if (holdsOtherReply(this->Incoming->get()) ||
      findForbidden(this->Incoming->get(), *this->Outgoing) != nullptr) {
    this->fail({ExchangeStage::Sent, ExchangeFault::Garbage});
    return;
  }
  this->InExchange = false;
  http::response<http::string_body> Message = this->Incoming->release();
  this->Stream.expires_never();
  bool Surplus = this->Buffer.size() != 0;
  // A reply to another exchange shows that the connection is out of step.
  bool Expected = Message.body().find(this->Expected) != std::string::npos;
  bool Reusable = Message.keep_alive() && !Surplus && Expected;
  HttpResponse Response;
  Response.Status = Message.result_int();
  Response.Body = std::move(Message.body());
  Response.Headers = lowerCaseFields(Message);
  Response.Close = !Reusable;
  HttpPool::Callback Callback = std::exchange(this->Done, {});
  bool WasAbandoned = this->Abandoned;
  if (auto Pool = this->Owner.lock()) {
    if (Reusable) {
      this->watchWhileIdle();
      Pool->connectionIdle(this->shared_from_this(), WasAbandoned);
    } else {
      this->Closed = true;
      this->Stream.close();
      Pool->connectionClosed(this->shared_from_this(), false,
                             ExchangeFault::Reset);
    }
  }
  if (Callback) {
    Callback(std::move(Response));
  }
}

void HttpConnection::fail(ExchangeError Reason) {
  this->InExchange = false;
  this->Closed = true;
  this->Stream.close();
  HttpPool::Callback Callback = std::exchange(this->Done, {});
  if (auto Pool = this->Owner.lock()) {
    Pool->connectionClosed(this->shared_from_this(), false, Reason.Fault);
  }
  if (Callback) {
    Callback(Reason);
  }
}

void HttpConnection::abandon() {
  asio::dispatch(this->Stream.get_executor(),
                 [Self = this->shared_from_this()] {
                   Self->Done = {};
                   Self->Abandoned = true;
                   if (Self->InExchange) {
                     Self->Stream.expires_after(Self->Limits.DrainTime);
                   }
                 });
}

void HttpConnection::close() {
  asio::dispatch(this->Stream.get_executor(),
                 [Self = this->shared_from_this()] {
                   if (Self->Closed) {
                     return;
                   }
                   if (Self->InExchange) {
                     Self->Stream.close(); // The pending operation reports it.
                     return;
                   }
                   Self->Closed = true;
                   Self->Stream.close();
                   if (auto Pool = Self->Owner.lock()) {
                     Pool->connectionClosed(Self, false, ExchangeFault::Reset);
                   }
                 });
}

} // namespace hickorycrank::net
