// Promises to buyers who search a catalogue of many shards, without network.
#include "forward/merge_func.h"
#include "forward_harness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::RespondCall;
using forward::SendAttempt;

namespace {

/** @return Record of 16 bytes that begins with a shard's name. */
std::string recordOf(const SendAttempt &Sent) {
  std::string Name = "s" + std::to_string(Sent.Ref.Part);
  Name.resize(forward::RecordBytes, '.');
  return Name;
}

/** @return Reply of a shard: its record, signed with the server's id. */
forward::Reply shardReply(const SendAttempt &Sent) {
  return ForwardHarness::successReply(Sent.ServerId.Value, recordOf(Sent));
}

/** @return How often a merged answer contains the record of a part. */
size_t countRecords(const forward::MergedAnswer &Answer,
                    const SendAttempt &Sent) {
  size_t Count = 0;
  std::string Wanted = recordOf(Sent);
  for (size_t At = 0; At < Answer.Records.size(); At += forward::RecordBytes) {
    Count += Answer.Records.compare(At, forward::RecordBytes, Wanted) == 0;
  }
  return Count;
}

/** @return The only response; the test fails if there is another number. */
RespondCall onlyResponse(ForwardHarness &Harness) {
  auto Responses = Harness.takeActions<RespondCall>();
  REQUIRE(Responses.size() == 1);
  return Responses[0];
}

} // namespace

// Guards against an answer that looks whole although shards are missing, and
// against one with fewer shards than the route allows.
TEST_CASE("buyers see whole manifests or how many shards are missing",
          "[forward]") {
  for (size_t Answered : {10, 9, 8}) {
    ForwardHarness Harness = ForwardHarness::tenShards(0.89);
    Harness.sendRequest("wide.example", "/wide/x");
    auto Sent = Harness.takeActions<SendAttempt>();
    REQUIRE(Sent.size() == 10);
    for (size_t I = 0; I < Answered; ++I) {
      Harness.reply(Sent[I], shardReply(Sent[I]));
    }
    Harness.advanceTime(1'500ms);
    RespondCall Response = onlyResponse(Harness);
    const forward::MergedAnswer *Merged = ForwardHarness::merged(Response);
    REQUIRE((Merged != nullptr) == (Answered >= 9));
    if (Merged != nullptr) {
      CHECK(Merged->Missing == 10 - Answered);
      CHECK(Merged->Signatures.size() == Answered);
    }
  }
}

// Guards against an urgent request that waits for a paused shard beyond the
// target latency although enough shards have answered.
TEST_CASE("quick stock checks do not wait for a paused shard", "[forward]") {
  ForwardHarness Harness = ForwardHarness::withUrgentRoute();
  Harness.sendRequest("wide.example", "/urgent/x", 600ms);
  auto Sent = Harness.takeActions<SendAttempt>();
  REQUIRE(Sent.size() == 10);
  for (size_t I = 0; I < 9; ++I) {
    Harness.reply(Sent[I], shardReply(Sent[I]));
  }
  Harness.advanceTime(60ms);
  RespondCall Response = onlyResponse(Harness);
  REQUIRE(ForwardHarness::merged(Response) != nullptr);
  CHECK(ForwardHarness::merged(Response)->Missing == 1);
}

// Guards against a pallet that is listed twice because a shard answered a hedge
// as well, and against one that is dropped because two pallets look the same.
TEST_CASE("no pallet is listed twice or dropped", "[forward]") {
  ForwardHarness Harness;
  Harness.publish({ForwardHarness::fanOutRoute(3, 1)});
  for (const char *Shard : {"s0", "s1", "s2"}) {
    Harness.addReplicas(Shard);
  }
  Harness.announce();
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<SendAttempt>();
  REQUIRE(Sent.size() == 3);
  forward::Reply Same = shardReply(Sent[0]);
  Harness.reply(Sent[0], Same);
  Same.Signature = Sent[1].ServerId.Value;
  Harness.reply(Sent[1], Same);
  Harness.advanceTime(70ms);
  auto Hedges = Harness.takeActions<SendAttempt>();
  REQUIRE(Hedges.size() == 1);
  Harness.reply(Hedges[0], shardReply(Hedges[0]));
  Harness.reply(Sent[2], shardReply(Sent[2]));
  RespondCall Response = onlyResponse(Harness);
  const forward::MergedAnswer *Merged = ForwardHarness::merged(Response);
  REQUIRE(Merged != nullptr);
  CHECK(countRecords(*Merged, Sent[0]) == 2);
  CHECK(countRecords(*Merged, Sent[2]) == 1);
  CHECK(Merged->Records.size() == 3 * forward::RecordBytes);
}

// Guards against a reservation that is sent to a second server because the
// first one is late, and against answering the caller twice.
TEST_CASE("a late answer reserves no pallet twice", "[forward]") {
  ForwardHarness Harness = ForwardHarness::singleService(false);
  Harness.sendRequest("one.example", "/one/x", 4s);
  auto Sent = Harness.takeActions<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Harness.advanceTime(4s);
  CHECK(Harness.takeActions<SendAttempt>().empty());
  RespondCall Response = onlyResponse(Harness);
  REQUIRE(ForwardHarness::refusal(Response) != nullptr);
  CHECK(ForwardHarness::refusal(Response)->MayHaveRun);
  Harness.reply(Sent[0], ForwardHarness::successReply("late"));
  Harness.advanceTime(1s);
  CHECK(Harness.takeActions<SendAttempt>().empty());
  CHECK(Harness.takeActions<RespondCall>().empty());
}

// Guards against a list of searched shards that differs from the records: a
// shard that failed, or replied after the answer, is in neither.
TEST_CASE("an invoice names exactly the shards that were searched",
          "[forward]") {
  ForwardHarness Harness = ForwardHarness::tenShards(0.5);
  Harness.sendRequest("wide.example", "/wide/x");
  auto Sent = Harness.takeActions<SendAttempt>();
  REQUIRE(Sent.size() == 10);
  forward::Reply Failure = shardReply(Sent[0]);
  Failure.Status = 500;
  Harness.reply(Sent[0], Failure);
  for (size_t I = 2; I < 10; ++I) {
    Harness.reply(Sent[I], shardReply(Sent[I]));
  }
  Harness.advanceTime(150ms);
  RespondCall Response = onlyResponse(Harness);
  Harness.reply(Sent[1], shardReply(Sent[1]));
  CHECK(Harness.takeActions<RespondCall>().empty());
  const forward::MergedAnswer *Merged = ForwardHarness::merged(Response);
  REQUIRE(Merged != nullptr);
  CHECK(Merged->Missing == 2);
  CHECK(Merged->Signatures.size() == 8);
  CHECK(countRecords(*Merged, Sent[0]) == 0);
  CHECK(countRecords(*Merged, Sent[1]) == 0);
  for (size_t I = 2; I < 10; ++I) {
    CHECK(std::count(Merged->Signatures.begin(), Merged->Signatures.end(),
                     Sent[I].ServerId.Value) == 1);
  }
}
