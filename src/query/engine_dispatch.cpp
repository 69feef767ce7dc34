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
/** Hedge delay before any latency has been observed. */
constexpr Duration DefaultHedgeDelay = std::chrono::milliseconds(50);
/** At most one suspected request per this many servers runs alone at a time.
 * Several must run at once: when ten servers were lost, checking the 40
 * requests in flight one after the other took 400 ms. */
constexpr size_t ServersPerSuspect = 6;

} // namespace

Duration Engine::hedgeDelay() const {
  return this->Latencies.quantile(this->Options.Rules.HedgeQuantile,
                                  DefaultHedgeDelay);
}

bool Engine::hasLiveReplica(base::VersionId Version,
                            base::ShardIndex Shard) const {
  auto Found = this->ServerDirectory.versions().find(Version);
  if (Found == this->ServerDirectory.versions().end()) {
    return false;
  }
  const auto &Holders = Found->second.Holders[Shard.Value];
  return std::any_of(Holders.begin(), Holders.end(), [this](ServerIndex Index) {
    return this->ServerDirectory.at(Index).Phase == routing::ServerPhase::Live;
  });
}

std::optional<ServerIndex>
Engine::selectServer(TimePoint Now, QueryState &Query, const Slot &ShardSlot) {
  boost::container::small_vector<ServerIndex, 4> Tried;
  for (const AttemptState &Attempt : ShardSlot.Attempts) {
    Tried.push_back(Attempt.Server);
  }
  double Typical =
      base::toMilliseconds(this->Latencies.quantile(0.5, DefaultMedian));
  return routing::chooseReplica(this->ServerDirectory, Query.Pinned.Version,
                                ShardSlot.Shard, {Tried.data(), Tried.size()},
                                this->Options.Domain, Typical, Now,
                                this->Generator);
}

void Engine::startSlots(TimePoint Now, QueryState &Query, Actions &Out) {
  if (Query.Mode == QueryMode::Suspect) {
    this->SuspectQueue.push_back(Query.Id);
    this->dispatchSuspects(Now, Out);
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
  Slot &ShardSlot = Query.Slots[SlotIndex];
  if (Query.Source->Deadline <= Now) {
    this->failSlot(ShardSlot, Query);
    return;
  }
  limits::WaitQueue::ShardKey Key{Query.Pinned.Version, ShardSlot.Shard};
  const config::TemplateDoc &Template = *Query.Source->Template;
  // A new sub-query must not overtake those already waiting for the shard.
  bool MustWait = this->Options.Rules.ConcurrencyLimit &&
                  this->Queue.front(Key).has_value();
  if (!MustWait) {
    if (auto Server = this->selectServer(Now, Query, ShardSlot)) {
      this->send(Now, Query, SlotIndex, *Server, false, Out);
      return;
    }
  }
  if (!this->hasLiveReplica(Query.Pinned.Version, ShardSlot.Shard)) {
    ShardSlot.LastReason = RetryReason::Connect;
    this->failSlot(ShardSlot, Query);
    return;
  }
  ShardSlot.Phase = SlotPhase::Waiting;
  ShardSlot.Queued =
      this->Queue.push(Key, Template.Priority, Query.Source->Organisation->Name,
                       Query.Source->Organisation->Weight, Query.Id, SlotIndex);
}

void Engine::send(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  ServerIndex Server, bool Hedge, Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  routing::ServerState &Chosen = this->ServerDirectory.at(Server);
  bool NewConnection =
      Chosen.ConnectionSuspect || !Query.Source->Template->Idempotent;
  AttemptState Attempt;
  Attempt.Id = this->Options.NewAttemptId();
  Attempt.Server = Server;
  Attempt.SentAt = Now;
  Attempt.Hedge = Hedge;
  Attempt.NewConnection = NewConnection;
  if (ShardSlot.Attempts.empty()) {
    this->Budget.recordFirstAttempt(Now);
    ++this->Counters.FirstAttempts;
  }
  auto Index = static_cast<uint32_t>(ShardSlot.Attempts.size());
  ShardSlot.Attempts.push_back(Attempt);
  ShardSlot.Phase = SlotPhase::InFlight;
  ++Query.AttemptsSent;
  ++Chosen.Outstanding;
  Out.emplace_back(
      SendAttempt{{Query.Id, SlotIndex, Index, Query.Round},
                  Attempt.Id,
                  Server,
                  Chosen.Address,
                  Query.Pinned.ShardLayout->Shards[ShardSlot.Shard.Value],
                  Query.Pinned.Version,
                  NewConnection,
                  Query.Source});
}

void Engine::dequeue(QueryState &Query, Slot &ShardSlot) {
  if (!ShardSlot.Queued) {
    return;
  }
  this->Queue.remove({Query.Pinned.Version, ShardSlot.Shard},
                     Query.Source->Organisation->Name, *ShardSlot.Queued);
  ShardSlot.Queued.reset();
}

void Engine::dispatchWaiting(TimePoint Now, ServerIndex Server, Actions &Out) {
  routing::ServerState &Free = this->ServerDirectory.at(Server);
  while (this->Queue.size() != 0 &&
         routing::hasCapacity(Free, this->Options.Rules, Now)) {
    std::optional<limits::WaitEntry> Best;
    for (const routing::VersionReport &Report : Free.Versions) {
      for (base::ShardIndex Shard : Report.Holds) {
        auto Waiting = this->Queue.front({Report.ShardLayout->Version, Shard});
        if (Waiting && (!Best || *Waiting < *Best)) {
          Best = Waiting;
        }
      }
    }
    if (!Best) {
      return;
    }
    QueryState &Query = *this->find(Best->Query);
    this->dequeue(Query, Query.Slots[Best->Slot]);
    if (Query.Source->Deadline <= Now) {
      // Not concluded here: functions up the call stack may still use this
      // query.
      this->failSlot(Query.Slots[Best->Slot], Query);
      this->wakeNoLaterThan(Now, Query, Now);
      continue;
    }
    this->send(Now, Query, Best->Slot, Server, false, Out);
    this->wakeNoLaterThan(Now, Query, Now + this->hedgeDelay());
  }
}

bool Engine::tryHedge(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                      Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  auto Server = this->selectServer(Now, Query, ShardSlot);
  if (!Server || *Server == ShardSlot.Attempts.back().Server) {
    return false;
  }
  if (this->Options.Rules.Budget &&
      !this->Budget.tryTake(limits::ExtraAttemptKind::Hedge, Now)) {
    ++this->Counters.HedgesDenied;
    return false;
  }
  ShardSlot.Hedged = true;
  ++this->Counters.Hedges;
  this->send(Now, Query, SlotIndex, *Server, true, Out);
  return true;
}

bool Engine::resolveSuspicion(TimePoint Now, QueryState &Query, Actions &Out) {
  base::Fingerprint Content = Query.Source->Parameters.Content;
  if (this->Suspects.quarantinedUntil(Now, Content)) {
    this->conclude(Now, Query, Out);
    return true;
  }
  if (this->Suspects.isSuspect(Content)) {
    return false;
  }
  // Another run of the same request has cleared it.
  this->releaseReservation(Now, Query, Out);
  Query.Mode = QueryMode::Normal;
  this->startSlots(Now, Query, Out);
  this->scheduleWakeUp(Now, Query);
  return true;
}

std::optional<ServerIndex> Engine::reserveServer(TimePoint Now,
                                                 QueryState &Query,
                                                 base::ShardIndex Shard,
                                                 Actions &Out) {
  const auto &Holders = this->ServerDirectory.versions()
                            .at(Query.Pinned.Version)
                            .Holders[Shard.Value];
  std::optional<ServerIndex> Chosen;
  for (ServerIndex Index : Holders) {
    const routing::ServerState &Server = this->ServerDirectory.at(Index);
    // A server with unexplained resets may have crashed; the crash would be
    // attributed to this suspect.
    if (!routing::isUsable(Server, Now) ||
        this->ResetsByServer.count(Index) != 0) {
      continue;
    }
    if (Server.ReservedFor == Query.Id) {
      return Index;
    }
    if (!Server.ReservedFor &&
        (!Chosen ||
         Server.Outstanding < this->ServerDirectory.at(*Chosen).Outstanding)) {
      Chosen = Index;
    }
  }
  // Release a reservation on a server that went down or lacks this shard.
  this->releaseReservation(Now, Query, Out);
  if (Chosen) {
    this->ServerDirectory.at(*Chosen).ReservedFor = Query.Id;
  }
  return Chosen;
}

std::optional<uint32_t>
Engine::selectSuspectSlot(TimePoint Now, const QueryState &Query) const {
  auto Version = this->ServerDirectory.versions().find(Query.Pinned.Version);
  if (Version == this->ServerDirectory.versions().end()) {
    return std::nullopt;
  }
  std::optional<uint32_t> Best;
  size_t MostReplicas = 0;
  for (uint32_t I = 0; I < Query.Slots.size(); ++I) {
    const Slot &ShardSlot = Query.Slots[I];
    // The suspect runs, earlier attempts still run, or a probe of its last
    // server is pending.
    bool Busy =
        ShardSlot.Phase == SlotPhase::InFlight ||
        (ShardSlot.Phase == SlotPhase::Backoff && ShardSlot.RetryAt > Now);
    if (Busy) {
      return std::nullopt;
    }
    if (ShardSlot.Phase != SlotPhase::Held &&
        ShardSlot.Phase != SlotPhase::Backoff) {
      continue;
    }
    const auto &Holders = Version->second.Holders[ShardSlot.Shard.Value];
    auto Usable = static_cast<size_t>(
        std::count_if(Holders.begin(), Holders.end(), [&](ServerIndex Index) {
          return routing::isUsable(this->ServerDirectory.at(Index), Now);
        }));
    if (Usable > MostReplicas) {
      MostReplicas = Usable;
      Best = I;
    }
  }
  return Best;
}

void Engine::failSlotsWithoutReplica(TimePoint Now, QueryState &Query) {
  for (Slot &ShardSlot : Query.Slots) {
    bool Pending = ShardSlot.Phase == SlotPhase::Held ||
                   ShardSlot.Phase == SlotPhase::Backoff;
    if (Pending &&
        !this->hasLiveReplica(Query.Pinned.Version, ShardSlot.Shard)) {
      ShardSlot.LastReason = RetryReason::Connect;
      this->failSlot(ShardSlot, Query);
      // Concluded at the next tick; the callers of this function still use the
      // query.
      this->wakeNoLaterThan(Now, Query, Now);
    }
  }
}

void Engine::dispatchSuspects(TimePoint Now, Actions &Out) {
  if (this->SuspectQueue.empty()) {
    return;
  }
  size_t MaxRunning = std::max<size_t>(
      1, this->ServerDirectory.servers().size() / ServersPerSuspect);
  std::set<base::Fingerprint> Running;
  std::deque<base::QueryId> Queued = std::move(this->SuspectQueue);
  this->SuspectQueue.clear();
  for (base::QueryId Id : Queued) {
    QueryState *Query = this->find(Id);
    if (Query == nullptr || Query->Mode != QueryMode::Suspect ||
        this->resolveSuspicion(Now, *Query, Out)) {
      continue;
    }
    this->SuspectQueue.push_back(Id);
    // Identical requests wait for the result of the first one.
    bool MayRun = Running.size() < MaxRunning &&
                  Running.insert(Query->Source->Parameters.Content).second;
    if (!MayRun || Query->Source->Deadline <= Now) {
      continue;
    }
    this->failSlotsWithoutReplica(Now, *Query);
    auto Next = this->selectSuspectSlot(Now, *Query);
    if (!Next) {
      continue;
    }
    // A reserved server drains; the suspect is sent once nothing else runs
    // there.
    auto Chosen =
        this->reserveServer(Now, *Query, Query->Slots[*Next].Shard, Out);
    if (Chosen && this->ServerDirectory.at(*Chosen).Outstanding == 0) {
      this->send(Now, *Query, *Next, *Chosen, false, Out);
    }
  }
}

void Engine::releaseReservation(TimePoint Now, QueryState &Query,
                                Actions &Out) {
  for (uint32_t I = 0; I < this->ServerDirectory.servers().size(); ++I) {
    if (this->ServerDirectory.servers()[I].ReservedFor == Query.Id) {
      this->ServerDirectory.servers()[I].ReservedFor.reset();
      this->dispatchWaiting(Now, ServerIndex(I), Out);
    }
  }
}

} // namespace hickorycrank::query
