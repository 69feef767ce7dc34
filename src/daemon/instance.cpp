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
/** Each backend server reports once a second. */
constexpr std::chrono::milliseconds ReportPeriod(1'000 /
                                                 ServiceShard::ReportSteps);
constexpr std::chrono::milliseconds TicketExpiryPeriod(1'000);
constexpr std::chrono::milliseconds IdleCheckPeriod(10);
/** Time for callers to see "Connection: close" before the port closes. */
constexpr std::chrono::milliseconds CloseNoticeTime(200);
/** Time beyond the longest deadline for the last response to be written. */
constexpr std::chrono::milliseconds WriteTime(500);

/**
 * Derives the limits of the callers' server.
 * @param Own Settings of the process.
 * @return The limits.
 */
net::HttpLimits callerLimits(const config::Settings &Own) {
  net::HttpLimits Limits;
  Limits.MaxBodyBytes = Own.MaxBodyBytes;
  Limits.MaxConnections = Own.MaxCallerConnections;
  Limits.ReadTimeout = Own.RequestReadTimeout;
  Limits.IdleTimeout = Own.IdleTimeout;
  return Limits;
}

/** @return An incarnation above those of earlier processes. */
base::Incarnation newIncarnation() {
  auto Now = std::chrono::floor<std::chrono::microseconds>(
      std::chrono::system_clock::now());
  return base::Incarnation(
      static_cast<uint64_t>(Now.time_since_epoch().count()));
}

} // namespace

Instance::Instance(boost::asio::io_context &Context,
                   const config::Settings &Own)
    : Context(Context), Process(newIncarnation()),
      Serving(Context, Own, nullptr),
      Tickets(std::make_shared<TicketService>(Context, this->Serving,
                                              this->Process)),
      CallerServer(Context, Own.Callers, callerLimits(Own),
                   [this](net::HttpCall Call) {
                     handleCaller(this->Serving, *this->Tickets,
                                  std::move(Call));
                   }),
      AdminServer(Context, Own.Admin, net::HttpLimits{},
                  [this](const net::HttpCall &Call) {
                    handleAdmin(this->Serving, Call);
                  }),
      TickTimer(Context) {}

Instance::~Instance() {
  if (this->Reader) {
    this->Reader->stop();
    this->Reader->release();
  }
  this->Serving.release();
}

void Instance::start() {
  PlatformCallbacks Callbacks;
  Callbacks.OnConfiguration =
      [Weak = this->weak_from_this()](const config::ConfigurationTexts &Texts) {
        if (auto Self = Weak.lock()) {
          Self->onTexts(Texts);
        }
      };
  Callbacks.OnInstances =
      [Weak = this->weak_from_this()](const net::InstanceList &List) {
        if (auto Self = Weak.lock()) {
          Self->Serving.applyInstances(List);
        }
      };
  Callbacks.FindDocument =
      [Weak = this->weak_from_this()](const std::string &Digest) {
        auto Self = Weak.lock();
        return Self ? Self->findDocument(Digest) : std::string();
      };
  this->Reader = std::make_shared<PlatformReader>(
      this->Context, this->Serving.settings().Platform,
      base::randomAttemptId().Low, std::move(Callbacks));
  this->Timers.subscribe(TickPeriod, [this](const base::Tick &Event) {
    this->Serving.tick(Event);
  });
  this->Timers.subscribe(ReportPeriod, [this](const base::Tick &) {
    this->Serving.refreshReports();
  });
  this->Timers.subscribe(TicketExpiryPeriod, [this](const base::Tick &Event) {
    this->Tickets->expire(Event.Now);
  });
  this->CallerServer.start();
  this->AdminServer.start();
  this->Reader->start();
  this->scheduleTick();
  logEvent(LogLevel::Info, "instance.started",
           {{"instance", this->Serving.settings().Instance.Value},
            {"callers", std::to_string(this->callers().Port)},
            {"admin", std::to_string(this->admin().Port)}});
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
  auto Found = this->InForceTexts.Documents.find(Digest);
  return Found == this->InForceTexts.Documents.end() ? std::string()
                                                     : Found->second;
}

void Instance::onTexts(const config::ConfigurationTexts &Texts) {
  std::vector<base::Error> Errors;
  auto Offered = config::buildConfiguration(Texts, Errors);
  for (const base::Error &Entry : Errors) {
    this->Serving.metrics().add("hickorycrank_configuration_errors",
                                {{"kind", toString(Entry.Kind)}});
    logEvent(LogLevel::Error, "configuration.refused",
             {{"error", Entry.Message}});
  }
  if (!Offered) {
    return;
  }
  config::Acceptance Verdict = this->Serving.offerConfiguration(Offered);
  if (Verdict == config::Acceptance::Conflict ||
      Verdict == config::Acceptance::ConflictAccept) {
    this->Serving.metrics().add("hickorycrank_configuration_conflicts", {});
    logEvent(LogLevel::Error, "configuration.conflict",
             {{"revision", std::to_string(Offered->Number.Value)},
              {"remedy", "publish a higher revision"}});
  }
  if (!config::takesOffer(Verdict)) {
    return;
  }
  {
    std::lock_guard Lock(this->TextsMutex);
    this->InForceTexts = Texts;
  }
  logEvent(LogLevel::Info, "configuration.in_force",
           {{"revision", std::to_string(Offered->Number.Value)}});
  Readiness Expected = Readiness::Starting;
  this->Serving.State.compare_exchange_strong(Expected, Readiness::Ready);
}

void Instance::stop(std::function<void()> Done) {
  this->Serving.State = Readiness::Draining;
  this->CallerServer.announceClose();
  logEvent(LogLevel::Info, "instance.stopping",
           {{"instance", this->Serving.settings().Instance.Value}});
  base::TimePoint Limit = Clock::now() + CloseNoticeTime +
                          this->Serving.longestDeadline() + WriteTime;
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
  // Runs for callers of other instances are not in this server's count.
  bool Idle = this->CallerServer.requestsInProgress() == 0 &&
              this->Tickets->running() == 0;
  if (Idle || Clock::now() >= Limit) {
    this->Stopped = true;
    this->Reader->stop();
    this->AdminServer.drain();
    logEvent(LogLevel::Info, "instance.stopped",
             {{"instance", this->Serving.settings().Instance.Value}});
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
