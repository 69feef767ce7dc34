// Properties of membership updates and of the frame codec for peers.
#include "base/digest_func.h"
#include "net/peer_codec_func.h"
#include "peers/membership_base.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck.h>

using namespace hickorycrank;
using peers::Member;
using peers::MemberState;

namespace {

constexpr const char *Key = "a-key-for-tests-only";

/** Checks a property on 300 generated inputs with a fixed seed. */
template <typename Property> bool propertyHolds(uint64_t Seed, Property Check) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 300;
  auto Result =
      rc::detail::checkTestable(Check, rc::detail::TestMetadata{}, Params);
  bool Passed = Result.template is<rc::detail::SuccessResult>();
  if (!Passed) {
    rc::detail::printResultMessage(Result, std::cerr);
  }
  return Passed;
}

Member generateMember() {
  Member Generated;
  Generated.Id = base::InstanceId("entry-1");
  Generated.Address = "127.0.0.1:1";
  Generated.Domain = base::FailureDomainId("d0");
  Generated.Process = base::Incarnation(*rc::gen::inRange<uint64_t>(1, 4));
  Generated.Refutation = *rc::gen::inRange<uint64_t>(0, 4);
  Generated.State = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  return Generated;
}

config::ConfigurationVersion generateVersion() {
  return {base::Revision(*rc::gen::inRange<uint64_t>(1, 1'000'000)),
          base::sha256Hex(*rc::gen::arbitrary<std::string>())};
}

peers::Body generateBody() {
  auto Sequence = *rc::gen::arbitrary<uint64_t>();
  auto Bytes = *rc::gen::arbitrary<std::string>();
  switch (*rc::gen::inRange(0, 9)) {
  case 0:
    return peers::Ping{Sequence};
  case 1:
    return peers::Ack{Sequence};
  case 2:
    return peers::PingRequest{Sequence, base::InstanceId("entry-2"), "a:1"};
  case 3:
    return peers::ConfigPull{generateVersion(), {base::sha256Hex(Bytes)}};
  case 4:
    return peers::ConfigPush{
        generateVersion(), Bytes, {{base::sha256Hex(Bytes), Bytes}}};
  case 5:
    return peers::ForwardOnce{Sequence, base::Incarnation(Sequence), Bytes};
  case 6:
    return peers::ForwardOnceReply{Sequence, Bytes.size() % 2 == 0, Bytes};
  case 7:
    return peers::Leave{};
  default:
    return peers::Facts{};
  }
}

peers::Envelope generateEnvelope() {
  peers::Envelope Message;
  Message.Sender = generateMember();
  Message.Recipient = base::InstanceId("entry-9");
  Message.SenderReady = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    Message.ConfigVersion = generateVersion();
  }
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
    Message.Members.push_back(generateMember());
    query::PublishFact Fact;
    Fact.Kind = static_cast<query::FactKind>(*rc::gen::inRange(0, 3));
    if (Fact.Kind == query::FactKind::Quarantined) {
      Fact.Request = base::Fingerprint(*rc::gen::arbitrary<uint64_t>());
    } else {
      Fact.Server = base::ServerId("stock-0-1");
      Fact.Process = base::Incarnation(*rc::gen::arbitrary<uint64_t>());
    }
    Fact.Lifetime = std::chrono::milliseconds(*rc::gen::inRange(1, 600'000));
    Message.PublishedFacts.push_back(Fact);
  }
  Message.Content = generateBody();
  return Message;
}

} // namespace

// Guards against member states that depend on the order in which updates
// arrive.
TEST_CASE("updates about a member converge in any order", "[peers]") {
  CHECK(propertyHolds(11, [] {
    std::vector<Member> Updates;
    for (int I = *rc::gen::inRange(1, 8); I > 0; --I) {
      Updates.push_back(generateMember());
    }
    auto Final = [](const std::vector<Member> &Order) {
      Member View = Order.front();
      for (const Member &Update : Order) {
        View = peers::supersedes(View, Update) ? Update : View;
      }
      return View;
    };
    std::vector<Member> Shuffled = Updates;
    for (size_t I = Shuffled.size(); I > 1; --I) {
      std::swap(Shuffled[I - 1], Shuffled[*rc::gen::inRange<size_t>(0, I)]);
    }
    Member InOrder = Final(Updates);
    Member InShuffledOrder = Final(Shuffled);
    // The refutation number of a leaving process is irrelevant.
    bool Leaves = InOrder.State == MemberState::Leaving;
    RC_ASSERT(InOrder.Process == InShuffledOrder.Process &&
              InOrder.State == InShuffledOrder.State);
    RC_ASSERT(Leaves || InOrder.Refutation == InShuffledOrder.Refutation);
  }));
}

// Guards against fields that are lost in encoding or decoding.
TEST_CASE("a frame decodes to the encoded message", "[peers]") {
  CHECK(propertyHolds(12, [] {
    peers::Envelope Message = generateEnvelope();
    auto Read = net::decodePeerFrame(net::encodePeerFrame(Message, Key), Key);
    RC_ASSERT(Read.has_value());
    const peers::Envelope &Decoded = Read.value();
    RC_ASSERT(Decoded.Sender == Message.Sender);
    RC_ASSERT(Decoded.Recipient == Message.Recipient);
    RC_ASSERT(Decoded.SenderReady == Message.SenderReady);
    RC_ASSERT(Decoded.ConfigVersion == Message.ConfigVersion);
    RC_ASSERT(Decoded.Members == Message.Members);
    RC_ASSERT(Decoded.PublishedFacts.size() == Message.PublishedFacts.size());
    RC_ASSERT(Decoded.Content.index() == Message.Content.index());
    // Encoding is deterministic, so equal bytes mean equal fields.
    RC_ASSERT(net::encodePeerFrame(Decoded, Key) ==
              net::encodePeerFrame(Message, Key));
  }));
}

// Guards against accepting a frame that was modified in transit.
TEST_CASE("a frame with a flipped bit is refused", "[peers]") {
  CHECK(propertyHolds(13, [] {
    std::string Frame = net::encodePeerFrame(generateEnvelope(), Key);
    auto Index = *rc::gen::inRange<size_t>(0, Frame.size());
    Frame[Index] =
        static_cast<char>(Frame[Index] ^ (1 << *rc::gen::inRange(0, 8)));
    auto Read = net::decodePeerFrame(Frame, Key);
    RC_ASSERT(Read.has_error());
    RC_ASSERT(Read.error().Kind == base::ErrorKind::Unauthorised);
  }));
}

// Guards against a crash or a huge allocation on malformed bytes with a valid
// signature, for example from a faulty release.
TEST_CASE("malformed frames with a valid signature do no harm", "[peers]") {
  CHECK(propertyHolds(14, [] {
    std::string Frame =
        net::encodePeerFrame(generateEnvelope(), Key).substr(32);
    for (int I = *rc::gen::inRange(1, 6); I > 0; --I) {
      Frame[*rc::gen::inRange<size_t>(0, Frame.size())] =
          *rc::gen::arbitrary<char>();
    }
    Frame.resize(*rc::gen::inRange<size_t>(1, Frame.size() + 1));
    auto Read = net::decodePeerFrame(base::hmacSha256(Key, Frame) + Frame, Key);
    RC_ASSERT(Read.has_value() ||
              Read.error().Kind != base::ErrorKind::Unauthorised);
  }));
}
