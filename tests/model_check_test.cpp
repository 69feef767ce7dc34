// Explores all orders of events of small instances of the real rules by
// breadth-first search with a visited set of canonical states.
#include "config/acceptance_func.h"
#include "once/registry_base.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

using namespace hickorycrank;

namespace {

/** Result of a search. */
struct Search {
  size_t States = 0;
  std::string Violation; ///< Empty: none found.
  size_t Depth = 0;      ///< Of the violation or the deepest state.
};

/**
 * Visits every state that can be reached.
 * @param First Initial state; has key(), check() and successors().
 * @return What was found.
 */
template <typename State> Search explore(State First) {
  Search Found;
  std::unordered_set<std::string> Visited{First.key()};
  std::deque<std::pair<State, size_t>> Frontier;
  Frontier.emplace_back(std::move(First), 0);
  while (!Frontier.empty()) {
    auto [Current, Depth] = std::move(Frontier.front());
    Frontier.pop_front();
    ++Found.States;
    Found.Depth = Depth;
    Found.Violation = Current.check();
    if (!Found.Violation.empty()) {
      return Found;
    }
    for (State &Next : Current.successors()) {
      if (Visited.insert(Next.key()).second) {
        Frontier.emplace_back(std::move(Next), Depth + 1);
      }
    }
  }
  return Found;
}

void print(const char *Model, const Search &Result) {
  std::cout << "model check, " << Model << ": " << Result.States
            << " states, depth " << Result.Depth << ", "
            << (Result.Violation.empty() ? "no violation" : Result.Violation)
            << "\n";
}

constexpr size_t InstanceCount = 3;

// ---------------------------------------------------------------------------
// Configuration rule

using config::ConfigurationVersion;

/** Which rule the wrapper ignores. */
enum class ConfigFault { None, TakesAny, ConflictIgnored };

constexpr uint8_t MaxCrashes = 2;

/** What the platform may publish: revision 2 has two contents. */
const std::array<ConfigurationVersion, 3> Published = {
    ConfigurationVersion{base::Revision(1), "a"},
    ConfigurationVersion{base::Revision(2), "b"},
    ConfigurationVersion{base::Revision(2), "c"}};

/** The real rule, or the rule with a part taken out. */
bool takes(ConfigFault Fault, const ConfigurationVersion &InForce,
           const ConfigurationVersion &Offered) {
  config::Acceptance Verdict = config::judgeVersion(InForce, Offered);
  if (Fault == ConfigFault::TakesAny) {
    return Verdict != config::Acceptance::Same;
  }
  if (Fault == ConfigFault::ConflictIgnored &&
      Verdict == config::Acceptance::ConflictAccept) {
    return false;
  }
  return config::takesOffer(Verdict);
}

/**
 * Three instances that read a platform whose replicas may be stale, and offer
 * each other what they have in force. Bound: two crashes in all. An instance
 * that is up and has revision 0 has just started.
 */
struct ConfigModel {
  ConfigFault Fault = ConfigFault::None;
  std::array<uint8_t, InstanceCount> InForce{}; ///< 0: none; else 1 + index.
  std::array<bool, InstanceCount> Up{true, true, true};
  uint8_t Crashes = 0;
  /** Offers on their way, as bits 1 << content; may be delivered or lost. */
  std::array<uint8_t, InstanceCount> Inbox{};
  uint8_t Side = 0; ///< Instance cut off from the others, or 3 for none.
  bool Fell = false;

  static ConfigurationVersion versionOf(uint8_t Content) {
    return Content == 0 ? ConfigurationVersion{} : Published.at(Content - 1U);
  }

  /** The instances are alike, so that their order does not matter. */
  std::string key() const {
    std::array<std::string, InstanceCount> Parts;
    for (size_t I = 0; I < InstanceCount; ++I) {
      Parts[I] = {static_cast<char>(this->InForce[I]),
                  static_cast<char>(this->Up[I]),
                  static_cast<char>(this->Inbox[I]),
                  static_cast<char>(I == this->Side)};
    }
    std::sort(Parts.begin(), Parts.end());
    std::string Text{static_cast<char>(this->Crashes),
                     static_cast<char>(this->Fell)};
    for (const std::string &Part : Parts) {
      Text += Part;
    }
    return Text;
  }

  bool canTalk(size_t From, size_t To) const {
    return this->Up[From] && this->Up[To] &&
           (From == this->Side) == (To == this->Side);
  }

  void offer(size_t To, uint8_t Content) {
    ConfigurationVersion Before = versionOf(this->InForce[To]);
    ConfigurationVersion Offered = versionOf(Content);
    if (takes(this->Fault, Before, Offered)) {
      this->Fell = this->Fell || Offered.Number < Before.Number;
      this->InForce[To] = Content;
    }
  }

  /** Lets all that can talk exchange what they have until nothing changes. */
  bool converges() const {
    ConfigModel Quiet = *this;
    // Enough for any finite exchange; an endless one shows as a difference.
    constexpr int Rounds = 3;
    for (int Round = 0; Round < Rounds; ++Round) {
      for (size_t From = 0; From < InstanceCount; ++From) {
        for (size_t To = 0; To < InstanceCount; ++To) {
          if (From != To && Quiet.canTalk(From, To) &&
              Quiet.InForce[From] != 0) {
            Quiet.offer(To, Quiet.InForce[From]);
          }
        }
      }
    }
    for (size_t From = 0; From < InstanceCount; ++From) {
      for (size_t To = 0; To < InstanceCount; ++To) {
        if (Quiet.canTalk(From, To) &&
            Quiet.InForce[From] != Quiet.InForce[To]) {
          return false;
        }
      }
    }
    return true;
  }

  std::string check() const {
    if (this->Fell) {
      return "a revision fell";
    }
    return this->converges() ? "" : "instances that can talk differ";
  }

  std::vector<ConfigModel> successors() const {
    std::vector<ConfigModel> All;
    auto Add = [&](auto Change) {
      ConfigModel Next = *this;
      Change(Next);
      All.push_back(Next);
    };
    for (size_t I = 0; I < InstanceCount; ++I) {
      if (!this->Up[I]) {
        Add([I](ConfigModel &Next) { Next.Up[I] = true; });
        continue;
      }
      // A read of the platform; a stale replica serves any older content.
      for (size_t Index = 0; Index < Published.size(); ++Index) {
        auto Content = static_cast<uint8_t>(Index + 1);
        Add([I, Content](ConfigModel &Next) { Next.offer(I, Content); });
      }
      // Push to another instance; it stays on its way across partitions.
      for (size_t To = 0; To < InstanceCount; ++To) {
        if (To != I && this->InForce[I] != 0 && this->canTalk(I, To)) {
          Add([I, To](ConfigModel &Next) {
            Next.Inbox[To] |= static_cast<uint8_t>(1U << Next.InForce[I]);
          });
        }
      }
      for (size_t Index = 0; Index < Published.size(); ++Index) {
        auto Content = static_cast<uint8_t>(Index + 1);
        auto Bit = static_cast<uint8_t>(1U << Content);
        if ((this->Inbox[I] & Bit) != 0) {
          Add([I, Content, Bit](ConfigModel &Next) {
            Next.Inbox[I] = static_cast<uint8_t>(Next.Inbox[I] & ~Bit);
            Next.offer(I, Content);
          });
        }
      }
      if (this->Crashes < MaxCrashes) {
        Add([I](ConfigModel &Next) {
          Next.Up[I] = false;
          Next.InForce[I] = 0;
          Next.Inbox[I] = 0;
          ++Next.Crashes;
        });
      }
    }
    for (uint8_t Side = 0; Side <= InstanceCount; ++Side) {
      if (Side != this->Side) {
        Add([Side](ConfigModel &Next) { Next.Side = Side; });
      }
    }
    return All;
  }
};

// ---------------------------------------------------------------------------
// Ticket rules

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

// Guards against an order of deliveries, stale reads, restarts and partitions
// in which a revision falls or instances stay apart.
TEST_CASE("the configuration rule holds in every order",
          "[model][virtual-time]") {
  Search Result = explore(ConfigModel{});
  print("configuration rule", Result);
  CHECK(Result.Violation.empty());
  CHECK(Result.States > 10'000);
}

// Guards against a check that would not see a configuration that reverts.
TEST_CASE("the check finds a missing configuration rule", "[model]") {
  ConfigModel Any;
  Any.Fault = ConfigFault::TakesAny;
  Search Result = explore(Any);
  print("configuration, takes any offer", Result);
  CHECK_FALSE(Result.Violation.empty());

  ConfigModel Ignored;
  Ignored.Fault = ConfigFault::ConflictIgnored;
  Result = explore(Ignored);
  print("configuration, conflict ignored", Result);
  CHECK(Result.Violation == "instances that can talk differ");
}

// Guards against an order of sends, repeats, lost replies, restarts, pauses
// and expiries in which a ticketed request runs twice.
TEST_CASE("the ticket rules hold in every order", "[model][virtual-time]") {
  Search Result = explore(TicketModel(TicketFault::None));
  print("ticket rules", Result);
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
    Search Result = explore(TicketModel(Fault));
    print(Name, Result);
    CHECK(Result.Violation == "a ticket ran twice");
  }
}
