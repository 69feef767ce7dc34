#include "query/engine_base.h"
#include "routing/selection_func.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

namespace hickorycrank::query {

using base::Duration;
using base::ServerIndex;
using base::TimePoint;

namespace {

/** Median assumed before any latency has been observed. */
constexpr Duration DefaultMedian = std::chrono::milliseconds(5);
/** Hedge delay before the latency has been learnt. */
constexpr Duration DefaultHedgeDelay = std::chrono::milliseconds(50);
/** One suspect at a time may have a server of its own per so many servers. A
 * single turn for all took 400 ms for the 40 requests in flight when ten
 * servers were lost at once. */
constexpr size_t ServersPerSuspect = 6;

} // namespace

Duration Engine::hedgeDelay() const {
  return this->Latencies.quantile(this->Options.Rules.HedgeQuantile,
                                  DefaultHedgeDelay);
}

bool Engine::hasLiveHolder(base::VersionId Version,
                           base::ShardIndex Shard) const {
  auto Found = this->Servers.versions().find(Version);
  if (Found == this->Servers.versions().end()) {
    return false;
  }
  const auto &Holders = Found->second.Holders[Shard.Value];
  return std::any_of(Holders.begin(), Holders.end(), [this](ServerIndex Index) {
    return this->Servers.at(Index).Phase == routing::ServerPhase::Live;
  });
}

std::optional<ServerIndex> Engine::pickServer(TimePoint Now, QueryState &Query,
                                              const Slot &Target) {
  boost::container::small_vector<ServerIndex, 4> Tried;
  for (const AttemptState &Attempt : Target.Attempts) {
    Tried.push_back(Attempt.Server);
  }
  double Typical =
      base::toMilliseconds(this->Latencies.quantile(0.5, DefaultMedian));
  return routing::chooseReplica(this->Servers, Query.Pinned.Version,
                                Target.Shard, {Tried.data(), Tried.size()},
                                this->Options.Domain, Typical, Now,
                                this->Generator);
}

void Engine::startSlots(TimePoint Now, QueryState &Query, Actions &Out) {
  if (Query.Mode == QueryMode::Suspect) {
    this->SuspectQueue.push_back(Query.Id);
    this->runSuspects(Now, Out);
    return;
  }
  for (uint32_t I = 0; I < Query.Slots.size(); ++I) {
    if (Query.Slots[I].Phase != SlotPhase::Held) {
      continue;
    }
    this->sendOrWait(Now, Query, I, Out);
    if (Query.Mode == QueryMode::Canary) {
      return;
    }
  }
}

void Engine::sendOrWait(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                        Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  if (Query.Source->Deadline <= Now) {
    this->giveUpSlot(Target, Query);
    return;
  }
  limits::WaitQueue::ShardKey Key{Query.Pinned.Version, Target.Shard};
  const config::TemplateDoc &Template = *Query.Source->Template;
  // A newcomer may not overtake what already waits for the same shard.
  bool MustWait = this->Options.Rules.ConcurrencyLimit &&
                  this->Queue.front(Key).has_value();
  if (!MustWait) {
    if (auto Server = this->pickServer(Now, Query, Target)) {
      this->send(Now, Query, SlotIndex, *Server, false, Out);
      return;
    }
  }
  if (!this->hasLiveHolder(Query.Pinned.Version, Target.Shard)) {
    Target.LastReason = RetryReason::Connect;
    this->giveUpSlot(Target, Query);
    return;
  }
  Target.Phase = SlotPhase::Waiting;
  Target.Queued =
      this->Queue.push(Key, Template.Priority, Query.Source->Organisation->Name,
                       Query.Source->Organisation->Weight, Query.Id, SlotIndex);
}

void Engine::send(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  ServerIndex Server, bool Hedge, Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  routing::ServerState &Chosen = this->Servers.at(Server);
  bool Fresh = Chosen.ConnectionSuspect || !Query.Source->Template->Idempotent;
  AttemptState Attempt;
  Attempt.Id = this->Options.NewAttemptId();
  Attempt.Server = Server;
  Attempt.SentAt = Now;
  Attempt.Hedge = Hedge;
  Attempt.Fresh = Fresh;
  if (Target.Attempts.empty()) {
    this->Budget.recordFirst(Now);
    ++this->Counters.FirstAttempts;
  }
  auto Index = static_cast<uint32_t>(Target.Attempts.size());
  Target.Attempts.push_back(Attempt);
  Target.Phase = SlotPhase::InFlight;
  ++Query.AttemptsSent;
  ++Chosen.Outstanding;
  Out.emplace_back(
      SendAttempt{{Query.Id, SlotIndex, Index, Query.Round},
                  Attempt.Id,
                  Server,
                  Chosen.Address,
                  Query.Pinned.ShardLayout->Shards[Target.Shard.Value],
                  Query.Pinned.Version,
                  Fresh,
                  Query.Source});
}

void Engine::dequeue(QueryState &Query, Slot &Target) {
  if (!Target.Queued) {
    return;
  }
  this->Queue.remove({Query.Pinned.Version, Target.Shard},
                     Query.Source->Organisation->Name, *Target.Queued);
  Target.Queued.reset();
}

void Engine::pump(TimePoint Now, ServerIndex Server, Actions &Out) {
  routing::ServerState &Free = this->Servers.at(Server);
  while (this->Queue.size() != 0 &&
         routing::hasCapacity(Free, this->Options.Rules, Now)) {
    std::optional<limits::WaitEntry> Best;
    for (const routing::VersionReport &Held : Free.Versions) {
      for (base::ShardIndex Shard : Held.Holds) {
        auto Entry = this->Queue.front({Held.ShardLayout->Version, Shard});
        if (Entry && (!Best || *Entry < *Best)) {
          Best = Entry;
        }
      }
    }
    if (!Best) {
      return;
    }
    QueryState &Query = *this->find(Best->Query);
    this->dequeue(Query, Query.Slots[Best->Slot]);
    if (Query.Source->Deadline <= Now) {
      // Not concluded here: a caller may still work on this query.
      this->giveUpSlot(Query.Slots[Best->Slot], Query);
      this->wakeBy(Now, Query, Now);
      continue;
    }
    this->send(Now, Query, Best->Slot, Server, false, Out);
    this->wakeBy(Now, Query, Now + this->hedgeDelay());
  }
}

bool Engine::hedge(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                   Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  auto Server = this->pickServer(Now, Query, Target);
  if (!Server || *Server == Target.Attempts.back().Server) {
    return false;
  }
  if (this->Options.Rules.Budget &&
      !this->Budget.tryTake(limits::ExtraKind::Hedge, Now)) {
    ++this->Counters.HedgesDenied;
    return false;
  }
  Target.Hedged = true;
  ++this->Counters.Hedges;
  this->send(Now, Query, SlotIndex, *Server, true, Out);
  return true;
}

bool Engine::settleSuspicion(TimePoint Now, QueryState &Query, Actions &Out) {
  base::Fingerprint Content = Query.Source->Parameters.Content;
  if (this->Suspects.quarantinedUntil(Now, Content)) {
    this->conclude(Now, Query, Out);
    return true;
  }
  if (this->Suspects.isSuspect(Content)) {
    return false;
  }
  // Another run of the same request has cleared it.
  this->releaseSuspect(Now, Query, Out);
  Query.Mode = QueryMode::Normal;
  this->startSlots(Now, Query, Out);
  this->scheduleWake(Now, Query);
  return true;
}

std::optional<ServerIndex> Engine::reserveServer(TimePoint Now,
                                                 QueryState &Query,
                                                 base::ShardIndex Shard,
                                                 Actions &Out) {
  const auto &Holders =
      this->Servers.versions().at(Query.Pinned.Version).Holders[Shard.Value];
  std::optional<ServerIndex> Chosen;
  for (ServerIndex Index : Holders) {
    const routing::ServerState &Server = this->Servers.at(Index);
    // A server whose resets are not explained yet may have crashed; its loss
    // would be blamed on this suspect.
    if (!routing::isUsable(Server, Now) || this->Resets.count(Index) != 0) {
      continue;
    }
    if (Server.ReservedFor == Query.Id) {
      return Index;
    }
    if (!Server.ReservedFor &&
        (!Chosen ||
         Server.Outstanding < this->Servers.at(*Chosen).Outstanding)) {
      Chosen = Index;
    }
  }
  // A reservation on a server that went down or holds another shard ends.
  this->releaseSuspect(Now, Query, Out);
  if (Chosen) {
    this->Servers.at(*Chosen).ReservedFor = Query.Id;
  }
  return Chosen;
}

std::optional<uint32_t> Engine::pickSuspectSlot(TimePoint Now,
                                                const QueryState &Query) const {
  auto Version = this->Servers.versions().find(Query.Pinned.Version);
  if (Version == this->Servers.versions().end()) {
    return std::nullopt;
  }
  std::optional<uint32_t> Best;
  size_t MostReplicas = 0;
  for (uint32_t I = 0; I < Query.Slots.size(); ++I) {
    const Slot &Target = Query.Slots[I];
    // It runs, attempts from before the suspicion do, or the verdict on its
    // last server is open.
    bool Busy = Target.Phase == SlotPhase::InFlight ||
                (Target.Phase == SlotPhase::Backoff && Target.RetryAt > Now);
    if (Busy) {
      return std::nullopt;
    }
    if (Target.Phase != SlotPhase::Held && Target.Phase != SlotPhase::Backoff) {
      continue;
    }
    const auto &Holders = Version->second.Holders[Target.Shard.Value];
    auto Usable = static_cast<size_t>(
        std::count_if(Holders.begin(), Holders.end(), [&](ServerIndex Index) {
          return routing::isUsable(this->Servers.at(Index), Now);
        }));
    if (Usable > MostReplicas) {
      MostReplicas = Usable;
      Best = I;
    }
  }
  return Best;
}

void Engine::giveUpUnheldSlots(TimePoint Now, QueryState &Query) {
  for (Slot &Target : Query.Slots) {
    bool Pending =
        Target.Phase == SlotPhase::Held || Target.Phase == SlotPhase::Backoff;
    if (Pending && !this->hasLiveHolder(Query.Pinned.Version, Target.Shard)) {
      Target.LastReason = RetryReason::Connect;
      this->giveUpSlot(Target, Query);
      // Concluded at the next tick; callers still refer to the query.
      this->wakeBy(Now, Query, Now);
    }
  }
}

void Engine::runSuspects(TimePoint Now, Actions &Out) {
  if (this->SuspectQueue.empty()) {
    return;
  }
  size_t Turns =
      std::max<size_t>(1, this->Servers.servers().size() / ServersPerSuspect);
  std::set<base::Fingerprint> Running;
  std::deque<base::QueryId> Queued = std::move(this->SuspectQueue);
  this->SuspectQueue.clear();
  for (base::QueryId Id : Queued) {
    QueryState *Query = this->find(Id);
    if (Query == nullptr || Query->Mode != QueryMode::Suspect ||
        this->settleSuspicion(Now, *Query, Out)) {
      continue;
    }
    this->SuspectQueue.push_back(Id);
    // Repeats of one request wait for the verdict on the first.
    bool HasTurn = Running.size() < Turns &&
                   Running.insert(Query->Source->Parameters.Content).second;
    if (!HasTurn || Query->Source->Deadline <= Now) {
      continue;
    }
    this->giveUpUnheldSlots(Now, *Query);
    auto Next = this->pickSuspectSlot(Now, *Query);
    if (!Next) {
      continue;
    }
    // Reserved, the server drains; the suspect is sent once it is alone there.
    auto Chosen =
        this->reserveServer(Now, *Query, Query->Slots[*Next].Shard, Out);
    if (Chosen && this->Servers.at(*Chosen).Outstanding == 0) {
      this->send(Now, *Query, *Next, *Chosen, false, Out);
    }
  }
}

void Engine::releaseSuspect(TimePoint Now, QueryState &Query, Actions &Out) {
  for (uint32_t I = 0; I < this->Servers.servers().size(); ++I) {
    if (this->Servers.servers()[I].ReservedFor == Query.Id) {
      this->Servers.servers()[I].ReservedFor.reset();
      this->pump(Now, ServerIndex(I), Out);
    }
  }
}

} // namespace hickorycrank::query
