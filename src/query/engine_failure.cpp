#include "query/engine_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::query {

using base::Duration;
using base::TimePoint;
using routing::Outcome;

namespace {

/** Base of the exponential back-off with full jitter; doubles with each retry
 * or denial. */
constexpr Duration BackoffBase = std::chrono::milliseconds(4);
/** Time allowed for a probe to show whether a reset was a crash. */
constexpr Duration CrashProbeTime = std::chrono::milliseconds(50);
/** Budget denials of a retry after which the shard fails. */
constexpr uint8_t MaxBudgetDenials = 3;
/** Attempts per shard that may fail before any byte is sent. */
constexpr uint8_t MaxUnsentAttempts = 3;
/** Interval after which a retry that could not be sent is reconsidered. */
constexpr Duration RetryRecheckDelay = std::chrono::milliseconds(1);
/** Upper latency quantile assumed before any latency has been observed. */
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
  Slot &ShardSlot = Query->Slots[Ref.Slot];
  if (BytesSent) {
    Query->MayHaveRun = true;
  } else {
    ++ShardSlot.UnsentAttempts;
  }
  this->completeAttempt(Now, *Attempt, Outcome::Failure);
  if (Kind == FailureKind::ConnectRefused) {
    this->ServerDirectory.markDown(Now, From);
  }
  if (Kind == FailureKind::Reset && BytesSent) {
    ResetRecord &Record = this->ResetsByServer[From];
    Record.Requests.push_back(Query->Source->Parameters.Content);
    Record.Isolated = this->ServerDirectory.at(From).ReservedFor == Query->Id;
    Out.emplace_back(ProbeServer{From, this->ServerDirectory.at(From).Address});
  }
  bool MayRetry = Query->Source->Template->Idempotent ||
                  (!BytesSent && Kind != FailureKind::NotSent);
  this->handleSlotFailure(Now, *Query, Ref.Slot, toReason(Kind), MayRetry, Out);
  this->concludeIfDone(Now, Ref.Query, Out);
  this->dispatchWaiting(Now, From, Out);
  this->dispatchSuspects(Now, Out);
}

void Engine::failSlot(Slot &ShardSlot, QueryState &Query) {
  ShardSlot.Phase = SlotPhase::Failed;
  ++Query.FailedSlots;
}

void Engine::handleSlotFailure(TimePoint Now, QueryState &Query,
                               uint32_t SlotIndex, RetryReason Reason,
                               bool MayRetry, Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  ShardSlot.LastReason = Reason;
  bool OtherLive =
      std::any_of(ShardSlot.Attempts.begin(), ShardSlot.Attempts.end(),
                  [](const AttemptState &Attempt) { return Attempt.Live; });
  if (OtherLive) {
    return;
  }
  bool AtMostOnce = !Query.Source->Template->Idempotent;
  bool NothingSent = Reason == RetryReason::Connect;
  if (!MayRetry || (AtMostOnce && !NothingSent) ||
      ShardSlot.Retries >= this->Options.Rules.MaxRetries ||
      ShardSlot.UnsentAttempts > MaxUnsentAttempts) {
    this->failSlot(ShardSlot, Query);
    return;
  }
  if (Reason == RetryReason::VersionGone &&
      !this->hasLiveReplica(Query.Pinned.Version, ShardSlot.Shard)) {
    if (!this->restart(Now, Query, Out)) {
      this->failSlot(ShardSlot, Query);
    }
    return;
  }
  ShardSlot.Phase = SlotPhase::Backoff;
  ShardSlot.RetryAt = Now;
  bool AddsLoad = Reason != RetryReason::Connect; // Otherwise nothing was sent.
  if (Reason == RetryReason::Reset && this->Options.Rules.IsolateSuspects) {
    ShardSlot.RetryAt = Now + CrashProbeTime;
  } else if (AddsLoad && this->Options.Rules.Budget) {
    Duration Ceiling = BackoffBase * (1U << ShardSlot.Retries);
    ShardSlot.RetryAt = Now + std::chrono::duration_cast<Duration>(
                                  Ceiling * this->Generator.unit());
  }
  if (ShardSlot.RetryAt <= Now) {
    this->retryOrFail(Now, Query, SlotIndex, Out);
  }
  this->wakeNoLaterThan(Now, Query,
                        std::max(ShardSlot.RetryAt, Now + RetryRecheckDelay));
}

void Engine::retryOrFail(TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                         Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  if (Query.Mode == QueryMode::Suspect) {
    return; // dispatchSuspects sends it when it may run alone.
  }
  if (!this->hasLiveReplica(Query.Pinned.Version, ShardSlot.Shard)) {
    this->failSlot(ShardSlot, Query);
    return;
  }
  bool AddsLoad = ShardSlot.LastReason != RetryReason::Connect;
  if (AddsLoad && this->Options.Rules.Budget &&
      !this->Budget.tryTake(limits::ExtraAttemptKind::Retry, Now)) {
    ++this->Counters.RetriesDenied;
    if (++ShardSlot.BudgetDenials > MaxBudgetDenials) {
      this->failSlot(ShardSlot, Query);
      return;
    }
    Duration Ceiling = BackoffBase * (2U << ShardSlot.BudgetDenials);
    ShardSlot.RetryAt = Now + std::chrono::duration_cast<Duration>(
                                  Ceiling * this->Generator.unit());
    return;
  }
  ++this->Counters.Retries[static_cast<size_t>(ShardSlot.LastReason)];
  ShardSlot.Retries += AddsLoad ? 1 : 0;
  this->sendOrWait(Now, Query, SlotIndex, Out);
}

void Engine::timeOutAttempts(TimePoint Now, QueryState &Query,
                             uint32_t SlotIndex, Actions &Out) {
  Slot &ShardSlot = Query.Slots[SlotIndex];
  Duration AttemptTimeout = this->attemptTimeout();
  bool TimedOut = false;
  for (uint32_t I = 0; I < ShardSlot.Attempts.size(); ++I) {
    AttemptState &Attempt = ShardSlot.Attempts[I];
    if (!Attempt.Live ||
        Now < std::max(Attempt.SentAt, this->LastPause) + AttemptTimeout) {
      continue;
    }
    TimedOut = true;
    routing::ServerState &Server = this->ServerDirectory.at(Attempt.Server);
    Out.emplace_back(CancelAttempt{{Query.Id, SlotIndex, I, Query.Round},
                                   Attempt.Id,
                                   Attempt.Server,
                                   CancelReason::TimedOut});
    Query.MayHaveRun = true;
    if (this->Options.Rules.AttributeTimeoutToConnection &&
        !Attempt.NewConnection) {
      // A reused connection may be dead while the server is healthy.
      ++this->Counters.SilentConnections;
      Server.ConnectionSuspect = true;
      Attempt.Live = false;
      --Server.Outstanding;
    } else {
      this->completeAttempt(Now, Attempt, Outcome::Failure);
    }
    Out.emplace_back(ProbeServer{Attempt.Server, Server.Address});
  }
  if (TimedOut) {
    this->handleSlotFailure(Now, Query, SlotIndex, RetryReason::Timeout,
                            Query.Source->Template->Idempotent, Out);
  }
}

bool Engine::restart(TimePoint Now, QueryState &Query, Actions &Out) {
  const config::TemplateDoc &Template = *Query.Source->Template;
  Duration P95Latency = this->Latencies.quantile(0.95, DefaultP99);
  if (Query.Round != 0 || !Template.Idempotent ||
      Now + P95Latency >= Query.Source->Deadline) {
    return false;
  }
  routing::ShardRequest Wanted{Template.Selection, Query.Source->Parameters.Key,
                               Template.ShardNames};
  auto Newer =
      routing::chooseVersion(this->ServerDirectory, Wanted, Template.Snapshot,
                             Query.Pinned.Version, Now);
  if (!Newer || Newer->Reachable < Newer->Needed.size()) {
    return false;
  }
  for (uint32_t I = 0; I < Query.AttemptsSent && this->Options.Rules.Budget;
       ++I) {
    if (!this->Budget.tryTake(limits::ExtraAttemptKind::Retry, Now)) {
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
  this->scheduleWakeUp(Now, Query);
  return true;
}

} // namespace hickorycrank::query
