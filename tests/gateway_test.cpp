// Tests a Gateway over loopback sockets with the platform's dialect.
#include "gateway_harness.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <optional>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

// Guards against requests that are altered while forwarded, and answers that
// are not the merge of the parts that they list.
TEST_CASE("a fan-out is merged over real connections", "[gateway]") {
  std::mutex Mutex;
  std::string Seen;
  GatewayFixture Test(
      [&](const std::string &Head) {
        std::lock_guard Lock(Mutex);
        Seen = Head;
        return recordScript('a')(Head);
      },
      recordScript('b'));
  auto Open = Test.send(fanOutRequest("id1"));
  std::string Answer = GatewayFixture::receive(Open);
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(fieldOf(Answer, "X-Hickorycrank-Part-Signatures") ==
        "sig.id1, sig.id1");
  CHECK(fieldOf(Answer, "X-Hickorycrank-Missing-Parts") == "0");
  CHECK(Answer.ends_with(std::string(16, 'b') + std::string(16, 'a')));
  std::lock_guard Lock(Mutex);
  CHECK(Seen.starts_with("GET /w/x?q=1 HTTP/1.1\r\n"));
  CHECK(fieldOf(Seen, "Host") == "w.example");
  CHECK(fieldOf(Seen, "X-Hickorycrank-Expected-Instance") == "i-0");
  CHECK(std::stoi(fieldOf(Seen, "X-Hickorycrank-Timeout-Remaining")) <= 2000);
}

// Guards against a caller that passes for an instance and names servers that
// its request must not use.
TEST_CASE("a caller's field about tried servers is dropped", "[gateway]") {
  std::mutex Mutex;
  std::string Seen;
  GatewayFixture Test(
      [&](const std::string &Head) {
        std::lock_guard Lock(Mutex);
        Seen = Head;
        return recordScript('a')(Head);
      },
      recordScript('b'));
  std::string Request = nonIdempotentRequest("id1");
  Request.insert(Request.size() - 2, "Relay-Tried-Servers: s0=i-0,i-9\r\n");
  auto Open = Test.send(Request);
  CHECK(GatewayFixture::receive(Open).starts_with("HTTP/1.1 200"));
  std::lock_guard Lock(Mutex);
  CHECK(fieldOf(Seen, "Relay-Tried-Servers").empty());
  CHECK(fieldOf(Seen, AttemptField) == "id1");
}

// Guards against a duplicate reply on a reused connection being returned as the
// answer to the next request.
TEST_CASE("a reply to another attempt reaches no caller", "[gateway]") {
  std::atomic<int> Calls{0};
  GatewayFixture Test(
      [&](const std::string &Head) {
        std::string ExpectedReply = reply(fieldOf(Head, AttemptField), "own");
        // A late reply to an earlier attempt precedes the expected one.
        return ScriptedReply{++Calls == 2 ? reply("id1", "late") + ExpectedReply
                                          : ExpectedReply};
      },
      recordScript('b'));
  for (const char *Attempt : {"id1", "id2", "id3"}) {
    auto Open = Test.send(nonIdempotentRequest(Attempt));
    std::string Answer = GatewayFixture::receive(Open);
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(fieldOf(Answer, AttemptField) == Attempt);
    CHECK(Answer.ends_with("own"));
  }
}

namespace {

/** @return The start of a reply, then a pattern until 24 MiB are full. */
std::string endlessReply(const std::string &Start, const std::string &Pattern) {
  constexpr size_t Size = 24U << 20U;
  std::string Bytes = Start;
  while (Bytes.size() < Size) {
    Bytes += Pattern;
  }
  return Bytes;
}

} // namespace

// Guards against memory that grows and a caller that waits while a server sends
// bytes that are no reply, in a head or a body, until its connection is closed.
TEST_CASE("bytes without end are a failure at once", "[gateway]") {
  std::string Filler(4'096, 'a');
  std::string Unframed = "HTTP/1.1 200 OK\r\n\r\n";
  std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Bytes = GENERATE_COPY(
      as<std::string>{}, endlessReply("", Filler),
      endlessReply("HTTP/1.1 200 OK\r\nX-Field: ", Filler),
      endlessReply("HTTP/1.1 200 OK\r\n", "X-Field: a\r\n"),
      endlessReply(Unframed, Filler), endlessReply(Chunked + "1;", Filler),
      endlessReply(Chunked, "1\r\na\r\n"),
      endlessReply(Chunked + "0\r\n", "X-Field: a\r\n"),
      endlessReply("", "HTTP/1.1 100 Continue\r\n\r\n"),
      endlessReply("", "\r\n"));
  GatewayFixture Test([&](const std::string &) { return ScriptedReply{Bytes}; },
                      recordScript('b'));
  base::TimePoint Begin = base::Clock::now();
  auto Open = Test.send(nonIdempotentRequest("id1"));
  INFO(Bytes.substr(0, 70));
  CHECK(GatewayFixture::receive(Open).starts_with("HTTP/1.1 502"));
  // The caller has 2 s.
  CHECK(base::Clock::now() - Begin < 1s);
  CHECK(Test.waitUntil([&](daemon::Gateway &) {
    return Test.firstServer().closedByClient() == 1;
  }));
}

// Guards against memory that grows while a caller sends a chunk's extension or
// a trailer without end.
TEST_CASE("a caller's chunk extension and trailer are limited", "[gateway]") {
  const char *Start = GENERATE("1;", "0\r\nX-Field: ");
  GatewayFixture Test(recordScript('a'), recordScript('b'));
  // The limit of headers is 4096 bytes.
  auto Open = Test.send("POST /o/x HTTP/1.1\r\nHost: o.example\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" +
                        std::string(Start) + std::string(100'000, 'a'));
  base::TimePoint Begin = base::Clock::now();
  CHECK(GatewayFixture::receive(Open).starts_with("HTTP/1.1 431"));
  CHECK(base::Clock::now() - Begin < 1s);
}

// Guards against returning a truncated reply as complete, and against repeating
// a non-idempotent request whose outcome is unknown.
TEST_CASE("a reply that breaks off is a failure and nothing is repeated",
          "[gateway]") {
  std::atomic<int> Calls{0};
  GatewayFixture Test(
      [&](const std::string &Head) {
        ++Calls;
        std::string Whole = reply(fieldOf(Head, AttemptField), "whole body");
        return ScriptedReply{Whole.substr(0, Whole.size() - 3), true};
      },
      recordScript('b'));
  auto Open = Test.send(nonIdempotentRequest("id1"));
  CHECK(GatewayFixture::receive(Open).starts_with("HTTP/1.1 502"));
  CHECK(Calls == 1);
}

// Guards against backend work for a caller that has disconnected.
TEST_CASE("a caller that leaves ends the work of its servers", "[gateway]") {
  std::atomic<int> Calls{0};
  GatewayFixture Test(
      [&](const std::string &Head) {
        ++Calls;
        std::this_thread::sleep_for(1500ms);
        return recordScript('a')(Head);
      },
      recordScript('b'));
  {
    auto Open = Test.send(nonIdempotentRequest("id1"));
    for (int I = 0; I < 100 && Calls == 0; ++I) {
      std::this_thread::sleep_for(10ms);
    }
    REQUIRE(Calls == 1);
  }
  // The server is still in its script and detects the close only at its next
  // read, so wait for the gateway's metric instead.
  std::string Metrics;
  for (int I = 0; I < 100; ++I) {
    Metrics = Test.ask(
        [](daemon::Gateway &Target) { return Target.renderMetrics(); });
    if (Metrics.find("hickorycrank_abandoned_closed_total 1") !=
        std::string::npos) {
      break;
    }
    std::this_thread::sleep_for(5ms);
  }
  CHECK(Metrics.find("hickorycrank_abandoned_closed_total 1") !=
        std::string::npos);
  CHECK(Metrics.find("hickorycrank_callers_gone_total 1") != std::string::npos);
}

// Guards against an empty or short answer that looks whole because the server
// closed the connection within the head of its reply.
TEST_CASE("a reply whose head is cut off is no answer", "[gateway]") {
  std::atomic<size_t> Bytes = 0;
  auto CutScript = [&Bytes](const std::string &Head) {
    ScriptedReply Whole = recordScript('a')(Head);
    size_t HeadBytes = Whole.Bytes.find("\r\n\r\n") + 4;
    Whole.Bytes.resize(std::min<size_t>(Bytes, HeadBytes - 1));
    Whole.Close = true;
    return Whole;
  };
  GatewayFixture Test(CutScript, CutScript);
  for (size_t Cut : {0, 7, 12, 17, 18, 30, 60, 80, 100, 120, 1'000}) {
    Bytes = Cut;
    INFO(Cut);
    auto Once = Test.send(nonIdempotentRequest("once" + std::to_string(Cut)));
    CHECK(GatewayFixture::receive(Once).starts_with("HTTP/1.1 502"));
    auto Wide = Test.send(fanOutRequest("wide" + std::to_string(Cut)));
    CHECK(GatewayFixture::receive(Wide).starts_with("HTTP/1.1 50"));
  }
}

// Guards against taking a connection that closes without a byte for an answer
// with status 200: crashes would not be counted, and an instance that is cut
// off from its servers would believe that they answer.
TEST_CASE("a connection that closes without a reply is broken", "[gateway]") {
  auto Close = [](const std::string &) { return ScriptedReply{"", true}; };
  GatewayFixture Test(Close, Close);
  auto Open = Test.send(nonIdempotentRequest("id1"));
  CHECK(GatewayFixture::receive(Open).starts_with("HTTP/1.1 502"));
  std::string Metrics =
      Test.ask([](daemon::Gateway &Target) { return Target.renderMetrics(); });
  CHECK(Metrics.find("hickorycrank_attempts_broken_total 1\n") !=
        std::string::npos);
  CHECK(Metrics.find("hickorycrank_attempts_server_error_total 0\n") !=
        std::string::npos);
}

// Guards against a graceful stop that aborts requests, an instance that stays
// in rotation while it stops, and peers that still count a stopped instance
// when they divide budgets and connections.
TEST_CASE("a stop lets requests in progress finish", "[gateway]") {
  GatewayFixture Test(
      [](const std::string &Head) {
        std::this_thread::sleep_for(400ms);
        return recordScript('a')(Head);
      },
      recordScript('b'));
  auto Open = Test.send(nonIdempotentRequest("id1"));
  std::this_thread::sleep_for(100ms);
  std::promise<void> Stopped;
  Test.ask([&](daemon::Gateway &Target) {
    Target.stop([&] { Stopped.set_value(); });
    return 0;
  });
  CHECK_FALSE(
      Test.ask([](daemon::Gateway &Target) { return Target.isReady(); }));
  // The load balancer still routes callers here for a while.
  auto Late = Test.send(nonIdempotentRequest("id2"));
  std::string Answer = GatewayFixture::receive(Open);
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(fieldOf(Answer, "Connection") == "close");
  CHECK(GatewayFixture::receive(Late).starts_with("HTTP/1.1 200"));
  CHECK(Stopped.get_future().wait_for(6s) == std::future_status::ready);
  CHECK(Test.peerReceivedLeave());
}

// Guards against requests that come late in the grace time, are passed on and
// then cut off without an answer.
TEST_CASE("a stop answers late requests", "[gateway]") {
  std::atomic<int> Received = 0;
  auto SlowScript = [&Received](const std::string &Head) {
    ++Received;
    std::this_thread::sleep_for(3s);
    return recordScript('a')(Head);
  };
  GatewayFixture Test(SlowScript, recordScript('b'), 4s);
  std::string Request =
      "GET /o/x HTTP/1.1\r\nHost: o.example\r\n" + AttemptField + ": id1\r\n";
  auto Late = Test.send(Request); // Its head is not whole yet.
  std::promise<void> Stopped;
  Test.ask([&](daemon::Gateway &Target) {
    Target.stop([&] { Stopped.set_value(); });
    return 0;
  });
  std::this_thread::sleep_for(1'500ms);
  auto Slow = Test.send(nonIdempotentRequest("id2"));
  std::this_thread::sleep_for(1'300ms);
  REQUIRE(Received == 1);
  boost::asio::write(Late, boost::asio::buffer(std::string("\r\n")));
  std::string Refused = GatewayFixture::receive(Late);
  CHECK(Refused.starts_with("HTTP/1.1 503"));
  CHECK(!fieldOf(Refused, "Retry-After").empty());
  CHECK(Received == 1);
  CHECK(GatewayFixture::receive(Slow).starts_with("HTTP/1.1 504"));
  CHECK(Stopped.get_future().wait_for(2s) == std::future_status::ready);
}

// Guards against request limits that are not enforced, and against wrong status
// codes for unknown routes and malformed requests.
TEST_CASE(
    "requests that exceed a limit or match no route get the right status codes",
    "[gateway]") {
  GatewayFixture Test(recordScript('a'), recordScript('b'));
  auto Unknown = Test.send("GET /z HTTP/1.1\r\nHost: w.example\r\n\r\n");
  CHECK(GatewayFixture::receive(Unknown).starts_with("HTTP/1.1 404"));
  auto Body = Test.send("POST /o/x HTTP/1.1\r\nHost: o.example\r\n"
                        "Content-Length: 5000\r\n\r\n");
  CHECK(GatewayFixture::receive(Body).starts_with("HTTP/1.1 413"));
  auto Head = Test.send("GET /o/x HTTP/1.1\r\nHost: o.example\r\nX: " +
                        std::string(6'000, 'x') + "\r\n\r\n");
  CHECK(GatewayFixture::receive(Head).starts_with("HTTP/1.1 431"));
  auto Broken = Test.send("no HTTP\r\n\r\n");
  CHECK(GatewayFixture::receive(Broken).starts_with("HTTP/1.1 400"));
}
