// Explores all orders of events of the configuration rule by breadth-first
// search with a visited set of canonical states.
#include "config/acceptance_func.h"
#include "model_check.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;

namespace {

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

} // namespace

// Guards against an order of deliveries, stale reads, restarts and partitions
// in which a revision falls or instances stay apart.
TEST_CASE("the configuration rule holds in every order",
          "[model][virtual-time]") {
  SearchResult Result = explore(ConfigModel{});
  printResult("configuration rule", Result);
  CHECK(Result.Violation.empty());
  CHECK(Result.States > 10'000);
}

// Guards against a check that would not see a configuration that reverts.
TEST_CASE("the check finds a missing configuration rule", "[model]") {
  ConfigModel Any;
  Any.Fault = ConfigFault::TakesAny;
  SearchResult Result = explore(Any);
  printResult("configuration, takes any offer", Result);
  CHECK_FALSE(Result.Violation.empty());

  ConfigModel Ignored;
  Ignored.Fault = ConfigFault::ConflictIgnored;
  Result = explore(Ignored);
  printResult("configuration, conflict ignored", Result);
  CHECK(Result.Violation == "instances that can talk differ");
}
