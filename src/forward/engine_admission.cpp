#include "forward/engine_base.h"
#include "forward/replica_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Time in which a lost server is usually back or replaced. */
constexpr std::chrono::milliseconds NoServerRetryAfter(1'000);

/** Share of a route's target within which an overloaded shard must be expected
 * to reply to be asked. The rest covers the estimate's error; a shard that is
 * asked in vain delays the requests of all others. */
constexpr double OverloadShare = 0.85;
/** Share of a route's target from which on the expected reply of a shard that
 * the answer needs is too late to ask for. It is above the target since the
 * estimate errs, and a late answer serves a caller better than a refusal. */
constexpr double RefuseShare = 1.2;

} // namespace

const std::string &Engine::chooseService(const Route &Source) {
  if (Source.Choices.size() == 1) {
    return Source.Choices.front().Service;
  }
  // Smooth weighted round-robin keeps each share exact over short spans.
  auto &Shares = this->Turns[Source.Name];
  double Total = 0;
  const WeightedService *Best = &Source.Choices.front();
  for (const WeightedService &Choice : Source.Choices) {
    Total += Choice.Weight;
    Shares[Choice.Service] += Choice.Weight;
    if (Shares[Choice.Service] > Shares[Best->Service]) {
      Best = &Choice;
    }
  }
  Shares[Best->Service] -= Total;
  return Best->Service;
}

void Engine::refuse(CallId Id, const Refusal &Reason, Actions &Out,
                    CallSummary Summary) {
  ++this->Counters.Refusals[static_cast<size_t>(Reason.Reason)];
  Summary.Version = this->Table ? this->Table->Version : 0;
  Out.push_back(RespondCall{Id, Reason, std::move(Summary)});
}

bool Engine::admit(TimePoint Now, Call &Target, Actions &Out) {
  std::vector<Part *> Lost; // No server can reply for now.
  TimePoint Back = Now + NoServerRetryAfter;
  for (Part &Entry : Target.Parts) {
    auto Until = unreachableUntil(Now, *Entry.Pool);
    if (!hasUsableReplica(*Entry.Pool) || (Until && Target.Source->fansOut())) {
      Back = std::min(Back, Until.value_or(Back));
      Lost.push_back(&Entry);
    }
  }
  size_t Spare = Target.Parts.size() - requiredParts(*Target.Source);
  if (Lost.size() > Spare) {
    auto Wait = std::chrono::ceil<std::chrono::milliseconds>(Back - Now);
    this->refuse(Target.Id, {RefusalReason::NoServer, false, Wait}, Out,
                 summarise(Target));
    this->Calls.erase(Target.Id.Value);
    return false;
  }
  for (Part *Entry : Lost) {
    this->leaveOut(Target, *Entry);
  }
  return !Target.Source->fansOut() ||
         this->admitAtQueues(Now, Target, Spare - Lost.size(), Out);
}

bool Engine::admitAtQueues(TimePoint Now, Call &Target, size_t Spare,
                           Actions &Out) {
  auto Punctual = std::chrono::duration_cast<Duration>(Target.Source->Target *
                                                       OverloadShare);
  auto TooLate =
      std::chrono::duration_cast<Duration>(Target.Source->Target * RefuseShare);
  Duration Usual = this->usualLatency(*Target.Source);
  std::vector<std::pair<Duration, Part *>> Late;
  size_t Overloaded = 0;
  for (Part &Entry : Target.Parts) {
    Server *Best = Entry.Phase == PartPhase::Waiting
                       ? this->choose(Now, Target, Entry, false)
                       : nullptr;
    if (Best == nullptr) {
      continue;
    }
    Duration Expected = expectedTime(Now, *Best, Usual);
    if (Expected > Punctual) {
      Late.emplace_back(Expected, &Entry);
    }
    // Without a queue of its own attempts the estimate may be out of date, and
    // only an attempt can correct it.
    Overloaded += Expected > TooLate && hasLongQueue(Now, *Best) ? 1 : 0;
  }
  if (Overloaded > Spare) {
    this->refuse(Target.Id,
                 {RefusalReason::Overloaded, false, OverloadRetryAfter}, Out,
                 summarise(Target));
    this->Calls.erase(Target.Id.Value);
    return false;
  }
  std::sort(Late.begin(), Late.end(), std::greater<>());
  Late.resize(std::min(Late.size(), Spare));
  for (auto &[Expected, Entry] : Late) {
    this->leaveOut(Target, *Entry);
  }
  return true;
}

void Engine::leaveOut(Call &Target, Part &Which) {
  Which.Phase = PartPhase::Failed;
  ++Target.Failed;
  ++this->Counters.ShardsLeftOut;
}

} // namespace hickorycrank::forward
