#include "forward/engine_base.h"

#include "forward/merge_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Time before a route's target at which an answer without the late shards
 * leaves, so that it reaches the caller in time. */
constexpr Duration EarlyMargin = std::chrono::milliseconds(14);
/** A late answer waits for all shards until this many targets have passed. */
constexpr int LateFactor = 2;

/** @return Whether an answer without the missing shards is better now. */
bool isTimeForPartial(TimePoint Now, const Call &Target) {
  Duration Age = Now - Target.ArrivedAt;
  Duration Punctual = Target.Source->Target;
  if (Age >= Punctual * LateFactor) {
    return true;
  }
  return Age >= Punctual - EarlyMargin && Age < Punctual;
}

} // namespace

void Engine::advance(TimePoint Now, Call &Target, Actions &Out) {
  for (uint32_t I = 0; I < Target.Parts.size(); ++I) {
    Part &Entry = Target.Parts[I];
    if (Entry.WakeAt > Now) {
      continue;
    }
    if (Entry.Phase == PartPhase::Waiting) {
      this->startAttempt(Now, Target, I, Out);
    } else if (Entry.Phase == PartPhase::InFlight) {
      this->hedge(Now, Target, I, Out);
    }
  }
  if (!this->concludeIfDone(Now, Target, Out)) {
    this->scheduleWake(Now, Target);
  }
}

bool Engine::concludeIfDone(TimePoint Now, Call &Target, Actions &Out) {
  size_t Total = Target.Parts.size();
  size_t Required = requiredParts(*Target.Source);
  bool Settled = Target.Answered + Target.Failed == Total;
  bool Hopeless = Total - Target.Failed < Required;
  bool Partial = Target.Answered >= Required && isTimeForPartial(Now, Target);
  bool TimedOut = Now >= Target.Deadline;
  if (!Settled && !Hopeless && !Partial && !TimedOut) {
    return false;
  }
  this->conclude(Target, TimedOut, Out);
  return true;
}

void Engine::conclude(Call &Target, bool TimedOut, Actions &Out) {
  for (uint32_t I = 0; I < Target.Parts.size(); ++I) {
    this->abandonLive(Target, I, Out);
  }
  CallResult Result = this->buildResult(Target, TimedOut);
  if (const auto *Reason = std::get_if<Refusal>(&Result)) {
    ++this->Counters.Refusals[static_cast<size_t>(Reason->Reason)];
  } else {
    ++this->Counters.Answers;
  }
  if (const auto *Merged = std::get_if<MergedAnswer>(&Result)) {
    this->Counters.PartialAnswers += Merged->Missing > 0 ? 1 : 0;
  }
  Out.push_back(RespondCall{Target.Id, std::move(Result), summarise(Target)});
  this->Calls.erase(Target.Id.Value);
}

CallResult Engine::buildResult(const Call &Target, bool TimedOut) const {
  const Route &Source = *Target.Source;
  if (!Source.fansOut()) {
    const Part &Only = Target.Parts.front();
    if (Only.Result) {
      return *Only.Result;
    }
    return this->buildFailure(Target, TimedOut);
  }
  if (Target.Answered < requiredParts(Source)) {
    return this->buildFailure(Target, TimedOut);
  }
  MergedAnswer Merged;
  std::vector<std::string_view> Bodies;
  for (const Part &Entry : Target.Parts) {
    if (Entry.Phase != PartPhase::Answered) {
      ++Merged.Missing;
      continue;
    }
    Merged.Signatures.push_back(Entry.Result->Signature);
    Bodies.push_back(Entry.Result->Body);
  }
  Merged.Records = mergeGreatest(Bodies, Source.TopK);
  return Merged;
}

CallResult Engine::buildFailure(const Call &Target, bool TimedOut) const {
  const Part &First = Target.Parts.front();
  if (!Target.Source->fansOut() && First.Error) {
    return *First.Error;
  }
  bool MayHaveRun =
      std::any_of(Target.Parts.begin(), Target.Parts.end(),
                  [](const Part &Entry) { return Entry.PossiblyRun > 0; });
  bool Received =
      std::any_of(Target.Parts.begin(), Target.Parts.end(),
                  [](const Part &Entry) { return Entry.Arrivals > 0; });
  if (MayHaveRun) {
    return Refusal{TimedOut ? RefusalReason::Timeout
                            : RefusalReason::BackendFailed,
                   true, std::nullopt};
  }
  return Refusal{Received ? RefusalReason::Overloaded : RefusalReason::NoServer,
                 false, OverloadRetryAfter};
}

CallSummary Engine::summarise(const Call &Target) {
  CallSummary Summary;
  Summary.Route = Target.Source->Name;
  Summary.Version = Target.Table->Version;
  Summary.Shards = static_cast<uint32_t>(Target.Parts.size());
  Summary.Answered = Target.Answered;
  for (const Part &Entry : Target.Parts) {
    Summary.Attempts += static_cast<uint32_t>(Entry.Attempts.size());
    Summary.Broken += Entry.Broken;
    Summary.Unsent += Entry.Arrivals == 0 ? 1 : 0;
  }
  return Summary;
}

void Engine::scheduleWake(TimePoint Now, Call &Target) {
  TimePoint Next = Target.Deadline;
  for (const Part &Entry : Target.Parts) {
    if (Entry.Phase == PartPhase::Waiting ||
        Entry.Phase == PartPhase::InFlight) {
      Next = std::min(Next, Entry.WakeAt);
    }
  }
  if (Target.Source->fansOut()) {
    TimePoint Early = Target.ArrivedAt + Target.Source->Target - EarlyMargin;
    TimePoint Late = Target.ArrivedAt + Target.Source->Target * LateFactor;
    bool EarlyDue = Target.Answered >= requiredParts(*Target.Source);
    if (EarlyDue) {
      Next = std::min(Next, Early > Now ? Early : Late);
    }
  }
  if (Next >= Target.NextWake) {
    return;
  }
  Target.NextWake = Next;
  this->Wakes.push({Next, Target.Id});
}

} // namespace hickorycrank::forward
