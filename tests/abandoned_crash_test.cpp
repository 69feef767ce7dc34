// Tests that a request that crashes servers is recognised however its attempts
// end, and that requests beside it are not refused.
#include "forward_harness.h"
#include "net/fleet_codec_func.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AbandonAttempt;
using forward::AttemptFailure;
using forward::CrashRecord;
using forward::RespondCall;
using forward::SendAttempt;
using forward::ServerKey;

namespace {

constexpr uint64_t CrashingContent = 77;
constexpr uint64_t SoundContent = 78;
const base::Fingerprint Crashing(CrashingContent);
const base::Fingerprint Sound(SoundContent);

/** How the interest in an attempt ends before its server crashes. */
enum class Ending {
  CallerLeft,
  HedgesAbandoned,
  PartialAnswer,
  DeadlinePassed
};

/** Three shards with enough servers for several crashes. */
ForwardHarness makeHarness() {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::fanOutRoute(3, 0.6)});
  for (const char *Shard : {"s0", "s1", "s2"}) {
    Harness.addReplicas(Shard, 9);
  }
  Harness.announce();
  return Harness;
}

forward::CallId ask(ForwardHarness &Harness, uint64_t Content) {
  return Harness.sendRequest("wide.example", "/wide/x", 1'000ms, Content);
}

/** Lets a server crash after the attempt was abandoned: its connection breaks
 * and the connection that is opened next is refused. */
void crash(ForwardHarness &Harness, const SendAttempt &Sent,
           AttemptFailure Kind = AttemptFailure::Broken) {
  Harness.Engine.onAbandonedAttemptEnded(Harness.Now, Sent.Ref, Sent.Server,
                                         Kind, Harness.Out);
  for (const auto &Probe : Harness.takeActions<forward::ProbeConnection>()) {
    Harness.Engine.onProbeResult(Harness.Now, Probe.Server, false);
  }
}

bool isAt(const SendAttempt &Sent, const std::string &Shard) {
  return Sent.ServerId.Value.starts_with(Shard);
}

/** Sends one request and ends the interest in it in some way.
 * @return The attempts that nobody waits for any more. */
std::vector<SendAttempt> sendAndAbandon(ForwardHarness &Harness, Ending How) {
  forward::CallId Id = ask(Harness, CrashingContent);
  std::vector<SendAttempt> Sent = Harness.takeActions<SendAttempt>();
  REQUIRE(Sent.size() == 3);
  switch (How) {
  case Ending::CallerLeft:
    Harness.Engine.onCallerGone(Harness.Now, Id, Harness.Out);
    break;
  case Ending::HedgesAbandoned:
    Harness.advanceTime(100ms);
    for (const auto &Hedge : Harness.takeActions<SendAttempt>()) {
      Sent.push_back(Hedge);
    }
    REQUIRE(Sent.size() > 3);
    Harness.Engine.onCallerGone(Harness.Now, Id, Harness.Out);
    break;
  case Ending::PartialAnswer:
    for (const SendAttempt &Entry : Sent) {
      if (!isAt(Entry, "s0")) {
        Harness.reply(Entry, ForwardHarness::successReply("sig"));
      }
    }
    std::erase_if(Sent, [](const auto &Entry) { return !isAt(Entry, "s0"); });
    Harness.advanceTime(140ms);
    REQUIRE(Harness.takeActions<RespondCall>().size() == 1);
    break;
  case Ending::DeadlinePassed:
    Harness.advanceTime(1'000ms);
    REQUIRE(Harness.takeActions<RespondCall>().size() == 1);
    break;
  }
  Harness.takeActions<SendAttempt>();
  Harness.takeActions<AbandonAttempt>();
  return Sent;
}

} // namespace

// Guards against a request that goes on crashing servers because nobody waits
// for its replies when they crash.
TEST_CASE("a crash during an abandoned attempt counts", "[forward]") {
  Ending How = GENERATE(Ending::CallerLeft, Ending::HedgesAbandoned,
                        Ending::PartialAnswer, Ending::DeadlinePassed);
  // The server breaks the connection, or this instance has closed it before.
  AttemptFailure Kind =
      GENERATE(AttemptFailure::Broken, AttemptFailure::GivenUp);
  CAPTURE(static_cast<int>(How), static_cast<int>(Kind));
  ForwardHarness Harness = makeHarness();
  for (int Call = 0; Call < 2; ++Call) {
    CHECK_FALSE(Harness.Engine.crashes().isQuarantined(Harness.Now, Crashing));
    for (const SendAttempt &Sent : sendAndAbandon(Harness, How)) {
      crash(Harness, Sent, Kind);
      // The next request to the server finds it gone.
      Harness.Engine.onProbeResult(Harness.Now, Sent.Server, false);
    }
    Harness.advanceTime(50ms);
  }
  CHECK(Harness.Engine.crashes().isQuarantined(Harness.Now, Crashing));
  ask(Harness, CrashingContent);
  CHECK(Harness.takeActions<SendAttempt>().empty());
  auto Answers = Harness.takeActions<RespondCall>();
  REQUIRE(Answers.size() == 1);
  CHECK(ForwardHarness::refusal(Answers[0])->Reason ==
        forward::RefusalReason::Quarantined);
}

// Guards against waiting for the next request to a server until a crash is
// confirmed, which may come too late.
TEST_CASE("an abandoned attempt that breaks is followed by a probe",
          "[forward]") {
  ForwardHarness Harness = makeHarness();
  auto Sent = sendAndAbandon(Harness, Ending::CallerLeft);
  Harness.takeActions<forward::ProbeConnection>();
  Harness.Engine.onAbandonedAttemptEnded(Harness.Now, Sent[0].Ref,
                                         Sent[0].Server, AttemptFailure::Broken,
                                         Harness.Out);
  CHECK(Harness.takeActions<forward::ProbeConnection>().size() == 1);
  Harness.Engine.onAbandonedAttemptEnded(Harness.Now, Sent[1].Ref,
                                         Sent[1].Server,
                                         AttemptFailure::NotSent, Harness.Out);
  CHECK(Harness.takeActions<forward::ProbeConnection>().empty());
}

// Guards against operators who cannot see why requests are refused.
TEST_CASE("a quarantine is logged once", "[forward]") {
  ForwardHarness Harness = makeHarness();
  for (int Call = 0; Call < 3; ++Call) {
    ask(Harness, CrashingContent);
    for (const auto &Sent : Harness.takeActions<SendAttempt>()) {
      Harness.failAttempt(Sent, AttemptFailure::Broken);
      Harness.Engine.onProbeResult(Harness.Now, Sent.Server, false);
    }
    Harness.advanceTime(10ms);
    Harness.Engine.probeServers(Harness.Now, Harness.Out);
  }
  auto Logged = Harness.takeActions<forward::LogQuarantine>();
  REQUIRE(Logged.size() == 1);
  CHECK(Logged[0].Content == Crashing);
}

// Guards against losing the evidence when the connections of an incarnation
// are retired before they break, or its entry vanishes and returns.
TEST_CASE("a restart during an attempt counts as a crash", "[forward]") {
  bool Vanishes = GENERATE(false, true);
  ForwardHarness Harness = makeHarness();
  for (int Call = 0; Call < 2; ++Call) {
    auto Sent = sendAndAbandon(Harness, Ending::CallerLeft);
    std::vector<forward::ServerEntry> Restarted = Harness.Listed;
    for (forward::ServerEntry &Entry : Restarted) {
      for (const SendAttempt &Hit : Sent) {
        Entry.StartedAt += Entry.Id == Hit.ServerId ? 5'000 : 0;
      }
    }
    if (Vanishes) {
      std::erase_if(Harness.Listed, [&](const auto &Entry) {
        return std::any_of(Sent.begin(), Sent.end(), [&](const auto &Hit) {
          return Hit.ServerId == Entry.Id;
        });
      });
      Harness.announce();
      Harness.advanceTime(2s);
    }
    Harness.Listed = Restarted;
    Harness.announce();
    for (const SendAttempt &Hit : Sent) {
      crash(Harness, Hit);
    }
    Harness.advanceTime(100ms);
  }
  CHECK(Harness.Engine.crashes().isQuarantined(Harness.Now, Crashing));
}

// Guards against refusing requests that were in progress while their servers
// were replaced as planned.
TEST_CASE("a planned restart is no crash", "[forward]") {
  ForwardHarness Harness = makeHarness();
  for (int Call = 0; Call < 3; ++Call) {
    auto Sent = sendAndAbandon(Harness, Ending::CallerLeft);
    for (forward::ServerEntry &Entry : Harness.Listed) {
      Entry.Leaving = true;
    }
    Harness.announce();
    for (forward::ServerEntry &Entry : Harness.Listed) {
      Entry.Leaving = false;
      Entry.StartedAt += 1'000;
    }
    Harness.announce();
    Harness.advanceTime(100ms);
  }
  CHECK_FALSE(Harness.Engine.crashes().isQuarantined(Harness.Now, Crashing));
}

// Guards against refusing a sound request because it was in progress at servers
// that another request crashed.
TEST_CASE("a request that other servers execute is not refused", "[forward]") {
  CrashRecord Record;
  base::TimePoint Now{1h};
  bool Before = GENERATE(false, true);
  if (Before) {
    Record.recordReply(Now, Sound, "s0");
  }
  for (uint64_t Call = 1; Call <= 3; ++Call) {
    Record.recordBroken(Now + 1s, ServerKey(Call), Call, Sound, "s0");
    Record.recordBroken(Now + 1s, ServerKey(Call), 10 + Call, Crashing, "s0");
    Record.recordUnreachable(Now + 1s, ServerKey(Call));
  }
  CHECK(Record.isQuarantined(Now + 1s, Crashing));
  CHECK(Record.isQuarantined(Now + 1s, Sound) == !Before);
  Record.recordReply(Now + 2s, Sound, "s0");
  CHECK_FALSE(Record.isQuarantined(Now + 2s, Sound));
  CHECK(Record.isQuarantined(Now + 2s, Crashing));
  REQUIRE(Record.reports(Now + 5s).size() == 1);
  CHECK(Record.reports(Now + 5s).front().Content == Crashing);
}

// Guards against refusing a request because the server of a hedge that lost
// crashed, while the first attempt was answered.
TEST_CASE("a crash during a hedge that lost is cleared by the answer",
          "[forward]") {
  ForwardHarness Harness = makeHarness();
  for (int Call = 0; Call < 3; ++Call) {
    ask(Harness, SoundContent);
    auto First = Harness.takeActions<SendAttempt>();
    Harness.advanceTime(100ms);
    auto Hedges = Harness.takeActions<SendAttempt>();
    REQUIRE_FALSE(Hedges.empty());
    for (const SendAttempt &Sent : First) {
      Harness.reply(Sent, ForwardHarness::successReply("sig"));
    }
    Harness.takeActions<AbandonAttempt>();
    for (const SendAttempt &Lost : Hedges) {
      crash(Harness, Lost);
    }
    Harness.advanceTime(10ms);
  }
  CHECK_FALSE(Harness.Engine.crashes().isQuarantined(Harness.Now, Sound));
  CHECK(Harness.Engine.crashes().counters().Cleared >= 3);
}

// Guards against clearing a request that crashes the servers of one shard by
// the replies of the other shards, or by replies of long ago.
TEST_CASE("replies clear a request only at their own service and for some time",
          "[forward]") {
  CrashRecord Record;
  base::TimePoint Now{1h};
  Record.recordReply(Now, Crashing, "s0");
  auto CrashTwice = [&](base::TimePoint At) {
    for (uint64_t Call = 1; Call <= 2; ++Call) {
      Record.recordBroken(At, ServerKey(Call), Call, Crashing, "s1");
      Record.recordUnreachable(At, ServerKey(Call));
    }
  };
  CrashTwice(Now);
  Record.recordReply(Now, Crashing, "s0");
  CHECK(Record.isQuarantined(Now, Crashing));
  Record.recordReply(Now, Crashing, "s1");
  CHECK_FALSE(Record.isQuarantined(Now, Crashing));
  base::TimePoint Later = Now + 2 * forward::ReplyMemory::MinAge + 1s;
  CrashTwice(Later);
  CHECK(Record.isQuarantined(Later, Crashing));
}

// Guards against a request that crashes so many servers that the instance takes
// it for a loss of its links and forgets it each time.
TEST_CASE("a restart confirms crashes that a loss of links has put in doubt",
          "[forward]") {
  CrashRecord Record;
  base::TimePoint Now{1h};
  bool LostBefore = GENERATE(false, true);
  if (LostBefore) {
    Record.setLinksLost(Now, true);
  }
  for (uint64_t Call = 1; Call <= 2; ++Call) {
    Record.recordBroken(Now, ServerKey(Call), Call, Crashing, "s0");
    Record.recordUnreachable(Now + 50ms, ServerKey(Call));
  }
  Record.setLinksLost(Now + 1s, true);
  CHECK_FALSE(Record.isQuarantined(Now + 1s, Crashing));
  CHECK(Record.reports(Now + 3s).empty());
  Record.setLinksLost(Now + 3s, false);
  Record.recordRestart(Now + 4s, ServerKey(1));
  CHECK_FALSE(Record.isQuarantined(Now + 4s, Crashing));
  Record.recordRestart(Now + 4s, ServerKey(2));
  CHECK(Record.isQuarantined(Now + 4s, Crashing));
  CHECK(Record.reports(Now + 4s).size() == 1);
  // Broken connections alone say nothing while the links are lost.
  Record.setLinksLost(Now + 4s, true);
  Record.recordBroken(Now + 4s, ServerKey(5), 5, Sound, "s0");
  Record.recordBroken(Now + 4s, ServerKey(6), 6, Sound, "s0");
  Record.recordRestart(Now + 5s, ServerKey(5));
  Record.recordRestart(Now + 5s, ServerKey(6));
  CHECK_FALSE(Record.isQuarantined(Now + 5s, Sound));
  Record.setLinksLost(Now + 5s, false);
  // Without a restart nothing has crashed.
  Record.recordBroken(Now + 5s, ServerKey(3), 3, Sound, "s0");
  Record.recordBroken(Now + 5s, ServerKey(4), 4, Sound, "s0");
  Record.recordUnreachable(Now + 5s, ServerKey(3));
  Record.setLinksLost(Now + 6s, true);
  Record.setLinksLost(Now + 7s, false);
  Record.expire(Now + 60s);
  Record.recordRestart(Now + 60s, ServerKey(3));
  Record.recordRestart(Now + 60s, ServerKey(4));
  CHECK_FALSE(Record.isQuarantined(Now + 60s, Sound));
}

// Guards against losing what an instance has seen in its last second, so that
// instances that restart in turn never add it up.
TEST_CASE("the last heartbeat of an instance reports all crashes",
          "[forward]") {
  CrashRecord Record;
  base::TimePoint Now{1h};
  Record.recordBroken(Now, ServerKey(1), 1, Crashing, "s0");
  Record.recordUnreachable(Now, ServerKey(1));
  CHECK(Record.reports(Now).empty());
  REQUIRE(Record.reports(Now, /*Last=*/true).size() == 1);
  CHECK(Record.reports(Now, /*Last=*/true).front().Calls ==
        std::vector<uint64_t>{1});
}

// Guards against refusing a popular request everywhere because of what one
// instance reports, and against forgetting reports about the other requests.
TEST_CASE("a report counts unless the same service executes the request",
          "[forward]") {
  std::array<CrashRecord, 2> Records;
  base::TimePoint Now{1h};
  Records[1].recordReply(Now, Sound, "s0");
  Records[1].recordReply(Now, Crashing, "s1");
  for (base::Fingerprint Content : {Sound, Crashing}) {
    for (uint64_t Call = 1; Call <= 2; ++Call) {
      Records[0].recordBroken(Now, ServerKey(Call), Call, Content, "s0");
      Records[0].recordUnreachable(Now, ServerKey(Call));
    }
  }
  fleet::Heartbeat Message;
  Message.Address = "10.0.0.1:7";
  Message.ControlAddress = "10.0.0.1:8";
  Message.Crashes = Records[0].reports(Now + 2s);
  REQUIRE(Message.Crashes->size() == 2);
  auto Received = net::decodeHeartbeat(net::encodeHeartbeat(Message));
  REQUIRE(Received);
  for (const auto &Report : *Received.value().Crashes) {
    Records[1].merge(Now + 2s, Report);
  }
  CHECK_FALSE(Records[1].isQuarantined(Now + 2s, Sound));
  CHECK(Records[1].isQuarantined(Now + 2s, Crashing));
  // A reply that comes after the report clears it too.
  Records[1].recordReply(Now + 3s, Crashing, "s0");
  CHECK_FALSE(Records[1].isQuarantined(Now + 3s, Crashing));
}
