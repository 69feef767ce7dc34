#include "forward/engine_base.h"
#include "forward/not_run_func.h"
#include "forward/replica_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Maximum number of peers to which a call is relayed. All but the last have
 * sent it to no server. */
constexpr size_t MaxRelays = 6;
/** Minimum time that must be left for a relay to be useful: two round trips
 * between failure domains and one to a server. */
constexpr Duration MinRelayTime = std::chrono::milliseconds(20);
/** Retry-after time of a call that neither this instance nor a peer could
 * forward. */
constexpr std::chrono::milliseconds RelayRetryAfter(500);

/** @return Whether a peer has forwarded the request and this is its answer. */
bool isAnswer(const Reply &Received) {
  return !Received.Signature.empty() || Received.Merged;
}

} // namespace

void Engine::onPeers(const std::vector<PeerEntry> &Entries) {
  this->Peers.apply(Entries);
}

void Engine::updateReachability(TimePoint Now, Actions &Out) {
  if (!this->Links.update(Now, this->Servers)) {
    return;
  }
  Out.push_back(LogReachability{
      !this->Links.isLost(), this->Links.silentServers(),
      this->Links.usableServers(), this->Links.lastReplyFrom()});
  this->Crashes.setLinksLost(Now, this->Links.isLost());
  if (!this->Links.isLost()) {
    return;
  }
  for (auto &[Id, CurrentCall] : this->Calls) {
    if (!CurrentCall->CurrentRelay && this->tryRelay(Now, *CurrentCall, Out)) {
      this->scheduleWake(Now, *CurrentCall);
    }
  }
}

bool Engine::isOutOfReach(TimePoint Now, const Call &CurrentCall) const {
  if (this->Links.isLost()) {
    return true;
  }
  return std::any_of(CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
                     [&](const Part &Entry) {
                       return Entry.Phase != PartPhase::Answered &&
                              unreachableUntil(Now, *Entry.Pool,
                                               CurrentCall.Allowed);
                     });
}

bool Engine::payForRelay(TimePoint Now, Call &CurrentCall) {
  if (!CurrentCall.RelayedTo.empty()) {
    return true; // The peers before have sent nothing.
  }
  for (Part &Entry : CurrentCall.Parts) {
    if (Entry.PossiblyDelivered > 0 &&
        !Entry.Pool->Budget.tryTake(limits::ExtraAttemptKind::Retry,
                                    this->Options.Extra, this->Share, Now)) {
      ++this->Counters.RetriesDenied;
      return false;
    }
  }
  return true;
}

bool Engine::mayRepeat(TimePoint Now, const Call &CurrentCall) const {
  return std::all_of(CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
                     [&](const Part &Entry) {
                       return Entry.Pool->Budget.mayTake(
                           limits::ExtraAttemptKind::Retry, this->Options.Extra,
                           this->Share, Now);
                     });
}

void Engine::addTriedServers(Call &CurrentCall,
                             const std::vector<TriedServer> &Tried) {
  // Without a fan-out the limit holds for all services of the route together.
  bool AnyService = !CurrentCall.MatchedRoute->fansOut();
  for (const TriedServer &Entry : Tried) {
    for (Part &Needed : CurrentCall.Parts) {
      if (AnyService || Needed.Pool->Service == Entry.Service) {
        Needed.TriedElsewhere.push_back(Entry.Server);
      }
    }
  }
}

void Engine::uncountUnsentRelay(Call &CurrentCall) {
  bool Unsent = std::all_of(
      CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
      [](const Part &Entry) { return Entry.PossiblyDelivered == 0; });
  if (!CurrentCall.Relayed || !Unsent) {
    return;
  }
  for (Part &Entry : CurrentCall.Parts) {
    Entry.Pool->Budget.cancelRequest(CurrentCall.ArrivedAt);
  }
}

std::vector<TriedServer> Engine::triedServers(const Call &CurrentCall) {
  std::vector<TriedServer> Tried;
  for (const Part &Entry : CurrentCall.Parts) {
    for (const Attempt &Sent : Entry.Attempts) {
      if (Sent.MayHaveArrived) {
        Tried.push_back({Entry.Pool->Service, Sent.ServerId});
      }
    }
  }
  return Tried;
}

bool Engine::tryRelay(TimePoint Now, Call &CurrentCall, Actions &Out) {
  bool MayRepeat =
      CurrentCall.MatchedRoute->Idempotent || !mayHaveRun(CurrentCall);
  if (CurrentCall.Relayed || !MayRepeat ||
      CurrentCall.RelayedTo.size() >= MaxRelays ||
      CurrentCall.Deadline - Now < MinRelayTime ||
      this->Crashes.isQuarantined(Now, CurrentCall.Content)) {
    return false;
  }
  Peer *Chosen = this->Peers.choose(
      Now, CurrentCall.MatchedRoute->Name, this->Options.Domain,
      {CurrentCall.RelayedTo.data(), CurrentCall.RelayedTo.size()},
      this->Generator, CurrentCall.Allowed);
  if (Chosen == nullptr || !this->payForRelay(Now, CurrentCall)) {
    return false;
  }
  for (uint32_t I = 0; I < CurrentCall.Parts.size(); ++I) {
    this->abandonLiveAttempts(CurrentCall, I, Out);
    if (CurrentCall.CountedHere) {
      CurrentCall.Parts[I].Pool->Budget.cancelRequest(CurrentCall.ArrivedAt);
    }
  }
  CurrentCall.CountedHere = false; // The peer counts it.
  this->leaveQueues(CurrentCall);
  AttemptRef Ref{CurrentCall.Id.Value, RelayPart,
                 static_cast<uint32_t>(CurrentCall.RelayedTo.size())};
  CurrentCall.RelayedTo.push_back(Chosen->Key);
  CurrentCall.CurrentRelay = Relay{Chosen->Key, Ref};
  ++Chosen->Outstanding;
  ++this->Counters.Relays;
  Out.push_back(RelayRequest{
      Ref, Chosen->Key, Chosen->Entry.Address, CurrentCall.Deadline - Now,
      CurrentCall.MatchedRoute->Idempotent, triedServers(CurrentCall)});
  return true;
}

Call *Engine::endRelay(TimePoint Now, const AttemptRef &Ref, ServerKey Peer,
                       bool Failed) {
  Call *CurrentCall = this->find(Ref.Call);
  if (CurrentCall == nullptr || !CurrentCall->CurrentRelay ||
      CurrentCall->CurrentRelay->Ref != Ref) {
    return nullptr; // It was cancelled.
  }
  this->Peers.recordEnd(Now, Peer, Failed);
  CurrentCall->CurrentRelay.reset();
  return CurrentCall;
}

void Engine::cancelRelay(TimePoint Now, Call &CurrentCall, Actions &Out) {
  if (!CurrentCall.CurrentRelay) {
    return;
  }
  Relay Ended = *CurrentCall.CurrentRelay;
  CurrentCall.CurrentRelay.reset();
  this->Peers.recordEnd(Now, Ended.Peer, /*Failed=*/false);
  Out.push_back(CancelRelay{Ended.Ref, Ended.Peer});
}

void Engine::onRelayReply(TimePoint Now, const AttemptRef &Ref, ServerKey Peer,
                          Reply &&Received, Actions &Out) {
  Call *CurrentCall = this->endRelay(Now, Ref, Peer, /*Failed=*/false);
  if (CurrentCall == nullptr) {
    return;
  }
  if (isAnswer(Received)) {
    this->respond(*CurrentCall, std::move(Received), Out);
    return;
  }
  ++this->Counters.RelaysFailed;
  if (!isPeerRefusal(Received)) {
    CurrentCall->PeerMayHaveSent = true;
    RefusalReason Reason = Received.Status == 504
                               ? RefusalReason::Timeout
                               : RefusalReason::BackendFailed;
    this->failRelayed(*CurrentCall, Reason, Out);
    return;
  }
  if (!Received.Unsent) {
    // Another peer would not know at which servers this one has tried it.
    this->failRelayed(*CurrentCall, RefusalReason::Overloaded, Out);
    return;
  }
  this->Peers.recordUnsent(Now, Peer, CurrentCall->MatchedRoute->Name);
  this->relayAgainOrFail(Now, *CurrentCall, RefusalReason::Overloaded, Out);
}

void Engine::onRelayFailure(TimePoint Now, const AttemptRef &Ref,
                            ServerKey Peer, AttemptFailure Kind, Actions &Out) {
  Call *CurrentCall = this->endRelay(Now, Ref, Peer, /*Failed=*/true);
  if (CurrentCall == nullptr) {
    return;
  }
  ++this->Counters.RelaysFailed;
  if (Kind != AttemptFailure::NotSent) {
    // The peer may have used up the attempts of each part.
    CurrentCall->PeerMayHaveSent = true;
    this->failRelayed(*CurrentCall, RefusalReason::BackendFailed, Out);
    return;
  }
  this->relayAgainOrFail(Now, *CurrentCall, RefusalReason::NoServer, Out);
}

void Engine::relayAgainOrFail(TimePoint Now, Call &CurrentCall,
                              RefusalReason Reason, Actions &Out) {
  if (this->tryRelay(Now, CurrentCall, Out)) {
    this->scheduleWake(Now, CurrentCall);
    return;
  }
  this->failRelayed(CurrentCall, Reason, Out);
}

void Engine::failRelayed(Call &CurrentCall, RefusalReason Reason,
                         Actions &Out) {
  this->respond(CurrentCall, Refusal{Reason, false, RelayRetryAfter}, Out);
}

void Engine::advanceRelay(TimePoint Now, Call &CurrentCall, Actions &Out) {
  if (Now < CurrentCall.Deadline) {
    this->scheduleWake(Now, CurrentCall);
    return;
  }
  this->cancelRelay(Now, CurrentCall, Out);
  CurrentCall.PeerMayHaveSent = true;
  this->failRelayed(CurrentCall, RefusalReason::Timeout, Out);
}

} // namespace hickorycrank::forward
