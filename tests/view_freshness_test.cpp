// Reading of the platform's store by many instances on virtual time, while the
// store answers only some of them.
#include "base/random_base.h"
#include "fleet/roster_base.h"
#include "fleet/view_freshness_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace std::chrono_literals;

namespace {

/** A deployment and the bounds of its store. */
struct FleetPlan {
  size_t Instances = 9;
  size_t Domains = 3;
  std::chrono::milliseconds ChangeBound = 3s;
  size_t ReadsPerSecond = 2'000;
};

/** Rosters that read a store and send each other heartbeats. The reading is a
 * model of daemon::StoreReader: one watch at a time, which a silent store never
 * answers. */
class ReadingFleet {
public:
  ReadingFleet(const FleetPlan &Plan, const fleet::ReadTiming &Timing,
               uint64_t Seed)
      : Timing(Timing), Generator(Seed) {
    for (size_t I = 0; I < Plan.Instances; ++I) {
      std::string Address = "i-" + std::to_string(100 + I);
      base::FailureDomainId Domain("d" + std::to_string(I % Plan.Domains));
      Instance Added;
      Added.Address = Address;
      Added.Domain = Domain;
      Added.Members = std::make_unique<fleet::Roster>(
          this->Now, Address, Domain, this->Generator.next());
      Added.Members->setSeedAddresses({"i-100", "i-101", "i-102"});
      this->Index[Address] = I;
      this->Instances.push_back(std::move(Added));
    }
  }

  void run(base::Duration Time) {
    size_t Phases = fleet::Roster::HeartbeatPeriod / Step;
    for (base::Duration Done{}; Done < Time; Done += Step) {
      this->Now += Step;
      size_t Phase = this->Steps++ % Phases;
      for (size_t I = 0; I < this->Instances.size(); ++I) {
        this->advanceReader(this->Instances[I]);
        this->decide(this->Instances[I]);
        if (I % Phases == Phase) {
          this->sendHeartbeats(this->Instances[I]);
        }
      }
    }
  }

  /** Runs for a time shorter than a watch, so that watches are in any phase. */
  void runToRandomPhase() {
    this->run(Step * static_cast<int>(this->Generator.below(240)));
  }

  /** The store answers no call of these instances any more. */
  void silence(const std::set<size_t> &Chosen) {
    for (size_t I : Chosen) {
      this->Instances[I].Silenced = true;
    }
  }

  /** @return The instances that read the store now. */
  std::set<size_t> readers() const {
    std::set<size_t> Found;
    for (size_t I = 0; I < this->Instances.size(); ++I) {
      if (this->Instances[I].Reading) {
        Found.insert(I);
      }
    }
    return Found;
  }

  void change() { ++this->Revision; }

  /** No instance gives another one its view any more. */
  void endCopies() { this->CopiesFail = true; }

  /** @return Whether all instances that the store answers have its changes. */
  bool isUpToDate() const {
    return std::all_of(this->Instances.begin(), this->Instances.end(),
                       [&](const Instance &Entry) {
                         return Entry.Silenced || Entry.View == this->Revision;
                       });
  }

  /** @return Calls to the store since the last call of this function. */
  size_t takeCalls() { return std::exchange(this->Calls, 0); }
  /** @return Largest number of calls in a second. */
  size_t worstCallsPerSecond() const {
    size_t Worst = 0;
    for (const auto &[Second, Count] : this->CallsBySecond) {
      Worst = std::max(Worst, Count);
    }
    return Worst;
  }

private:
  static constexpr base::Duration Step = 25ms;
  static constexpr base::Duration ResponseTimeout = 1'200ms;
  static constexpr double LossShare = 0.02; ///< Of the heartbeats.

  struct Instance {
    std::string Address;
    base::FailureDomainId Domain;
    std::unique_ptr<fleet::Roster> Members;
    fleet::ViewFreshness Freshness;
    uint64_t View = 0; ///< Revision of the last change; 0 without a view.
    bool Silenced = false;
    bool Reading = false;
    bool Healthy = false;
    bool Waiting = false; ///< For the answer to a call.
    base::TimePoint NextCallAt;
    base::TimePoint SentAt;
    base::Duration Wait{};
    std::optional<base::TimePoint> VerifiedAt;
  };

  static discovery::StorePosition position(uint64_t Revision) {
    return {Revision == 0 ? 0U : 1U, Revision};
  }

  void advanceReader(Instance &Reader) {
    if (!Reader.Reading) {
      return;
    }
    if (!Reader.Waiting) {
      if (this->Now >= Reader.NextCallAt) {
        this->sendCall(Reader);
      }
      return;
    }
    base::Duration Age = this->Now - Reader.SentAt;
    if (Reader.Silenced) {
      if (Age >= Reader.Wait + ResponseTimeout) {
        Reader.Waiting = Reader.Healthy = false;
        Reader.NextCallAt = this->Now + 500ms;
      }
      return;
    }
    bool Changed = Reader.View != this->Revision;
    if (Changed || Age >= Reader.Wait) {
      Reader.View = this->Revision;
      Reader.VerifiedAt = Reader.SentAt + (Changed ? 0ms : Reader.Wait);
      fleet::recordOwnRead(Reader.Freshness, *Reader.VerifiedAt);
      Reader.Healthy = true;
      Reader.Waiting = false;
      Reader.NextCallAt = this->Now + (Changed ? 150ms : 0ms);
    }
  }

  void sendCall(Instance &Reader) {
    ++this->Calls;
    ++this->CallsBySecond[this->Now.time_since_epoch() / 1s];
    Reader.Waiting = true;
    Reader.SentAt = this->Now;
    Reader.Wait = Reader.Healthy
                      ? this->Timing.WatchWait
                      : std::min<base::Duration>(500ms, this->Timing.WatchWait);
  }

  void decide(Instance &Own) {
    fleet::applyPendingClaims(Own.Freshness, position(Own.View));
    bool Read = Own.Members->shouldReadStore(
        this->Now, Own.View != 0, fleet::viewAge(Own.Freshness, this->Now),
        this->Timing);
    if (Read != Own.Reading) {
      Own.Reading = Read;
      Own.Waiting = Own.Healthy = false;
      Own.NextCallAt = this->Now;
    }
    auto Newer = Own.Members->findInstanceWithNewerView(
        this->Now, position(Own.View), Own.Reading);
    if (Newer && this->CopiesFail) {
      Own.Members->onCopyFailed(this->Now, Newer->Address, /*Busy=*/false);
    } else if (Newer) {
      Own.View = std::max(Own.View,
                          this->Instances[this->Index.at(Newer->Address)].View);
    }
  }

  void sendHeartbeats(Instance &Sender) {
    fleet::Heartbeat Message;
    Message.Address = Sender.Address;
    Message.Domain = Sender.Domain;
    Message.LastChange = position(Sender.View);
    Message.Peers = Sender.Members->sampleAddresses();
    Message.StoreHealthy =
        Sender.Healthy && Sender.VerifiedAt &&
        this->Now - *Sender.VerifiedAt <= this->Timing.ReaderAge;
    if (Sender.Freshness.VerifiedAt) {
      Message.ViewAge = std::chrono::ceil<std::chrono::milliseconds>(
          this->Now - *Sender.Freshness.VerifiedAt);
    }
    for (const std::string &Target : Sender.Members->chooseTargets(this->Now)) {
      if (this->Generator.unit() < LossShare) {
        continue;
      }
      Instance &Receiver = this->Instances[this->Index.at(Target)];
      Receiver.Members->onHeartbeat(this->Now, Message);
      fleet::recordClaim(Receiver.Freshness, this->Now, Message,
                         position(Receiver.View));
    }
  }

  fleet::ReadTiming Timing;
  base::Random Generator;
  base::TimePoint Now{1h};
  bool CopiesFail = false;
  size_t Steps = 0;
  size_t Calls = 0;
  std::map<int64_t, size_t> CallsBySecond;
  uint64_t Revision = 1;
  std::vector<Instance> Instances;
  std::map<std::string, size_t> Index;
};

/** Which instances get no answer from the store. */
enum class Silence {
  AllReaders,
  Half,
  AllButOne,
  /** None, but the instances that have the change pass it on to nobody. */
  Peers,
};

std::set<size_t> chooseSilenced(const ReadingFleet &Fleet, Silence Kind,
                                size_t Count, base::Random &Generator) {
  if (Kind == Silence::AllReaders) {
    return Fleet.readers();
  }
  if (Kind == Silence::Peers) {
    return {};
  }
  std::set<size_t> Chosen;
  size_t Spared = Generator.below(Count);
  for (size_t I = 0; I < Count; ++I) {
    bool Silenced =
        Kind == Silence::AllButOne ? I != Spared : Generator.below(2) == 0;
    if (Silenced) {
      Chosen.insert(I);
    }
  }
  return Chosen;
}

/** What a play has shown. */
struct Played {
  base::Duration Delay{}; ///< Until all that the store answers have the change.
  size_t CallsPerSecond = 0; ///< In the worst second.
};

/** Silences some instances in any phase of their watches, then changes the
 * store. */
Played play(const FleetPlan &Plan, const fleet::ReadTiming &Timing,
            Silence Kind, uint64_t Seed) {
  base::Random Generator(Seed + 1'000);
  ReadingFleet Fleet(Plan, Timing, Seed);
  Fleet.run(8s);
  Fleet.runToRandomPhase();
  Fleet.silence(chooseSilenced(Fleet, Kind, Plan.Instances, Generator));
  Fleet.run(25ms * static_cast<int>(Generator.below(80)));
  if (Kind == Silence::Peers) {
    Fleet.endCopies();
  }
  Fleet.change();
  Played Result;
  while (!Fleet.isUpToDate() && Result.Delay < 20s) {
    Fleet.run(25ms);
    Result.Delay += 25ms;
  }
  Result.CallsPerSecond = Fleet.worstCallsPerSecond();
  return Result;
}

const std::vector<FleetPlan> Plans = {{4, 3, 3s, 2'000},
                                      {9, 3, 3s, 2'000},
                                      {33, 3, 3s, 2'000},
                                      {118, 5, 6s, 16'000}};

/** Checks the bound of changes and the store's read rate over twelve plays. */
void checkPlays(const FleetPlan &Plan, Silence Kind) {
  fleet::ReadTiming Timing = fleet::makeReadTiming(Plan.ChangeBound);
  for (uint64_t Seed = 1; Seed <= 12; ++Seed) {
    Played Result = play(Plan, Timing, Kind, Seed);
    INFO(Plan.Instances << " instances, kind " << static_cast<int>(Kind)
                        << ", seed " << Seed);
    CHECK(Result.Delay < Plan.ChangeBound);
    CHECK(Result.CallsPerSecond <= Plan.ReadsPerSecond);
  }
}

} // namespace

// Guards against instances that serve an old configuration because all that
// read the store for the others get no answer: whichever these are, and in
// whichever phase their watches were, the others have each change in time.
TEST_CASE("changes arrive in time whoever the store leaves without an answer",
          "[virtual-time]") {
  for (size_t Index : {0, 1, 2}) {
    for (Silence Kind : {Silence::AllReaders, Silence::Half, Silence::AllButOne,
                         Silence::Peers}) {
      checkPlays(Plans[Index], Kind);
    }
  }
}

// The same with 118 instances.
TEST_CASE("changes arrive in time among 118 with silent readers",
          "[virtual-time]") {
  checkPlays(Plans[3], Silence::AllReaders);
}
TEST_CASE("changes arrive in time among 118 with half of them silent",
          "[virtual-time]") {
  checkPlays(Plans[3], Silence::Half);
}
TEST_CASE("changes arrive in time among 118 with one that is answered",
          "[virtual-time]") {
  checkPlays(Plans[3], Silence::AllButOne);
}
TEST_CASE("changes arrive in time among 118 without copies from peers",
          "[virtual-time]") {
  checkPlays(Plans[3], Silence::Peers);
}

// Shows that the plays above find the fault: with watches of 5 s and readers
// that count as healthy while they wait, a change takes longer than 3 s.
TEST_CASE("readers that only look healthy hold up changes", "[virtual-time]") {
  fleet::ReadTiming Trusting{5s, 1h, 0s, 1h};
  base::Duration Worst{};
  for (uint64_t Seed = 1; Seed <= 12; ++Seed) {
    Worst = std::max(Worst,
                     play(Plans[1], Trusting, Silence::AllReaders, Seed).Delay);
  }
  CHECK(Worst > 3s);
}

// Guards against instances that read the store although another one does it
// for them: each call is billed.
TEST_CASE("one instance of a failure domain reads a calm store",
          "[virtual-time]") {
  for (const FleetPlan &Plan : Plans) {
    fleet::ReadTiming Timing = fleet::makeReadTiming(Plan.ChangeBound);
    ReadingFleet Fleet(Plan, Timing, 5);
    Fleet.run(15s);
    Fleet.takeCalls();
    Fleet.run(20s);
    INFO(Plan.Instances << " instances");
    double Expected = static_cast<double>(Plan.Domains) *
                      (20'000 / base::toMilliseconds(Timing.WatchWait));
    CHECK(static_cast<double>(Fleet.takeCalls()) <= 1.2 * Expected);
  }
}
