#include "daemon/gateway_base.h"

#include "base/digest_func.h"
#include "config/settings_func.h"
#include "daemon/gateway_message_func.h"
#include "daemon/suspend_clock_func.h"
#include "fleet/view_freshness_func.h"
#include "net/relay_header_func.h"

#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Duration;
using base::TimePoint;

namespace {

constexpr std::chrono::milliseconds TickPeriod(25);
constexpr std::chrono::milliseconds SessionSweepPeriod(500);
constexpr std::chrono::milliseconds StopCheckPeriod(50);
/** Timeout of callers that do not state one. */
constexpr std::chrono::milliseconds DefaultRemaining(30'000);

forward::EngineOptions engineOptions(const config::GatewaySettings &Settings) {
  forward::EngineOptions Options;
  Options.Domain = Settings.Domain;
  Options.Extra = Settings.Extra;
  Options.Share = {suspendAwareNow(), /*SlackPart=*/0};
  Options.Regions = Settings.Regions;
  Options.Cold = Settings.Cold;
  Options.Instance = Settings.Instance.Value;
  return Options;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &Context,
                 config::GatewaySettings Settings, GatewayDialect Dialect)
    : Context(Context), Settings(std::move(Settings)),
      Dialect(std::move(Dialect)),
      Engine(engineOptions(this->Settings), base::randomAttemptId().Low),
      Upstream(
          Context, this->Dialect.Headers,
          {[this](const forward::AttemptRef &Ref, forward::ServerKey Server,
                  forward::Reply &&Received) {
             forward::Actions Actions;
             this->Engine.onReply(suspendAwareNow(), Ref, Server,
                                  std::move(Received), Actions);
             this->executeActions(std::move(Actions));
           },
           [this](const forward::AttemptRef &Ref, forward::ServerKey Server,
                  forward::AttemptFailure Kind) {
             forward::Actions Actions;
             this->Engine.onFailure(suspendAwareNow(), Ref, Server, Kind,
                                    Actions);
             this->executeActions(std::move(Actions));
           },
           [this](const forward::AttemptRef &Ref, forward::ServerKey Server,
                  forward::AttemptFailure Kind) {
             forward::Actions Actions;
             this->Engine.onAbandonedAttemptEnded(suspendAwareNow(), Ref,
                                                  Server, Kind, Actions);
             this->executeActions(std::move(Actions));
           },
           [this](forward::ServerKey Server, bool Reached) {
             this->Engine.onProbeResult(suspendAwareNow(), Server, Reached);
           },
           [this](const std::string &Address, const std::string &Reason) {
             this->logBadReply("server.malformed_reply", Address, Reason);
           }}),
      PeerLinks(Context, this->Dialect.Headers,
                {[this](const forward::AttemptRef &Ref, forward::ServerKey Peer,
                        forward::Reply &&Received) {
                   forward::Actions Actions;
                   this->Engine.onRelayReply(suspendAwareNow(), Ref, Peer,
                                             std::move(Received), Actions);
                   this->executeActions(std::move(Actions));
                 },
                 [this](const forward::AttemptRef &Ref, forward::ServerKey Peer,
                        forward::AttemptFailure Kind) {
                   forward::Actions Actions;
                   this->Engine.onRelayFailure(suspendAwareNow(), Ref, Peer,
                                               Kind, Actions);
                   this->executeActions(std::move(Actions));
                 },
                 [](const forward::AttemptRef &, forward::ServerKey,
                    forward::AttemptFailure) {},
                 [](forward::ServerKey, bool) {},
                 [this](const std::string &Address, const std::string &Reason) {
                   this->logBadReply("peer.malformed_reply", Address, Reason);
                 }}),
      CallerServer(Context, this->Settings.Callers,
                   this->serverCallbacks(this->CallerServer)),
      RelayServer(Context, this->Settings.Heartbeats,
                  this->serverCallbacks(this->RelayServer)),
      ReadinessServer(
          Context, this->Settings.Readiness, net::HttpLimits{},
          [this](const net::HttpCall &Call) {
            net::HttpResponse Response;
            bool Known = Call.Request.Path == this->Dialect.ReadinessPath;
            Response.Status = !Known ? 404 : this->isReady() ? 200 : 503;
            Call.Respond(std::move(Response));
          },
          this->rejectionLog("readiness")),
      ControlServer(
          Context, this->Settings.Control, net::HttpLimits{},
          [this](const net::HttpCall &Call) { this->handleControl(Call); },
          this->rejectionLog("control")),
      TickTimer(Context), WakeTimer(Context) {}

Gateway::~Gateway() {
  if (this->Reader) {
    this->Reader->stop();
  }
  if (this->Fleet) {
    this->Fleet->stop();
  }
}

net::ForwardServer::Callbacks
Gateway::serverCallbacks(net::ForwardServer &Server) {
  return {
      [this, &Server](net::ForwardToken Token, net::ForwardRequest &&Request) {
        this->onRequest({&Server, Token}, std::move(Request));
      },
      [this, &Server](net::ForwardToken Token) {
        this->onCallerGone({&Server, Token});
      },
      this->rejectionLog(&Server == &this->RelayServer ? "relays" : "callers")};
}

void Gateway::start() {
  uint64_t Seed = base::randomAttemptId().High;
  this->Fleet = std::make_shared<FleetNode>(
      this->Context, this->Settings, Seed,
      FleetCallbacks{[this] { return this->makeHeartbeat(); },
                     [this](const fleet::Heartbeat &Received) {
                       this->onHeartbeat(Received);
                     },
                     [this] { return this->View.position(); },
                     [this](const discovery::Update &Update, bool StoreStable) {
                       this->onUpdate(Update, StoreStable);
                     }});
  this->Reader = std::make_shared<StoreReader>(
      this->Context, this->Settings.Store, this->Dialect.Store, Seed,
      fleet::makeReadTiming(this->Settings.ChangeBound),
      StoreReaderCallbacks{[this](const discovery::Update &Update) {
                             this->onUpdate(
                                 Update, this->Reader->isStable(Clock::now()));
                           },
                           [this](base::TimePoint VerifiedAt) {
                             fleet::recordOwnRead(this->Freshness, VerifiedAt);
                           }});
  this->startMemoryLimit();
  this->CallerServer.start();
  this->RelayServer.start();
  this->ReadinessServer.start();
  this->ControlServer.start();
  this->Fleet->start();
  this->startTimers();
  logEvent(LogLevel::Info, "gateway.started",
           {{"instance", this->Settings.Instance.Value},
            {"failure_domain", this->Settings.Domain.Value},
            {"callers", config::toString(this->callerEndpoint())}});
}

void Gateway::startTimers() {
  this->Timers.subscribe(net::UpstreamPool::SweepPeriod,
                         [this](const base::Tick &Event) {
                           this->Upstream.sweep(Event.Now);
                           this->PeerLinks.sweep(Event.Now);
                         });
  this->Timers.subscribe(SessionSweepPeriod, [this](const base::Tick &Event) {
    this->CallerServer.sweep(Event.Now);
    this->RelayServer.sweep(Event.Now);
  });
  this->Timers.subscribe(
      FleetNode::TickPeriod, [this](const base::Tick &Event) {
        this->Fleet->tick(Event.Now);
        this->updateReaderRole(Event.Now);
        this->updateIsolation(Event.Now);
        this->updatePeers(Event.Now);
        forward::Actions Actions;
        this->Engine.probeServers(suspendAwareNow(), Actions);
        this->executeActions(std::move(Actions));
        this->Engine.onInstances(this->Fleet->instances(Event.Now),
                                 this->Fleet->capacityWeight(Event.Now));
        this->Engine.onDomainInstances(this->Fleet->domainInstances(Event.Now));
        limits::ColdMembers Senders = this->Fleet->coldMembers(Event.Now);
        this->Engine.onSlackPart(this->Fleet->slackPart(Event.Now, Senders));
        this->Engine.onColdMembers(std::move(Senders));
      });
  this->Timers.subscribe(TickPeriod, [this](const base::Tick &Event) {
    if (this->Fleet->pullNewerView(Event.Now, this->View.lastChange(),
                                   this->Reader->isHealthy())) {
      this->Reader->restartWatch();
    }
    if (this->View.expire(Event.Now)) {
      this->applyEvacuations();
      this->applyServers();
    }
    // WakeTimer does not advance while the machine is suspended.
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
  this->Isolated = this->Fleet->hasLostOtherDomains(Now) &&
                   !this->Engine.canReachShards(suspendAwareNow());
  if (this->Isolated == Before) {
    return;
  }
  // Close connections so that callers reconnect to an instance in another
  // failure domain.
  this->CallerServer.setClosing(this->Isolated || this->Stopping);
  logEvent(LogLevel::Warning,
           this->Isolated ? "gateway.isolated" : "gateway.reconnected", {});
}

void Gateway::updatePeers(TimePoint Now) {
  std::vector<forward::PeerEntry> Entries;
  for (const fleet::Heartbeat *Peer : this->Fleet->relayTargets(Now)) {
    Entries.push_back({Peer->Address, Peer->Domain});
  }
  this->Engine.onPeers(Entries);
}

void Gateway::onRequest(const RequestSource &Origin,
                        net::ForwardRequest &&Request) {
  Pending NewCall;
  NewCall.Origin = Origin;
  NewCall.ArrivedAt = suspendAwareNow();
  forward::CallRequest CallDetails;
  CallDetails.Remaining =
      remainingTime(Request, this->Dialect.Headers).value_or(DefaultRemaining);
  NewCall.Remaining = CallDetails.Remaining;
  CallDetails.Content = requestFingerprint(Request);
  NewCall.Content = CallDetails.Content;
  CallDetails.BodyBytes = Request.body().size();
  CallDetails.Relayed = Origin.Server == &this->RelayServer;
  if (CallDetails.Relayed) {
    auto Tried = Request[net::RelayTriedField];
    CallDetails.Tried = net::decodeTriedServers({Tried.data(), Tried.size()});
  }
  // A peer must not take a caller's field for this instance's.
  Request.erase(net::RelayTriedField);
  auto Source = std::make_shared<const net::UpstreamRequest>(
      toUpstream(std::move(Request), this->Dialect.Headers));
  NewCall.Source = Source;
  auto Host = Source->Message[boost::beast::http::field::host];
  auto Target = Source->Message.target();
  CallDetails.Host = {Host.data(), Host.size()};
  CallDetails.Target = {Target.data(), Target.size()};
  forward::Actions Actions;
  forward::CallId Id =
      this->Engine.onRequest(NewCall.ArrivedAt, CallDetails, Actions);
  this->CallBySource[Origin] = Id.Value;
  this->Calls[Id.Value] = std::move(NewCall);
  this->executeActions(std::move(Actions));
}

void Gateway::onCallerGone(const RequestSource &Origin) {
  auto Found = this->CallBySource.find(Origin);
  if (Found == this->CallBySource.end()) {
    return;
  }
  forward::CallId Id(Found->second);
  this->CallBySource.erase(Found);
  forward::Actions Actions;
  this->Engine.onCallerGone(suspendAwareNow(), Id, Actions);
  this->Calls.erase(Id.Value);
  this->executeActions(std::move(Actions));
}

void Gateway::executeActions(forward::Actions &&Actions) {
  for (forward::Action &Action : Actions) {
    if (auto *Send = std::get_if<forward::SendAttempt>(&Action)) {
      this->execute(*Send);
    } else if (auto *Drop = std::get_if<forward::AbandonAttempt>(&Action)) {
      this->Upstream.abandon(Drop->Ref, Drop->Server);
    } else if (auto *Answer = std::get_if<forward::RespondCall>(&Action)) {
      this->respond(*Answer);
    } else if (auto *Probe = std::get_if<forward::ProbeConnection>(&Action)) {
      this->Upstream.probe(Probe->Server, Probe->Address);
    } else if (auto *Gone =
                   std::get_if<forward::CloseServerConnections>(&Action)) {
      this->Upstream.retire(Gone->Server);
    } else if (auto *Limit = std::get_if<forward::LogRateLimit>(&Action)) {
      this->execute(*Limit);
    } else if (auto *Cold = std::get_if<forward::LogColdState>(&Action)) {
      this->execute(*Cold);
    } else if (auto *Relayed = std::get_if<forward::RelayRequest>(&Action)) {
      this->execute(*Relayed);
    } else if (auto *Ended = std::get_if<forward::CancelRelay>(&Action)) {
      this->PeerLinks.cancel(Ended->Ref, Ended->Peer);
    } else if (auto *Links = std::get_if<forward::LogReachability>(&Action)) {
      this->execute(*Links);
    } else if (auto *Told = std::get_if<forward::LogServerDeclines>(&Action)) {
      this->execute(*Told);
    } else if (auto *Refused = std::get_if<forward::LogQuarantine>(&Action)) {
      this->execute(*Refused);
    }
  }
  this->scheduleWake();
}

void Gateway::execute(const forward::SendAttempt &Send) {
  auto Owner = this->Calls.find(Send.Ref.Call);
  if (Owner == this->Calls.end()) {
    return; // An earlier action in this list ended the call.
  }
  uint32_t Share = this->Engine.connectionShare(Send.Server);
  this->Upstream.send({Send, Owner->second.Source, Share, {}});
}

void Gateway::execute(const forward::RelayRequest &Request) {
  auto Owner = this->Calls.find(Request.Ref.Call);
  if (Owner == this->Calls.end()) {
    return; // An earlier action in this list ended the call.
  }
  forward::SendAttempt Order;
  Order.Ref = Request.Ref;
  Order.Server = Request.Peer;
  Order.ServerId = base::ServerId(Request.Address);
  Order.Address = Request.Address;
  Order.Remaining = Request.Remaining;
  Order.Idempotent = Request.Idempotent;
  auto Tried = net::encodeTriedServers(Request.Tried);
  if (!Tried) {
    this->failRelay(Request);
    return;
  }
  this->PeerLinks.send({Order, Owner->second.Source,
                        forward::PeerSet::MaxOutstanding, std::move(*Tried)});
}

void Gateway::failRelay(const forward::RelayRequest &Request) {
  this->EventLog.log(Clock::now(), LogLevel::Warning, "peer.too_many_tried",
                     {{"servers", std::to_string(Request.Tried.size())}});
  forward::Actions Actions;
  this->Engine.onRelayFailure(suspendAwareNow(), Request.Ref, Request.Peer,
                              forward::AttemptFailure::NotSent, Actions);
  this->executeActions(std::move(Actions));
}

void Gateway::respond(const forward::RespondCall &Outcome) {
  auto Found = this->Calls.find(Outcome.Id.Value);
  if (Found == this->Calls.end()) {
    return;
  }
  Pending Ended = std::move(Found->second);
  this->Calls.erase(Found);
  this->CallBySource.erase(Ended.Origin);
  Duration Took = suspendAwareNow() - Ended.ArrivedAt;
  this->logResult(Ended, Outcome, Took);
  const net::ForwardHeaders &Names = this->Dialect.Headers;
  net::ForwardResponse Response = toResponse(Outcome.Result, Names);
  if (Ended.Origin.Server == &this->RelayServer) {
    // The other instance matches the answer to its request by this id.
    Response.set(Names.AttemptId, Ended.Source->AttemptId);
    bool Unsent = Outcome.Summary.Unsent == Outcome.Summary.Shards;
    if (Unsent && std::holds_alternative<forward::Refusal>(Outcome.Result)) {
      Response.set(net::RelayUnsentField, "1");
    }
  }
  Ended.Origin.Server->respond(Ended.Origin.Token, std::move(Response),
                               Ended.Remaining - Took);
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
  forward::Actions Actions;
  this->Engine.onTick(suspendAwareNow(), Actions);
  this->executeActions(std::move(Actions));
}

} // namespace hickorycrank::daemon
