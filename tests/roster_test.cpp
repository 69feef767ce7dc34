// Membership of many instances on virtual time, without network.
#include "base/random_base.h"
#include "fleet/roster_base.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace std::chrono_literals;

namespace {

/** Rosters that send each other heartbeats, each with its own phase. Messages
 * arrive at once; a share of them is lost. */
class RosterFleet {
public:
  RosterFleet(size_t Count, size_t Domains, double LossShare)
      : LossShare(LossShare) {
    for (size_t I = 0; I < Count; ++I) {
      std::string Address = "i-" + std::to_string(I);
      base::FailureDomainId Domain("d" + std::to_string(I % Domains));
      auto Members = std::make_unique<fleet::Roster>(this->Now, Address, Domain,
                                                     /*RandomSeed=*/I + 1);
      Members->setSeedAddresses({"i-0", "i-1", "i-2"});
      this->Index[Address] = I;
      this->Instances.push_back({Address, Domain, std::move(Members)});
    }
  }

  /** Advances the time; each instance sends one heartbeat a period. */
  void run(base::Duration Time) {
    constexpr base::Duration Step = 25ms;
    size_t Phases = fleet::Roster::HeartbeatPeriod / Step;
    for (base::Duration Done{}; Done < Time; Done += Step) {
      this->Now += Step;
      size_t Phase = this->Steps++ % Phases;
      for (size_t I = Phase; I < this->Instances.size(); I += Phases) {
        this->sendHeartbeats(I);
      }
    }
  }

  /** @return Share of the other instances of an own failure domain that count
   * as dead, over all instances. All of them are alive. */
  double falseDeaths() const {
    size_t Others = 0;
    size_t Alive = 0;
    for (const Instance &Observer : this->Instances) {
      auto InDomain = [&](const auto &Entry) {
        return Entry.Domain == Observer.Domain;
      };
      Others += std::count_if(this->Instances.begin(), this->Instances.end(),
                              InDomain) -
                1;
      for (const fleet::Heartbeat *Last :
           Observer.Members->relayTargets(this->Now)) {
        Alive += InDomain(*Last) ? 1 : 0;
      }
    }
    return 1 - static_cast<double>(Alive) / static_cast<double>(Others);
  }

private:
  struct Instance {
    std::string Address;
    base::FailureDomainId Domain;
    std::unique_ptr<fleet::Roster> Members;
  };

  void sendHeartbeats(size_t Sender) {
    Instance &From = this->Instances[Sender];
    fleet::Heartbeat Message;
    Message.Address = From.Address;
    Message.Domain = From.Domain;
    Message.AcceptsRelays = true;
    Message.Peers = From.Members->sampleAddresses();
    for (const std::string &Target : From.Members->chooseTargets(this->Now)) {
      if (this->Generator.unit() >= this->LossShare) {
        this->Instances[this->Index.at(Target)].Members->onHeartbeat(this->Now,
                                                                     Message);
      }
    }
  }

  double LossShare;
  base::TimePoint Now{1h};
  size_t Steps = 0;
  base::Random Generator{99};
  std::vector<Instance> Instances;
  std::map<std::string, size_t> Index;
};

/** @return Largest share of living instances that count as dead, over ten
 * seconds after the fleet has found itself. */
double worstFalseDeaths(size_t Count, size_t Domains) {
  RosterFleet Fleet(Count, Domains, /*LossShare=*/0);
  Fleet.run(15s);
  double Worst = 0;
  for (int Second = 0; Second < 10; ++Second) {
    Fleet.run(1s);
    Worst = std::max(Worst, Fleet.falseDeaths());
  }
  return Worst;
}

} // namespace

// Guards against instances of the own failure domain that count as dead
// although they run, so that the reader of the store and relays change hands.
TEST_CASE("no living instance counts as dead among 30", "[virtual-time]") {
  CHECK(worstFalseDeaths(30, 3) == 0);
}

// The same with more instances in a failure domain than get a heartbeat in one
// period: 24, 60 and 97.
TEST_CASE("no living instance counts as dead among 118", "[virtual-time]") {
  CHECK(worstFalseDeaths(118, 5) == 0);
}
TEST_CASE("no living instance counts as dead among 300", "[virtual-time]") {
  CHECK(worstFalseDeaths(300, 5) == 0);
}
TEST_CASE("no living instance counts as dead among 680", "[virtual-time]") {
  CHECK(worstFalseDeaths(680, 7) == 0);
}
