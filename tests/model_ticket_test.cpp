// Model check of the ticket rules: explores all interleavings of events by
// breadth-first search over canonical states.
#include "model_check.h"
#include "once/registry_base.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;

namespace {

using once::Ticket;
using once::TicketRegistry;
using once::Verdict;

/** Which rule of the protocol is disabled. */
enum class TicketFault {
  None,
  RerunsUsed,          ///< The state of a used ticket is ignored.
  AcceptsOtherIssuers, ///< The issuing process is not checked.
  AcceptsExpired,      ///< The expiry is not checked.
  UsesStaleClock,      ///< Stale clock readings from before a pause are used.
  RunsWithoutIssuer,   ///< Entry instances run requests when the issuer is
                       ///< unreachable.
};

constexpr size_t TicketCount = 2;
constexpr uint8_t MaxSends =
    2; ///< Maximum number of requests sent with each ticket.
constexpr uint8_t MaxTotalSends = 3;
constexpr uint8_t MaxTime = 2; ///< In steps of five minutes.
const base::OrganisationId Owner("organisation");
const std::string Content("content");

base::TimePoint timeAt(uint8_t Step) {
  return base::TimePoint(std::chrono::minutes(5 * (Step + 1)));
}

/** A request in flight. */
struct Message {
  enum class Stage : uint8_t { Entry, Issuer, Running, Done };
  Stage At = Stage::Done;
  uint8_t Entry = 0;        ///< Instance that received the request.
  uint8_t ClockReading = 0; ///< Time read by the issuer's thread.
  auto operator<=>(const Message &) const = default;
};

/**
 * State of the model. Ticket 0 is issued by instance 0 and ticket 1 by instance
 * 1. Any instance may receive a request. A thread at the issuer reads the clock
 * and checks the ticket in two steps, between which the process may pause.
 * Bounds: 3 sends in total, one paused process at a time, one restart.
 */
struct TicketModel {
  TicketFault Fault = TicketFault::None;
  /** Shared between states; copied on write. */
  std::array<std::shared_ptr<const TicketRegistry>, InstanceCount> Registries;
  std::array<uint8_t, InstanceCount> Restarts{};
  uint8_t Paused = InstanceCount; ///< InstanceCount if none.
  std::shared_ptr<const std::array<Ticket, TicketCount>> Tickets;
  std::array<uint8_t, TicketCount> Sends{};
  std::array<uint8_t, TicketCount> Runs{};
  std::array<std::array<Message, MaxSends>, TicketCount> Messages{};
  uint8_t Time = 0;

  explicit TicketModel(TicketFault Fault) : Fault(Fault) {
    for (size_t I = 0; I < InstanceCount; ++I) {
      this->Registries[I] = this->makeRegistry(I);
    }
    std::array<Ticket, TicketCount> Issued;
    for (size_t T = 0; T < TicketCount; ++T) {
      Issued[T] = this->mutableRegistry(T).issue(timeAt(0), Owner, {0, T});
    }
    this->Tickets = std::make_shared<const std::array<Ticket, TicketCount>>(
        std::move(Issued));
  }

  /**
   * Replaces a shared registry by a copy that may be changed.
   * @param Index Instance of the registry.
   * @return The copy.
   */
  TicketRegistry &mutableRegistry(size_t Index) {
    auto Copy = std::make_shared<TicketRegistry>(*this->Registries[Index]);
    this->Registries[Index] = Copy;
    return *Copy;
  }

  bool isPaused(size_t Index) const { return this->Paused == Index; }

  std::shared_ptr<const TicketRegistry> makeRegistry(size_t Index) const {
    once::TicketPolicy Policy;
    Policy.ClampToLatestTime = this->Fault != TicketFault::UsesStaleClock;
    uint64_t Process = 1 + this->Restarts[Index];
    std::string Name = std::to_string(Index);
    return std::make_shared<const TicketRegistry>(
        base::InstanceId(Name), base::Incarnation(Process),
        "secret" + Name + std::to_string(Process), Policy);
  }

  std::string key() const {
    std::string Text;
    for (size_t I = 0; I < InstanceCount; ++I) {
      Text += static_cast<char>(this->Restarts[I]);
      Text += std::to_string(
          this->Registries[I]->latestTime().time_since_epoch().count());
      for (const auto &[Nonce, Use] : this->Registries[I]->used()) {
        Text += static_cast<char>('a' + Nonce.Low);
        Text += static_cast<char>('0' + static_cast<int>(Use.State));
      }
      Text += '|';
    }
    for (size_t T = 0; T < TicketCount; ++T) {
      Text += static_cast<char>(this->Sends[T]);
      Text += static_cast<char>(this->Runs[T]);
      auto Sorted = this->Messages[T]; // Order is irrelevant.
      std::sort(Sorted.begin(), Sorted.end());
      for (const Message &Entry : Sorted) {
        Text += static_cast<char>(Entry.At);
        Text += static_cast<char>(Entry.Entry);
        Text += static_cast<char>(Entry.ClockReading);
      }
    }
    Text += static_cast<char>(this->Paused);
    Text += static_cast<char>(this->Time);
    return Text;
  }

  std::string check() const {
    for (uint8_t Count : this->Runs) {
      if (Count > 1) {
        return "a ticket ran twice";
      }
    }
    return "";
  }

  /**
   * Uses a ticket; the rule that Fault disables has no effect.
   * @param At Instance that checks the ticket.
   * @param T Index of the ticket.
   * @param ClockReading Time that its thread read.
   * @return The verdict.
   */
  Verdict useTicket(size_t At, size_t T, uint8_t ClockReading) {
    Verdict Result =
        this->mutableRegistry(At)
            .use(timeAt(ClockReading), (*this->Tickets)[T], Owner, Content)
            .Decision;
    bool Ignored = (this->Fault == TicketFault::RerunsUsed &&
                    (Result == Verdict::Wait || Result == Verdict::Replay)) ||
                   (this->Fault == TicketFault::AcceptsOtherIssuers &&
                    Result == Verdict::OtherProcess) ||
                   (this->Fault == TicketFault::AcceptsExpired &&
                    Result == Verdict::Expired);
    return Ignored ? Verdict::Run : Result;
  }

  /** Adds the successor states of one message. */
  void addMessageSteps(size_t T, size_t M,
                       std::vector<TicketModel> &All) const {
    const Message &Current = this->Messages[T][M];
    auto Add = [&](auto Change) {
      TicketModel Next = *this;
      Change(Next, Next.Messages[T][M]);
      All.push_back(std::move(Next));
    };
    size_t Issuer = T;
    switch (Current.At) {
    case Message::Stage::Entry:
      if (!this->isPaused(Current.Entry) && !this->isPaused(Issuer)) {
        Add([](TicketModel &Next, Message &Advanced) {
          Advanced = Message{Message::Stage::Issuer, 0, Next.Time};
        });
      }
      if (!this->isPaused(Current.Entry) && Current.Entry != Issuer) {
        // The issuer is unreachable: the request is refused, or run locally if
        // the rule is disabled.
        Add([&](TicketModel &Next, Message &Advanced) {
          Advanced = Message{};
          if (Next.Fault == TicketFault::RunsWithoutIssuer) {
            ++Next.Runs[T];
          }
        });
      }
      break;
    case Message::Stage::Issuer:
      if (!this->isPaused(Issuer)) {
        Add([&](TicketModel &Next, Message &Advanced) {
          bool Runs =
              Next.useTicket(Issuer, T, Advanced.ClockReading) == Verdict::Run;
          Next.Runs[T] = static_cast<uint8_t>(Next.Runs[T] + (Runs ? 1 : 0));
          Advanced = Message{};
          Advanced.At = Runs ? Message::Stage::Running : Message::Stage::Done;
        });
      }
      break;
    case Message::Stage::Running:
      if (!this->isPaused(Issuer)) {
        Add([&](TicketModel &Next, Message &Advanced) {
          Next.mutableRegistry(Issuer).finish((*Next.Tickets)[T].Nonce,
                                              "response");
          Advanced = Message{};
        });
      }
      break;
    case Message::Stage::Done:
      break;
    }
  }

  /** Adds restart, pause, resume and expiry of one instance. */
  void addInstanceSteps(size_t I, std::vector<TicketModel> &All) const {
    auto Add = [&](auto Change) {
      TicketModel Next = *this;
      Change(Next);
      All.push_back(std::move(Next));
    };
    auto None = static_cast<uint8_t>(InstanceCount);
    auto Own = static_cast<uint8_t>(I);
    if (this->Paused == None || this->isPaused(I)) {
      Add([&](TicketModel &Next) {
        Next.Paused = Next.isPaused(I) ? None : Own;
      });
    }
    if (this->Restarts == decltype(this->Restarts){}) {
      Add([&](TicketModel &Next) {
        ++Next.Restarts[I];
        Next.Paused = Next.isPaused(I) ? None : Next.Paused;
        Next.Registries[I] = Next.makeRegistry(I);
        for (size_t T = 0; T < TicketCount; ++T) {
          for (Message &Pending : Next.Messages[T]) {
            bool AtIssuer = I == T && Pending.At != Message::Stage::Entry;
            bool AtEntry =
                I == Pending.Entry && Pending.At == Message::Stage::Entry;
            if (AtIssuer || AtEntry) {
              Pending = Message{};
            }
          }
        }
      });
    }
    if (!this->isPaused(I) && I < TicketCount) {
      Add([I](TicketModel &Next) {
        Next.mutableRegistry(I).expire(timeAt(Next.Time));
      });
    }
  }

  std::vector<TicketModel> successors() const {
    std::vector<TicketModel> All;
    for (size_t T = 0; T < TicketCount; ++T) {
      if (this->Sends[T] < MaxSends &&
          this->Sends[0] + this->Sends[1] < MaxTotalSends) {
        // The caller may send again at any time, which covers the loss of a
        // reply; replies need no state of their own.
        for (uint8_t Entry = 0; Entry < InstanceCount; ++Entry) {
          TicketModel Next = *this;
          Next.Messages[T][Next.Sends[T]++] =
              Message{Message::Stage::Entry, Entry, 0};
          All.push_back(std::move(Next));
        }
      }
      for (size_t M = 0; M < this->Sends[T]; ++M) {
        this->addMessageSteps(T, M, All);
      }
    }
    for (size_t I = 0; I < InstanceCount; ++I) {
      this->addInstanceSteps(I, All);
    }
    if (this->Time < MaxTime) {
      All.push_back(*this);
      ++All.back().Time;
    }
    return All;
  }
};

} // namespace

// Guards against any interleaving of sends, repeats, lost replies, restarts,
// pauses and expiries that runs a request with a ticket twice.
TEST_CASE("the ticket rules hold in every order", "[model][virtual-time]") {
  SearchResult Result = explore(TicketModel(TicketFault::None));
  printResult("ticket rules", Result);
  CHECK(Result.Violation.empty());
  CHECK(Result.States > 10'000);
}

// Guards against a model check that cannot detect a second run.
TEST_CASE("the check finds each missing ticket rule", "[model][virtual-time]") {
  const std::pair<TicketFault, const char *> Faults[] = {
      {TicketFault::RerunsUsed, "tickets, repeats run"},
      {TicketFault::AcceptsOtherIssuers, "tickets, issuing process ignored"},
      {TicketFault::AcceptsExpired, "tickets, expiry ignored"},
      {TicketFault::UsesStaleClock, "tickets, old clock values trusted"},
      {TicketFault::RunsWithoutIssuer, "tickets, run without the issuer"}};
  for (const auto &[Fault, Name] : Faults) {
    SearchResult Result = explore(TicketModel(Fault));
    printResult(Name, Result);
    CHECK(Result.Violation == "a ticket ran twice");
  }
}
