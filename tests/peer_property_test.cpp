// Properties of statements about members and of the peers' frames.
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

/** Checks a property with a fixed seed. */
template <typename Property> bool holds(uint64_t Seed, Property Check) {
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

Member drawMember() {
  Member Drawn;
  Drawn.Id = base::InstanceId("entry-1");
  Drawn.Address = "127.0.0.1:1";
  Drawn.Domain = base::FailureDomainId("d0");
  Drawn.Process = base::Incarnation(*rc::gen::inRange<uint64_t>(1, 4));
  Drawn.Refutation = *rc::gen::inRange<uint64_t>(0, 4);
  Drawn.State = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  return Drawn;
}

config::ConfigurationVersion drawVersion() {
  return {base::Revision(*rc::gen::inRange<uint64_t>(1, 1'000'000)),
          base::sha256Hex(*rc::gen::arbitrary<std::string>())};
}

peers::Body drawBody() {
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
    return peers::ConfigPull{drawVersion(), {base::sha256Hex(Bytes)}};
  case 4:
    return peers::ConfigPush{
        drawVersion(), Bytes, {{base::sha256Hex(Bytes), Bytes}}};
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

peers::Envelope drawEnvelope() {
  peers::Envelope Message;
  Message.Sender = drawMember();
  Message.Recipient = base::InstanceId("entry-9");
  Message.SenderReady = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    Message.ConfigVersion = drawVersion();
  }
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
    Message.Members.push_back(drawMember());
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
  Message.Content = drawBody();
  return Message;
}

} // namespace

// Guards against views that depend on the order in which gossip arrives.
TEST_CASE("statements about a member give one view in any order", "[peers]") {
  CHECK(holds(11, [] {
    std::vector<Member> Updates;
    for (int I = *rc::gen::inRange(1, 8); I > 0; --I) {
      Updates.push_back(drawMember());
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
    Member One = Final(Updates);
    Member Two = Final(Shuffled);
    // Refutations of a process that leaves do not matter.
    bool Leaves = One.State == MemberState::Leaving;
    RC_ASSERT(One.Process == Two.Process && One.State == Two.State);
    RC_ASSERT(Leaves || One.Refutation == Two.Refutation);
  }));
}

// Guards against fields that are lost between two instances.
TEST_CASE("a frame is read as it was written", "[peers]") {
  CHECK(holds(12, [] {
    peers::Envelope Message = drawEnvelope();
    auto Read = net::decodePeerFrame(net::encodePeerFrame(Message, Key), Key);
    RC_ASSERT(Read.has_value());
    const peers::Envelope &Got = Read.value();
    RC_ASSERT(Got.Sender == Message.Sender);
    RC_ASSERT(Got.Recipient == Message.Recipient);
    RC_ASSERT(Got.SenderReady == Message.SenderReady);
    RC_ASSERT(Got.ConfigVersion == Message.ConfigVersion);
    RC_ASSERT(Got.Members == Message.Members);
    RC_ASSERT(Got.PublishedFacts.size() == Message.PublishedFacts.size());
    RC_ASSERT(Got.Content.index() == Message.Content.index());
    // Writing is a function of the fields, so equal bytes mean equal fields.
    RC_ASSERT(net::encodePeerFrame(Got, Key) ==
              net::encodePeerFrame(Message, Key));
  }));
}

// Guards against a frame that is accepted after a change on its way.
TEST_CASE("a frame with any bit changed is refused", "[peers]") {
  CHECK(holds(13, [] {
    std::string Frame = net::encodePeerFrame(drawEnvelope(), Key);
    auto Index = *rc::gen::inRange<size_t>(0, Frame.size());
    Frame[Index] =
        static_cast<char>(Frame[Index] ^ (1 << *rc::gen::inRange(0, 8)));
    auto Read = net::decodePeerFrame(Frame, Key);
    RC_ASSERT(Read.has_error());
    RC_ASSERT(Read.error().Kind == base::ErrorKind::Unauthorised);
  }));
}

// Guards against a crash or a huge allocation on bytes that a holder of the
// key sends, such as another release with a fault.
TEST_CASE("authentic garbage is refused without harm", "[peers]") {
  CHECK(holds(14, [] {
    std::string Frame = net::encodePeerFrame(drawEnvelope(), Key).substr(32);
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
