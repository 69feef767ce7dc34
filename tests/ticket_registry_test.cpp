// Tests of the ticket registry in virtual time.
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
const base::OrganisationId OtherOrganisation("algodon-azul");
const std::string Content = once::contentDigest("reorder", R"({"key":"a"})");
const base::TimePoint Start{std::chrono::hours(1)};

TicketRegistry makeRegistry(TicketPolicy Policy = {}) {
  return {Self, Process, "secret", Policy};
}

Verdict useTicket(TicketRegistry &Registry, base::TimePoint Now,
                  const Ticket &Offered) {
  return Registry.use(Now, Offered, Owner, Content).Decision;
}

} // namespace

// Guards against a member being lost or swapped in the serialized form.
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

// Guards against a crash on corrupted tickets, or accepting them.
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
          RC_ASSERT(useTicket(Registry, Start, *Read) != Verdict::Run ||
                    once::formatTicket(*Read) == Text);
        }
      },
      Name, Params);
  CHECK(Result.is<rc::detail::SuccessResult>());
}

// Guards against running a repeated request again or answering it differently.
TEST_CASE("a ticket runs once and its repeat gets the record", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  CHECK(useTicket(Registry, Start, Issued) == Verdict::Run);
  CHECK(useTicket(Registry, Start, Issued) == Verdict::Wait);
  Registry.finish(Issued.Nonce, "first");
  Registry.finish(Issued.Nonce, "second");
  auto Repeat = Registry.use(Start, Issued, Owner, Content);
  CHECK(Repeat.Decision == Verdict::Replay);
  CHECK(Repeat.Response == "first");
}

// Guards against returning a response that belongs to another request.
TEST_CASE("a ticket is bound to its content and organisation", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  CHECK(Registry.use(Start, Issued, OtherOrganisation, Content).Decision ==
        Verdict::OtherOrganisation);
  CHECK(useTicket(Registry, Start, Issued) == Verdict::Run);
  Registry.finish(Issued.Nonce, "first");
  CHECK(Registry.use(Start, Issued, OtherOrganisation, Content).Decision ==
        Verdict::OtherOrganisation);
  std::string Other = once::contentDigest("reorder", R"({"key":"b"})");
  CHECK(Registry.use(Start, Issued, Owner, Other).Decision == Verdict::Reused);
  CHECK(once::contentDigest("other", R"({"key":"a"})") != Content);
  CHECK(once::contentDigest("r", R"({"a":1, "b":2})") ==
        once::contentDigest("r", R"({"b":2,"a":1})"));
}

// Guards against a process accepting a ticket whose record it does not have.
TEST_CASE("only the issuing process accepts a ticket", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  TicketRegistry Restarted(Self, base::Incarnation(8), "other", {});
  CHECK(useTicket(Restarted, Start, Issued) == Verdict::OtherProcess);
  TicketRegistry Neighbour(base::InstanceId("entry-1"), Process, "x", {});
  CHECK(useTicket(Neighbour, Start, Issued) == Verdict::OtherProcess);
  // The wall clock was set back, so the incarnation repeats. The secret
  // differs.
  TicketRegistry SameNumber(Self, Process, "other", {});
  CHECK(useTicket(SameNumber, Start, Issued) == Verdict::Forged);
  Ticket Longer = Issued;
  Longer.ExpiresAt += std::chrono::hours(1);
  CHECK(useTicket(Registry, Start, Longer) == Verdict::Forged);
}

// Guards against running a ticket that expired while the process was paused,
// including by a thread that read the clock before the pause.
TEST_CASE("a ticket that expired during a pause is not run", "[once]") {
  TicketRegistry Registry = makeRegistry();
  Ticket UnusedTicket = Registry.issue(Start, Owner, {1, 2});
  Ticket UsedTicket = Registry.issue(Start, Owner, {3, 4});
  CHECK(useTicket(Registry, Start, UsedTicket) == Verdict::Run);
  Registry.finish(UsedTicket.Nonce, "done");
  base::TimePoint AfterPause = Start + std::chrono::minutes(11);
  CHECK(useTicket(Registry, AfterPause, UnusedTicket) == Verdict::Expired);
  CHECK(Registry.used().empty());
  CHECK(useTicket(Registry, Start, UsedTicket) == Verdict::Expired);

  TicketPolicy FaultyPolicy;
  FaultyPolicy.ClampToLatestTime = false;
  TicketRegistry Faulty = makeRegistry(FaultyPolicy);
  CHECK(useTicket(Faulty, Start, UsedTicket) == Verdict::Run);
  Faulty.finish(UsedTicket.Nonce, "done");
  Faulty.expire(AfterPause);
  CHECK(useTicket(Faulty, Start, UsedTicket) == Verdict::Run); // A second run.
}

// Guards against an off-by-one error at the end of the lifetime, and against
// forgetting a ticket whose request is still running.
TEST_CASE("a ticket is valid for exactly its lifetime", "[once]") {
  TicketRegistry Registry = makeRegistry();
  base::TimePoint End = Start + std::chrono::minutes(10);
  Ticket Issued = Registry.issue(Start, Owner, {1, 2});
  base::TimePoint Last = End - base::Duration(1);
  CHECK(useTicket(Registry, Last, Issued) == Verdict::Run);
  CHECK(useTicket(Registry, Last, Issued) == Verdict::Wait);
  CHECK(useTicket(Registry, End, Issued) == Verdict::Expired);
  CHECK(Registry.used().size() == 1);
  Registry.finish(Issued.Nonce, "late");
  Registry.expire(End);
  CHECK(Registry.used().empty());
  CHECK(Registry.responseBytes() == 0);
}

// Guards against unbounded memory use, and against a second run after the
// response was dropped.
TEST_CASE("memory is bounded without a second run", "[once]") {
  TicketPolicy SmallPolicy;
  SmallPolicy.MaxResponseBytes = 10;
  SmallPolicy.MaxUsed = 3;
  TicketRegistry Registry = makeRegistry(SmallPolicy);
  std::vector<Ticket> Issued;
  for (uint64_t I = 0; I < 4; ++I) {
    Issued.push_back(Registry.issue(Start, Owner, {0, I}));
  }
  for (size_t I = 0; I < 3; ++I) {
    CHECK(useTicket(Registry, Start, Issued[I]) == Verdict::Run);
  }
  CHECK(useTicket(Registry, Start, Issued[3]) == Verdict::Full);
  Registry.finish(Issued[0].Nonce, "123456");
  Registry.finish(Issued[1].Nonce, "123456");
  CHECK(Registry.responseBytes() == 6);
  CHECK(useTicket(Registry, Start, Issued[0]) == Verdict::ResponseDropped);
  CHECK(useTicket(Registry, Start, Issued[1]) == Verdict::Replay);
  Registry.finish(Issued[2].Nonce, "longer than everything");
  CHECK(Registry.responseBytes() == 0);
  CHECK(useTicket(Registry, Start, Issued[2]) == Verdict::ResponseDropped);
  Registry.expire(Start + std::chrono::minutes(10));
  CHECK(Registry.used().empty());
}

// Guards against any interleaving of uses, completions, pauses and threads with
// old clock values that runs a ticket twice or returns a different response.
TEST_CASE("random histories run each ticket at most once", "[once]") {
  constexpr uint64_t Seed = 9;
  std::cout << "random ticket histories: seed " << Seed << "\n";
  rc::detail::TestMetadata Name;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 500;
  auto Result = rc::detail::checkTestable(
      [](const std::vector<uint16_t> &Steps) {
        TicketPolicy SmallPolicy;
        SmallPolicy.MaxResponseBytes = 40;
        SmallPolicy.MaxUsed = 6;
        TicketRegistry Registry = makeRegistry(SmallPolicy);
        std::vector<Ticket> Issued;
        std::map<base::AttemptId, int> Runs;
        base::TimePoint Now = Start;
        for (uint16_t Step : Steps) {
          // A thread's clock value may be up to 15 minutes old.
          base::TimePoint ClockReading = Now - std::chrono::minutes(Step % 16);
          if (Step % 5 == 0 || Issued.empty()) {
            Issued.push_back(
                Registry.issue(ClockReading, Owner, {0, Issued.size()}));
          }
          const Ticket &Chosen = Issued[(Step / 5U) % Issued.size()];
          std::string Expected = std::to_string(Chosen.Nonce.Low) + "-response";
          switch (Step % 4) {
          case 0:
            Now += std::chrono::minutes(Step % 7);
            break;
          case 1:
            Registry.finish(Chosen.Nonce, Expected);
            break;
          default: {
            auto Outcome = Registry.use(ClockReading, Chosen, Owner, Content);
            if (Outcome.Decision == Verdict::Run) {
              RC_ASSERT(++Runs[Chosen.Nonce] == 1);
            } else if (Outcome.Decision == Verdict::Replay) {
              RC_ASSERT(Outcome.Response == Expected);
            }
          }
          }
          RC_ASSERT(Registry.responseBytes() <= SmallPolicy.MaxResponseBytes);
          RC_ASSERT(Registry.used().size() <= SmallPolicy.MaxUsed);
        }
      },
      Name, Params);
  CHECK(Result.is<rc::detail::SuccessResult>());
}
