#include "daemon/store_reader_base.h"

#include "daemon/log_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Duration;

namespace {

/** Time that a watch waits. A lost answer is noticed after it; shorter watches
 * cost more calls, which are limited and priced. */
constexpr std::chrono::milliseconds WatchWait(5'000);
/** The same at first and soon after a failure: a store that has just returned
 * may never answer a call from its outage, and changes wait until that is
 * noticed. */
constexpr std::chrono::milliseconds UnprovenWatchWait(500);
/** Time for an answer beyond the time that the store is asked to wait. */
constexpr Duration AnswerTimeout = std::chrono::milliseconds(1'200);
/** Time after a change in which further ones are gathered into one answer: a
 * watch ends with its first change, and each call is priced. */
constexpr Duration GatherTime = std::chrono::milliseconds(150);
constexpr Duration FirstRetry = std::chrono::milliseconds(120);
constexpr uint32_t MaxRetryDoublings = 3;
/** Time without failure after which the absence of an item proves that it is
 * gone: servers that lapsed during an outage are back within 2 s. */
constexpr Duration StableTime = std::chrono::milliseconds(3'000);
constexpr uint32_t MaxAnswerBytes = 16 * 1024 * 1024;

net::PoolLimits storeLimits() {
  net::PoolLimits Limits;
  Limits.MaxConnections = 2;
  Limits.MaxResponseBytes = MaxAnswerBytes;
  Limits.ConnectTimeout = std::chrono::milliseconds(600);
  return Limits;
}

} // namespace

StoreReader::StoreReader(boost::asio::io_context &Context,
                         const config::Endpoint &Store,
                         discovery::StoreProtocol Dialect, uint64_t Seed,
                         StoreReaderCallbacks Handlers)
    : Context(Context), Dialect(std::move(Dialect)),
      Handlers(std::move(Handlers)),
      Pool(std::make_shared<net::HttpPool>(Context, Store, storeLimits())),
      RetryTimer(Context), Generator(Seed), LastTrouble(Clock::now()) {}

void StoreReader::resume(uint64_t Known) {
  if (!this->Paused || this->Stopped) {
    return;
  }
  this->Paused = false;
  // What happened to the store while others read it is not known.
  this->LastTrouble = Clock::now();
  this->Revision = std::max(this->Revision, Known);
  logEvent(LogLevel::Info, "store.reading",
           {{"revision", std::to_string(this->Revision)}});
  this->continueAfter(Duration::zero());
}

void StoreReader::pause() {
  if (this->Paused) {
    return;
  }
  this->Paused = true;
  this->Healthy = false;
  this->RetryPending = false;
  this->RetryTimer.cancel();
  this->Pool->cancel(this->Exchange, true);
  this->LastKey.clear();
  logEvent(LogLevel::Info, "store.left_to_peers",
           {{"revision", std::to_string(this->Revision)}});
}

void StoreReader::stop() {
  this->Stopped = true;
  this->RetryTimer.cancel();
  this->Pool->cancel(this->Exchange, true);
  this->Pool->releaseCallbacks();
}

bool StoreReader::isStable(base::TimePoint Now) const {
  return this->isHealthy() && Now - this->LastTrouble >= StableTime;
}

void StoreReader::restartWatch() {
  if (this->Stopped || this->Paused || this->Revision == 0 ||
      this->RetryPending) {
    return;
  }
  this->Pool->cancel(this->Exchange, true);
  this->fail("the watch has missed a change");
}

void StoreReader::list() {
  if (this->LastKey.empty()) {
    this->Partial = {};
    ++this->Counters.Listings;
  }
  this->ask(
      this->Dialect.ListTarget(this->LastKey), AnswerTimeout,
      [this](const net::HttpResponse &Response) { this->onPage(Response); });
}

void StoreReader::watch() {
  bool FailedLately =
      this->LastFailure && Clock::now() - *this->LastFailure < StableTime;
  // The first call of a reader that has learnt from its peers is unproven too.
  std::chrono::milliseconds Wait =
      FailedLately || !this->Healthy ? UnprovenWatchWait : WatchWait;
  this->ask(
      this->Dialect.WatchTarget(this->Revision, Wait), Wait + AnswerTimeout,
      [this](const net::HttpResponse &Response) { this->onWatch(Response); });
}

void StoreReader::ask(const std::string &Target, Duration Timeout,
                      std::function<void(const net::HttpResponse &)> Handle) {
  if (this->Stopped || this->Paused) {
    return;
  }
  ++this->Counters.Calls;
  net::HttpRequest Request;
  Request.Path = Target;
  this->Exchange = this->Pool->send(
      std::move(Request), Clock::now() + Timeout, false,
      [Weak = this->weak_from_this(),
       Handle = std::move(Handle)](net::ExchangeResult Result) {
        auto Self = Weak.lock();
        if (!Self || Self->Stopped || Self->Paused) {
          return;
        }
        if (const auto *Response = std::get_if<net::HttpResponse>(&Result)) {
          Handle(*Response);
          return;
        }
        Self->fail("no answer");
      });
}

template <typename T>
std::optional<T> StoreReader::readAnswer(
    const net::HttpResponse &Response,
    const std::function<base::Result<T>(const std::string &)> &Decode) {
  if (Response.Status != 200) {
    this->fail("status " + std::to_string(Response.Status));
    return std::nullopt;
  }
  auto Decoded = Decode(Response.Body);
  if (!Decoded) {
    this->fail(Decoded.error().Message);
    return std::nullopt;
  }
  return std::move(Decoded.value());
}

void StoreReader::onPage(const net::HttpResponse &Response) {
  auto Answer = this->readAnswer(Response, this->Dialect.DecodePage);
  if (!Answer) {
    return;
  }
  discovery::Page &Page = *Answer;
  // Pages are no snapshot: the watch repeats what changed after the first.
  if (this->LastKey.empty()) {
    this->Partial.Revision = Page.Revision;
  }
  for (discovery::Item &Entry : Page.Items) {
    this->Partial.LastChangeRevision =
        std::max(this->Partial.LastChangeRevision, Entry.Revision);
    this->Partial.Changes.push_back({std::move(Entry), false});
  }
  if (Page.HasMore && !Page.LastKey.empty()) {
    this->LastKey = Page.LastKey;
    this->list();
    return;
  }
  this->LastKey.clear();
  this->Revision = this->Partial.Revision;
  this->Partial.Complete = true;
  this->Handlers.OnUpdate(std::exchange(this->Partial, {}));
  this->succeed();
  this->watch();
}

void StoreReader::onWatch(const net::HttpResponse &Response) {
  if (Response.Status == this->Dialect.HistoryGoneStatus) {
    logEvent(LogLevel::Warning, "store.history_gone",
             {{"revision", std::to_string(this->Revision)}});
    this->LastTrouble = Clock::now();
    this->list();
    return;
  }
  auto Answer = this->readAnswer(Response, this->Dialect.DecodeChanges);
  if (!Answer) {
    return;
  }
  discovery::Update &Newer = *Answer;
  Newer.Since = this->Revision;
  this->Revision = std::max(this->Revision, Newer.Revision);
  bool Changed = !Newer.Changes.empty();
  this->Handlers.OnUpdate(Newer);
  this->succeed();
  this->continueAfter(Changed ? GatherTime : Duration::zero());
}

void StoreReader::fail(const std::string &Reason) {
  ++this->Counters.Failures;
  this->LastTrouble = Clock::now();
  this->LastFailure = this->LastTrouble;
  if (this->Healthy || this->FailuresInRow == 0) {
    logEvent(
        LogLevel::Warning, "store.lost",
        {{"reason", Reason}, {"revision", std::to_string(this->Revision)}});
  }
  this->Healthy = false;
  this->LastKey.clear();
  this->retryLater();
}

void StoreReader::succeed() {
  if (!this->Healthy) {
    logEvent(LogLevel::Info, "store.regained",
             {{"revision", std::to_string(this->Revision)}});
  }
  this->Healthy = true;
  this->FailuresInRow = 0;
}

void StoreReader::retryLater() {
  uint32_t Doublings = std::min(this->FailuresInRow++, MaxRetryDoublings);
  Duration Pause = FirstRetry * (1U << Doublings);
  this->continueAfter(std::chrono::duration_cast<Duration>(
      Pause * (0.5 + this->Generator.unit())));
}

void StoreReader::continueAfter(Duration Pause) {
  this->RetryPending = true;
  this->RetryTimer.expires_after(Pause);
  this->RetryTimer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (Failure || !Self || Self->Stopped) {
          return;
        }
        Self->RetryPending = false;
        if (Self->Revision == 0) {
          Self->list();
        } else {
          Self->watch();
        }
      });
}

} // namespace hickorycrank::daemon
