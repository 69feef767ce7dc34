// Explores all orders of events of the ticket rules by breadth-first search
// with a visited set of canonical states.
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

/** Which rule is taken out. */
enum class TicketFault {
  None,
  RunsRepeats,      ///< The state of a used ticket is ignored.
  AcceptsOthers,    ///< The issuing process is not checked.
  AcceptsExpired,   ///< The expiry is not checked.
  ForgetsWhileUsed, ///< Clock values from before a pause are trusted.
  ResendsElsewhere, ///< Entry instances run what the issuer did not answer.
};

constexpr size_t TicketCount = 2;
constexpr uint8_t MaxSends = 2; ///< Of each ticket.
constexpr uint8_t MaxAllSends = 3;
constexpr uint8_t MaxTime = 2; ///< Steps of five minutes.
const base::OrganisationId Owner("organisation");
const std::string Content("content");

base::TimePoint timeAt(uint8_t Step) {
  return base::TimePoint(std::chrono::minutes(5 * (Step + 1)));
}

/** A sent request on its way. */
struct Message {
  enum class Stage : uint8_t { Entry, Issuer, Running, Done };
  Stage At = Stage::Done;
  uint8_t Entry = 0;
  uint8_t Seen = 0; ///< Clock value that the issuer's thread has read.
  auto operator<=>(const Message &) const = default;
};

/**
 * Ticket 0 is issued by instance 0 and ticket 1 by instance 1. Every instance
 * may be an entry. A thread at the issuer reads the clock and judges in two
 * steps, between which the process may pause. Bounds: 3 sends in all, one
 * process paused at a time, one restart.
 */
struct TicketModel {
  TicketFault Fault = TicketFault::None;
  /** Shared between states and copied before a change. */
  std::array<std::shared_ptr<const TicketRegistry>, InstanceCount> Registries;
  std::array<uint8_t, InstanceCount> Restarts{};
  uint8_t Paused = InstanceCount; ///< InstanceCount: none.
  std::shared_ptr<const std::array<Ticket, TicketCount>> Tickets;
  std::array<uint8_t, TicketCount> Sends{};
  std::array<uint8_t, TicketCount> Runs{};
  std::array<std::array<Message, MaxSends>, TicketCount> Messages{};
  uint8_t Time = 0;

  explicit TicketModel(TicketFault Fault) : Fault(Fault) {
    for (size_t I = 0; I < InstanceCount; ++I) {
      this->Registries[I] = this->fresh(I);
    }
    std::array<Ticket, TicketCount> Issued;
    for (size_t T = 0; T < TicketCount; ++T) {
      Issued[T] = this->change(T).issue(timeAt(0), Owner, {0, T});
    }
    this->Tickets = std::make_shared<const std::array<Ticket, TicketCount>>(
        std::move(Issued));
  }

  /** Copies a registry, so that other states keep the old one. */
  TicketRegistry &change(size_t Index) {
    auto Copy = std::make_shared<TicketRegistry>(*this->Registries[Index]);
    this->Registries[Index] = Copy;
    return *Copy;
  }

  bool isPaused(size_t Index) const { return this->Paused == Index; }

  std::shared_ptr<const TicketRegistry> fresh(size_t Index) const {
    once::TicketPolicy Rules;
    Rules.HoldLatestTime = this->Fault != TicketFault::ForgetsWhileUsed;
    uint64_t Process = 1 + this->Restarts[Index];
    std::string Name = std::to_string(Index);
    return std::make_shared<const TicketRegistry>(
        base::InstanceId(Name), base::Incarnation(Process),
        "secret" + Name + std::to_string(Process), Rules);
  }

  std::string key() const {
    std::string Text;
    for (size_t I = 0; I < InstanceCount; ++I) {
      Text += static_cast<char>(this->Restarts[I]);
      Text += std::to_string(
          this->Registries[I]->latest().time_since_epoch().count());
      for (const auto &[Nonce, Use] : this->Registries[I]->used()) {
        Text += static_cast<char>('a' + Nonce.Low);
        Text += static_cast<char>('0' + static_cast<int>(Use.State));
      }
      Text += '|';
    }
    for (size_t T = 0; T < TicketCount; ++T) {
      Text += static_cast<char>(this->Sends[T]);
      Text += static_cast<char>(this->Runs[T]);
      auto Sorted = this->Messages[T]; // Equal messages can be swapped.
      std::sort(Sorted.begin(), Sorted.end());
      for (const Message &Entry : Sorted) {
        Text += static_cast<char>(Entry.At);
        Text += static_cast<char>(Entry.Entry);
        Text += static_cast<char>(Entry.Seen);
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

  /** The real judgement, or the judgement with a rule taken out. */
  Verdict judge(size_t At, size_t T, uint8_t Seen) {
    Verdict Given = this->change(At)
                        .use(timeAt(Seen), (*this->Tickets)[T], Owner, Content)
                        .Decision;
    bool Ignored = (this->Fault == TicketFault::RunsRepeats &&
                    (Given == Verdict::Wait || Given == Verdict::Replay)) ||
                   (this->Fault == TicketFault::AcceptsOthers &&
                    Given == Verdict::OtherProcess) ||
                   (this->Fault == TicketFault::AcceptsExpired &&
                    Given == Verdict::Expired);
    return Ignored ? Verdict::Run : Given;
  }

  /** Adds the steps of one message. */
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
        Add([](TicketModel &Next, Message &Moved) {
          Moved = Message{Message::Stage::Issuer, 0, Next.Time};
        });
      }
      if (!this->isPaused(Current.Entry) && Current.Entry != Issuer) {
        // The issuer is cut off: refused, or run here without the rule.
        Add([&](TicketModel &Next, Message &Moved) {
          Moved = Message{};
          if (Next.Fault == TicketFault::ResendsElsewhere) {
            ++Next.Runs[T];
          }
        });
      }
      break;
    case Message::Stage::Issuer:
      if (!this->isPaused(Issuer)) {
        Add([&](TicketModel &Next, Message &Moved) {
          bool Runs = Next.judge(Issuer, T, Moved.Seen) == Verdict::Run;
          Next.Runs[T] = static_cast<uint8_t>(Next.Runs[T] + (Runs ? 1 : 0));
          Moved = Message{};
          Moved.At = Runs ? Message::Stage::Running : Message::Stage::Done;
        });
      }
      break;
    case Message::Stage::Running:
      if (!this->isPaused(Issuer)) {
        Add([&](TicketModel &Next, Message &Moved) {
          Next.change(Issuer).finish((*Next.Tickets)[T].Nonce, "response");
          Moved = Message{};
        });
      }
      break;
    case Message::Stage::Done:
      break;
    }
  }

  /** Adds crash and restart, pause, wake and expiry of one instance. */
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
        Next.Registries[I] = Next.fresh(I);
        for (size_t T = 0; T < TicketCount; ++T) {
          for (Message &Held : Next.Messages[T]) {
            bool AtIssuer = I == T && Held.At != Message::Stage::Entry;
            bool AtEntry = I == Held.Entry && Held.At == Message::Stage::Entry;
            if (AtIssuer || AtEntry) {
              Held = Message{};
            }
          }
        }
      });
    }
    if (!this->isPaused(I) && I < TicketCount) {
      Add([I](TicketModel &Next) { Next.change(I).expire(timeAt(Next.Time)); });
    }
  }

  std::vector<TicketModel> successors() const {
    std::vector<TicketModel> All;
    for (size_t T = 0; T < TicketCount; ++T) {
      if (this->Sends[T] < MaxSends &&
          this->Sends[0] + this->Sends[1] < MaxAllSends) {
        // The caller sends again at any time, which includes after a reply
        // was lost; a reply changes nothing else.
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

// Guards against an order of sends, repeats, lost replies, restarts, pauses
// and expiries in which a ticketed request runs twice.
TEST_CASE("the ticket rules hold in every order", "[model][virtual-time]") {
  SearchResult Result = explore(TicketModel(TicketFault::None));
  printResult("ticket rules", Result);
  CHECK(Result.Violation.empty());
  CHECK(Result.States > 10'000);
}

// Guards against a check that would not see a second run.
TEST_CASE("the check finds each missing ticket rule", "[model][virtual-time]") {
  const std::pair<TicketFault, const char *> Faults[] = {
      {TicketFault::RunsRepeats, "tickets, repeats run"},
      {TicketFault::AcceptsOthers, "tickets, issuing process ignored"},
      {TicketFault::AcceptsExpired, "tickets, expiry ignored"},
      {TicketFault::ForgetsWhileUsed, "tickets, old clock values trusted"},
      {TicketFault::ResendsElsewhere, "tickets, run without the issuer"}};
  for (const auto &[Fault, Name] : Faults) {
    SearchResult Result = explore(TicketModel(Fault));
    printResult(Name, Result);
    CHECK(Result.Violation == "a ticket ran twice");
  }
}
