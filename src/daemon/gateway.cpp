#include "daemon/gateway_base.h"

#include "base/digest_func.h"
#include "config/settings_func.h"
#include "daemon/gateway_message_func.h"

#include <cmath>
#include <ctime>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Duration;
using base::TimePoint;

namespace {

constexpr std::chrono::milliseconds TickPeriod(25);
constexpr std::chrono::milliseconds SessionSweepPeriod(500);
constexpr std::chrono::milliseconds StopCheckPeriod(50);
/** Time in which the balancer takes an instance that is not ready out of
 * rotation: two questions, one a second. */
constexpr Duration BalancerTime = std::chrono::milliseconds(2'300);
/** Part of the grace time that is left for the process to end. */
constexpr Duration ExitMargin = std::chrono::milliseconds(350);
/** Time of a caller that states none. */
constexpr std::chrono::milliseconds DefaultRemaining(30'000);

forward::EngineOptions engineOptions(const config::GatewaySettings &Own) {
  forward::EngineOptions Options;
  Options.Domain = Own.Domain;
  Options.Extra = Own.Extra;
  return Options;
}

} // namespace

TimePoint suspendAwareNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

Gateway::Gateway(boost::asio::io_context &Context, config::GatewaySettings Own,
                 GatewayDialect Dialect)
    : Context(Context), Own(std::move(Own)), Dialect(std::move(Dialect)),
      Engine(engineOptions(this->Own), base::randomAttemptId().Low),
      Upstream(
          Context, this->Dialect.Headers,
          {[this](const forward::AttemptRef &Ref, forward::ServerKey Server,
                  forward::Reply &&Received) {
             forward::Actions Decided;
             this->Engine.onReply(suspendAwareNow(), Ref, Server,
                                  std::move(Received), Decided);
             this->carryOut(std::move(Decided));
           },
           [this](const forward::AttemptRef &Ref, forward::ServerKey Server,
                  forward::AttemptFailure Kind) {
             forward::Actions Decided;
             this->Engine.onFailure(suspendAwareNow(), Ref, Server, Kind,
                                    Decided);
             this->carryOut(std::move(Decided));
           },
           [this](const forward::AttemptRef &Ref, forward::ServerKey Server) {
             this->Engine.onAbandonedAttemptEnded(suspendAwareNow(), Ref,
                                                  Server);
           },
           [this](forward::ServerKey Server, bool Reached) {
             this->Engine.onProbeResult(suspendAwareNow(), Server, Reached);
           }}),
      Callers(Context, this->Own.Callers,
              {[this](net::ForwardToken Token, net::ForwardRequest &&Request) {
                 this->onRequest(Token, std::move(Request));
               },
               [this](net::ForwardToken Token) { this->onCallerGone(Token); }}),
      Readiness(Context, this->Own.Readiness, net::HttpLimits{},
                [this](const net::HttpCall &Call) {
                  net::HttpResponse Response;
                  bool Known = Call.Request.Path == this->Dialect.ReadinessPath;
                  Response.Status = !Known ? 404 : this->isReady() ? 200 : 503;
                  Call.Respond(std::move(Response));
                }),
      Control(Context, this->Own.Control, net::HttpLimits{},
              [this](const net::HttpCall &Call) { this->handleControl(Call); }),
      TickTimer(Context), WakeTimer(Context) {}

Gateway::~Gateway() {
  if (this->Reader) {
    this->Reader->stop();
  }
  if (this->Fleet) {
    this->Fleet->stop();
  }
}

void Gateway::start() {
  uint64_t Seed = base::randomAttemptId().High;
  this->Fleet = std::make_shared<FleetNode>(
      this->Context, this->Own, Seed,
      FleetCallbacks{[this] { return this->describe(); },
                     [this](const fleet::Heartbeat &Received) {
                       this->onHeartbeat(Received);
                     },
                     [this] { return this->View.revision(); },
                     [this](const discovery::Update &Newer, bool Stable) {
                       this->onUpdate(Newer, Stable);
                     }});
  this->Reader = std::make_shared<StoreReader>(
      this->Context, this->Own.Store, this->Dialect.Store, Seed,
      StoreReaderCallbacks{[this](const discovery::Update &Newer) {
        this->onUpdate(Newer, this->Reader->isStable(Clock::now()));
      }});
  this->Callers.start();
  this->Readiness.start();
  this->Control.start();
  this->Fleet->start();
  this->startTimers();
  logEvent(LogLevel::Info, "gateway.started",
           {{"instance", this->Own.Instance.Value},
            {"failure_domain", this->Own.Domain.Value},
            {"callers", config::toString(this->callers())}});
}

void Gateway::startTimers() {
  this->Timers.subscribe(
      net::UpstreamPool::SweepPeriod,
      [this](const base::Tick &Event) { this->Upstream.sweep(Event.Now); });
  this->Timers.subscribe(SessionSweepPeriod, [this](const base::Tick &Event) {
    this->Callers.sweep(Event.Now);
  });
  this->Timers.subscribe(
      FleetNode::TickPeriod, [this](const base::Tick &Event) {
        this->Fleet->tick(Event.Now);
        this->chooseReader(Event.Now);
        this->updateIsolation(Event.Now);
        forward::Actions Decided;
        this->Engine.probeServers(suspendAwareNow(), Decided);
        this->carryOut(std::move(Decided));
        this->Engine.onInstances(this->Fleet->instances(Event.Now));
      });
  this->Timers.subscribe(TickPeriod, [this](const base::Tick &Event) {
    if (this->Fleet->catchUp(Event.Now, this->View.lastChangeRevision(),
                             this->Reader->isHealthy())) {
      this->Reader->restartWatch();
    }
    if (this->View.expire(Event.Now)) {
      this->applyServers();
    }
    // The timer does not count the time for which the machine is suspended.
    if (suspendAwareNow() >= this->WakeAt) {
      this->wake();
    }
  });
  this->Timers.subscribe(StopCheckPeriod,
                         [this](const base::Tick &) { this->finishStop(); });
  this->scheduleTick();
}

void Gateway::scheduleTick() {
  this->TickTimer.expires_after(TickPeriod);
  this->TickTimer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (Failure || !Self) {
          return;
        }
        Self->Timers.advance(Clock::now());
        Self->scheduleTick();
      });
}

bool Gateway::isReady() const {
  return !this->Stopping && !this->Isolated && this->Engine.routes() &&
         this->ServersKnown;
}

void Gateway::updateIsolation(TimePoint Now) {
  bool Before = this->Isolated;
  this->Isolated = this->Fleet->isCutOff(Now) &&
                   !this->Engine.canReachShards(suspendAwareNow());
  if (this->Isolated == Before) {
    return;
  }
  // Callers that reconnect reach an instance of another failure domain.
  this->Callers.setClosing(this->Isolated || this->Stopping);
  logEvent(LogLevel::Warning,
           this->Isolated ? "gateway.isolated" : "gateway.reconnected", {});
}

void Gateway::onRequest(net::ForwardToken Token,
                        net::ForwardRequest &&Request) {
  Pending Arrived;
  Arrived.Token = Token;
  Arrived.ArrivedAt = suspendAwareNow();
  forward::CallRequest Asked;
  Asked.Remaining =
      remainingTime(Request, this->Dialect.Headers).value_or(DefaultRemaining);
  Asked.Content = contentOf(Request);
  auto Source = std::make_shared<const net::UpstreamRequest>(
      toUpstream(std::move(Request), this->Dialect.Headers));
  Arrived.Source = Source;
  auto Host = Source->Message[boost::beast::http::field::host];
  auto Target = Source->Message.target();
  Asked.Host = {Host.data(), Host.size()};
  Asked.Target = {Target.data(), Target.size()};
  forward::Actions Decided;
  forward::CallId Id =
      this->Engine.onRequest(Arrived.ArrivedAt, Asked, Decided);
  this->CallByToken[Token] = Id.Value;
  this->Calls[Id.Value] = std::move(Arrived);
  this->carryOut(std::move(Decided));
}

void Gateway::onCallerGone(net::ForwardToken Token) {
  auto Found = this->CallByToken.find(Token);
  if (Found == this->CallByToken.end()) {
    return;
  }
  forward::CallId Id(Found->second);
  this->CallByToken.erase(Found);
  forward::Actions Decided;
  this->Engine.onCallerGone(Id, Decided);
  this->Calls.erase(Id.Value);
  this->carryOut(std::move(Decided));
}

void Gateway::carryOut(forward::Actions &&Decided) {
  for (forward::Action &Entry : Decided) {
    if (auto *Send = std::get_if<forward::SendAttempt>(&Entry)) {
      auto Owner = this->Calls.find(Send->Ref.Call);
      if (Owner == this->Calls.end()) {
        continue; // A failure within this list has ended the call.
      }
      uint32_t Share = this->Engine.connectionShare(Send->Server);
      this->Upstream.send({*Send, Owner->second.Source, Share});
    } else if (auto *Drop = std::get_if<forward::AbandonAttempt>(&Entry)) {
      this->Upstream.abandon(Drop->Ref, Drop->Server);
    } else if (auto *Answer = std::get_if<forward::RespondCall>(&Entry)) {
      this->respond(*Answer);
    } else if (auto *Probe = std::get_if<forward::ProbeConnection>(&Entry)) {
      this->Upstream.probe(Probe->Server, Probe->Address);
    } else if (auto *Gone =
                   std::get_if<forward::CloseServerConnections>(&Entry)) {
      this->Upstream.retire(Gone->Server);
    }
  }
  this->scheduleWake();
}

void Gateway::respond(const forward::RespondCall &Decided) {
  auto Found = this->Calls.find(Decided.Id.Value);
  if (Found == this->Calls.end()) {
    return;
  }
  Pending Ended = std::move(Found->second);
  this->Calls.erase(Found);
  this->CallByToken.erase(Ended.Token);
  this->logResult(Ended, Decided, suspendAwareNow() - Ended.ArrivedAt);
  this->Callers.respond(Ended.Token,
                        toResponse(Decided.Result, this->Dialect.Headers));
}

void Gateway::logResult(const Pending &Ended,
                        const forward::RespondCall &Decided, Duration Took) {
  const forward::CallSummary &Known = Decided.Summary;
  const auto *Reason = std::get_if<forward::Refusal>(&Decided.Result);
  const auto *Merged = std::get_if<forward::MergedAnswer>(&Decided.Result);
  const auto *Received = std::get_if<forward::Reply>(&Decided.Result);
  this->Metrics.recordLatency(Reason != nullptr ? "hickorycrank_refusal"
                                                : "hickorycrank_answer",
                              {}, Took);
  bool Partial = Merged != nullptr && Merged->Missing > 0;
  bool ServerError = Received != nullptr && Received->Status >= 500;
  if (Reason == nullptr && !Partial && !ServerError) {
    return; // Counted only; a line for each would cost more than the request.
  }
  LogFields Fields{
      {"request", Ended.Source->AttemptId},
      {"route", Known.Route},
      {"config_version", std::to_string(Known.Version)},
      {"took_ms", std::to_string(std::lround(base::toMilliseconds(Took)))},
      {"shards", std::to_string(Known.Shards)},
      {"answered", std::to_string(Known.Answered)},
      {"attempts", std::to_string(Known.Attempts)},
      {"broken", std::to_string(Known.Broken)},
      {"not_reached", std::to_string(Known.Unsent)},
      {"view_revision", std::to_string(this->View.revision())}};
  const char *Event = Partial ? "request.partial" : "request.server_error";
  if (Reason != nullptr) {
    Event = "request.refused";
    Fields["reason"] = forward::toString(Reason->Reason);
    Fields["ran"] = Reason->MayHaveRun ? "may_have_run" : "not_run";
  }
  if (ServerError) {
    Fields["status"] = std::to_string(Received->Status);
  }
  this->Limit.log(Clock::now(), LogLevel::Warning, Event, std::move(Fields));
}

void Gateway::scheduleWake() {
  TimePoint Next = this->Engine.nextWake();
  if (Next >= this->WakeAt) {
    return;
  }
  this->WakeAt = Next;
  this->WakeTimer.expires_after(
      std::max<Duration>(Duration::zero(), Next - suspendAwareNow()));
  this->WakeTimer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (Failure || !Self) {
          return;
        }
        Self->wake();
      });
}

void Gateway::wake() {
  this->WakeAt = TimePoint::max();
  forward::Actions Decided;
  this->Engine.onTick(suspendAwareNow(), Decided);
  this->carryOut(std::move(Decided));
}

void Gateway::stop(std::function<void()> Done) {
  if (this->Stopping) {
    return;
  }
  logEvent(
      LogLevel::Info, "gateway.stopping",
      {{"in_progress", std::to_string(this->Callers.requestsInProgress())}});
  this->Stopping = true;
  this->OnStopped = std::move(Done);
  this->CloseAt = Clock::now() + BalancerTime;
  this->StopAt = Clock::now() + this->Own.Grace - ExitMargin;
  this->Callers.setClosing(true);
}

void Gateway::finishStop() {
  if (!this->Stopping || !this->OnStopped) {
    return;
  }
  TimePoint Now = Clock::now();
  if (Now < this->CloseAt) {
    return;
  }
  this->Callers.stopAccepting();
  bool Idle = this->Callers.requestsInProgress() == 0 &&
              this->Callers.connections() == 0;
  if (!Idle && Now < this->StopAt) {
    return;
  }
  logEvent(
      LogLevel::Info, "gateway.stopped",
      {{"in_progress", std::to_string(this->Callers.requestsInProgress())}});
  auto Done = std::exchange(this->OnStopped, nullptr);
  this->Fleet->announce(Now); // Says that this instance leaves.
  Done();
}

void Gateway::reload(const config::GatewaySettings &Changed) {
  this->Own.Seeds = Changed.Seeds;
  this->Own.Extra = Changed.Extra;
  this->Own.Grace = Changed.Grace;
  this->Engine.setExtraLimits(Changed.Extra);
  this->Fleet->setSeeds(Changed.Seeds);
  logEvent(LogLevel::Info, "gateway.reloaded",
           {{"seeds", std::to_string(Changed.Seeds.size())}});
}

} // namespace hickorycrank::daemon
