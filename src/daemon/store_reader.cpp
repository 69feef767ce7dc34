#include "daemon/store_reader_base.h"

#include "daemon/log_func.h"
#include "daemon/suspend_clock_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Duration;

namespace {

/** Maximum duration of a watch at first and soon after a failure: a store that
 * has just recovered may never answer a call made during its outage, and
 * changes are delayed until the watch times out. */
constexpr std::chrono::milliseconds ShortWatchWait(500);
/** Minimum duration of a watch: each call is billed. */
constexpr std::chrono::milliseconds MinWatchWait(100);
/** Timeout of a call in addition to the requested wait, until its response
 * arrives, and for each pause in it. */
constexpr std::chrono::milliseconds ResponseTimeout(1'200);
/** Delay between a change and the next watch, so that further changes are
 * returned together: a watch ends with its first change, and each call is
 * billed. */
constexpr Duration CoalescingTime = std::chrono::milliseconds(150);
constexpr Duration FirstRetry = std::chrono::milliseconds(120);
constexpr uint32_t MaxRetryDoublings = 3;
/** Time without failure after which a missing item counts as deleted: servers
 * whose entries expired during an outage register again within 2 s. */
constexpr Duration StableTime = std::chrono::milliseconds(3'000);
constexpr uint32_t MaxStoreResponseBytes = 16 * 1024 * 1024;

net::PoolLimits storeLimits() {
  net::PoolLimits Limits;
  Limits.MaxConnections = 2;
  Limits.MaxResponseBytes = MaxStoreResponseBytes;
  Limits.ConnectTimeout = std::chrono::milliseconds(600);
  Limits.StallTimeout = ResponseTimeout;
  return Limits;
}

} // namespace

StoreReader::StoreReader(boost::asio::io_context &Context,
                         const config::Endpoint &Store,
                         discovery::StoreProtocol Dialect, uint64_t Seed,
                         fleet::ReadTiming Timing,
                         StoreReaderCallbacks Callbacks)
    : Context(Context), Dialect(std::move(Dialect)), Timing(Timing),
      Callbacks(std::move(Callbacks)),
      Pool(std::make_shared<net::HttpPool>(Context, Store, storeLimits())),
      NextCallTimer(Context), Generator(Seed), LastInterruption(Clock::now()) {}

LogFields StoreReader::positionFields() const {
  const discovery::StorePosition &Position = this->Cursor.position();
  return {{"epoch", std::to_string(Position.Epoch)},
          {"revision", std::to_string(Position.Revision)}};
}

void StoreReader::resume(const discovery::StorePosition &Known,
                         std::optional<Duration> ViewAge) {
  if (!this->Paused || this->Stopped) {
    return;
  }
  this->Paused = false;
  // The store's health while this instance was paused is unknown.
  this->LastInterruption = Clock::now();
  this->Cursor.advanceTo(Known);
  LogFields Fields = this->positionFields();
  if (ViewAge) {
    Fields["view_age_ms"] =
        std::to_string(std::lround(base::toMilliseconds(*ViewAge)));
  }
  logEvent(LogLevel::Info, "store.reading", Fields);
  this->scheduleNextCall(Duration::zero());
}

void StoreReader::pause() {
  if (this->Paused) {
    return;
  }
  this->Paused = true;
  this->Healthy = false;
  this->NextCallPending = false;
  this->NextCallTimer.cancel();
  this->Pool->cancel(this->Exchange, /*CloseConnection=*/true);
  this->Cursor.abortListing();
  logEvent(LogLevel::Info, "store.left_to_peers", this->positionFields());
}

void StoreReader::stop() {
  this->Stopped = true;
  this->NextCallTimer.cancel();
  this->Pool->cancel(this->Exchange, /*CloseConnection=*/true);
  this->Pool->releaseCallbacks();
}

bool StoreReader::isHealthy() const {
  return this->Healthy && this->VerifiedAt &&
         suspendAwareNow() - *this->VerifiedAt <= this->Timing.ReaderAge;
}

bool StoreReader::isStable(base::TimePoint Now) const {
  return this->Healthy && Now - this->LastInterruption >= StableTime;
}

void StoreReader::restartWatch() {
  if (this->Stopped || this->Paused || this->Cursor.isListing() ||
      this->NextCallPending) {
    return;
  }
  this->Pool->cancel(this->Exchange, /*CloseConnection=*/true);
  this->recordFailure("the watch has missed a change");
}

void StoreReader::list() {
  if (this->Cursor.pageCursor().empty()) {
    ++this->Counters.Listings;
    this->SentAt = suspendAwareNow();
  }
  this->sendRequest(this->Dialect.ListTarget(this->Cursor.pageCursor()),
                    ResponseTimeout);
}

std::chrono::milliseconds StoreReader::nextWatchWait() const {
  bool FailedRecently =
      this->LastFailure && Clock::now() - *this->LastFailure < StableTime;
  // The first watch after resume() is short too, as no call has succeeded yet.
  std::chrono::milliseconds Longest =
      FailedRecently || !this->Healthy
          ? std::min(ShortWatchWait, this->Timing.WatchWait)
          : this->Timing.WatchWait;
  // An answer that ended the last watch early has verified less of its time.
  base::Duration Age =
      suspendAwareNow() - this->VerifiedAt.value_or(suspendAwareNow());
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Timing.WatchWait - Age);
  return std::max(std::min(Left, Longest), std::min(MinWatchWait, Longest));
}

void StoreReader::watch() {
  this->SentWait = this->nextWatchWait();
  this->SentAt = suspendAwareNow();
  this->sendRequest(this->Dialect.WatchTarget(this->Cursor.position().Revision,
                                              this->SentWait),
                    this->SentWait + ResponseTimeout);
}

void StoreReader::recordVerification(bool Empty) {
  base::TimePoint Complete = this->SentAt;
  // Without changes the store has answered at the end of the wait.
  if (Empty && suspendAwareNow() - this->SentAt >= this->SentWait) {
    Complete += this->SentWait;
  }
  this->VerifiedAt = std::max(this->VerifiedAt.value_or(Complete), Complete);
}

void StoreReader::sendRequest(const std::string &Target, Duration Timeout) {
  if (this->Stopped || this->Paused) {
    return;
  }
  ++this->Counters.Calls;
  net::HttpRequest Request;
  Request.Path = Target;
  this->Exchange = this->Pool->send(
      std::move(Request), Clock::now() + Timeout, /*Fresh=*/false,
      [Weak = this->weak_from_this()](net::ExchangeResult Result) {
        auto Self = Weak.lock();
        if (!Self || Self->Stopped || Self->Paused) {
          return;
        }
        if (const auto *Response = std::get_if<net::HttpResponse>(&Result)) {
          Self->onResponse(*Response);
          return;
        }
        Self->recordFailure(net::failureReason(Result));
      });
}

template <typename T>
std::optional<T> StoreReader::decodeResponse(
    const net::HttpResponse &Response,
    const std::function<base::Result<T>(const std::string &)> &Decode) {
  auto Decoded = Decode(Response.Body);
  if (!Decoded) {
    this->recordFailure(Decoded.error().Message);
    return std::nullopt;
  }
  return std::move(Decoded.value());
}

void StoreReader::onResponse(const net::HttpResponse &Response) {
  bool HistoryGone = Response.Status == this->Dialect.HistoryGoneStatus;
  if (Response.Status != 200 && !HistoryGone) {
    this->recordFailure("status " + std::to_string(Response.Status));
    return;
  }
  bool Listing = this->Cursor.isListing();
  uint64_t Epoch = this->Dialect.DecodeEpoch(Response.Headers);
  switch (this->Cursor.checkEpoch(Epoch)) {
  case discovery::EpochCheck::Outdated:
    this->recordFailure("answer of epoch " + std::to_string(Epoch));
    return;
  case discovery::EpochCheck::Restored:
    ++this->Counters.Restores;
    logEvent(LogLevel::Warning, "store.restored", this->positionFields());
    this->LastInterruption = Clock::now();
    this->list();
    return;
  case discovery::EpochCheck::Same:
    break;
  }
  if (HistoryGone) {
    logEvent(LogLevel::Warning, "store.history_gone", this->positionFields());
    this->LastInterruption = Clock::now();
    this->Cursor.restart();
    this->list();
  } else if (Listing) {
    this->onPage(Response);
  } else {
    this->onWatch(Response);
  }
}

void StoreReader::onPage(const net::HttpResponse &Response) {
  auto Decoded = this->decodeResponse(Response, this->Dialect.DecodePage);
  if (!Decoded) {
    return;
  }
  auto Complete = this->Cursor.addPage(std::move(*Decoded));
  if (!Complete) {
    this->list();
    return;
  }
  this->recordVerification(/*Empty=*/false);
  this->Callbacks.OnUpdate(*Complete);
  this->Callbacks.OnVerified(*this->VerifiedAt);
  this->recordSuccess();
  this->watch();
}

void StoreReader::onWatch(const net::HttpResponse &Response) {
  auto Decoded = this->decodeResponse(Response, this->Dialect.DecodeChanges);
  if (!Decoded) {
    return;
  }
  discovery::Update Newer = this->Cursor.addChanges(std::move(*Decoded));
  this->recordVerification(Newer.Changes.empty());
  this->Callbacks.OnUpdate(Newer);
  this->Callbacks.OnVerified(*this->VerifiedAt);
  this->recordSuccess();
  this->scheduleNextCall(Newer.Changes.empty() ? Duration::zero()
                                               : CoalescingTime);
}

void StoreReader::recordFailure(const std::string &Reason) {
  ++this->Counters.Failures;
  this->LastInterruption = Clock::now();
  this->LastFailure = this->LastInterruption;
  if (this->Healthy || this->ConsecutiveFailures == 0) {
    LogFields Fields = this->positionFields();
    Fields["reason"] = Reason;
    logEvent(LogLevel::Warning, "store.lost", Fields);
  }
  this->Healthy = false;
  this->Cursor.abortListing();
  this->retryLater();
}

void StoreReader::recordSuccess() {
  if (!this->Healthy) {
    logEvent(LogLevel::Info, "store.regained", this->positionFields());
  }
  this->Healthy = true;
  this->ConsecutiveFailures = 0;
}

void StoreReader::retryLater() {
  uint32_t Doublings = std::min(this->ConsecutiveFailures++, MaxRetryDoublings);
  Duration Delay = FirstRetry * (1U << Doublings);
  this->scheduleNextCall(std::chrono::duration_cast<Duration>(
      Delay * (0.5 + this->Generator.unit())));
}

void StoreReader::scheduleNextCall(Duration Delay) {
  this->NextCallPending = true;
  this->NextCallTimer.expires_after(Delay);
  this->NextCallTimer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (Failure || !Self || Self->Stopped) {
          return;
        }
        Self->NextCallPending = false;
        if (Self->Cursor.isListing()) {
          Self->list();
        } else {
          Self->watch();
        }
      });
}

} // namespace hickorycrank::daemon
