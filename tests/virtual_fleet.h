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

/** Nodes on virtual time with a network that loses, delays and cuts. */
class VirtualFleet {
public:
  /** One node and what it was told to do. */
  struct Place {
    std::unique_ptr<peers::Node> Node;
    bool Down = false;                  ///< Killed: neither runs nor receives.
    bool Paused = false;                ///< Does not run; its messages wait.
    std::vector<peers::Envelope> Inbox; ///< Arrived during a pause.
    std::vector<std::pair<base::TimePoint, query::PublishFact>> Learnt;
    std::map<uint64_t, base::TimePoint> InForceSince; ///< By revision.
    size_t Conflicts = 0;
    /** Lists of servers taken from peers, and how many facts preceded each. */
    std::vector<std::pair<size_t, peers::ServerList>> Lists;
  };

  explicit VirtualFleet(size_t Count, uint64_t Seed = 1, size_t Domains = 3)
      : Generator(Seed) {
    for (size_t I = 0; I < Count; ++I) {
      this->Places.emplace_back();
      this->Listing.push_back(member(I, I % Domains));
      this->start(I);
    }
    for (Place &Entry : this->Places) {
      Entry.Node->onListing(this->Now, this->Listing);
      Entry.Node->onPlatformRead();
    }
  }

  static peers::Member member(size_t Index, size_t Domain) {
    peers::Member Entry;
    Entry.Id = base::InstanceId("entry-" + std::to_string(Index));
    Entry.Address = std::to_string(Index);
    Entry.Domain = base::FailureDomainId("d" + std::to_string(Domain));
    return Entry;
  }

  /** Starts a process at a place, after a kill with a new incarnation. */
  void start(size_t Index) {
    Place &Entry = this->Places[Index];
    peers::Member Own = this->Listing[Index];
    Own.Process = base::Incarnation(++this->LastProcess);
    Entry.Node = std::make_unique<peers::Node>(
        this->Now, Own, peers::NodeOptions{}, this->Generator.next());
    Entry.Down = false;
    Entry.Paused = false;
  }

  /** Ends a pause as the timer service reports it. */
  void resume(size_t Index) {
    this->Places[Index].Paused = false;
    this->Places[Index].Node->onPause(this->Now);
    auto Waiting = std::move(this->Places[Index].Inbox);
    this->Places[Index].Inbox.clear();
    for (const peers::Envelope &Message : Waiting) {
      this->deliver(Index, Message);
    }
  }

  void run(base::Duration Span) {
    base::TimePoint End = this->Now + Span;
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(5);
      while (!this->Flying.empty() &&
             this->Flying.begin()->first <= this->Now) {
        auto [Target, Message] = std::move(this->Flying.begin()->second);
        this->Flying.erase(this->Flying.begin());
        this->deliver(Target, Message);
      }
      if (++this->Steps % 4 != 0) {
        continue;
      }
      for (size_t I = 0; I < this->Places.size(); ++I) {
        if (this->Places[I].Down || this->Places[I].Paused) {
          continue;
        }
        peers::Actions Decided;
        this->Places[I].Node->onTick(this->Now, Decided);
        this->carryOut(I, Decided);
        this->Places[I].Node->evaluateReadiness(this->Now);
      }
    }
  }

  /** Runs until a condition holds. @return The time that it took. */
  std::optional<base::Duration> runUntil(const std::function<bool()> &Holds,
                                         base::Duration Limit) {
    base::TimePoint Begin = this->Now;
    while (!Holds()) {
      if (this->Now - Begin >= Limit) {
        return std::nullopt;
      }
      this->run(std::chrono::milliseconds(20));
    }
    return this->Now - Begin;
  }

  /** Puts a configuration in force at one place, as if from the platform. */
  void putInForce(size_t Index, const config::ConfigurationTexts &Texts) {
    auto Listed = config::parseManifest(Texts.Manifest);
    config::ConfigurationVersion Version{Listed.value().Number,
                                         Listed.value().Sha256};
    this->Places[Index].Node->onInForce(
        Version, std::make_shared<const config::ConfigurationTexts>(Texts));
    this->Places[Index].InForceSince.try_emplace(Version.Number.Value,
                                                 this->Now);
  }

  /** Counts running places whose view of a member satisfies a condition. */
  size_t viewers(size_t Of,
                 const std::function<bool(const peers::MemberRecord &)> &Is) {
    size_t Count = 0;
    for (size_t I = 0; I < this->Places.size(); ++I) {
      if (I == Of || this->Places[I].Down) {
        continue;
      }
      const auto *Record =
          this->Places[I].Node->members().find(this->Listing[Of].Id);
      Count += Record != nullptr && Is(*Record) ? 1 : 0;
    }
    return Count;
  }

  size_t viewersOf(size_t Of, peers::MemberState State) {
    return this->viewers(Of, [State](const peers::MemberRecord &Record) {
      return Record.View.State == State;
    });
  }

  /** @return Suspicions raised by all places so far. */
  uint64_t suspicions() const {
    uint64_t Total = 0;
    for (const Place &Entry : this->Places) {
      Total += Entry.Node->members().counters().Suspicions;
    }
    return Total;
  }

  std::vector<Place> Places;
  std::vector<peers::Member> Listing;
  base::TimePoint Now = base::TimePoint(std::chrono::hours(1));
  base::Duration Delay = std::chrono::milliseconds(2);
  double Loss = 0;
  /** Whether the network is cut between two places. */
  std::function<bool(size_t, size_t)> Cut;
  /** Sees each message that is sent. */
  std::function<void(const peers::Envelope &)> Observe;
  uint64_t Messages = 0;

private:
  void carryOut(size_t From, peers::Actions &Decided) {
    for (peers::Action &Step : Decided) {
      Place &Source = this->Places[From];
      if (auto *Send = std::get_if<peers::SendMessage>(&Step)) {
        size_t Target = std::stoul(Send->Address);
        ++this->Messages;
        if (this->Observe) {
          this->Observe(Send->Message);
        }
        if ((this->Cut && this->Cut(From, Target)) ||
            this->Generator.unit() < this->Loss) {
          continue;
        }
        this->Flying.emplace(this->Now + this->Delay,
                             std::make_pair(Target, std::move(Send->Message)));
      } else if (auto *Fact = std::get_if<peers::ApplyFact>(&Step)) {
        Source.Learnt.emplace_back(this->Now, Fact->Fact);
      } else if (auto *Offer = std::get_if<peers::OfferConfiguration>(&Step)) {
        this->putInForce(From, Offer->Texts);
      } else if (auto *Servers = std::get_if<peers::OfferServers>(&Step)) {
        Source.Lists.emplace_back(Source.Learnt.size(), Servers->List);
      } else if (std::holds_alternative<peers::ReportConflict>(Step)) {
        ++Source.Conflicts;
      }
    }
  }

  void deliver(size_t Target, const peers::Envelope &Message) {
    Place &Entry = this->Places[Target];
    if (Entry.Down) {
      return;
    }
    if (Entry.Paused) {
      Entry.Inbox.push_back(Message);
      return;
    }
    peers::Actions Decided;
    Entry.Node->onMessage(this->Now, Message, Decided);
    this->carryOut(Target, Decided);
  }

  base::Random Generator;
  uint64_t LastProcess = 100;
  uint64_t Steps = 0;
  std::multimap<base::TimePoint, std::pair<size_t, peers::Envelope>> Flying;
};

} // namespace hickorycrank::tests

#endif
