#ifndef HICKORYCRANK_TESTS_VIRTUAL_FLEET_H
#define HICKORYCRANK_TESTS_VIRTUAL_FLEET_H

#include "base/digest_func.h"
#include "config/document_func.h"
#include "peers/node_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorycrank::tests {

/** Simulates nodes on virtual time and a network with delay, packet loss and
 * partitions. */
class VirtualFleet {
public:
  /** A node, its process state and the actions it returned. */
  struct SimulatedNode {
    std::unique_ptr<peers::Node> Node;
    bool Down = false;   ///< Killed: does not run and drops messages.
    bool Paused = false; ///< Does not run; messages are queued.
    std::vector<peers::Envelope> Inbox; ///< Queued during a pause.
    std::vector<std::pair<base::TimePoint, query::PublishFact>> LearntFacts;
    std::map<uint64_t, base::TimePoint> InForceSince; ///< By revision.
    size_t Conflicts = 0;
    /** Server lists received from peers, each with the number of facts learnt
     * before it. */
    std::vector<std::pair<size_t, peers::ServerList>> ServerLists;
  };

  explicit VirtualFleet(size_t Count, uint64_t Seed = 1, size_t Domains = 3)
      : Generator(Seed) {
    for (size_t I = 0; I < Count; ++I) {
      this->Nodes.emplace_back();
      this->PlatformList.push_back(makeMember(I, I % Domains));
      this->start(I);
    }
    for (SimulatedNode &Instance : this->Nodes) {
      Instance.Node->onListing(this->Now, this->PlatformList);
      Instance.Node->onPlatformRead();
    }
  }

  static peers::Member makeMember(size_t Index, size_t Domain) {
    peers::Member Instance;
    Instance.Id = base::InstanceId("entry-" + std::to_string(Index));
    Instance.Address = std::to_string(Index);
    Instance.Domain = base::FailureDomainId("d" + std::to_string(Domain));
    return Instance;
  }

  /** Starts the process of an instance under a new incarnation. */
  void start(size_t Index) {
    SimulatedNode &Instance = this->Nodes[Index];
    peers::Member Own = this->PlatformList[Index];
    Own.Process = base::Incarnation(++this->LastIncarnation);
    Instance.Node = std::make_unique<peers::Node>(
        this->Now, Own, peers::NodeOptions{}, this->Generator.next());
    Instance.Down = false;
    Instance.Paused = false;
  }

  /** Ends a pause: reports it to the node, then delivers queued messages. */
  void resume(size_t Index) {
    this->Nodes[Index].Paused = false;
    this->Nodes[Index].Node->onPause(this->Now);
    auto Deferred = std::move(this->Nodes[Index].Inbox);
    this->Nodes[Index].Inbox.clear();
    for (const peers::Envelope &Message : Deferred) {
      this->deliver(Index, Message);
    }
  }

  void run(base::Duration Span) {
    base::TimePoint End = this->Now + Span;
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(5);
      while (!this->InFlight.empty() &&
             this->InFlight.begin()->first <= this->Now) {
        auto [Target, Message] = std::move(this->InFlight.begin()->second);
        this->InFlight.erase(this->InFlight.begin());
        this->deliver(Target, Message);
      }
      if (++this->StepCount % 4 != 0) {
        continue;
      }
      for (size_t I = 0; I < this->Nodes.size(); ++I) {
        if (this->Nodes[I].Down || this->Nodes[I].Paused) {
          continue;
        }
        peers::Actions Produced;
        this->Nodes[I].Node->onTick(this->Now, Produced);
        this->execute(I, Produced);
        this->Nodes[I].Node->evaluateReadiness(this->Now);
      }
    }
  }

  /** Runs until a condition holds. @return Elapsed time; nothing on timeout. */
  std::optional<base::Duration> runUntil(const std::function<bool()> &Condition,
                                         base::Duration Limit) {
    base::TimePoint StartTime = this->Now;
    while (!Condition()) {
      if (this->Now - StartTime >= Limit) {
        return std::nullopt;
      }
      this->run(std::chrono::milliseconds(20));
    }
    return this->Now - StartTime;
  }

  /** Activates a configuration on one instance, as if read from the platform.
   */
  void putInForce(size_t Index, const config::ConfigurationTexts &Texts) {
    auto Listed = config::parseManifest(Texts.Manifest);
    config::ConfigurationVersion Version{Listed.value().Number,
                                         Listed.value().Sha256};
    this->Nodes[Index].Node->onInForce(
        Version, std::make_shared<const config::ConfigurationTexts>(Texts));
    this->Nodes[Index].InForceSince.try_emplace(Version.Number.Value,
                                                this->Now);
  }

  /** Counts running instances whose record of a member meets a condition. */
  size_t countObservers(
      size_t Subject,
      const std::function<bool(const peers::MemberRecord &)> &Matches) {
    size_t Count = 0;
    for (size_t I = 0; I < this->Nodes.size(); ++I) {
      if (I == Subject || this->Nodes[I].Down) {
        continue;
      }
      const auto *Record =
          this->Nodes[I].Node->members().find(this->PlatformList[Subject].Id);
      Count += Record != nullptr && Matches(*Record) ? 1 : 0;
    }
    return Count;
  }

  size_t countObserversOf(size_t Subject, peers::MemberState State) {
    return this->countObservers(Subject,
                                [State](const peers::MemberRecord &Record) {
                                  return Record.View.State == State;
                                });
  }

  /** @return Suspicions raised by all instances so far. */
  uint64_t suspicions() const {
    uint64_t Total = 0;
    for (const SimulatedNode &Instance : this->Nodes) {
      Total += Instance.Node->members().counters().Suspicions;
    }
    return Total;
  }

  std::vector<SimulatedNode> Nodes;
  std::vector<peers::Member> PlatformList;
  base::TimePoint Now = base::TimePoint(std::chrono::hours(1));
  base::Duration Delay = std::chrono::milliseconds(2);
  double LossProbability = 0;
  /** Whether messages from one instance to another are lost. */
  std::function<bool(size_t, size_t)> IsCut;
  /** Called for each message that is sent, including lost ones. */
  std::function<void(const peers::Envelope &)> OnSend;
  uint64_t Messages = 0;

private:
  void execute(size_t From, peers::Actions &Produced) {
    for (peers::Action &Step : Produced) {
      SimulatedNode &Source = this->Nodes[From];
      if (auto *Send = std::get_if<peers::SendMessage>(&Step)) {
        size_t Target = std::stoul(Send->Address);
        ++this->Messages;
        if (this->OnSend) {
          this->OnSend(Send->Message);
        }
        if ((this->IsCut && this->IsCut(From, Target)) ||
            this->Generator.unit() < this->LossProbability) {
          continue;
        }
        this->InFlight.emplace(
            this->Now + this->Delay,
            std::make_pair(Target, std::move(Send->Message)));
      } else if (auto *Fact = std::get_if<peers::ApplyFact>(&Step)) {
        Source.LearntFacts.emplace_back(this->Now, Fact->Fact);
      } else if (auto *Offer = std::get_if<peers::OfferConfiguration>(&Step)) {
        this->putInForce(From, Offer->Texts);
      } else if (auto *Servers = std::get_if<peers::OfferServers>(&Step)) {
        Source.ServerLists.emplace_back(Source.LearntFacts.size(),
                                        Servers->List);
      } else if (std::holds_alternative<peers::ReportConflict>(Step)) {
        ++Source.Conflicts;
      }
    }
  }

  void deliver(size_t Target, const peers::Envelope &Message) {
    SimulatedNode &Instance = this->Nodes[Target];
    if (Instance.Down) {
      return;
    }
    if (Instance.Paused) {
      Instance.Inbox.push_back(Message);
      return;
    }
    peers::Actions Produced;
    Instance.Node->onMessage(this->Now, Message, Produced);
    this->execute(Target, Produced);
  }

  base::Random Generator;
  uint64_t LastIncarnation = 100;
  uint64_t StepCount = 0;
  std::multimap<base::TimePoint, std::pair<size_t, peers::Envelope>> InFlight;
};

} // namespace hickorycrank::tests

#endif
