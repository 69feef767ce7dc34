// Model check of the rule by which instances accept configurations: explores
// all orders of events by breadth-first search over canonical states.
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

/** Defect that accepts() introduces into the rule. */
enum class ConfigFault { None, AcceptAny, IgnoreConflict };

constexpr uint8_t MaxCrashes = 2;

/** Versions that the platform may publish; revision 2 has two contents. */
const std::array<ConfigurationVersion, 3> Published = {
    ConfigurationVersion{base::Revision(1), "a"},
    ConfigurationVersion{base::Revision(2), "b"},
    ConfigurationVersion{base::Revision(2), "c"}};

/** Applies the real rule, or the rule with a defect. */
bool accepts(ConfigFault Fault, const ConfigurationVersion &InForce,
             const ConfigurationVersion &Offered) {
  config::Acceptance Comparison = config::judgeVersion(InForce, Offered);
  if (Fault == ConfigFault::AcceptAny) {
    return Comparison != config::Acceptance::Same;
  }
  if (Fault == ConfigFault::IgnoreConflict &&
      Comparison == config::Acceptance::ConflictAccept) {
    return false;
  }
  return config::takesOffer(Comparison);
}

/**
 * Three instances that read from a platform whose replicas may be stale and
 * send each other their active configuration. At most two crashes in total. An
 * instance that is up without a configuration has just started.
 */
struct ConfigModel {
  ConfigFault Fault = ConfigFault::None;
  /** Content in force: 0 for none, else 1 + index in Published. */
  std::array<uint8_t, InstanceCount> InForce{};
  std::array<bool, InstanceCount> Up{true, true, true};
  uint8_t Crashes = 0;
  /** Offers in transit, as bits 1 << content; each may be delivered or lost. */
  std::array<uint8_t, InstanceCount> Inbox{};
  uint8_t IsolatedInstance = 0; ///< Partitioned instance; 3: none.
  bool RevisionDecreased = false;

  static ConfigurationVersion versionOf(uint8_t Content) {
    return Content == 0 ? ConfigurationVersion{} : Published.at(Content - 1U);
  }

  /** Encodes the state. Instances are symmetric, so their keys are sorted. */
  std::string key() const {
    std::array<std::string, InstanceCount> InstanceKeys;
    for (size_t I = 0; I < InstanceCount; ++I) {
      InstanceKeys[I] = {static_cast<char>(this->InForce[I]),
                         static_cast<char>(this->Up[I]),
                         static_cast<char>(this->Inbox[I]),
                         static_cast<char>(I == this->IsolatedInstance)};
    }
    std::sort(InstanceKeys.begin(), InstanceKeys.end());
    std::string Text{static_cast<char>(this->Crashes),
                     static_cast<char>(this->RevisionDecreased)};
    for (const std::string &Part : InstanceKeys) {
      Text += Part;
    }
    return Text;
  }

  bool canCommunicate(size_t From, size_t To) const {
    return this->Up[From] && this->Up[To] &&
           (From == this->IsolatedInstance) == (To == this->IsolatedInstance);
  }

  void offer(size_t To, uint8_t Content) {
    ConfigurationVersion Before = versionOf(this->InForce[To]);
    ConfigurationVersion Offered = versionOf(Content);
    if (accepts(this->Fault, Before, Offered)) {
      this->RevisionDecreased =
          this->RevisionDecreased || Offered.Number < Before.Number;
      this->InForce[To] = Content;
    }
  }

  /** Lets connected instances exchange configurations and checks that they end
   * with the same one. */
  bool converges() const {
    ConfigModel Settled = *this;
    // Enough rounds for a rule that converges; under any other rule the
    // configurations still differ afterwards.
    constexpr int Rounds = 3;
    for (int Round = 0; Round < Rounds; ++Round) {
      for (size_t From = 0; From < InstanceCount; ++From) {
        for (size_t To = 0; To < InstanceCount; ++To) {
          if (From != To && Settled.canCommunicate(From, To) &&
              Settled.InForce[From] != 0) {
            Settled.offer(To, Settled.InForce[From]);
          }
        }
      }
    }
    for (size_t From = 0; From < InstanceCount; ++From) {
      for (size_t To = 0; To < InstanceCount; ++To) {
        if (Settled.canCommunicate(From, To) &&
            Settled.InForce[From] != Settled.InForce[To]) {
          return false;
        }
      }
    }
    return true;
  }

  std::string check() const {
    if (this->RevisionDecreased) {
      return "a revision decreased";
    }
    return this->converges() ? "" : "connected instances differ";
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
      // Read from the platform; a stale replica may serve any content.
      for (size_t Index = 0; Index < Published.size(); ++Index) {
        auto Content = static_cast<uint8_t>(Index + 1);
        Add([I, Content](ConfigModel &Next) { Next.offer(I, Content); });
      }
      // Offer to another instance; it stays in transit if a partition follows.
      for (size_t To = 0; To < InstanceCount; ++To) {
        if (To != I && this->InForce[I] != 0 && this->canCommunicate(I, To)) {
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
    for (uint8_t IsolatedInstance = 0; IsolatedInstance <= InstanceCount;
         ++IsolatedInstance) {
      if (IsolatedInstance != this->IsolatedInstance) {
        Add([IsolatedInstance](ConfigModel &Next) {
          Next.IsolatedInstance = IsolatedInstance;
        });
      }
    }
    return All;
  }
};

} // namespace

// Guards against an order of deliveries, stale reads, restarts and partitions
// in which a revision decreases or connected instances do not converge.
TEST_CASE("the configuration rule holds in every order",
          "[model][virtual-time]") {
  SearchResult Result = explore(ConfigModel{});
  printResult("configuration rule", Result);
  CHECK(Result.Violation.empty());
  CHECK(Result.States > 10'000);
}

// Guards against a model check that does not detect a defective rule.
TEST_CASE("the check finds a missing configuration rule", "[model]") {
  ConfigModel AcceptsAny;
  AcceptsAny.Fault = ConfigFault::AcceptAny;
  SearchResult Result = explore(AcceptsAny);
  printResult("configuration, accepts any offer", Result);
  CHECK_FALSE(Result.Violation.empty());

  ConfigModel IgnoresConflict;
  IgnoresConflict.Fault = ConfigFault::IgnoreConflict;
  Result = explore(IgnoresConflict);
  printResult("configuration, conflict ignored", Result);
  CHECK(Result.Violation == "connected instances differ");
}
