#include "daemon/gateway_base.h"

#include "config/settings_func.h"
#include "daemon/suspend_clock_func.h"
#include "fleet/view_freshness_func.h"
#include "net/fleet_codec_func.h"
#include "net/relay_header_func.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using discovery::ItemKind;

namespace {

/** @return Value of a query parameter; 0 if it is missing or no number. */
uint64_t numberParameter(const net::HttpRequest &Request,
                         const std::string &Name) {
  uint64_t Number = 0;
  auto Found = Request.Query.find(Name);
  if (Found != Request.Query.end()) {
    const std::string &Text = Found->second;
    std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  }
  return Number;
}

} // namespace

void Gateway::onUpdate(const discovery::Update &Update, bool StoreStable) {
  auto Mode = StoreStable ? discovery::RemovalPolicy::Immediate
                          : discovery::RemovalPolicy::Deferred;
  if (!this->View.apply(Clock::now(), Update, Mode)) {
    return;
  }
  if (Update.Complete || !Update.Changes.empty()) {
    this->applyView();
  }
}

void Gateway::updateReaderRole(base::TimePoint Now) {
  fleet::applyPendingClaims(this->Freshness, this->View.lastChange());
  base::Duration Age = fleet::viewAge(this->Freshness, suspendAwareNow());
  bool HasView = this->View.position().Revision != 0;
  if (this->Fleet->shouldRead(
          Now, HasView, Age,
          fleet::makeReadTiming(this->Settings.ChangeBound))) {
    this->Reader->resume(this->View.position(),
                         this->Freshness.VerifiedAt
                             ? std::optional<base::Duration>(Age)
                             : std::nullopt);
  } else {
    this->Reader->pause();
  }
}

void Gateway::applyView() {
  this->applyConfiguration();
  this->applyEvacuations();
  this->applyServers();
}

void Gateway::applyConfiguration() {
  for (const discovery::Item &Entry :
       this->View.items(ItemKind::Configuration)) {
    if (Entry.Position <= this->ConfigurationPosition) {
      continue;
    }
    this->ConfigurationPosition = Entry.Position;
    auto Decoded = this->Dialect.Store.DecodeRoutes(Entry);
    if (!Decoded) {
      logEvent(LogLevel::Error, "configuration.rejected",
               {{"revision", std::to_string(Entry.Position.Revision)},
                {"error", Decoded.error().Message}});
      continue;
    }
    auto Table =
        std::make_shared<const forward::RouteTable>(std::move(Decoded.value()));
    if (!this->Engine.onRoutes(Table)) {
      if (Table->Version == this->Engine.routes()->Version) {
        continue; // Written again to a restored store.
      }
      logEvent(LogLevel::Warning, "configuration.older",
               {{"version", std::to_string(Table->Version)}});
      continue;
    }
    this->CallerServer.setLimits(Table->Limits);
    forward::CallerLimits RelayLimits = Table->Limits;
    RelayLimits.MaxHeaderBytes += net::MaxRelayTriedBytes;
    this->RelayServer.setLimits(RelayLimits);
    logEvent(LogLevel::Info, "configuration.in_force",
             {{"version", std::to_string(Table->Version)},
              {"epoch", std::to_string(Entry.Position.Epoch)},
              {"revision", std::to_string(Entry.Position.Revision)},
              {"routes", std::to_string(Table->Routes.size())}});
  }
}

void Gateway::applyEvacuations() {
  forward::DomainSet Evacuated;
  const forward::DomainSet &Before = this->Engine.evacuated();
  for (const discovery::Item &Entry : this->View.items(ItemKind::Evacuation)) {
    base::FailureDomainId Domain(Entry.Name);
    if (!Before.contains(Domain)) {
      this->EventLog.log(
          Clock::now(), LogLevel::Warning, "server.domain_evacuated",
          {{"failure_domain", Entry.Name},
           {"epoch", std::to_string(Entry.Position.Epoch)},
           {"revision", std::to_string(Entry.Position.Revision)}});
    }
    Evacuated.insert(std::move(Domain));
  }
  const discovery::StorePosition &Position = this->View.position();
  for (const base::FailureDomainId &Domain : Before) {
    if (!Evacuated.contains(Domain)) {
      this->EventLog.log(Clock::now(), LogLevel::Warning,
                         "server.domain_returned",
                         {{"failure_domain", Domain.Value},
                          {"epoch", std::to_string(Position.Epoch)},
                          {"revision", std::to_string(Position.Revision)}});
    }
  }
  if (Evacuated != Before) {
    this->Engine.onEvacuations(std::move(Evacuated));
  }
}

void Gateway::applyServers() {
  std::vector<forward::ServerEntry> Entries;
  std::map<std::string, DecodedServer> Updated;
  for (const discovery::Item &Entry : this->View.items(ItemKind::Server)) {
    DecodedServer &Slot = Updated[Entry.Name];
    auto Before = this->DecodedServers.find(Entry.Name);
    if (Before != this->DecodedServers.end() &&
        Before->second.Position == Entry.Position) {
      Slot = std::move(Before->second);
    } else {
      Slot.Position = Entry.Position;
      auto Decoded = this->Dialect.Store.DecodeServer(Entry);
      if (Decoded) {
        Slot.Entry = std::move(Decoded.value());
        this->EventLog.log(
            Clock::now(), LogLevel::Info, "server.changed",
            {{"server", Entry.Name},
             {"epoch", std::to_string(Entry.Position.Epoch)},
             {"revision", std::to_string(Entry.Position.Revision)},
             {"leaving", Slot.Entry->Leaving ? "true" : "false"}});
      } else {
        this->EventLog.log(
            Clock::now(), LogLevel::Warning, "server.unreadable",
            {{"server", Entry.Name}, {"error", Decoded.error().Message}});
      }
    }
    if (Slot.Entry) {
      Entries.push_back(*Slot.Entry);
    }
  }
  this->DecodedServers = std::move(Updated);
  this->ServersKnown = true;
  forward::Actions Actions;
  this->Engine.onServers(suspendAwareNow(), Entries, Actions);
  this->executeActions(std::move(Actions));
}

void Gateway::execute(const forward::LogServerDeclines &Statement) {
  LogFields Fields{{"server", Statement.ServerId.Value}};
  if (Statement.RetryAfter) {
    Fields["retry_after_ms"] = std::to_string(Statement.RetryAfter->count());
  }
  this->EventLog.log(Clock::now(), LogLevel::Info,
                     Statement.RetryAfter ? "server.paused" : "server.leaving",
                     std::move(Fields));
}

void Gateway::onHeartbeat(const fleet::Heartbeat &Received) {
  fleet::recordClaim(this->Freshness, suspendAwareNow(), Received,
                     this->View.lastChange());
  if (Received.Crashes) {
    for (const forward::CrashReport &Report : *Received.Crashes) {
      this->Engine.onCrashReport(suspendAwareNow(), Report);
    }
    return;
  }
  for (base::Fingerprint Content : Received.QuarantinedFingerprints) {
    this->Engine.onQuarantine(suspendAwareNow(), Content);
  }
}

fleet::Heartbeat Gateway::makeHeartbeat() const {
  fleet::Heartbeat Message;
  Message.Leaving = this->Stopping && !this->OnStopped;
  Message.LastChange = this->View.lastChange();
  Message.Capacity = fleet::toCapacity(this->Settings.Size.CpuCores);
  Message.AcceptsRelays = !this->Stopping && this->Engine.routes() &&
                          this->ServersKnown && this->Engine.reachesServers();
  if (this->Freshness.VerifiedAt) {
    Message.ViewAge = std::chrono::ceil<std::chrono::milliseconds>(
        suspendAwareNow() - *this->Freshness.VerifiedAt);
  }
  Message.StoreHealthy = this->Reader->isHealthy();
  Message.StoreStable = this->Reader->isStable(Clock::now());
  Message.QuarantinedFingerprints =
      this->Engine.crashes().quarantined(suspendAwareNow());
  Message.Crashes =
      this->Engine.crashes().reports(suspendAwareNow(), Message.Leaving);
  return Message;
}

void Gateway::handleControl(const net::HttpCall &Call) {
  net::HttpResponse Response;
  if (Call.Request.Path == FleetNode::UpdatePath) {
    discovery::StorePosition Since;
    Since.Revision = numberParameter(Call.Request, FleetNode::SinceParameter);
    Since.Epoch = numberParameter(Call.Request, FleetNode::EpochParameter);
    Response.ContentType = "application/octet-stream";
    Response.Body = net::encodeUpdate(this->View.updateSince(Since));
    Response.Resource = this->Transfers.tryStart(Response.Body.size());
    if (!Response.Resource) {
      ++this->UpdatesRefused;
      Response = {};
      Response.Status = 503; // The peer tries another instance.
    }
  } else if (Call.Request.Path == "/metrics") {
    Response.ContentType = "text/plain";
    Response.Body = this->renderMetrics();
  } else {
    Response.Status = 404;
  }
  Call.Respond(std::move(Response));
}

void Gateway::execute(const forward::LogColdState &State) {
  bool Cold = State.Remaining > base::Duration::zero();
  this->EventLog.log(
      Clock::now(), LogLevel::Info, Cold ? "server.cold" : "server.warm",
      {{"server", State.ServerId.Value},
       {"remaining_ms",
        std::to_string(std::lround(base::toMilliseconds(State.Remaining)))},
       {"per_second", std::to_string(State.PerSecond)}});
}

} // namespace hickorycrank::daemon
