// Tests that bytes of servers, callers, the store and peers which the HTTP
// parser cannot hold cost one connection.
#include "daemon/gateway_message_func.h"
#include "forward_harness.h"
#include "gateway_harness.h"
#include "hostile_text.h"
#include "net/bounded_parse_func.h"
#include "net/forward_header_func.h"
#include "net/http_pool_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <string>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/** More than the parser can hold in one field, in one place of a message. */
constexpr size_t LongFieldBytes = 70'000;

const std::string ChunkedBody = "Transfer-Encoding: chunked\r\n\r\n";

std::string longText() { return std::string(LongFieldBytes, 'y'); }

/** @return Trailers, chunk extensions and heads that are too long. */
std::vector<std::string> overlongReplies() {
  std::string Chunked = "HTTP/1.1 200 OK\r\n" + ChunkedBody;
  return {Chunked + "1\r\na\r\n0\r\nx: " + longText() + "\r\n\r\n",
          Chunked + "1\r\na\r\n0\r\n" + longText() + ": x\r\n\r\n",
          Chunked + "1\r\na\r\n0\r\nx: y\r\nx: " + longText() + "\r\n\r\n",
          Chunked + "1;x=" + longText() + "\r\na\r\n0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\nx: " + longText() + "\r\n\r\n",
          "HTTP/1.1 200 OK\r\nx: " + longText() + "\r\n\r\n",
          "HTTP/1.1 200 " + longText() + "\r\n\r\n"};
}

/** @return A request whose trailer is too long. */
std::string overlongRequest() {
  return "POST /metrics HTTP/1.1\r\nHost: a\r\n" + ChunkedBody +
         "1\r\na\r\n0\r\nx: " + longText() + "\r\n\r\n";
}

/** Runs a context until a condition holds, or for 5 s. An exception that leaves
 * a handler reaches the test. */
template <typename Condition>
bool runUntil(boost::asio::io_context &Context, Condition Holds) {
  base::TimePoint End = base::Clock::now() + 5s;
  while (!Holds() && base::Clock::now() < End) {
    Context.run_for(5ms);
  }
  return Holds();
}

/** A caller that runs on the context of the server under test. */
class Sender {
public:
  Sender(boost::asio::io_context &Context, const config::Endpoint &Where,
         std::string Text)
      : Text(std::move(Text)), Open(Context) {
    this->Open.connect(
        {boost::asio::ip::make_address(Where.Address), Where.Port});
    boost::asio::async_write(this->Open, boost::asio::buffer(this->Text),
                             [](boost::system::error_code, size_t) {});
    boost::asio::async_read_until(
        this->Open, boost::asio::dynamic_buffer(this->Received), "\r\n\r\n",
        [this](boost::system::error_code, size_t) { this->Done = true; });
  }

  std::string Received;
  bool Done = false;

private:
  std::string Text;
  boost::asio::ip::tcp::socket Open;
};

} // namespace

// Guards against one reply of one server that ends the process, and with it the
// requests at all other servers.
TEST_CASE("a reply that the parser cannot hold costs its own connection",
          "[gateway]") {
  for (const std::string &Overlong : overlongReplies()) {
    INFO(Overlong.substr(0, 80));
    GatewayFixture Test(
        [&](const std::string &) { return ScriptedReply{Overlong}; },
        recordScript('b'));
    auto AtFaulty = Test.send(nonIdempotentRequest("id1"));
    auto AtBoth = Test.send(fanOutRequest("id2"));
    CHECK(GatewayFixture::receive(AtFaulty).starts_with("HTTP/1.1 502"));
    std::string Merged = GatewayFixture::receive(AtBoth);
    CHECK(Merged.starts_with("HTTP/1.1 200"));
    CHECK(Merged.ends_with(std::string(16, 'b')));
    CHECK(Test.metric("malformed_replies_total") >= 1);
  }
}

// Guards against a caller that ends the process where the configuration allows
// heads that the parser cannot hold.
TEST_CASE("a caller's field that the parser cannot hold is rejected",
          "[gateway]") {
  boost::asio::io_context Context;
  std::string Reason;
  net::ForwardServer Server(
      Context, {"127.0.0.1", 0},
      {[](net::ForwardToken, net::ForwardRequest &&) {},
       [](net::ForwardToken) {},
       [&](unsigned, const std::string &Text) { Reason = Text; }});
  forward::CallerLimits Limits;
  Limits.MaxHeaderBytes = 10 * LongFieldBytes;
  Limits.MaxBodyBytes = 10 * LongFieldBytes;
  Server.setLimits(Limits);
  Server.start();
  std::string Start = "POST / HTTP/1.1\r\nHost: a\r\n";
  for (const std::string &Text :
       {overlongRequest(), Start + "x: " + longText() + "\r\n\r\n",
        Start + ChunkedBody + "1;" + longText() + "\r\na\r\n0\r\n\r\n"}) {
    Reason.clear();
    Sender Caller(Context, Server.endpoint(), Text);
    CHECK(runUntil(Context, [&] { return Caller.Done; }));
    CHECK(Caller.Received.starts_with("HTTP/1.1 431"));
    CHECK_FALSE(Reason.empty());
  }
  CHECK(Server.counters().TooLarge == 3);
}

// Guards against one client of the control or readiness port that ends the
// process.
TEST_CASE("a client's trailer that the parser cannot hold is rejected",
          "[gateway]") {
  boost::asio::io_context Context;
  net::HttpServer Server(
      Context, {"127.0.0.1", 0}, {},
      [](const net::HttpCall &Call) { Call.Respond(net::HttpResponse{}); });
  Server.start();
  Sender Client(Context, Server.endpoint(), overlongRequest());
  CHECK(runUntil(Context, [&] { return Client.Done; }));
  CHECK(Client.Received.starts_with("HTTP/1.1 413"));
  CHECK(Server.counters().TooLarge == 1);
}

// Guards against one answer of the store, or of a peer whose view is copied,
// that ends the process.
TEST_CASE("a response that the parser cannot hold fails its exchange",
          "[gateway]") {
  for (const std::string &Overlong : overlongReplies()) {
    INFO(Overlong.substr(0, 80));
    ScriptedServer Store(
        [&](const std::string &) { return ScriptedReply{Overlong}; });
    bool Stalls = GENERATE(false, true);
    net::PoolLimits Limits;
    Limits.StallTimeout = Stalls ? 500ms : 0ms;
    boost::asio::io_context Context;
    auto Pool = std::make_shared<net::HttpPool>(
        Context, *config::parseEndpoint(Store.address()), Limits);
    std::optional<net::ExchangeResult> Result;
    Pool->send({}, base::Clock::now() + 2s, false,
               [&](net::ExchangeResult Ended) { Result = std::move(Ended); });
    REQUIRE(runUntil(Context, [&] { return Result.has_value(); }));
    const auto *Error = std::get_if<net::ExchangeError>(&*Result);
    REQUIRE(Error != nullptr);
    CHECK(Error->Fault == net::ExchangeFault::Garbage);
  }
}

// Guards against other places of a message at which the parser throws, and
// against a parser that makes no progress.
TEST_CASE("damaged messages of any length end with an error code", "[fuzz]") {
  std::string Valid = "HTTP/1.1 200 OK\r\nA: b\r\n" + ChunkedBody +
                      "4;e=f\r\nbody\r\n0\r\nX: y\r\n\r\n";
  CHECK(rc::check("damaged replies", [&] {
    std::string Text = *hostile(Valid);
    auto At = *rc::gen::inRange<size_t>(0, Text.size() + 1);
    auto Length = *rc::gen::inRange<size_t>(0, 140'000);
    Text.insert(At, Length, *rc::gen::element('y', ' ', '1', ':', ';', '\n'));
    http::response_parser<http::string_body> Parser;
    Parser.eager(true);
    boost::beast::flat_buffer Buffer;
    for (size_t Begin = 0; Begin < Text.size() && !Parser.is_done();
         Begin += 4'096) {
      std::string Piece = Text.substr(Begin, 4'096);
      boost::asio::buffer_copy(Buffer.prepare(Piece.size()),
                               boost::asio::buffer(Piece));
      Buffer.commit(Piece.size());
      if (net::parseBounded(Parser, Buffer)) {
        return;
      }
      RC_ASSERT(Buffer.size() < net::MaxUnparsedBytes || Parser.is_done());
    }
  }));
}

// Guards against a merged answer that ends the process, because the signatures
// of its parts are together longer than the HTTP library can hold.
TEST_CASE("a signature that is too long fails its part", "[gateway]") {
  constexpr size_t LongSignatureBytes = 7'000;
  bool All = GENERATE(false, true);
  ForwardHarness Harness = ForwardHarness::tenShards(0.5);
  Harness.sendRequest("wide.example", "/wide/x");
  std::vector<forward::RespondCall> Answers;
  for (int Round = 0; Round < 40 && Answers.empty(); ++Round) {
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      bool Long = All || Sent.ServerId.Value.starts_with("s1");
      Harness.reply(Sent, ForwardHarness::successReply(
                              std::string(Long ? LongSignatureBytes : 9, 's'),
                              std::string(16, 'r')));
    }
    Harness.advanceTime(20ms);
    Answers = Harness.takeActions<forward::RespondCall>();
  }
  REQUIRE(Answers.size() == 1);
  net::ForwardHeaders Names;
  Names.PartSignatures = "X-Parts";
  Names.MissingParts = "X-Missing";
  auto Response = daemon::toResponse(Answers[0].Result, Names);
  CHECK(Response.result_int() == (All ? 502 : 200));
  if (!All) {
    CHECK(Response["X-Missing"] == "1");
  }
  CHECK(Harness.Engine.counters().SignaturesTooLong >= (All ? 10 : 1));
}

// Guards against times of servers and callers that overflow, so that a
// connection stays idle without end or a request ends before it begins.
TEST_CASE("odd numbers of servers and callers are cut or ignored",
          "[gateway]") {
  CHECK(net::parseKeepAlive("timeout=5") == 5s);
  CHECK(net::parseKeepAlive("timeout=9223372036854775807") == 10min);
  CHECK(net::parseKeepAlive("timeout=9223372037") == 10min);
  CHECK_FALSE(net::parseKeepAlive("timeout=99999999999999999999"));
  net::ForwardHeaders Names;
  Names.Remaining = "X-Remaining";
  for (const char *Odd : {"nan", "-nan", "inf", "1e300", "-1", "", "x"}) {
    INFO(Odd);
    net::ForwardRequest Request;
    Request.set(Names.Remaining, Odd);
    CHECK_FALSE(daemon::remainingTime(Request, Names));
  }
  CHECK(base::fromMilliseconds(1e300) == base::MaxSpan);
  CHECK(base::fromMilliseconds(-1e300) == -base::MaxSpan);
  CHECK(base::fromMilliseconds(std::numeric_limits<double>::quiet_NaN()) == 0s);
  CHECK(base::fromMilliseconds(1.5) == 1500us);
}
