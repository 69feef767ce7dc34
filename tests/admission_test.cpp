// Tests of admission, order and shares under load, on virtual time.
#include "forward/replica_func.h"
#include "forward/room_func.h"
#include "forward/route_table_func.h"
#include "forward_harness.h"

#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using base::TimePoint;
using forward::RefusalReason;
using limits::ServicePace;
using limits::TargetQueue;

namespace {

const TimePoint Start{1h};

/** @return The urgent and the wide route of ForwardHarness with ranks. */
std::vector<forward::Route> rankedRoutes() {
  forward::Route Urgent = ForwardHarness::fanOutRoute(10, 0.75);
  Urgent.Name = "urgent";
  Urgent.Prefix = "/urgent/";
  Urgent.TargetLatency = 60ms;
  forward::Route Wide = ForwardHarness::fanOutRoute(10, 0.89);
  Wide.Priority = 1;
  return {Wide, Urgent};
}

/** Sends a request and has all servers reply to it with a queue. */
void learnQueue(ForwardHarness &Harness, const std::string &Target,
                forward::LoadReport Report) {
  Harness.sendRequest("wide.example", Target);
  Harness.advanceTime(10ms);
  for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
    forward::Reply Received = ForwardHarness::successReply("sig");
    Received.Load = Report;
    Harness.reply(Sent, Received);
  }
  Harness.takeActions<forward::RespondCall>();
}

/** Sends a request that all servers would answer.
 * @return The refusal, or nothing if it was sent. */
std::optional<forward::Refusal> refusalOf(ForwardHarness &Harness,
                                          const std::string &Target) {
  Harness.sendRequest("wide.example", Target);
  Harness.advanceTime(10ms);
  for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
    Harness.reply(Sent, ForwardHarness::successReply("sig"));
  }
  auto Responses = Harness.takeActions<forward::RespondCall>();
  if (Responses.size() != 1 || !ForwardHarness::refusal(Responses[0])) {
    return std::nullopt;
  }
  return *ForwardHarness::refusal(Responses[0]);
}

/** A server with one outstanding attempt, which ends after a time. */
void observe(forward::Server &Backend, TimePoint &Now, base::Duration Took) {
  forward::AttemptRef Ref{1, 0, 0};
  Backend.Outstanding.push_back({Ref, Now, 10ms});
  Now += Took;
  recordAttemptEnd(Now, Backend, Ref, forward::AttemptOutcome::Succeeded);
}

} // namespace

// Guards against urgent-looking requests that overtake others although all
// would be in time.
TEST_CASE("the earliest target starts first while all can be met",
          "[admission]") {
  TargetQueue Queue;
  Queue.push({Start + 300ms, 0, 1, 0});
  Queue.push({Start + 200ms, 1, 2, 0});
  auto Next = Queue.next(Start, {10ms, 50ms});
  REQUIRE(Next);
  CHECK(Next->Call == 2);
  CHECK(Queue.countAhead({Start + 300ms, 0, 1, 0}) == 1);
}

// Guards against an order by target when some must miss it, against attempts
// for requests that are late in any case, and against starvation.
TEST_CASE("the most urgent start first once some targets must be missed",
          "[admission]") {
  TargetQueue Queue;
  ServicePace Pace{40ms, 50ms};
  Queue.push({Start + 20ms, 0, 99, 0}); // Late in any case.
  for (uint64_t I = 0; I < 30; ++I) {
    Queue.push({Start + 60ms, 1, I, 0});
    Queue.push({Start + 100ms, 0, 100 + I, 0});
  }
  uint32_t LeastUrgent = 0;
  for (uint32_t I = 0; I < 2 * TargetQueue::LeastUrgentTurn; ++I) {
    auto Next = Queue.next(Start, Pace);
    REQUIRE(Next);
    CHECK(Next->Call != 99);
    LeastUrgent += Next->Priority == 1 ? 1 : 0;
    Queue.remove(*Next, true);
  }
  CHECK(LeastUrgent == 2);
}

// Guards against a server that is taken for fast during the whole time in
// which it is slow, and against a pause that is taken for a slow server.
TEST_CASE("the estimate follows a change of eight times within a few replies",
          "[admission]") {
  forward::Server Backend;
  Backend.Entry.Slots = 6;
  TimePoint Now = Start;
  Backend.ObservedAt = Now;
  observe(Backend, Now, 250ms); // A pause.
  CHECK(expectedTime(Now, Backend, 10ms) < 20ms);
  observe(Backend, Now, 10ms);
  for (int I = 0; I < 4; ++I) {
    observe(Backend, Now, 80ms);
  }
  CHECK(expectedTime(Now, Backend, 10ms) > 55ms);
  for (int I = 0; I < 4; ++I) {
    observe(Backend, Now, 10ms);
  }
  CHECK(expectedTime(Now, Backend, 10ms) < 25ms);
}

// Guards against attempts at a server that sheds before its queue can be empty.
TEST_CASE("a server that sheds is avoided until its queue has emptied",
          "[admission]") {
  forward::Server Backend;
  Backend.Entry.Slots = 2;
  TimePoint Now = Start;
  Backend.ObservedAt = Now;
  recordLoad(Now, Backend, {2, 18, 2});
  Backend.Outstanding.push_back({{1, 0, 0}, Now, 50ms});
  recordAttemptEnd(Now, Backend, {1, 0, 0}, forward::AttemptOutcome::Shed);
  CHECK(Backend.BusyUntil >= Now + 450ms);
  CHECK(Backend.BusyUntil <= Now + 1s);
}

// Guards against callers that return together, and before there is room.
TEST_CASE("callers that are refused return at different times after room",
          "[admission]") {
  base::Random Generator(3);
  std::set<std::chrono::milliseconds> Times;
  for (int I = 0; I < 100; ++I) {
    auto Wait = forward::chooseRetryAfter(200ms, 300ms, Generator);
    CHECK(Wait >= 200ms);
    CHECK(Wait <= 401ms);
    Times.insert(Wait);
  }
  CHECK(Times.size() > 40);
}

// Urgent and wide requests share servers whose queues are long. Guards
// against wide requests that make urgent ones late, against refusing them
// while nobody sends urgent ones, and against refusing all of them.
TEST_CASE("less urgent requests yield while urgent ones need the room",
          "[admission]") {
  ForwardHarness Harness;
  Harness.publish(rankedRoutes());
  for (size_t I = 0; I < 10; ++I) {
    Harness.addReplicas("s" + std::to_string(I));
  }
  Harness.announce();
  forward::LoadReport Full{3, 18, 3};
  for (int I = 0; I < 9; ++I) {
    learnQueue(Harness, "/wide/x", Full);
  }
  CHECK_FALSE(refusalOf(Harness, "/wide/x"));
  int Refused = 0;
  for (int I = 0; I < 100; ++I) {
    learnQueue(Harness, "/urgent/x", Full);
    learnQueue(Harness, "/urgent/x", Full);
    learnQueue(Harness, "/urgent/x", Full);
    auto Result = refusalOf(Harness, "/wide/x");
    if (!Result) {
      continue;
    }
    ++Refused;
    CHECK(Result->Reason == RefusalReason::LowerPriority);
    CHECK_FALSE(Result->MayHaveRun);
    CHECK(Result->RetryAfter);
  }
  CHECK(Refused >= 40);
  // The stated minimum is a fifth of all 110 wide requests.
  CHECK(Refused <= 88);
  CHECK(Harness.Engine.counters().RefusalsByPriority.at(1).at(
            static_cast<size_t>(RefusalReason::LowerPriority)) ==
        static_cast<uint64_t>(Refused));
}

// All connections to a service are in use by slow attempts. Guards against
// requests that wait for one until their time is over, on a route to one
// service, and against refusals of those that would be answered in time.
TEST_CASE("a request to one service is refused if it cannot meet its deadline",
          "[admission]") {
  ForwardHarness Harness = ForwardHarness::singleService(false);
  // Each server takes 400 ms, which the estimate follows.
  for (int I = 0; I < 30; ++I) {
    Harness.sendRequest("one.example", "/one/x", 4s);
    Harness.advanceTime(400ms);
    for (const auto &Sent : Harness.takeActions<forward::SendAttempt>()) {
      Harness.reply(Sent, ForwardHarness::successReply("sig"));
    }
  }
  Harness.takeActions<forward::RespondCall>();
  size_t Asked = 0;
  std::vector<forward::RespondCall> Responses;
  for (; Responses.empty() && Asked < 300; ++Asked) {
    Harness.sendRequest("one.example", "/one/x", 4s);
    Responses = Harness.takeActions<forward::RespondCall>();
  }
  REQUIRE(Responses.size() == 1);
  const forward::Refusal *Refused = ForwardHarness::refusal(Responses[0]);
  REQUIRE(Refused != nullptr);
  CHECK(Refused->Reason == RefusalReason::Overloaded);
  CHECK_FALSE(Refused->MayHaveRun);
  REQUIRE(Refused->RetryAfter);
  CHECK(*Refused->RetryAfter >= 150ms);
  CHECK(Asked > 45); // Nine slots; ten rounds of 400 ms fit.
  CHECK(Asked < 99);
}

// Guards against ranks that act on routes which share no server.
TEST_CASE("only routes that share servers take precedence", "[admission]") {
  forward::RouteTable Table;
  Table.Routes = rankedRoutes();
  forward::Route Alone = ForwardHarness::singleServiceRoute(false);
  Alone.Priority = 2;
  Table.Routes.push_back(Alone);
  auto MoreUrgent = forward::findMoreUrgent(Table);
  REQUIRE(MoreUrgent.size() == 1);
  REQUIRE(MoreUrgent.at("wide").size() == 1);
  CHECK(MoreUrgent.at("wide").front()->Name == "urgent");
}
