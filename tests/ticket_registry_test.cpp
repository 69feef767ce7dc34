// The rules of tickets on virtual time.
#include "base/random_base.h"
#include "once/registry_base.h"
#include "once/ticket_func.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck.h>

using namespace hickorycrank;
using once::Ticket;
using once::TicketPolicy;
using once::TicketRegistry;
using once::Verdict;

namespace {

const base::InstanceId Self("entry-0");
const base::Incarnation Process(7);
const base::OrganisationId Owner("nube-rosa");
const base::OrganisationId Stranger("algodon-azul");
const std::string Content = once::contentDigest("reorder", R"({"key":"a"})");
const base::TimePoint Start{std::chrono::hours(1)};

TicketRegistry makeRegistry(TicketPolicy Rules = {}) {
  return {Self, Process, "secret", Rules};
}

Verdict useIt(TicketRegistry &Target, base::TimePoint Now,
              const Ticket &Offered) {
  return Target.use(Now, Offered, Owner, Content).Decision;
}

} // namespace

// Guards against a member that is lost or mixed up on the way over the wire.
TEST_CASE("a ticket survives its text form", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, base::OrganisationId("a.b c\xC3\xBC"),
                                 {~uint64_t{0}, 5});
  std::string Text = once::formatTicket(Issued);
  CHECK(Text.find(' ') == std::string::npos);
  auto Read = once::parseTicket(Text);
  REQUIRE(Read);
  CHECK(Read->Issuer == Issued.Issuer);
  CHECK(Read->IssuerIncarnation == Issued.IssuerIncarnation);
  CHECK(Read->Organisation == Issued.Organisation);
  CHECK(Read->Nonce == Issued.Nonce);
  CHECK(Read->ExpiresAt == Issued.ExpiresAt);
  CHECK(Read->Mac == Issued.Mac);
}

// Guards against a crash or an acceptance of damaged tickets.
TEST_CASE("a changed ticket text is never run", "[once]") {
  constexpr uint64_t Seed = 20261204;
  std::cout << "changed ticket text: seed " << Seed << "\n";
  TicketRegistry Registry = makeRegistry();
  std::string Text = once::formatTicket(Registry.issue(Start, Owner, {1, 2}));
  rc::detail::TestMetadata Name;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 2'000;
  auto Result = rc::detail::checkTestable(
      [&](const std::string &Junk) {
        std::string Changed = Text;
        auto At = *rc::gen::inRange<size_t>(0, Text.size());
        Changed.replace(At, Junk.size(), Junk);
        auto Read = once::parseTicket(Changed);
        if (Changed != Text && Read) {
          RC_ASSERT(useIt(Registry, Start, *Read) != Verdict::Run ||
                    once::formatTicket(*Read) == Text);
        }
      },
      Name, Params);
  CHECK(Result.is<rc::detail::SuccessResult>());
}

// Guards against a second run of a repeat, or another answer for it.
TEST_CASE("a ticket runs once and its repeat gets the record", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  CHECK(useIt(Registry, Start, Issued) == Verdict::Run);
  CHECK(useIt(Registry, Start, Issued) == Verdict::Wait);
  Registry.finish(Issued.Nonce, "first");
  Registry.finish(Issued.Nonce, "second");
  auto Repeat = Registry.use(Start, Issued, Owner, Content);
  CHECK(Repeat.Decision == Verdict::Replay);
  CHECK(Repeat.Response == "first");
}

// Guards against answers for a request that was never made.
TEST_CASE("a ticket is bound to its content and organisation", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  CHECK(Registry.use(Start, Issued, Stranger, Content).Decision ==
        Verdict::OtherOrganisation);
  CHECK(useIt(Registry, Start, Issued) == Verdict::Run);
  Registry.finish(Issued.Nonce, "first");
  CHECK(Registry.use(Start, Issued, Stranger, Content).Decision ==
        Verdict::OtherOrganisation);
  std::string Other = once::contentDigest("reorder", R"({"key":"b"})");
  CHECK(Registry.use(Start, Issued, Owner, Other).Decision == Verdict::Reused);
  CHECK(once::contentDigest("other", R"({"key":"a"})") != Content);
  CHECK(once::contentDigest("r", R"({"a":1, "b":2})") ==
        once::contentDigest("r", R"({"b":2,"a":1})"));
}

// Guards against a ticket that a process without its record accepts.
TEST_CASE("only the issuing process accepts a ticket", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  TicketRegistry Restarted(Self, base::Incarnation(8), "other", {});
  CHECK(useIt(Restarted, Start, Issued) == Verdict::OtherProcess);
  TicketRegistry Neighbour(base::InstanceId("entry-1"), Process, "x", {});
  CHECK(useIt(Neighbour, Start, Issued) == Verdict::OtherProcess);
  // The wall clock went back: the incarnation repeats, the secret does not.
  TicketRegistry SameNumber(Self, Process, "other", {});
  CHECK(useIt(SameNumber, Start, Issued) == Verdict::Forged);
  Ticket Longer = Issued;
  Longer.ExpiresAt += std::chrono::hours(1);
  CHECK(useIt(Registry, Start, Longer) == Verdict::Forged);
}

// Guards against a run after a pause in which the ticket expired, also by a
// thread that read the clock before the pause.
TEST_CASE("a ticket that expired during a pause is not run", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Unused = Registry.issue(Start, Owner, {1, 2});
  Ticket Used = Registry.issue(Start, Owner, {3, 4});
  CHECK(useIt(Registry, Start, Used) == Verdict::Run);
  Registry.finish(Used.Nonce, "done");
  base::TimePoint AfterPause = Start + std::chrono::minutes(11);
  CHECK(useIt(Registry, AfterPause, Unused) == Verdict::Expired);
  CHECK(Registry.used().empty());
  CHECK(useIt(Registry, Start, Used) == Verdict::Expired);

  TicketPolicy Fault;
  Fault.HoldLatestTime = false;
  TicketRegistry Faulty = makeRegistry(Fault);
  CHECK(useIt(Faulty, Start, Used) == Verdict::Run);
  Faulty.finish(Used.Nonce, "done");
  Faulty.expire(AfterPause);
  CHECK(useIt(Faulty, Start, Used) == Verdict::Run); // The fault is seen.
}

// Guards against a lifetime that is off at its end, or a run whose record is
// forgotten while it is still running.
TEST_CASE("a ticket is valid for exactly its lifetime", "[once]") {
  TicketRegistry Registry = makeRegistry();
  base::TimePoint End = Start + std::chrono::minutes(10);
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  base::TimePoint Last = End - base::Duration(1);
  CHECK(useIt(Registry, Last, Issued) == Verdict::Run);
  CHECK(useIt(Registry, Last, Issued) == Verdict::Wait);
  CHECK(useIt(Registry, End, Issued) == Verdict::Expired);
  CHECK(Registry.used().size() == 1);
  Registry.finish(Issued.Nonce, "late");
  Registry.expire(End);
  CHECK(Registry.used().empty());
  CHECK(Registry.recordBytes() == 0);
}

// Guards against unbounded memory, and against a second run once a record
// had to be dropped.
TEST_CASE("memory is bounded without a second run", "[once]") {
  TicketPolicy Small;
  Small.MaxRecordBytes = 10;
  Small.MaxUsed = 3;
  TicketRegistry Registry = makeRegistry(Small);
  std::vector<Ticket> Issued;
  for (uint64_t I = 0; I < 4; ++I) {
    Issued.push_back(Registry.issue(Start, Owner, {0, I}));
  }
  for (size_t I = 0; I < 3; ++I) {
    CHECK(useIt(Registry, Start, Issued[I]) == Verdict::Run);
  }
  CHECK(useIt(Registry, Start, Issued[3]) == Verdict::Full);
  Registry.finish(Issued[0].Nonce, "123456");
  Registry.finish(Issued[1].Nonce, "123456");
  CHECK(Registry.recordBytes() == 6);
  CHECK(useIt(Registry, Start, Issued[0]) == Verdict::RecordDropped);
  CHECK(useIt(Registry, Start, Issued[1]) == Verdict::Replay);
  Registry.finish(Issued[2].Nonce, "longer than everything");
  CHECK(Registry.recordBytes() == 0);
  CHECK(useIt(Registry, Start, Issued[2]) == Verdict::RecordDropped);
  Registry.expire(Start + std::chrono::minutes(10));
  CHECK(Registry.used().empty());
}

// Guards against any order of uses, ends, pauses and late threads that runs
// a ticket twice or returns another answer than the first.
TEST_CASE("random histories run each ticket at most once", "[once]") {
  constexpr uint64_t Seed = 9;
  std::cout << "random ticket histories: seed " << Seed << "\n";
  rc::detail::TestMetadata Name;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 500;
  auto Result = rc::detail::checkTestable(
      [](const std::vector<uint16_t> &Steps) {
        TicketPolicy Small;
        Small.MaxRecordBytes = 40;
        Small.MaxUsed = 6;
        TicketRegistry Registry = makeRegistry(Small);
        std::vector<Ticket> Issued;
        std::map<base::AttemptId, int> Runs;
        base::TimePoint Now = Start;
        for (uint16_t Step : Steps) {
          // A late thread's clock value may be up to 15 minutes old.
          base::TimePoint Seen = Now - std::chrono::minutes(Step % 16);
          if (Step % 5 == 0 || Issued.empty()) {
            Issued.push_back(Registry.issue(Seen, Owner, {0, Issued.size()}));
          }
          const Ticket &Chosen = Issued[(Step / 5U) % Issued.size()];
          std::string Mine = std::to_string(Chosen.Nonce.Low) + "-response";
          switch (Step % 4) {
          case 0:
            Now += std::chrono::minutes(Step % 7);
            break;
          case 1:
            Registry.finish(Chosen.Nonce, Mine);
            break;
          default: {
            auto Given = Registry.use(Seen, Chosen, Owner, Content);
            if (Given.Decision == Verdict::Run) {
              RC_ASSERT(++Runs[Chosen.Nonce] == 1);
            } else if (Given.Decision == Verdict::Replay) {
              RC_ASSERT(Given.Response == Mine);
            }
          }
          }
          RC_ASSERT(Registry.recordBytes() <= Small.MaxRecordBytes);
          RC_ASSERT(Registry.used().size() <= Small.MaxUsed);
        }
      },
      Name, Params);
  CHECK(Result.is<rc::detail::SuccessResult>());
}
