#include "query/engine_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::query {

using base::Duration;
using base::TimePoint;
using routing::Outcome;

namespace {

/** Base of the full-jitter back-off; doubles with each retry or denial. */
constexpr Duration BackoffBase = std::chrono::milliseconds(4);
/** Time for a probe to tell whether a reset was a crash. */
constexpr Duration VerdictTime = std::chrono::milliseconds(50);
/** Times that the budget may deny a retry before the shard is given up. */
constexpr uint8_t MaxDenials = 3;
/** Attempts that may fail before a byte left, per shard. */
constexpr uint8_t MaxUnsent = 3;
/** A retry that could not be sent yet is looked at again after this time. */
constexpr Duration MinWakeDelay = std::chrono::milliseconds(1);
constexpr Duration DefaultP99 = std::chrono::milliseconds(100);

/**
 * Maps a failure to the reason under which a retry is counted.
 * @param Kind The failure.
 * @return The reason.
 */
RetryReason toReason(FailureKind Kind) {
  switch (Kind) {
  case FailureKind::ConnectRefused:
  case FailureKind::ConnectTimeout:
  case FailureKind::NotSent:
    return RetryReason::Connect;
  case FailureKind::Reset:
    return RetryReason::Reset;
  case FailureKind::InvalidReply:
  case FailureKind::WrongEcho:
    return RetryReason::BadReply;
  }
  return RetryReason::Error;
}

} // namespace

Duration Engine::attemptTimeout() const {
  Duration P99 = this->Latencies.quantile(0.99, DefaultP99);
  Duration Scaled = std::chrono::duration_cast<Duration>(
      P99 * this->Options.Rules.TimeoutFactor);
  return std::max(Scaled, this->Options.Rules.MinAttemptTimeout);
}

void Engine::onAttemptFailed(TimePoint Now, const AttemptRef &Ref,
                             FailureKind Kind, bool BytesSent, Actions &Out) {
  QueryState *Query = nullptr;
  AttemptState *Attempt = this->findAttempt(Ref, Query);
  if (Attempt == nullptr) {
    ++this->Counters.LateReplies;
    return;
  }
  base::ServerIndex From = Attempt->Server;
  Slot &Target = Query->Slots[Ref.Slot];
  if (BytesSent) {
    Query->MayHaveRun = true;
  } else {
    ++Target.Unsent;
  }
  this->settle(Now, *Attempt, Outcome::Failure);
  if (Kind == FailureKind::ConnectRefused) {
    this->Servers.markDown(Now, From);
  }
  if (Kind == FailureKind::Reset && BytesSent) {
    ResetRecord &Record = this->Resets[From];
    Record.Requests.push_back(Query->Source->Parameters.Content);
    Record.Isolated = this->Servers.at(From).ReservedFor == Query->Id;
    Out.emplace_back(ProbeServer{From, this->Servers.at(From).Address});
  }
  bool MayRetry = Query->Source->Template->Idempotent ||
                  (!BytesSent && Kind != FailureKind::NotSent);
  this->slotFailed(Now, *Query, Ref.Slot, toReason(Kind), MayRetry, Out);
  this->concludeIfDone(Now, Ref.Query, Out);
  this->pump(Now, From, Out);
  this->runSuspects(Now, Out);
}

void Engine::giveUpSlot(Slot &Target, QueryState &Query) {
  Target.Phase = SlotPhase::Failed;
  ++Query.FailedSlots;
}

void Engine::slotFailed(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                        RetryReason Reason, bool MayRetry, Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  Target.LastReason = Reason;
  bool OtherLive =
      std::any_of(Target.Attempts.begin(), Target.Attempts.end(),
                  [](const AttemptState &Attempt) { return Attempt.Live; });
  if (OtherLive) {
    return;
  }
  bool AtMostOnce = !Query.Source->Template->Idempotent;
  bool NothingSent = Reason == RetryReason::Connect;
  if (!MayRetry || (AtMostOnce && !NothingSent) ||
      Target.Retries >= this->Options.Rules.MaxRetries ||
      Target.Unsent > MaxUnsent) {
    this->giveUpSlot(Target, Query);
    return;
  }
  if (Reason == RetryReason::VersionGone &&
      !this->hasLiveHolder(Query.Pinned.Version, Target.Shard)) {
    if (!this->restart(Now, Query, Out)) {
      this->giveUpSlot(Target, Query);
    }
    return;
  }
  Target.Phase = SlotPhase::Backoff;
  Target.RetryAt = Now;
  bool PutsLoad = Reason != RetryReason::Connect; // Else nothing was sent.
  if (Reason == RetryReason::Reset && this->Options.Rules.IsolateSuspects) {
    Target.RetryAt = Now + VerdictTime;
  } else if (PutsLoad && this->Options.Rules.Budget) {
    Duration Ceiling = BackoffBase * (1U << Target.Retries);
    Target.RetryAt = Now + std::chrono::duration_cast<Duration>(
                               Ceiling * this->Generator.unit());
  }
  if (Target.RetryAt <= Now) {
    this->retryOrGiveUp(Now, Query, SlotIndex, Out);
  }
  this->wakeBy(Now, Query, std::max(Target.RetryAt, Now + MinWakeDelay));
}

void Engine::retryOrGiveUp(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                           Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  if (Query.Mode == QueryMode::Suspect) {
    return; // It is sent when its turn to run alone has come.
  }
  if (!this->hasLiveHolder(Query.Pinned.Version, Target.Shard)) {
    this->giveUpSlot(Target, Query);
    return;
  }
  bool PutsLoad = Target.LastReason != RetryReason::Connect;
  if (PutsLoad && this->Options.Rules.Budget &&
      !this->Budget.tryTake(limits::ExtraKind::Retry, Now)) {
    ++this->Counters.RetriesDenied;
    if (++Target.Denials > MaxDenials) {
      this->giveUpSlot(Target, Query);
      return;
    }
    Duration Ceiling = BackoffBase * (2U << Target.Denials);
    Target.RetryAt = Now + std::chrono::duration_cast<Duration>(
                               Ceiling * this->Generator.unit());
    return;
  }
  ++this->Counters.Retries[static_cast<size_t>(Target.LastReason)];
  Target.Retries += PutsLoad ? 1 : 0;
  this->sendOrWait(Now, Query, SlotIndex, Out);
}

void Engine::timeOutAttempts(TimePoint Now, QueryState &Query,
                             uint32_t SlotIndex, Actions &Out) {
  Slot &Target = Query.Slots[SlotIndex];
  Duration Limit = this->attemptTimeout();
  bool TimedOut = false;
  for (uint32_t I = 0; I < Target.Attempts.size(); ++I) {
    AttemptState &Attempt = Target.Attempts[I];
    if (!Attempt.Live ||
        Now < std::max(Attempt.SentAt, this->LastPause) + Limit) {
      continue;
    }
    TimedOut = true;
    routing::ServerState &Server = this->Servers.at(Attempt.Server);
    Out.emplace_back(CancelAttempt{{Query.Id, SlotIndex, I, Query.Round},
                                   Attempt.Id,
                                   Attempt.Server,
                                   CancelReason::TimedOut});
    Query.MayHaveRun = true;
    if (this->Options.Rules.SuspectConnectionFirst && !Attempt.Fresh) {
      // An old connection may have gone silent while the server is well.
      ++this->Counters.SilentConnections;
      Server.ConnectionSuspect = true;
      Attempt.Live = false;
      --Server.Outstanding;
    } else {
      this->settle(Now, Attempt, Outcome::Failure);
    }
    Out.emplace_back(ProbeServer{Attempt.Server, Server.Address});
  }
  if (TimedOut) {
    this->slotFailed(Now, Query, SlotIndex, RetryReason::Timeout,
                     Query.Source->Template->Idempotent, Out);
  }
}

bool Engine::restart(TimePoint Now, QueryState &Query, Actions &Out) {
  const config::TemplateDoc &Template = *Query.Source->Template;
  Duration Service = this->Latencies.quantile(0.95, DefaultP99);
  if (Query.Round != 0 || !Template.Idempotent ||
      Now + Service >= Query.Source->Deadline) {
    return false;
  }
  routing::ShardRequest Wanted{Template.Selection, Query.Source->Parameters.Key,
                               Template.ShardNames};
  auto Newer = routing::chooseVersion(this->Servers, Wanted, Template.Snapshot,
                                      Query.Pinned.Version, Now);
  if (!Newer || Newer->Reachable < Newer->Needed.size()) {
    return false;
  }
  for (uint32_t I = 0; I < Query.AttemptsSent && this->Options.Rules.Budget;
       ++I) {
    if (!this->Budget.tryTake(limits::ExtraKind::Retry, Now)) {
      ++this->Counters.RetriesDenied;
      return false;
    }
  }
  for (uint32_t I = 0; I < Query.Slots.size(); ++I) {
    this->cancelSlot(Now, Query, I, CancelReason::Superseded, Out);
    this->dequeue(Query, Query.Slots[I]);
  }
  ++this->Counters.Restarts;
  ++Query.Round;
  Query.AnsweredSlots = 0;
  Query.FailedSlots = 0;
  Query.Pinned = std::move(*Newer);
  Query.Slots.clear();
  Query.Slots.resize(Query.Pinned.Needed.size());
  for (size_t I = 0; I < Query.Slots.size(); ++I) {
    Query.Slots[I].Shard = Query.Pinned.Needed[I];
  }
  this->startSlots(Now, Query, Out);
  this->scheduleWake(Now, Query);
  return true;
}

} // namespace hickorycrank::query
