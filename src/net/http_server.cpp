#include "net/http_server_base.h"

#include "net/forward_header_func.h"
#include "net/socket_func.h"
#include "net/url_func.h"

#include <atomic>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>
#include <utility>

namespace hickorycrank::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct HttpServer::State {
  State(asio::io_context &Context, HttpLimits Limits, Handler Handle,
        RejectionHandler OnRejected)
      : Context(Context), Acceptor(asio::make_strand(Context)), Limits(Limits),
        Handle(std::move(Handle)), OnRejected(std::move(OnRejected)) {}

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  HttpLimits Limits;
  Handler Handle;
  RejectionHandler OnRejected;
  std::atomic<bool> Closing{false};  ///< Responses end their connections.
  std::atomic<bool> Draining{false}; ///< Nothing is accepted any more.
  std::atomic<size_t> InProgress{0};
  std::mutex Mutex; ///< Guards the members below.
  std::unordered_set<HttpSession *> Sessions;
  HttpServerCounters Counters;

  /** @param Counter Member to increment. */
  void count(uint64_t HttpServerCounters::*Counter) {
    std::lock_guard Lock(this->Mutex);
    ++(this->Counters.*Counter);
  }
};

/** A response that is being written. */
struct ResponseInProgress {
  using Message = http::response<http::string_body>;

  ResponseInProgress(std::shared_ptr<Message> Source,
                     std::shared_ptr<void> Resource, bool Keep)
      : Source(std::move(Source)), Resource(std::move(Resource)),
        Rest(*this->Source), Keep(Keep) {}

  std::shared_ptr<Message> Source;
  std::shared_ptr<void> Resource;                    ///< See HttpResponse.
  http::response_serializer<http::string_body> Rest; ///< What is not written.
  bool Keep; ///< Whether the connection stays open.
};

/** One connection; everything runs on the stream's strand. */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(tcp::socket Socket, std::shared_ptr<HttpServer::State> Server)
      : Stream(std::move(Socket)), Server(std::move(Server)) {
    std::lock_guard Lock(this->Server->Mutex);
    this->Server->Sessions.insert(this);
    ++this->Server->Counters.Accepted;
  }

  ~HttpSession() {
    std::lock_guard Lock(this->Server->Mutex);
    this->Server->Sessions.erase(this);
  }

  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  /** Waits for the first byte of the next request. */
  void waitForRequest() {
    if (this->Server->Draining) {
      this->close();
      return;
    }
    this->Idle = true;
    if (this->Buffer.size() != 0) {
      this->readRequest();
      return;
    }
    this->Stream.expires_after(this->Server->Limits.IdleTimeout);
    auto Prepared = this->Buffer.prepare(1024);
    this->Stream.async_read_some(
        Prepared, [Self = this->shared_from_this()](beast::error_code Failure,
                                                    size_t Count) {
          if (Failure) {
            return;
          }
          Self->Buffer.commit(Count);
          Self->readRequest();
        });
  }

  /** Closes the connection if no request is in progress. */
  void closeIfIdle() {
    asio::dispatch(this->Stream.get_executor(),
                   [Self = this->shared_from_this()] {
                     if (Self->Idle) {
                       Self->close();
                     }
                   });
  }

  /** Closes the connection whatever is in progress. */
  void abort() {
    asio::dispatch(this->Stream.get_executor(),
                   [Self = this->shared_from_this()] { Self->close(); });
  }

private:
  using Parser = http::request_parser<http::string_body>;

  void readRequest() {
    this->Idle = false;
    this->Current.emplace();
    this->Current->body_limit(this->Server->Limits.MaxBodyBytes);
    this->Current->header_limit(this->Server->Limits.MaxHeaderBytes);
    this->Stream.expires_after(this->Server->Limits.ReadTimeout);
    http::async_read(
        this->Stream, this->Buffer, *this->Current,
        [Self = this->shared_from_this()](beast::error_code Failure, size_t) {
          Self->onRead(Failure);
        });
  }

  void onRead(beast::error_code Failure) {
    if (Failure == http::error::body_limit ||
        Failure == http::error::header_limit ||
        Failure == http::error::buffer_overflow) {
      this->Server->count(&HttpServerCounters::TooLarge);
      this->Server->OnRejected(413, Failure.message());
      this->reject(413, "too_large", "send a smaller request");
      return;
    }
    if (Failure == beast::error::timeout) {
      this->Server->count(&HttpServerCounters::ReadTimeouts);
      return;
    }
    if (Failure == http::error::end_of_stream ||
        Failure == http::error::partial_message ||
        Failure == asio::error::connection_reset ||
        Failure == asio::error::operation_aborted) {
      return;
    }
    if (Failure) {
      this->Server->count(&HttpServerCounters::Malformed);
      this->Server->OnRejected(400, Failure.message());
      this->reject(400, "bad_request", "send a valid HTTP/1.1 request");
      return;
    }
    this->dispatch();
  }

  void reject(unsigned Status, const std::string &Kind,
              const std::string &Remedy) {
    HttpResponse Response;
    Response.Status = Status;
    Response.Close = true;
    Response.Body = R"({"error":{"kind":")" + Kind +
                    R"(","ran":"not_run","remedy":")" + Remedy + "\"}}";
    this->KeepAlive = false;
    this->write(std::move(Response));
  }

  void dispatch() {
    http::request<http::string_body> Message = this->Current->release();
    this->KeepAlive = Message.keep_alive();
    HttpCall Call;
    Call.Request.Method = std::string(Message.method_string());
    Call.Request.Path = splitTarget(
        {Message.target().data(), Message.target().size()}, Call.Request.Query);
    Call.Request.Headers = lowerCaseFields(Message);
    Call.Request.Body = std::move(Message.body());
    ++this->Server->InProgress;
    this->Stream.expires_never();
    uint64_t Number = ++this->CallNumber;
    Call.Respond = [Self = this->shared_from_this(),
                    Number](HttpResponse Response) {
      asio::dispatch(Self->Stream.get_executor(),
                     [Self, Number, Response = std::move(Response)]() mutable {
                       Self->respond(Number, std::move(Response));
                     });
    };
    Call.OnDisconnect = [Weak = this->weak_from_this(),
                         Number](std::function<void()> Callback) {
      if (auto Self = Weak.lock()) {
        asio::dispatch(
            Self->Stream.get_executor(),
            [Self, Number, Callback = std::move(Callback)]() mutable {
              if (Number == Self->CallNumber && Self->Responding) {
                Self->DisconnectCallback = std::move(Callback);
              }
            });
      }
    };
    this->Responding = true;
    this->watchForDisconnect();
    this->Server->Handle(std::move(Call));
  }

  /** Notices a client that closes its connection during a request. */
  void watchForDisconnect() {
    this->Stream.socket().async_wait(
        tcp::socket::wait_read,
        [Self = this->shared_from_this(),
         Number = this->CallNumber](beast::error_code Failure) {
          if (Failure || Number != Self->CallNumber || !Self->Responding) {
            return;
          }
          switch (peekInput(Self->Stream.socket())) {
          case SocketInput::None:
            Self->watchForDisconnect();
            break;
          case SocketInput::Bytes:
            break; // The client pipelines its next request.
          case SocketInput::Closed:
            Self->close();
            break;
          }
        });
  }

  void respond(uint64_t Number, HttpResponse Response) {
    if (Number != this->CallNumber || !this->Responding) {
      return;
    }
    this->Responding = false;
    this->DisconnectCallback = {};
    this->Counted = true;
    this->write(std::move(Response));
  }

  void write(HttpResponse Response) {
    auto Message = std::make_shared<http::response<http::string_body>>(
        http::int_to_status(Response.Status), 11);
    bool Keep = this->KeepAlive && !Response.Close && !this->Server->Closing;
    Message->keep_alive(Keep);
    Message->set(http::field::content_type, Response.ContentType);
    if (Response.RetryAfterSeconds != 0) {
      Message->set(http::field::retry_after,
                   std::to_string(Response.RetryAfterSeconds));
    }
    Message->body() = std::move(Response.Body);
    Message->prepare_payload();
    this->writeRest(std::make_shared<ResponseInProgress>(
        std::move(Message), std::move(Response.Resource), Keep));
  }

  /** Writes a response piece by piece. A long response on a slow link may take
   * any time, but each piece has a timeout. */
  void writeRest(const std::shared_ptr<ResponseInProgress> &Response) {
    this->Stream.expires_after(this->Server->Limits.ReadTimeout);
    http::async_write_some(this->Stream, Response->Rest,
                           [Self = this->shared_from_this(),
                            Response](beast::error_code Failure, size_t) {
                             if (!Failure && !Response->Rest.is_done()) {
                               Self->writeRest(Response);
                               return;
                             }
                             if (std::exchange(Self->Counted, false)) {
                               --Self->Server->InProgress;
                             }
                             if (Failure || !Response->Keep) {
                               Self->close();
                               return;
                             }
                             Self->waitForRequest();
                           });
  }

  void close() {
    beast::error_code Ignored;
    this->Stream.socket().shutdown(tcp::socket::shutdown_both, Ignored);
    this->Stream.close();
    if (std::exchange(this->Responding, false)) {
      --this->Server->InProgress;
      if (auto Callback = std::exchange(this->DisconnectCallback, {})) {
        Callback();
      }
    }
  }

  beast::tcp_stream Stream;
  std::shared_ptr<HttpServer::State> Server;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<Parser> Current;
  std::function<void()> DisconnectCallback;
  uint64_t CallNumber = 0;
  bool Idle = false;
  bool KeepAlive = true;
  bool Responding = false; ///< A handler owes a response.
  bool Counted = false;    ///< The response being written is in progress.
};

HttpServer::HttpServer(asio::io_context &Context, const config::Endpoint &Where,
                       HttpLimits Limits, Handler Handle,
                       RejectionHandler OnRejected)
    : Shared(std::make_shared<State>(Context, Limits, std::move(Handle),
                                     std::move(OnRejected))) {
  tcp::endpoint Target(asio::ip::make_address(Where.Address), Where.Port);
  this->Shared->Acceptor.open(Target.protocol());
  this->Shared->Acceptor.set_option(asio::socket_base::reuse_address(true));
  this->Shared->Acceptor.bind(Target);
  this->Shared->Acceptor.listen();
}

HttpServer::~HttpServer() { this->drain(); }

void HttpServer::start() { accept(this->Shared); }

void HttpServer::accept(const std::shared_ptr<State> &State) {
  State->Acceptor.async_accept(
      asio::make_strand(State->Context),
      [State](beast::error_code Failure, tcp::socket Socket) {
        if (State->Draining || Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure) {
          beast::error_code Ignored;
          Socket.set_option(tcp::no_delay(true), Ignored);
          size_t Open = 0;
          {
            std::lock_guard Lock(State->Mutex);
            Open = State->Sessions.size();
          }
          if (Open >= State->Limits.MaxConnections) {
            State->count(&HttpServerCounters::TooManyConnections);
            Socket.close(Ignored);
          } else {
            auto Session =
                std::make_shared<HttpSession>(std::move(Socket), State);
            Session->waitForRequest();
          }
        }
        accept(State);
      });
}

void HttpServer::announceClose() { this->Shared->Closing = true; }

void HttpServer::drain() {
  std::shared_ptr<State> State = this->Shared;
  State->Closing = true;
  if (State->Draining.exchange(true)) {
    return;
  }
  asio::dispatch(State->Acceptor.get_executor(), [State] {
    beast::error_code Ignored;
    State->Acceptor.close(Ignored);
  });
  std::vector<std::shared_ptr<HttpSession>> Open;
  {
    std::lock_guard Lock(State->Mutex);
    for (HttpSession *Session : State->Sessions) {
      if (auto Shared = Session->weak_from_this().lock()) {
        Open.push_back(std::move(Shared));
      }
    }
  }
  for (const auto &Session : Open) {
    Session->closeIfIdle();
  }
}

void HttpServer::abort() {
  this->drain();
  std::vector<std::shared_ptr<HttpSession>> Open;
  {
    std::lock_guard Lock(this->Shared->Mutex);
    for (HttpSession *Session : this->Shared->Sessions) {
      if (auto Shared = Session->weak_from_this().lock()) {
        Open.push_back(std::move(Shared));
      }
    }
  }
  for (const auto &Session : Open) {
    Session->abort();
  }
}

config::Endpoint HttpServer::endpoint() const {
  tcp::endpoint Local = this->Shared->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

size_t HttpServer::requestsInProgress() const {
  return this->Shared->InProgress;
}

size_t HttpServer::connections() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Sessions.size();
}

HttpServerCounters HttpServer::counters() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Counters;
}

} // namespace hickorycrank::net
