// Tests replies that follow the beginning of an earlier reply's second copy.
#include "config/settings_func.h"
#include "net/http_pool_base.h"
#include "net/upstream_pool_base.h"
#include "scripted_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

const std::string AttemptField = "X-Attempt";

/** Sends attempts to one server, one after the other, and keeps the result of
 * the last one. */
class SingleSender {
public:
  explicit SingleSender(std::string Address)
      : Address(std::move(Address)),
        Pool(this->Context, headers(),
             {[this](const forward::AttemptRef &, forward::ServerKey,
                     forward::Reply &&Received) {
                this->Received = std::move(Received);
                this->Ended = true;
              },
              [this](const forward::AttemptRef &, forward::ServerKey,
                     forward::AttemptFailure) { this->Ended = true; },
              [](const forward::AttemptRef &, forward::ServerKey,
                 forward::AttemptFailure) {},
              [](forward::ServerKey, bool) {}}) {}

  /** @return The reply, or nothing if the attempt failed. */
  std::optional<forward::Reply> send(uint64_t Number) {
    auto Source = std::make_shared<net::UpstreamRequest>();
    Source->AttemptId = "id" + std::to_string(Number);
    Source->IdHash = Number;
    Source->Message.target("/");
    Source->Message.set(AttemptField, Source->AttemptId);
    net::UpstreamAttempt Next;
    Next.Order.Ref = {Number, 0, 0};
    Next.Order.Server = forward::ServerKey(1);
    Next.Order.Address = this->Address;
    Next.Order.Remaining = 10s;
    Next.Order.Idempotent = true;
    Next.Source = Source;
    this->Received.reset();
    this->Ended = false;
    this->Pool.send(std::move(Next));
    this->Context.restart(); // It ran out of work if a connection was closed.
    base::TimePoint End = base::Clock::now() + 5s;
    while (!this->Ended && base::Clock::now() < End) {
      this->Context.run_one_for(10ms);
    }
    REQUIRE(this->Ended);
    return this->Received;
  }

  const net::UpstreamCounters &counters() const {
    return this->Pool.counters();
  }

private:
  static net::ForwardHeaders headers() {
    net::ForwardHeaders Names;
    Names.AttemptId = AttemptField;
    Names.Remaining = "X-Remaining";
    Names.Signature = "X-Signature";
    Names.NotExecuted = "X-Not-Executed";
    Names.ExpectedServer = "X-Server";
    return Names;
  }

  std::string Address;
  boost::asio::io_context Context;
  std::optional<forward::Reply> Received;
  bool Ended = false;
  net::UpstreamPool Pool;
};

/** @return A rejection or an answer that names the attempt last. */
std::string replyNamingLast(bool Rejected, bool Chunked,
                            const std::string &Attempt) {
  std::string Text =
      Rejected ? "HTTP/1.1 503 Service Unavailable\r\n"
                 "X-Not-Executed: 1\r\n"
               : "HTTP/1.1 200 OK\r\nX-Signature: sig." + Attempt + "\r\n";
  std::string Id = AttemptField + ": " + Attempt + "\r\n";
  if (Chunked) {
    return Text + "Transfer-Encoding: chunked\r\n" + Id +
           "\r\n2;e=f\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n";
  }
  return Text + "Content-Length: 2\r\n" + Id + "\r\nok";
}

} // namespace

// Guards against taking the beginning of a rejection's second copy and the next
// answer for one rejection, so that a request that ran runs again or is refused
// (TWICE, REFUSED), and against a signature of another request (MIXED).
TEST_CASE("the beginning of a second copy spoils no reply", "[gateway]") {
  bool Rejected = GENERATE(true, false);
  bool Chunked = GENERATE(true, false);
  CAPTURE(Rejected, Chunked);
  std::atomic<size_t> CutAt{1};
  ScriptedServer Server([&](const std::string &Head) {
    std::string Attempt = fieldOf(Head, AttemptField);
    size_t Number = std::stoul(Attempt.substr(2));
    if (Number % 2 == 1) {
      return ScriptedReply{replyNamingLast(Rejected, Chunked, Attempt)};
    }
    std::string Earlier = "id" + std::to_string(Number - 1);
    return ScriptedReply{
        replyNamingLast(Rejected, Chunked, Earlier).substr(0, CutAt) +
        replyNamingLast(false, Chunked, Attempt)};
  });
  SingleSender Sender(Server.address());
  size_t Length = replyNamingLast(Rejected, Chunked, "id1").size();
  uint64_t Number = 0;
  size_t Mixed = 0;
  for (CutAt = 1; CutAt < Length; ++CutAt) {
    CAPTURE(CutAt.load());
    REQUIRE(Sender.send(++Number)); // Its connection is used again.
    auto Second = Sender.send(++Number);
    bool Own = Second && Second->Status == 200 && !Second->NotExecuted &&
               Second->Signature == "sig.id" + std::to_string(Number) &&
               Second->Body == "ok";
    Mixed += Second && !Own ? 1 : 0;
  }
  CHECK(Mixed == 0);
  CHECK(Sender.counters().MalformedReplies > 0);
}

// Guards against rejecting sound replies whose fields name a protocol.
TEST_CASE("a field that names a protocol is no status line", "[gateway]") {
  std::string Value = GENERATE(as<std::string>{}, "HTTP/1.1", "HTTP/1.1 proxy",
                               "1.1 HTTP/1.1 x", "HTTP/1.1 2000", "H");
  ScriptedServer Server([&](const std::string &Head) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\nVia: " + Value + "\r\n" +
                         AttemptField + ": " + fieldOf(Head, AttemptField) +
                         "\r\nContent-Length: 0\r\n\r\n"};
  });
  SingleSender Sender(Server.address());
  CHECK(Sender.send(1));
}

// Guards against a status of the store, such as that its history is gone, that
// belongs to an earlier answer.
TEST_CASE("the beginning of a second copy spoils no answer of the store",
          "[gateway]") {
  ScriptedServer Store([](const std::string &) {
    return ScriptedReply{"HTTP/1.1 410 Gone\r\nX-Sum: 1HTTP/1.1 200 OK\r\n"
                         "Content-Length: 2\r\n\r\n{}"};
  });
  boost::asio::io_context Context;
  auto Pool = std::make_shared<net::HttpPool>(
      Context, *config::parseEndpoint(Store.address()), net::PoolLimits{});
  std::optional<net::ExchangeResult> Result;
  Pool->send({}, base::Clock::now() + 2s, false,
             [&](net::ExchangeResult Ended) { Result = std::move(Ended); });
  base::TimePoint End = base::Clock::now() + 5s;
  while (!Result && base::Clock::now() < End) {
    Context.run_for(5ms);
  }
  REQUIRE(Result);
  const auto *Error = std::get_if<net::ExchangeError>(&*Result);
  REQUIRE(Error != nullptr);
  CHECK(Error->Fault == net::ExchangeFault::Garbage);
}
