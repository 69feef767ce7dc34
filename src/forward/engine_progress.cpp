#include "forward/engine_base.h"

#include "forward/merge_func.h"
#include "forward/not_run_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** A partial answer is sent this long before the route's target latency, so
 * that it reaches the caller in time. */
constexpr Duration PartialAnswerMargin = std::chrono::milliseconds(14);
/** Once the target latency is missed, the answer waits for all shards until
 * this multiple of the target latency. */
constexpr int LateAnswerFactor = 2;

/** @return Whether a partial answer should be sent now. */
bool isPartialAnswerDue(TimePoint Now, const Call &CurrentCall) {
  Duration Age = Now - CurrentCall.ArrivedAt;
  Duration TargetLatency = CurrentCall.MatchedRoute->TargetLatency;
  if (Age >= TargetLatency * LateAnswerFactor) {
    return true;
  }
  return Age >= TargetLatency - PartialAnswerMargin && Age < TargetLatency;
}

} // namespace

void Engine::advance(TimePoint Now, Call &CurrentCall, Actions &Out) {
  for (uint32_t I = 0;
       I < CurrentCall.Parts.size() && !CurrentCall.CurrentRelay; ++I) {
    Part &Entry = CurrentCall.Parts[I];
    if (Entry.WakeAt > Now) {
      continue;
    }
    if (Entry.Phase == PartPhase::Waiting) {
      this->startAttempt(Now, CurrentCall, I, Out);
    } else if (Entry.Phase == PartPhase::InFlight) {
      this->hedge(Now, CurrentCall, I, Out);
    }
  }
  if (CurrentCall.CurrentRelay) {
    this->advanceRelay(Now, CurrentCall, Out);
    return;
  }
  if (!this->finishIfDone(Now, CurrentCall, Out)) {
    this->scheduleWake(Now, CurrentCall);
  }
}

bool Engine::finishIfDone(TimePoint Now, Call &CurrentCall, Actions &Out) {
  size_t Total = CurrentCall.Parts.size();
  size_t Required = requiredParts(*CurrentCall.MatchedRoute);
  bool AllFinished = CurrentCall.Answered + CurrentCall.Failed == Total;
  bool Unattainable = Total - CurrentCall.Failed < Required;
  bool PartialDue =
      CurrentCall.Answered >= Required && isPartialAnswerDue(Now, CurrentCall);
  bool TimedOut = Now >= CurrentCall.Deadline;
  if (!AllFinished && !Unattainable && !PartialDue && !TimedOut) {
    return false;
  }
  bool Fails = Total - CurrentCall.Failed < Required;
  if (Fails && this->isOutOfReach(Now, CurrentCall) &&
      this->tryRelay(Now, CurrentCall, Out)) {
    this->scheduleWake(Now, CurrentCall);
    return true;
  }
  uncountUnsentRelay(CurrentCall);
  this->finishCall(Now, CurrentCall, TimedOut, Out);
  return true;
}

void Engine::finishCall(TimePoint Now, Call &CurrentCall, bool TimedOut,
                        Actions &Out) {
  for (uint32_t I = 0; I < CurrentCall.Parts.size(); ++I) {
    this->abandonLiveAttempts(CurrentCall, I, Out);
  }
  this->respond(CurrentCall, this->buildResult(Now, CurrentCall, TimedOut),
                Out);
}

void Engine::respond(const Call &Ended, CallResult &&Proposed, Actions &Out) {
  CallResult Result = stateExecution(Ended, std::move(Proposed));
  if (const auto *Refused = std::get_if<Refusal>(&Result)) {
    this->countRefusal(Ended, Refused->Reason);
    this->Counters.StatementsWithheld += Refused->WithheldStatus ? 1 : 0;
  } else {
    ++this->Counters.Answers;
  }
  if (const auto *Merged = std::get_if<MergedAnswer>(&Result)) {
    this->Counters.PartialAnswers += Merged->Missing > 0 ? 1 : 0;
  }
  Out.push_back(RespondCall{Ended.Id, std::move(Result), summarise(Ended)});
  this->eraseCall(Ended);
}

CallResult Engine::buildResult(TimePoint Now, const Call &CurrentCall,
                               bool TimedOut) const {
  const Route &MatchedRoute = *CurrentCall.MatchedRoute;
  if (!MatchedRoute.fansOut()) {
    const Part &Only = CurrentCall.Parts.front();
    if (Only.Result) {
      return *Only.Result;
    }
    return this->buildFailure(Now, CurrentCall, TimedOut);
  }
  if (CurrentCall.Answered < requiredParts(MatchedRoute)) {
    return this->buildFailure(Now, CurrentCall, TimedOut);
  }
  MergedAnswer Merged;
  std::vector<std::string_view> Bodies;
  for (const Part &Entry : CurrentCall.Parts) {
    if (Entry.Phase != PartPhase::Answered) {
      ++Merged.Missing;
      continue;
    }
    Merged.Signatures.push_back(Entry.Result->Signature);
    Bodies.push_back(Entry.Result->Body);
  }
  Merged.Records = mergeGreatest(Bodies, MatchedRoute.TopK);
  return Merged;
}

CallResult Engine::buildFailure(TimePoint Now, const Call &CurrentCall,
                                bool TimedOut) const {
  const Part &First = CurrentCall.Parts.front();
  if (!CurrentCall.MatchedRoute->fansOut() && First.Error) {
    return *First.Error;
  }
  if (mayHaveRun(CurrentCall)) {
    return Refusal{TimedOut ? RefusalReason::Timeout
                            : RefusalReason::BackendFailed,
                   true, std::nullopt};
  }
  bool Delivered = std::any_of(
      CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
      [](const Part &Entry) { return Entry.PossiblyDelivered > 0; });
  return Refusal{Delivered ? RefusalReason::Overloaded
                           : unsentReason(CurrentCall),
                 false, notRunRetryAfter(Now, CurrentCall)};
}

RefusalReason Engine::unsentReason(const Call &CurrentCall) {
  if (auto Reason = placementRefusal(CurrentCall)) {
    return *Reason;
  }
  bool RateLimited =
      std::any_of(CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
                  [](const Part &Entry) { return Entry.RateLimited; });
  return RateLimited ? RefusalReason::Overloaded : RefusalReason::NoServer;
}

CallSummary Engine::summarise(const Call &CurrentCall) {
  CallSummary Summary;
  Summary.Route = CurrentCall.MatchedRoute->Name;
  Summary.Priority = CurrentCall.MatchedRoute->Priority;
  Summary.Version = CurrentCall.Table->Version;
  Summary.Shards = static_cast<uint32_t>(CurrentCall.Parts.size());
  Summary.Answered = CurrentCall.Answered;
  for (const Part &Entry : CurrentCall.Parts) {
    Summary.Attempts += static_cast<uint32_t>(Entry.Attempts.size());
    Summary.Broken += Entry.Broken;
    Summary.RateLimited += Entry.RateLimited ? 1 : 0;
    Summary.Unsent += Entry.PossiblyDelivered == 0 ? 1 : 0;
  }
  return Summary;
}

void Engine::scheduleWake(TimePoint Now, Call &CurrentCall) {
  TimePoint Next = CurrentCall.Deadline;
  for (const Part &Entry : CurrentCall.Parts) {
    bool Active =
        Entry.Phase == PartPhase::Waiting || Entry.Phase == PartPhase::InFlight;
    if (Active && !CurrentCall.CurrentRelay) {
      Next = std::min(Next, Entry.WakeAt);
    }
  }
  if (CurrentCall.MatchedRoute->fansOut() && !CurrentCall.CurrentRelay) {
    TimePoint BeforeTarget = CurrentCall.ArrivedAt +
                             CurrentCall.MatchedRoute->TargetLatency -
                             PartialAnswerMargin;
    TimePoint AfterTarget =
        CurrentCall.ArrivedAt +
        CurrentCall.MatchedRoute->TargetLatency * LateAnswerFactor;
    bool EnoughParts =
        CurrentCall.Answered >= requiredParts(*CurrentCall.MatchedRoute);
    if (EnoughParts) {
      Next = std::min(Next, BeforeTarget > Now ? BeforeTarget : AfterTarget);
    }
  }
  if (Next >= CurrentCall.NextWake) {
    return;
  }
  CurrentCall.NextWake = Next;
  this->Wakes.push({Next, CurrentCall.Id});
}

} // namespace hickorycrank::forward
