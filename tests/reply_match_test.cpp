// Tests that each reply is matched to the sending of a request it belongs to.
#include "gateway_harness.h"

#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

/** A reply that a server may send for a second time. */
struct SentReply {
  std::string Bytes;
  bool Repeated = false;
};

/** Requests that ran, and the replies of each connection. ScriptedServer has
 * one thread per connection. */
class RepeatingServer {
public:
  /**
   * Answers a request. The first reply on a connection comes again, late: just
   * before the next one.
   * @param Head Request line and header fields.
   * @param Rejections Number of requests that are rejected before one runs.
   */
  ScriptedReply answer(const std::string &Head, size_t Rejections) {
    std::lock_guard Lock(this->Mutex);
    std::string Attempt = fieldOf(Head, AttemptField);
    bool Rejected = this->Requests++ < Rejections;
    this->Runs[Attempt] += Rejected ? 0 : 1;
    std::string Own = Rejected ? rejection(Attempt) : reply(Attempt, "own");
    std::string Copy;
    auto [Sent, First] =
        this->Sent.try_emplace(std::this_thread::get_id(), SentReply{Own});
    if (!First && !Sent->second.Repeated) {
      Sent->second.Repeated = true;
      Copy = Sent->second.Bytes;
    }
    return {Copy + Own};
  }

  /** @return How often the request with an attempt id has run. */
  int runs(const std::string &Attempt) {
    std::lock_guard Lock(this->Mutex);
    return this->Runs[Attempt];
  }
  size_t requests() {
    std::lock_guard Lock(this->Mutex);
    return this->Requests;
  }

private:
  static std::string rejection(const std::string &Attempt) {
    return "HTTP/1.1 503 Service Unavailable\r\n" + AttemptField + ": " +
           Attempt +
           "\r\nX-Hickorycrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  std::mutex Mutex;
  size_t Requests = 0;
  std::map<std::string, int> Runs;
  std::map<std::thread::id, SentReply> Sent;
};

} // namespace

// Guards against a late copy of a rejection that counts as the reply to the
// same request's next sending, so that a request that is not idempotent runs
// twice or is refused although it runs (TWICE, REFUSED).
TEST_CASE("a late copy of a rejection does not answer the next sending",
          "[gateway]") {
  size_t Rejections = GENERATE(1, 2, 3);
  RepeatingServer Backend;
  GatewayFixture Test(
      [&](const std::string &Head) { return Backend.answer(Head, Rejections); },
      recordScript('b'));
  auto Open = Test.send(nonIdempotentRequest("id1"));
  std::string Answer = GatewayFixture::receive(Open);
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(Backend.runs("id1") == 1);
  CHECK(Backend.requests() == Rejections + 1);
}

// Guards against a late copy that comes after replies to other requests on the
// same connection: a connection must not carry one attempt id twice, however
// many requests lie between.
TEST_CASE("an attempt id is sent once on a connection", "[gateway]") {
  std::mutex Mutex;
  std::map<std::thread::id, std::vector<std::string>> Carried;
  GatewayFixture Test(
      [&](const std::string &Head) {
        std::lock_guard Lock(Mutex);
        std::string Attempt = fieldOf(Head, AttemptField);
        Carried[std::this_thread::get_id()].push_back(Attempt);
        return ScriptedReply{reply(Attempt, "own")};
      },
      recordScript('b'));
  for (const char *Attempt : {"id1", "id2", "id1", "id3", "id2", "id1"}) {
    auto Open = Test.send(nonIdempotentRequest(Attempt));
    CHECK(GatewayFixture::receive(Open).starts_with("HTTP/1.1 200"));
  }
  std::lock_guard Lock(Mutex);
  for (const auto &[Connection, Attempts] : Carried) {
    for (const char *Attempt : {"id1", "id2", "id3"}) {
      CHECK(std::count(Attempts.begin(), Attempts.end(), Attempt) <= 1);
    }
  }
  CHECK(Carried.size() == 3); // Connections are reused for other requests.
}

// Guards against a caller that gets the answer to another request: a reply
// without the attempt id comes again, late, on a connection in use.
TEST_CASE("a connection whose reply lacks the attempt id is not reused",
          "[gateway]") {
  std::mutex Mutex;
  std::map<std::thread::id, std::string> Sent;
  GatewayFixture Test(
      [&](const std::string &Head) {
        std::lock_guard Lock(Mutex);
        std::string Attempt = fieldOf(Head, AttemptField);
        std::string Own = "HTTP/1.1 200 OK\r\n"
                          "X-Hickorycrank-Response-Signature: sig." +
                          Attempt + "\r\nContent-Length: 3\r\n\r\n" + Attempt;
        std::string Copy = Sent[std::this_thread::get_id()];
        Sent[std::this_thread::get_id()] = Own;
        return ScriptedReply{Copy + Own};
      },
      recordScript('b'));
  for (const char *Attempt : {"id1", "id2", "id3"}) {
    auto Open = Test.send(nonIdempotentRequest(Attempt));
    std::string Answer = GatewayFixture::receive(Open);
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(Answer.ends_with(Attempt));
  }
}
