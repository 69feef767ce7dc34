#include "forward/engine_base.h"
#include "forward/replica_func.h"

#include <utility>

namespace hickorycrank::forward {

using base::TimePoint;

namespace {

bool isSuccess(const Reply &Received) {
  return Received.Status >= 200 && Received.Status < 300 &&
         !Received.Signature.empty();
}

/** @return Whether another server may give a better reply. */
bool isServerFault(const Reply &Received) {
  return Received.Status >= 500 ||
         (Received.Status < 300 && Received.Signature.empty());
}

} // namespace

void Engine::onReply(TimePoint Now, const AttemptRef &Ref, ServerKey From,
                     Reply &&Received, Actions &Out) {
  Call *Owner = this->find(Ref.Call);
  Server *Source = this->Servers.find(From);
  bool Refused = Received.NotExecuted || Received.Misdirected;
  if (Source != nullptr) {
    bool Good = Received.Status < 500 && !Received.Signature.empty();
    AttemptOutcome Outcome = Refused ? AttemptOutcome::Shed
                             : Good  ? AttemptOutcome::Succeeded
                                     : AttemptOutcome::Failed;
    settleAttempt(Now, *Source, Ref, Outcome);
    Source->Misdirected = Source->Misdirected || Received.Misdirected;
    if (Received.Load) {
      recordLoad(Now, *Source, *Received.Load);
    }
  }
  this->Counters.Shed += Received.NotExecuted ? 1 : 0;
  this->Counters.Misdirected += Received.Misdirected ? 1 : 0;
  if (Owner == nullptr || !Owner->Parts[Ref.Part].Attempts[Ref.Attempt].Live) {
    ++this->Counters.LateReplies;
    return;
  }
  Part &Target = Owner->Parts[Ref.Part];
  Attempt &Ended = Target.Attempts[Ref.Attempt];
  Ended.Live = false;
  if (!isSuccess(Received)) {
    this->takeError(Now, *Owner, Ref, std::move(Received), Out);
    this->advance(Now, *Owner, Out);
    return;
  }
  this->Latencies[Owner->Source->Name].record(Now - Ended.SentAt);
  Target.Phase = PartPhase::Answered;
  Target.Result = std::move(Received);
  ++Owner->Answered;
  this->abandonLive(*Owner, Ref.Part, Out);
  this->advance(Now, *Owner, Out);
}

void Engine::takeError(TimePoint Now, Call &Owner, const AttemptRef &Ref,
                       Reply &&Received, Actions &Out) {
  Part &Target = Owner.Parts[Ref.Part];
  if (Received.NotExecuted || Received.Misdirected) {
    --Target.PossiblyRun;
    Target.Distinct -= Received.Misdirected ? 1 : 0;
    this->retryOrFail(Now, Owner, Ref.Part, Out);
    return;
  }
  ++this->Counters.ServerErrors;
  bool Final = !Owner.Source->fansOut() && !isServerFault(Received);
  if (!Received.Signature.empty()) {
    Target.Error = std::move(Received);
  }
  if (Final) {
    this->abandonLive(Owner, Ref.Part, Out);
    Target.Phase = PartPhase::Failed;
    ++Owner.Failed;
    return;
  }
  this->retryOrFail(Now, Owner, Ref.Part, Out);
}

void Engine::onFailure(TimePoint Now, const AttemptRef &Ref, ServerKey From,
                       AttemptFailure Kind, Actions &Out) {
  Call *Owner = this->find(Ref.Call);
  Server *Source = this->Servers.find(From);
  bool Unsent = Kind == AttemptFailure::NotSent;
  ++(Unsent ? this->Counters.NotSent : this->Counters.Broken);
  if (Source != nullptr) {
    settleAttempt(Now, *Source, Ref,
                  Unsent ? AttemptOutcome::ConnectFailed
                         : AttemptOutcome::Failed);
  }
  if (Unsent) {
    this->Crashes.recordUnreachable(Now, From);
  } else if (Owner != nullptr) {
    this->Crashes.recordBroken(Now, From, Ref.Call, Owner->Content);
  }
  if (Owner == nullptr || !Owner->Parts[Ref.Part].Attempts[Ref.Attempt].Live) {
    return;
  }
  Part &Target = Owner->Parts[Ref.Part];
  Target.Attempts[Ref.Attempt].Live = false;
  if (Unsent) {
    --Target.PossiblyRun;
    --Target.Arrivals;
    --Target.Distinct;
  } else {
    ++Target.Broken;
  }
  this->retryOrFail(Now, *Owner, Ref.Part, Out);
  this->advance(Now, *Owner, Out);
}

void Engine::onAbandonedAttemptEnded(TimePoint Now, const AttemptRef &Ref,
                                     ServerKey From) {
  if (Server *Source = this->Servers.find(From)) {
    settleAttempt(Now, *Source, Ref, AttemptOutcome::Abandoned);
  }
}

} // namespace hickorycrank::forward
