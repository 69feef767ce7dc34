#include "daemon/instance_base.h"

#include "base/digest_func.h"
#include "config/acceptance_func.h"
#include "config/document_func.h"
#include "daemon/admin_api_func.h"
#include "daemon/caller_api_func.h"
#include "daemon/log_func.h"

#include <utility>

namespace hickorycrank::daemon {

using base::Clock;

namespace {

constexpr std::chrono::milliseconds TickPeriod(5);
/** Period of refreshReports(); each backend server is polled once a second. */
constexpr std::chrono::milliseconds ReportPeriod(1'000 /
                                                 ServiceEngine::ReportSteps);
constexpr std::chrono::milliseconds TicketExpiryPeriod(1'000);
constexpr std::chrono::milliseconds IdleCheckPeriod(10);
/** Period at which the election of the platform readers is re-evaluated. */
constexpr std::chrono::milliseconds ReaderPeriod(500);
/** Time for callers to receive "Connection: close" before the port closes. */
constexpr std::chrono::milliseconds CloseNoticeTime(200);
/** Time beyond the longest deadline for the last response to be written. */
constexpr std::chrono::milliseconds WriteTime(500);

/**
 * Builds the limits of the caller HTTP server.
 * @param Settings Settings of the process.
 * @return The limits.
 */
net::HttpLimits callerLimits(const config::Settings &Settings) {
  net::HttpLimits Limits;
  Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Limits.MaxConnections = Settings.MaxCallerConnections;
  Limits.ReadTimeout = Settings.RequestReadTimeout;
  Limits.IdleTimeout = Settings.IdleTimeout;
  return Limits;
}

} // namespace

Instance::Instance(boost::asio::io_context &Context,
                   const config::Settings &Settings)
    : Context(Context), Peers(std::make_shared<PeerNode>(Context, Settings)),
      QueryTier(Context, Settings,
                [Node = this->Peers](const query::PublishFact &Fact) {
                  Node->publish(Fact);
                }),
      Tickets(std::make_shared<TicketService>(Context, this->QueryTier,
                                              this->Peers->process())),
      CallerServer(Context, Settings.Callers, callerLimits(Settings),
                   [this](net::HttpCall Call) {
                     handleCaller(this->QueryTier, *this->Tickets,
                                  std::move(Call));
                   }),
      AdminServer(Context, Settings.Admin, net::HttpLimits{},
                  [this](const net::HttpCall &Call) {
                    handleAdmin(this->QueryTier, *this->Peers,
                                {this->CallerServer.counters(),
                                 this->AdminServer.counters()},
                                Call);
                  }),
      TickTimer(Context) {
  this->Tickets->setPeerCallFunction(this->Peers->peerCall());
  this->Peers->setCallHandler(this->Tickets->peerCallHandler());
}

Instance::~Instance() {
  this->Peers->stop();
  if (this->Reader) {
    this->Reader->stop();
    this->Reader->release();
  }
  this->QueryTier.release();
}

void Instance::startPlatformReader() {
  PlatformCallbacks Callbacks;
  Callbacks.OnConfiguration =
      [Weak = this->weak_from_this()](const config::ConfigurationTexts &Texts) {
        if (auto Self = Weak.lock()) {
          Self->applyConfiguration(Texts);
        }
      };
  Callbacks.OnInstances =
      [Weak = this->weak_from_this()](const net::InstanceList &List) {
        if (auto Self = Weak.lock()) {
          Self->Peers->applyInstances(List);
          Self->QueryTier.applyInstances(List);
        }
      };
  Callbacks.FindDocument =
      [Weak = this->weak_from_this()](const std::string &Digest) {
        auto Self = Weak.lock();
        return Self ? Self->findDocument(Digest) : std::string();
      };
  Callbacks.OnDocumentsMissing = [Weak =
                                      this->weak_from_this()](base::Revision) {
    if (auto Self = Weak.lock()) {
      Self->QueryTier.metrics().add("hickorycrank_configuration_abandoned", {});
    }
  };
  this->Reader = std::make_shared<PlatformReader>(
      this->Context, this->QueryTier.settings().Platform,
      base::randomAttemptId().Low, std::move(Callbacks));
}

void Instance::startPeers() {
  PeerNodeCallbacks Callbacks;
  Callbacks.OnFact =
      [Weak = this->weak_from_this()](const query::PublishFact &Fact) {
        if (auto Self = Weak.lock()) {
          Self->QueryTier.applyFact(Fact);
        }
      };
  Callbacks.OnConfiguration =
      [Weak = this->weak_from_this()](const config::ConfigurationTexts &Texts) {
        auto Self = Weak.lock();
        return !Self || Self->applyConfiguration(Texts);
      };
  Callbacks.OnServers =
      [Weak = this->weak_from_this()](const peers::ServerList &List) {
        if (auto Self = Weak.lock()) {
          Self->QueryTier.applyPeerServers(List);
        }
      };
  Callbacks.OnConflict =
      [Weak = this->weak_from_this()](const base::InstanceId &) {
        if (auto Self = Weak.lock()) {
          Self->reportConflict(Self->QueryTier.configurationVersion().Number);
        }
      };
  this->Peers->start(std::move(Callbacks));
}

void Instance::startTimers() {
  this->Timers.subscribe(TickPeriod, [this](const base::Tick &Event) {
    this->QueryTier.tick(Event);
  });
  this->Timers.subscribe(ReportPeriod, [this](const base::Tick &) {
    this->QueryTier.refreshReports();
  });
  this->Timers.subscribe(TicketExpiryPeriod, [this](const base::Tick &Event) {
    this->Tickets->expire(Event.Now);
  });
  this->Timers.subscribe(PeerNode::TickPeriod, [this](const base::Tick &Event) {
    this->Peers->tick(Event);
    this->updateReadiness();
  });
  this->Timers.subscribe(ReaderPeriod, [this](const base::Tick &) {
    this->Reader->setWatchesConfiguration(this->Peers->isReader());
  });
  this->scheduleTick();
}

void Instance::start() {
  this->startPlatformReader();
  this->CallerServer.start();
  this->AdminServer.start();
  this->startPeers();
  this->Reader->start();
  this->startTimers();
  logEvent(LogLevel::Info, "instance.started",
           {{"instance", this->QueryTier.settings().Instance.Value},
            {"callers", std::to_string(this->callerEndpoint().Port)},
            {"admin", std::to_string(this->adminEndpoint().Port)},
            {"peers", std::to_string(this->peerEndpoint().Port)}});
}

void Instance::updateReadiness() {
  if (this->Reader->hasRead()) {
    this->Peers->onPlatformRead();
  }
  if (this->QueryTier.State != Readiness::Starting) {
    // The configuration may be confirmed by now.
    this->Peers->updateStartVerdict();
    return;
  }
  peers::StartReadiness Verdict = this->Peers->updateStartVerdict();
  if (Verdict == peers::StartReadiness::NotReady) {
    return;
  }
  Readiness Expected = Readiness::Starting;
  if (this->QueryTier.State.compare_exchange_strong(Expected,
                                                    Readiness::Ready)) {
    bool Confirmed = Verdict == peers::StartReadiness::Ready;
    logEvent(Confirmed ? LogLevel::Info : LogLevel::Warning, "instance.ready",
             {{"instance", this->QueryTier.settings().Instance.Value},
              {"config_confirmed", Confirmed ? "true" : "false"}});
  }
}

void Instance::scheduleTick() {
  this->TickTimer.expires_after(TickPeriod);
  this->TickTimer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (Failure || !Self || Self->Stopped) {
          return;
        }
        Self->Timers.advance(Clock::now());
        Self->scheduleTick();
      });
}

std::string Instance::findDocument(const std::string &Digest) {
  std::lock_guard Lock(this->TextsMutex);
  if (!this->InForceTexts) {
    return {};
  }
  auto Found = this->InForceTexts->Documents.find(Digest);
  return Found == this->InForceTexts->Documents.end() ? std::string()
                                                      : Found->second;
}

void Instance::reportConflict(base::Revision Number) {
  this->QueryTier.metrics().add("hickorycrank_configuration_conflicts", {});
  logEvent(LogLevel::Error, "configuration.conflict",
           {{"revision", std::to_string(Number.Value)},
            {"remedy", "publish a higher revision"}});
}

bool Instance::applyConfiguration(const config::ConfigurationTexts &Texts) {
  std::vector<base::Error> Errors;
  auto Offered = config::buildConfiguration(Texts, Errors);
  for (const base::Error &Error : Errors) {
    this->QueryTier.metrics().add("hickorycrank_configuration_errors",
                                  {{"kind", toString(Error.Kind)}});
    logEvent(LogLevel::Error, "configuration.refused",
             {{"error", Error.Message}});
  }
  if (!Offered) {
    return false;
  }
  config::Acceptance Verdict = this->QueryTier.offerConfiguration(Offered);
  if (Verdict == config::Acceptance::Conflict ||
      Verdict == config::Acceptance::ConflictAccept) {
    this->reportConflict(Offered->Number);
  }
  if (!config::takesOffer(Verdict)) {
    return true;
  }
  config::ConfigurationVersion Version{Offered->Number,
                                       Offered->ManifestSha256};
  auto StoredTexts = std::make_shared<const config::ConfigurationTexts>(Texts);
  {
    std::lock_guard Lock(this->TextsMutex);
    // Another thread may have put a newer configuration in force meanwhile.
    if (this->QueryTier.configurationVersion() == Version) {
      this->InForceTexts = StoredTexts;
    }
  }
  this->Peers->setConfiguration(Version, std::move(StoredTexts));
  logEvent(LogLevel::Info, "configuration.in_force",
           {{"revision", std::to_string(Offered->Number.Value)}});
  return true;
}

void Instance::abort() {
  this->Stopped = true;
  this->Peers->stop();
  this->Reader->stop();
  this->CallerServer.abort();
  this->AdminServer.abort();
}

void Instance::stop(std::function<void()> Done) {
  this->QueryTier.State = Readiness::Draining;
  this->CallerServer.announceClose();
  this->Peers->leave();
  logEvent(LogLevel::Info, "instance.stopping",
           {{"instance", this->QueryTier.settings().Instance.Value}});
  base::TimePoint Limit = Clock::now() + CloseNoticeTime +
                          this->QueryTier.longestDeadline() + WriteTime;
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(CloseNoticeTime);
  Timer->async_wait([Self = this->shared_from_this(), Timer, Limit,
                     Done = std::move(Done)](boost::system::error_code) {
    Self->CallerServer.drain();
    Self->waitUntilIdle(Limit, Done);
  });
}

void Instance::waitUntilIdle(base::TimePoint Limit,
                             std::function<void()> Done) {
  // Requests forwarded by other instances are not counted by CallerServer.
  bool Idle = this->CallerServer.requestsInProgress() == 0 &&
              this->Tickets->running() == 0;
  if (Idle || Clock::now() >= Limit) {
    this->Stopped = true;
    this->Reader->stop();
    this->Peers->stop();
    this->AdminServer.drain();
    logEvent(LogLevel::Info, "instance.stopped",
             {{"instance", this->QueryTier.settings().Instance.Value}});
    Done();
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(IdleCheckPeriod);
  Timer->async_wait([Self = this->shared_from_this(), Timer, Limit,
                     Done = std::move(Done)](boost::system::error_code) {
    Self->waitUntilIdle(Limit, Done);
  });
}

} // namespace hickorycrank::daemon
