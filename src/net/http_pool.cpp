#include "net/http_pool_base.h"

#include "net/http_connection_base.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace hickorycrank::net {

namespace asio = boost::asio;

namespace {

/** Runs what had to wait for the lock. @param Later The callables. */
void runAll(std::vector<std::function<void()>> &Later) {
  for (auto &Callable : Later) {
    Callable();
  }
}

} // namespace

std::string failureReason(const ExchangeResult &Result) {
  if (const auto *Response = std::get_if<HttpResponse>(&Result)) {
    return "status " + std::to_string(Response->Status);
  }
  const auto &Failure = std::get<ExchangeError>(Result);
  bool Connecting = Failure.Stage == ExchangeStage::Connecting;
  return std::string(Connecting ? "not connected: " : "no whole answer: ") +
         toString(Failure.Fault);
}

HttpPool::HttpPool(asio::io_context &Context, config::Endpoint Target,
                   PoolLimits Limits)
    : Context(Context), Target(std::move(Target)), Limits(Limits) {}

HttpPool::~HttpPool() {
  for (const auto &Connection : this->Open) {
    Connection->close();
  }
}

ExchangeId HttpPool::send(HttpRequest Request, base::TimePoint Deadline,
                          bool Fresh, Callback Done) {
  Deferred Later;
  ExchangeId Id = 0;
  {
    std::lock_guard Lock(this->Mutex);
    Id = this->NextExchange++;
    this->Waiting.push_back(
        {Id, std::move(Request), Deadline, Fresh, std::move(Done)});
    this->serveWaiting(Later);
  }
  runAll(Later);
  return Id;
}

void HttpPool::serveWaiting(Deferred &Later) {
  base::TimePoint Now = base::Clock::now();
  for (auto Next = this->Waiting.begin(); Next != this->Waiting.end();) {
    if (Next->Deadline <= Now) {
      Later.emplace_back([Done = std::move(Next->Done)] {
        Done(ExchangeError{ExchangeStage::Connecting, ExchangeFault::Timeout});
      });
      Next = this->Waiting.erase(Next);
      continue;
    }
    auto Idle = std::find_if(
        this->Open.begin(), this->Open.end(), [&](const auto &Connection) {
          return Connection->Phase == ConnectionPhase::Idle &&
                 !Connection->Retired &&
                 Now - Connection->IdleSince < this->Limits.MaxIdleAge &&
                 (!Next->Fresh || Connection->Exchange == 0);
        });
    if (Idle == this->Open.end()) {
      ++Next;
      continue;
    }
    std::shared_ptr<HttpConnection> Connection = *Idle;
    this->Counters.Reused += Connection->Exchange != 0 ? 1 : 0;
    Connection->Phase = ConnectionPhase::Busy;
    Connection->Exchange = Next->Id;
    Later.emplace_back([Connection, Request = std::move(Next->Request),
                        Deadline = Next->Deadline,
                        Done = std::move(Next->Done)]() mutable {
      Connection->exchange(std::move(Request), Deadline, std::move(Done));
    });
    Next = this->Waiting.erase(Next);
  }
  this->openFor(Later);
}

void HttpPool::openFor(Deferred &Later) {
  base::TimePoint Now = base::Clock::now();
  for (const auto &Connection : this->Open) {
    bool Stale = Connection->Phase == ConnectionPhase::Idle &&
                 (Connection->Retired ||
                  Now - Connection->IdleSince >= this->Limits.MaxIdleAge);
    if (Stale) {
      Connection->Phase = ConnectionPhase::Closed;
      Later.emplace_back([Connection] { Connection->close(); });
    }
  }
  bool WantsFresh =
      std::any_of(this->Waiting.begin(), this->Waiting.end(),
                  [](const Pending &Entry) { return Entry.Fresh; });
  while (this->Opening < this->Limits.MaxOpening &&
         this->Opening < this->Waiting.size()) {
    if (this->Open.size() >= this->Limits.MaxConnections) {
      // Make room for a request that needs a new connection.
      auto Idle = std::find_if(
          this->Open.begin(), this->Open.end(), [](const auto &Connection) {
            return Connection->Phase == ConnectionPhase::Idle &&
                   Connection->Exchange != 0;
          });
      if (!WantsFresh || Idle == this->Open.end()) {
        return;
      }
      std::shared_ptr<HttpConnection> Victim = *Idle;
      Victim->Phase = ConnectionPhase::Closed;
      this->Open.erase(Idle);
      Later.emplace_back([Victim] { Victim->close(); });
    }
    auto Connection = std::make_shared<HttpConnection>(
        this->Context, this->weak_from_this(), this->Limits);
    this->Open.push_back(Connection);
    ++this->Opening;
    Later.emplace_back(
        [Connection, Target = this->Target] { Connection->open(Target); });
  }
}

void HttpPool::connectionOpened(
    const std::shared_ptr<HttpConnection> &Connection) {
  Deferred Later;
  {
    std::lock_guard Lock(this->Mutex);
    --this->Opening;
    ++this->Counters.Opened;
    Connection->Phase = ConnectionPhase::Idle;
    Connection->IdleSince = base::Clock::now();
    this->serveWaiting(Later);
  }
  runAll(Later);
}

void HttpPool::connectionIdle(const std::shared_ptr<HttpConnection> &Connection,
                              bool Drained) {
  Deferred Later;
  {
    std::lock_guard Lock(this->Mutex);
    if (Connection->Phase == ConnectionPhase::Closed) {
      return;
    }
    this->Counters.Drained += Drained ? 1 : 0;
    Connection->Phase = ConnectionPhase::Idle;
    Connection->IdleSince = base::Clock::now();
    this->serveWaiting(Later);
  }
  runAll(Later);
}

void HttpPool::connectionClosed(
    const std::shared_ptr<HttpConnection> &Connection, bool NeverOpened,
    ExchangeFault Fault) {
  Deferred Later;
  {
    std::lock_guard Lock(this->Mutex);
    if (Connection->Phase == ConnectionPhase::Draining) {
      ++this->Counters.DrainClosed;
    }
    Connection->Phase = ConnectionPhase::Closed;
    this->Open.remove(Connection);
    if (NeverOpened) {
      --this->Opening;
      ++this->Counters.OpenFailed;
      if (!this->Waiting.empty()) {
        // The one that waited longest learns of it; the others try again.
        Pending Failed = std::move(this->Waiting.front());
        this->Waiting.pop_front();
        Later.emplace_back([Done = std::move(Failed.Done), Fault] {
          Done(ExchangeError{ExchangeStage::Connecting, Fault});
        });
      }
    }
    this->serveWaiting(Later);
  }
  runAll(Later);
}

void HttpPool::cancel(ExchangeId Exchange, bool CloseConnection) {
  Deferred Later;
  {
    std::lock_guard Lock(this->Mutex);
    auto Waits = std::find_if(
        this->Waiting.begin(), this->Waiting.end(),
        [Exchange](const Pending &Entry) { return Entry.Id == Exchange; });
    if (Waits != this->Waiting.end()) {
      this->Waiting.erase(Waits);
      return;
    }
    auto Runs = std::find_if(this->Open.begin(), this->Open.end(),
                             [Exchange](const auto &Entry) {
                               return Entry->Exchange == Exchange &&
                                      Entry->Phase == ConnectionPhase::Busy;
                             });
    if (Runs == this->Open.end()) {
      return;
    }
    std::shared_ptr<HttpConnection> Connection = *Runs;
    Connection->Phase = ConnectionPhase::Draining;
    Later.emplace_back([Connection, CloseConnection] {
      Connection->abandon();
      if (CloseConnection) {
        Connection->close();
      }
    });
  }
  runAll(Later);
}

void HttpPool::retireAll() {
  Deferred Later;
  {
    std::lock_guard Lock(this->Mutex);
    for (const auto &Connection : this->Open) {
      if (Connection->Phase != ConnectionPhase::Opening) {
        Connection->Retired = true;
      }
    }
    this->openFor(Later);
  }
  runAll(Later);
}

void HttpPool::warm(uint32_t Count) {
  Deferred Later;
  {
    std::lock_guard Lock(this->Mutex);
    uint32_t Wanted = std::min(Count, this->Limits.MaxConnections);
    while (this->Open.size() < Wanted &&
           this->Opening < this->Limits.MaxOpening) {
      auto Connection = std::make_shared<HttpConnection>(
          this->Context, this->weak_from_this(), this->Limits);
      this->Open.push_back(Connection);
      ++this->Opening;
      Later.emplace_back(
          [Connection, Target = this->Target] { Connection->open(Target); });
    }
  }
  runAll(Later);
}

void HttpPool::releaseCallbacks() {
  std::list<Pending> Dropped;
  std::vector<Callback> Callbacks;
  {
    std::lock_guard Lock(this->Mutex);
    Dropped.swap(this->Waiting);
    for (const auto &Connection : this->Open) {
      Callbacks.push_back(Connection->takeCallback());
    }
  }
}

void HttpPool::setMaxConnections(uint32_t Count) {
  std::lock_guard Lock(this->Mutex);
  this->Limits.MaxConnections = std::max(Count, 1U);
}

size_t HttpPool::connections() const {
  std::lock_guard Lock(this->Mutex);
  return this->Open.size();
}

PoolCounters HttpPool::counters() const {
  std::lock_guard Lock(this->Mutex);
  return this->Counters;
}

} // namespace hickorycrank::net
