// Tests the bound of the request bodies at one server.
#include "forward_harness.h"
#include "limits/server_memory_func.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace hickorycrank;
using namespace std::chrono_literals;

// Guards against filling a server's memory with large bodies, and against
// holding back small ones or the only one.
TEST_CASE("the bodies at one server are bounded", "[limits]") {
  uint64_t Maximum = limits::maxBodyBytesAtServer(1'000'000);
  CHECK(limits::fitsAtServer(0, 9'000'000, Maximum));
  CHECK(limits::fitsAtServer(3'000'000, 1'000'000, Maximum));
  CHECK_FALSE(limits::fitsAtServer(3'000'001, 1'000'000, Maximum));
  CHECK(limits::fitsAtServer(9'000'000, 0, Maximum));
  CHECK(limits::maxBodyBytesAtServer(1'000) == limits::MinBodyBytesAtServer);
}

// Guards against a server that runs out of memory because an instance sends it
// many large bodies at once, and against refusing them for good.
TEST_CASE("large bodies wait until a server has room", "[forward]") {
  constexpr uint64_t BodyBytes = 200'000;
  tests::ForwardHarness Test;
  Test.publish({tests::ForwardHarness::singleServiceRoute(true)});
  Test.addReplicas("one", 2);
  Test.announce();
  auto Send = [&](uint64_t Bytes, uint64_t Content) {
    forward::CallRequest Request;
    Request.Host = "one.example";
    Request.Target = "/one/x";
    Request.Remaining = 4s;
    Request.Content = base::Fingerprint(Content);
    Request.BodyBytes = Bytes;
    Test.Engine.onRequest(Test.Now, Request, Test.Out);
    return Test.takeActions<forward::SendAttempt>();
  };
  std::map<std::string, uint64_t> Held;
  std::vector<forward::SendAttempt> Sent;
  for (uint64_t I = 0; I < 14; ++I) {
    for (forward::SendAttempt &Attempt : Send(BodyBytes, I)) {
      Held[Attempt.ServerId.Value] += BodyBytes;
      Sent.push_back(std::move(Attempt));
    }
  }
  uint64_t Maximum =
      limits::maxBodyBytesAtServer(forward::CallerLimits().MaxBodyBytes);
  CHECK(Sent.size() == 2 * (Maximum / BodyBytes));
  for (const auto &[Server, Bytes] : Held) {
    CHECK(Bytes <= Maximum);
  }
  CHECK(Send(0, 100).size() == 1);
  Test.reply(Sent[0], tests::ForwardHarness::successReply("sig"));
  Test.advanceTime(100ms);
  auto Next = Test.takeActions<forward::SendAttempt>();
  REQUIRE(!Next.empty());
  CHECK(Next[0].ServerId == Sent[0].ServerId);
}
