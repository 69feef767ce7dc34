#include "forward/cold_state_func.h"
#include "forward/engine_base.h"
#include "forward/merge_func.h"
#include "forward/not_run_func.h"
#include "forward/replica_func.h"

#include <utility>

namespace hickorycrank::forward {

using base::TimePoint;

namespace {

/** Maximum size of the header field with the signatures of all parts. Callers
 * limit whole heads to 64 KiB or less, and so does the HTTP library. */
constexpr size_t MaxSignaturesBytes = 60'000;
/** Between two signatures: a comma and a space. */
constexpr size_t SeparatorBytes = 2;

/** @return Whether the signature of a part takes more than its share of the
 * answer's header field. */
bool isSignatureTooLong(const Call &CurrentCall, const Reply &Received) {
  return CurrentCall.MatchedRoute->fansOut() &&
         Received.Signature.size() + SeparatorBytes >
             MaxSignaturesBytes / CurrentCall.Parts.size();
}

bool isSuccess(const Reply &Received) {
  return Received.Status >= 200 && Received.Status < 300 &&
         !Received.Signature.empty();
}

/** Drops what the merged answer will not need; the other parts of the call may
 * take long. */
void keepGreatest(Reply &Received, size_t Limit) {
  Received.Fields = {};
  std::string_view Body = Received.Body;
  // A body of about the usual size is not worth the sorting.
  if (Body.size() > 2 * Limit * RecordBytes) {
    Received.Body = mergeGreatest({&Body, 1}, Limit);
  }
}

/** @return Whether the error is the server's, so that another server may
 * succeed. */
bool isServerFault(const Reply &Received) {
  return Received.Status >= 500 || statesNotRun(Received.Status) ||
         (Received.Status < 300 && Received.Signature.empty());
}

} // namespace

void Engine::onReply(TimePoint Now, const AttemptRef &Ref, ServerKey Key,
                     Reply &&Received, Actions &Out) {
  this->handleReply(Now, Ref, Key, std::move(Received), Out);
  if (const Server *Backend = this->Servers.find(Key)) {
    this->startWaiting(Now, this->Servers.pool(Backend->Entry.Service), Out);
  }
}

void Engine::handleReply(TimePoint Now, const AttemptRef &Ref, ServerKey Key,
                         Reply &&Received, Actions &Out) {
  Call *CurrentCall = this->find(Ref.Call);
  Server *Backend = this->Servers.find(Key);
  bool Rejected = isRejection(Received);
  bool Misdirected = Rejected && Received.Misdirected;
  this->Links.recordReply(Now, Backend != nullptr ? Backend->Entry.Id
                                                  : base::ServerId());
  if (Backend != nullptr) {
    bool ServerOk = Received.Status < 500 && !Received.Signature.empty();
    AttemptOutcome Outcome = Rejected   ? AttemptOutcome::Shed
                             : ServerOk ? AttemptOutcome::Succeeded
                                        : AttemptOutcome::Failed;
    const OutstandingAttempt *Ended = findOutstanding(*Backend, Ref);
    if (Ended != nullptr && !Rejected && !Received.Signature.empty()) {
      this->Crashes.recordReply(Now, Ended->Content, Backend->Entry.Service);
    }
    // The statement explains the latency of this reply.
    if (Received.Load && !Misdirected) {
      recordStatedWork(Now, *Backend, *Received.Load);
    }
    recordAttemptEnd(Now, *Backend, Ref, Outcome);
    Backend->Misdirected = Backend->Misdirected || Misdirected;
    // A misdirected reply is from another server.
    if (!Misdirected) {
      this->recordStatements(Now, *Backend, Received, Out);
    }
  }
  this->Counters.Shed += Rejected && Received.NotExecuted ? 1 : 0;
  this->Counters.Misdirected += Misdirected ? 1 : 0;
  if (CurrentCall == nullptr ||
      !CurrentCall->Parts[Ref.Part].Attempts[Ref.Attempt].Live) {
    ++this->Counters.LateReplies;
    return;
  }
  Part &CurrentPart = CurrentCall->Parts[Ref.Part];
  Attempt &Ended = CurrentPart.Attempts[Ref.Attempt];
  Ended.Live = false;
  if (isSignatureTooLong(*CurrentCall, Received)) {
    ++this->Counters.SignaturesTooLong;
    Received.Signature.clear(); // The part fails as if it had none.
  }
  if (!isSuccess(Received)) {
    this->handleErrorReply(Now, *CurrentCall, Ref, Rejected,
                           std::move(Received), Out);
    this->advance(Now, *CurrentCall, Out);
    return;
  }
  this->Latencies[CurrentCall->MatchedRoute->Name].record(Now - Ended.SentAt);
  CurrentPart.Phase = PartPhase::Answered;
  if (CurrentCall->MatchedRoute->fansOut()) {
    keepGreatest(Received, CurrentCall->MatchedRoute->TopK);
  }
  CurrentPart.Result = std::move(Received);
  ++CurrentCall->Answered;
  this->abandonLiveAttempts(*CurrentCall, Ref.Part, Out);
  this->advance(Now, *CurrentCall, Out);
}

void Engine::recordStatements(TimePoint Now, Server &Backend,
                              const Reply &Received, Actions &Out) {
  if (Received.Load) {
    recordLoad(Now, Backend, *Received.Load);
  }
  if (Received.ServerLeaving && !Backend.StatedLeaving) {
    this->Servers.recordLeaving(Now, Backend);
    Out.push_back(LogServerDeclines{Backend.Entry.Id, std::nullopt});
  }
  if (auto Pause = recordRetryAfter(Now, Backend, Received)) {
    ++this->Counters.RetryAfterReplies;
    Out.push_back(LogServerDeclines{Backend.Entry.Id, Pause});
  }
  if (Received.ColdRemaining) {
    recordCold(Now, Backend, *Received.ColdRemaining);
    this->updateColdState(Now, Backend, Out);
  }
  this->Counters.RateLimitReplies += Received.RateLimit ? 1 : 0;
  std::optional<double> Before;
  if (Backend.RateLimit) {
    Before = Backend.RateLimit->PerSecond;
  }
  if (Before == Received.RateLimit) {
    return;
  }
  Out.push_back(LogRateLimit{Backend.Entry.Id, Received.RateLimit});
  if (!Received.RateLimit) {
    Backend.RateLimit.reset();
  } else if (Backend.RateLimit) {
    Backend.RateLimit->PerSecond = *Received.RateLimit;
  } else {
    Backend.RateLimit = limits::startRateShare(
        Now, *Received.RateLimit, this->LimitParts, this->Generator);
  }
}

void Engine::handleErrorReply(TimePoint Now, Call &CurrentCall,
                              const AttemptRef &Ref, bool Rejected,
                              Reply &&Received, Actions &Out) {
  Part &CurrentPart = CurrentCall.Parts[Ref.Part];
  if (Rejected) {
    --CurrentPart.PossiblyRun;
    CurrentPart.Attempts[Ref.Attempt].MayHaveArrived = !Received.Misdirected;
    this->retryOrFail(Now, CurrentCall, Ref.Part, Out);
    return;
  }
  ++this->Counters.ServerErrors;
  bool FinalError =
      !CurrentCall.MatchedRoute->fansOut() && !isServerFault(Received);
  if (!Received.Signature.empty()) {
    CurrentPart.Error = std::move(Received);
  }
  if (FinalError) {
    this->abandonLiveAttempts(CurrentCall, Ref.Part, Out);
    CurrentPart.Phase = PartPhase::Failed;
    ++CurrentCall.Failed;
    return;
  }
  this->retryOrFail(Now, CurrentCall, Ref.Part, Out);
}

void Engine::onFailure(TimePoint Now, const AttemptRef &Ref, ServerKey Key,
                       AttemptFailure Kind, Actions &Out) {
  Call *CurrentCall = this->find(Ref.Call);
  Server *Backend = this->Servers.find(Key);
  bool Unsent = Kind == AttemptFailure::NotSent;
  ++(Unsent ? this->Counters.NotSent : this->Counters.Broken);
  if (Backend != nullptr) {
    recordAttemptEnd(Now, *Backend, Ref,
                     Unsent ? AttemptOutcome::ConnectFailed
                            : AttemptOutcome::Failed);
  }
  if (Unsent) {
    this->Crashes.recordUnreachable(Now, Key);
  } else if (CurrentCall != nullptr) {
    this->Crashes.recordBroken(Now, Key, this->CallNumberOffset + Ref.Call,
                               CurrentCall->Content,
                               CurrentCall->Parts[Ref.Part].Pool->Service);
    // The next request to the server may come too late to confirm a crash.
    if (Backend != nullptr && !Backend->Probing) {
      this->probe(*Backend, Out);
    }
  }
  if (CurrentCall == nullptr ||
      !CurrentCall->Parts[Ref.Part].Attempts[Ref.Attempt].Live) {
    return;
  }
  Part &CurrentPart = CurrentCall->Parts[Ref.Part];
  CurrentPart.Attempts[Ref.Attempt].Live = false;
  if (Unsent) {
    --CurrentPart.PossiblyRun;
    --CurrentPart.PossiblyDelivered;
    CurrentPart.Attempts[Ref.Attempt].MayHaveArrived = false;
  } else {
    ++CurrentPart.Broken;
  }
  this->retryOrFail(Now, *CurrentCall, Ref.Part, Out);
  this->advance(Now, *CurrentCall, Out);
}

void Engine::onAbandonedAttemptEnded(TimePoint Now, const AttemptRef &Ref,
                                     ServerKey Key, AttemptFailure Kind,
                                     Actions &Out) {
  Server *Backend = this->Servers.find(Key);
  if (Backend == nullptr) {
    return; // onServers() has recorded the attempts of servers that restarted.
  }
  const OutstandingAttempt *Ended = findOutstanding(*Backend, Ref);
  if (Ended != nullptr && Kind != AttemptFailure::NotSent) {
    this->Crashes.recordBroken(Now, Key, this->CallNumberOffset + Ref.Call,
                               Ended->Content, Backend->Entry.Service);
    bool MayHaveCrashed = Kind == AttemptFailure::Broken ||
                          this->Crashes.isSuspected(Ended->Content);
    if (MayHaveCrashed && !Backend->Probing) {
      this->probe(*Backend, Out);
    }
  }
  recordAttemptEnd(Now, *Backend, Ref, AttemptOutcome::Abandoned);
}

} // namespace hickorycrank::forward
