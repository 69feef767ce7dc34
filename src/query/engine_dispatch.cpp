#include "query/engine_base.h"
#include "routing/selection_func.h"

#include <algorithm>
#include <cmath>
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
    this->runNextSuspect(Now, Out);
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
  Out.emplace_back(SendAttempt{{Query.Id, SlotIndex, Index, Query.Round},
                               Attempt.Id,
                               Server,
                               Chosen.Address,
                               Query.Pinned.Shards->Shards[Target.Shard.Value],
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
        auto Entry = this->Queue.front({Held.Shards->Version, Shard});
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

QueryState *Engine::activateNextSuspect(TimePoint Now, Actions &Out) {
  while (true) {
    if (!this->ActiveSuspect) {
      if (this->SuspectQueue.empty()) {
        return nullptr;
      }
      this->ActiveSuspect = this->SuspectQueue.front();
      this->SuspectQueue.pop_front();
    }
    QueryState *Query = this->find(*this->ActiveSuspect);
    if (Query == nullptr || Query->Mode != QueryMode::Suspect) {
      this->ActiveSuspect.reset();
      continue;
    }
    base::Fingerprint Content = Query->Source->Parameters.Content;
    if (this->Suspects.quarantinedUntil(Now, Content)) {
      this->conclude(Now, *Query, Out);
      this->ActiveSuspect.reset();
      continue;
    }
    // Another run of the same request may have settled the suspicion.
    if (!this->Suspects.isSuspect(Content)) {
      this->releaseSuspect(Now, *Query, Out);
      this->ActiveSuspect.reset();
      Query->Mode = QueryMode::Normal;
      this->startSlots(Now, *Query, Out);
      this->scheduleWake(Now, *Query);
      continue;
    }
    return Query;
  }
}

std::optional<ServerIndex> Engine::reserveServer(TimePoint Now,
                                                 QueryState &Query,
                                                 base::ShardIndex Shard,
                                                 Actions &Out) {
  auto Version = this->Servers.versions().find(Query.Pinned.Version);
  if (Version == this->Servers.versions().end()) {
    return std::nullopt;
  }
  std::optional<ServerIndex> Chosen;
  for (ServerIndex Index : Version->second.Holders[Shard.Value]) {
    routing::ServerState &Server = this->Servers.at(Index);
    bool Usable = routing::isUsable(Server, Now);
    if (Server.ReservedFor == Query.Id) {
      if (Usable) {
        return Index;
      }
      Server.ReservedFor.reset(); // It went down; another one is needed.
      this->pump(Now, Index, Out);
    } else if (Usable && !Server.ReservedFor &&
               (!Chosen ||
                Server.Outstanding < this->Servers.at(*Chosen).Outstanding)) {
      Chosen = Index;
    }
  }
  if (Chosen) {
    this->Servers.at(*Chosen).ReservedFor = Query.Id;
  }
  return Chosen;
}

void Engine::runNextSuspect(TimePoint Now, Actions &Out) {
  QueryState *Query = this->activateNextSuspect(Now, Out);
  if (Query == nullptr) {
    return;
  }
  auto IsInFlight = [](const Slot &Entry) {
    return Entry.Phase == SlotPhase::InFlight;
  };
  // A slot in back-off waits for the verdict on its last server.
  auto IsPending = [Now](const Slot &Entry) {
    return Entry.Phase == SlotPhase::Held ||
           (Entry.Phase == SlotPhase::Backoff && Entry.RetryAt <= Now);
  };
  if (Query->Source->Deadline <= Now ||
      std::any_of(Query->Slots.begin(), Query->Slots.end(), IsInFlight)) {
    return; // It runs, or attempts from before the suspicion still do.
  }
  for (Slot &Entry : Query->Slots) {
    if (IsPending(Entry) &&
        !this->hasLiveHolder(Query->Pinned.Version, Entry.Shard)) {
      Entry.LastReason = RetryReason::Connect;
      this->giveUpSlot(Entry, *Query);
      // Concluded at the next tick; callers still refer to the query.
      this->wakeBy(Now, *Query, Now);
    }
  }
  auto Next = std::find_if(Query->Slots.begin(), Query->Slots.end(), IsPending);
  if (Next == Query->Slots.end()) {
    return;
  }
  // Reserved, the server drains; the suspect is sent once it is alone there.
  auto Chosen = this->reserveServer(Now, *Query, Next->Shard, Out);
  if (Chosen && this->Servers.at(*Chosen).Outstanding == 0) {
    this->send(Now, *Query, static_cast<uint32_t>(Next - Query->Slots.begin()),
               *Chosen, false, Out);
  }
}

void Engine::releaseSuspect(TimePoint Now, QueryState &Query, Actions &Out) {
  for (uint32_t I = 0; I < this->Servers.servers().size(); ++I) {
    if (this->Servers.servers()[I].ReservedFor == Query.Id) {
      this->Servers.servers()[I].ReservedFor.reset();
      this->pump(Now, ServerIndex(I), Out);
    }
  }
  if (this->ActiveSuspect == Query.Id) {
    this->ActiveSuspect.reset();
  }
}

} // namespace hickorycrank::query
