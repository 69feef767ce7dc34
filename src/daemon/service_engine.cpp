#include "daemon/service_engine_base.h"

#include "base/digest_func.h"
#include "config/settings_func.h"
#include "net/url_func.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using net::ExchangeError;
using net::ExchangeFault;
using net::ExchangeStage;
using net::HttpResponse;

namespace {

constexpr std::chrono::milliseconds ProbeTimeout(1'000);
constexpr std::chrono::milliseconds CancelTimeout(500);
/** Shorter than the time in which refreshReports() polls every server once, so
 * that in each such cycle a server either sends a report with a reply or is
 * polled. */
constexpr std::chrono::milliseconds ReportFreshness(900);
/** Part of an attempt's timeout reserved for the transfer of the reply. */
constexpr std::chrono::milliseconds ReplyMargin(2);
constexpr uint32_t ControlConnections = 1;

/**
 * Converts a failed exchange to the engine's failure kind.
 * @param Reason The failure.
 * @return The kind of failure.
 */
query::FailureKind toFailure(const ExchangeError &Reason) {
  if (Reason.Stage == ExchangeStage::Connecting) {
    return Reason.Fault == ExchangeFault::Refused
               ? query::FailureKind::ConnectRefused
               : query::FailureKind::ConnectTimeout;
  }
  return Reason.Fault == ExchangeFault::Garbage
             ? query::FailureKind::InvalidReply
             : query::FailureKind::Reset;
}

/**
 * Returns the name of a server phase for the status page.
 * @param Phase The phase.
 * @return Lower-case name.
 */
const char *phaseName(routing::ServerPhase Phase) {
  static constexpr const char *Names[] = {"unknown", "live", "down", "leaving",
                                          "gone"};
  return Names[static_cast<size_t>(Phase)];
}

} // namespace

ServiceEngine::ServiceEngine(boost::asio::io_context &Context,
                             const config::ServiceDoc &Doc,
                             query::EngineOptions Options, FactCallback OnFact)
    : Context(Context), Name(Doc.Name), OnFact(std::move(OnFact)),
      Engine(std::move(Options)) {
  this->SearchLimits.ConnectTimeout =
      std::max(Doc.ConnectTime * 20, std::chrono::milliseconds(100));
}

base::QueryId
ServiceEngine::submit(std::shared_ptr<const query::Request> Source,
                      Callback Done) {
  query::Actions Actions;
  base::QueryId Query;
  {
    std::lock_guard Lock(this->Mutex);
    Query = base::QueryId(this->NextQuery++);
    this->Callbacks.emplace(Query, std::move(Done));
    this->Engine.onRequest(Clock::now(), Query, std::move(Source), Actions);
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
  return Query;
}

void ServiceEngine::cancel(base::QueryId Query) {
  {
    std::lock_guard Lock(this->Mutex);
    query::Actions Actions;
    this->Callbacks.erase(Query);
    this->Engine.onCancel(Clock::now(), Query, Actions);
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

void ServiceEngine::tick(const base::Tick &Event) {
  {
    std::lock_guard Lock(this->Mutex);
    query::Actions Actions;
    if (Event.Pause) {
      this->Engine.onPause(Event.Now, Actions);
    }
    this->Engine.onTick(Event.Now, Actions);
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

void ServiceEngine::refreshReports() {
  {
    std::lock_guard Lock(this->Mutex);
    query::Actions Actions;
    const auto &Servers = this->Engine.directory().servers();
    base::TimePoint Now = Clock::now();
    for (uint32_t I = this->ReportStep; I < Servers.size(); I += ReportSteps) {
      // Replies carry reports too, so a busy server need not be polled.
      bool IsFresh = Servers[I].ConfirmedAt + ReportFreshness > Now;
      if (Servers[I].Phase != routing::ServerPhase::Gone && !IsFresh) {
        Actions.emplace_back(
            query::ProbeServer{base::ServerIndex(I), Servers[I].Address});
      }
    }
    this->ReportStep = (this->ReportStep + 1) % ReportSteps;
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

void ServiceEngine::applyList(
    const std::vector<routing::ServerListing> &Listed) {
  {
    std::lock_guard Lock(this->Mutex);
    query::Actions Actions;
    this->Engine.onServerList(Clock::now(), Listed, Actions);
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

void ServiceEngine::applyFact(const query::PublishFact &Fact) {
  {
    std::lock_guard Lock(this->Mutex);
    query::Actions Actions;
    this->Engine.onFact(Clock::now(), Fact, Actions);
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

void ServiceEngine::setConnectionShare(uint32_t Share) {
  uint32_t SearchConnections =
      Share > ControlConnections ? Share - ControlConnections : 1;
  {
    std::lock_guard Lock(this->Mutex);
    this->Engine.setConnectionShare(SearchConnections);
  }
  std::lock_guard Lock(this->LinksMutex);
  this->SearchLimits.MaxConnections = SearchConnections;
  for (auto &[Address, Link] : this->Links) {
    Link.Search->setMaxConnections(SearchConnections);
  }
}

void ServiceEngine::release() {
  std::map<std::string, ServerLink> Dropped;
  {
    std::lock_guard Lock(this->LinksMutex);
    Dropped.swap(this->Links);
    this->Exchanges.clear();
  }
  for (const auto &[Address, Link] : Dropped) {
    Link.Search->releaseCallbacks();
    Link.Control->releaseCallbacks();
  }
}

ServiceStatus ServiceEngine::status() const {
  ServiceStatus Status;
  std::lock_guard Lock(this->Mutex);
  std::lock_guard LinksLock(this->LinksMutex);
  Status.Service = this->Name.Value;
  Status.LiveQueries = this->Engine.liveQueries();
  Status.Waiting = this->Engine.waiting();
  Status.HedgeDelayMs = base::toMilliseconds(this->Engine.hedgeDelay());
  Status.Counters = this->Engine.counters();
  for (const routing::ServerState &Server :
       this->Engine.directory().servers()) {
    auto Found = this->Links.find(Server.Address);
    size_t Connections = Found == this->Links.end()
                             ? 0
                             : Found->second.Search->connections() +
                                   Found->second.Control->connections();
    Status.Servers.push_back({Server.Id.Value, phaseName(Server.Phase),
                              Server.Outstanding, Server.Latency,
                              Server.SuccessRate, Server.Limit, Connections});
  }
  return Status;
}

void ServiceEngine::enqueue(query::Actions &&Actions) {
  for (query::Action &Action : Actions) {
    this->Outbox.push_back(std::move(Action));
  }
}

void ServiceEngine::drainOutbox() {
  while (true) {
    std::deque<query::Action> Batch;
    {
      std::lock_guard Lock(this->Mutex);
      if (this->OutboxDraining || this->Outbox.empty()) {
        return;
      }
      this->OutboxDraining = true;
      Batch.swap(this->Outbox);
    }
    for (query::Action &Next : Batch) {
      std::visit([this](auto &Action) { this->perform(Action); }, Next);
    }
    std::lock_guard Lock(this->Mutex);
    this->OutboxDraining = false;
  }
}

ServiceEngine::ServerLink &ServiceEngine::link(const std::string &Address) {
  ServerLink &Link = this->Links[Address];
  if (!Link.Search) {
    config::Endpoint Target =
        config::parseEndpoint(Address).value_or(config::Endpoint{});
    Link.Search = std::make_shared<net::HttpPool>(this->Context, Target,
                                                  this->SearchLimits);
    net::PoolLimits ControlLimits = this->SearchLimits;
    ControlLimits.MaxConnections = ControlConnections;
    ControlLimits.MaxOpening = ControlConnections;
    Link.Control =
        std::make_shared<net::HttpPool>(this->Context, Target, ControlLimits);
  }
  return Link;
}

void ServiceEngine::perform(query::SendAttempt &Attempt) {
  base::TimePoint Deadline = Attempt.Source->Deadline;
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/search";
  Request.Body =
      net::encodeSearch(Attempt, Deadline - Clock::now() - ReplyMargin);
  Request.ExpectInReply = base::toString(Attempt.Id);
  std::lock_guard Lock(this->LinksMutex);
  const ServerLink &Target = this->link(Attempt.Address);
  std::shared_ptr<net::HttpPool> Pool = Target.Search;
  auto Self = this->shared_from_this();
  // Post the callback: the pool may call it before send() returns, while
  // LinksMutex is locked.
  net::ExchangeId Exchange = Pool->send(
      std::move(Request), Deadline, Attempt.NewConnection,
      [Self, Ref = Attempt.Ref, Id = Attempt.Id,
       OrderBy = Attempt.Source->Template->OrderBy](
          net::ExchangeResult Result) mutable {
        boost::asio::post(
            Self->Context, [Self, Ref, Id, OrderBy = std::move(OrderBy),
                            Result = std::move(Result)]() mutable {
              Self->onSearchDone(Ref, Id, OrderBy, std::move(Result));
            });
      });
  this->Exchanges[Attempt.Id] = {std::move(Pool), Target.Control, Exchange};
}

void ServiceEngine::perform(query::CancelAttempt &Attempt) {
  ExchangeRecord Record;
  {
    std::lock_guard Lock(this->LinksMutex);
    auto Found = this->Exchanges.find(Attempt.Id);
    if (Found == this->Exchanges.end()) {
      return;
    }
    Record = std::move(Found->second);
    this->Exchanges.erase(Found);
  }
  bool TimedOut = Attempt.Reason == query::CancelReason::TimedOut;
  Record.Pool->cancel(Record.Exchange, TimedOut);
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/cancel";
  Request.Body = R"({"attempt":")" + base::toString(Attempt.Id) + "\"}";
  Record.Control->send(std::move(Request), Clock::now() + CancelTimeout,
                       /*Fresh=*/false, [](const net::ExchangeResult &) {});
}

void ServiceEngine::perform(query::CloseConnections &Action) {
  std::lock_guard Lock(this->LinksMutex);
  this->link(Action.Address).Search->retireAll();
}

void ServiceEngine::perform(query::ProbeServer &Action) {
  std::string Digest;
  {
    std::lock_guard Lock(this->Mutex);
    Digest = this->Engine.directory().at(Action.Server).VersionsDigest;
  }
  std::shared_ptr<net::HttpPool> Control;
  {
    std::lock_guard Lock(this->LinksMutex);
    Control = this->link(Action.Address).Control;
  }
  net::HttpRequest Request;
  Request.Path = "/v1/report";
  if (!Digest.empty()) {
    Request.Path += "?versions_digest=" + net::encodePercent(Digest);
  }
  Control->send(std::move(Request), Clock::now() + ProbeTimeout, false,
                [Self = this->shared_from_this(),
                 Server = Action.Server](net::ExchangeResult Result) mutable {
                  boost::asio::post(
                      Self->Context,
                      [Self, Server, Result = std::move(Result)]() mutable {
                        Self->onProbeDone(Server, std::move(Result));
                      });
                });
}

void ServiceEngine::perform(query::Respond &Action) {
  Callback Done;
  {
    std::lock_guard Lock(this->Mutex);
    auto Found = this->Callbacks.find(Action.Query);
    if (Found == this->Callbacks.end()) {
      return;
    }
    Done = std::move(Found->second);
    this->Callbacks.erase(Found);
  }
  boost::asio::post(
      this->Context,
      [Done = std::move(Done), Result = std::move(Action.Result)]() mutable {
        Done(std::move(Result));
      });
}

void ServiceEngine::perform(query::PublishFact &Action) {
  if (this->OnFact) {
    this->OnFact(Action);
  }
}

void ServiceEngine::onSearchDone(const query::AttemptRef &Ref,
                                 base::AttemptId Id, const std::string &OrderBy,
                                 net::ExchangeResult Result) {
  {
    std::lock_guard Lock(this->LinksMutex);
    this->Exchanges.erase(Id);
  }
  query::Actions Actions;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  base::Result<query::Reply> Decoded =
      Response != nullptr
          ? net::decodeReply(Response->Body, OrderBy)
          : base::Error{base::ErrorKind::Unreachable, "no reply"};
  {
    std::lock_guard Lock(this->Mutex);
    if (Decoded.has_value()) {
      this->Engine.onReply(Clock::now(), Ref, std::move(Decoded.value()),
                           Actions);
    } else if (Response != nullptr) {
      this->Engine.onAttemptFailed(
          Clock::now(), Ref, query::FailureKind::InvalidReply, true, Actions);
    } else {
      const auto &Reason = std::get<ExchangeError>(Result);
      this->Engine.onAttemptFailed(Clock::now(), Ref, toFailure(Reason),
                                   Reason.Stage == ExchangeStage::Sent,
                                   Actions);
    }
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

void ServiceEngine::onProbeDone(base::ServerIndex Server,
                                net::ExchangeResult Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  base::Result<routing::ServerReport> Report =
      Response != nullptr
          ? net::decodeReport(Response->Body)
          : base::Error{base::ErrorKind::Unreachable, "no report"};
  {
    std::lock_guard Lock(this->Mutex);
    query::Actions Actions;
    if (Report.has_value()) {
      this->Engine.onServerReport(Clock::now(), Report.value(), Actions);
    } else if (Response == nullptr) {
      const auto &Reason = std::get<ExchangeError>(Result);
      bool Refused = Reason.Stage == ExchangeStage::Connecting &&
                     Reason.Fault == ExchangeFault::Refused;
      if (Refused) {
        this->Engine.onProbeFailed(Clock::now(), Server, Actions);
      }
    }
    this->enqueue(std::move(Actions));
  }
  this->drainOutbox();
}

} // namespace hickorycrank::daemon
