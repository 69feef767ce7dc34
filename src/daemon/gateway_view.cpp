#include "daemon/gateway_base.h"

#include "config/settings_func.h"
#include "daemon/suspend_clock_func.h"
#include "fleet/view_freshness_func.h"
#include "net/fleet_codec_func.h"

#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using discovery::ItemKind;

namespace {

/** Header bytes that an instance may add to a request that it relays: two
 * servers at each of several hundred shards. */
constexpr uint32_t AddedHeaderBytes = 32'768;

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
    RelayLimits.MaxHeaderBytes += AddedHeaderBytes;
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

std::string Gateway::renderMetrics() const {
  std::ostringstream Text;
  auto Add = [&Text](const std::string &Name, double Value,
                     const metrics::Labels &Series = {}) {
    Text << metrics::formatSample("hickorycrank_" + Name, Series, Value);
  };
  auto Count = [&Add](const std::string &Name, uint64_t Value,
                      const metrics::Labels &Series = {}) {
    Add(Name + "_total", static_cast<double>(Value), Series);
  };
  const forward::EngineCounters &EngineCounters = this->Engine.counters();
  Count("calls", EngineCounters.Calls);
  Count("answers", EngineCounters.Answers);
  Count("partial_answers", EngineCounters.PartialAnswers);
  Count("callers_gone", EngineCounters.CallersGone);
  Count("shards_left_out", EngineCounters.ShardsLeftOut);
  Count("attempts", EngineCounters.Attempts);
  Count("hedges", EngineCounters.Hedges);
  Count("retries", EngineCounters.Retries);
  Count("hedges_denied", EngineCounters.HedgesDenied);
  Count("deferred", EngineCounters.Deferred);
  Count("retries_denied", EngineCounters.RetriesDenied);
  Count("attempts_shed", EngineCounters.Shed);
  Count("attempts_misdirected", EngineCounters.Misdirected);
  Count("attempts_server_error", EngineCounters.ServerErrors);
  Count("attempts_not_sent", EngineCounters.NotSent);
  Count("attempts_broken", EngineCounters.Broken);
  Count("connection_probes", EngineCounters.Probes);
  Count("late_replies", EngineCounters.LateReplies);
  Count("rate_limit_replies", EngineCounters.RateLimitReplies);
  Count("retry_after_replies", EngineCounters.RetryAfterReplies);
  Count("parts_cold_limited", EngineCounters.ColdLimited);
  Add("cold_servers",
      static_cast<double>(this->Engine.coldServers(suspendAwareNow())));
  const forward::CrashCounters &Crashes = this->Engine.crashes().counters();
  Count("crashed_calls", Crashes.Calls);
  Count("crashed_calls_cleared", Crashes.Cleared);
  Count("crashed_calls_doubted", Crashes.Doubted);
  Count("crashed_calls_confirmed", Crashes.Confirmed);
  Add("quarantined_contents",
      static_cast<double>(
          this->Engine.crashes().quarantined(suspendAwareNow()).size()));
  Count("relays", EngineCounters.Relays);
  Count("relays_failed", EngineCounters.RelaysFailed);
  Count("relays_received", EngineCounters.RelaysReceived);
  Count("attempts_unassigned", EngineCounters.Borrowed);
  for (size_t I = 0; I < forward::RefusalReasonCount; ++I) {
    Count("refusals", EngineCounters.Refusals[I],
          {{"reason",
            forward::toString(static_cast<forward::RefusalReason>(I))}});
  }
  for (const auto &[Priority, Reasons] : EngineCounters.RefusalsByPriority) {
    for (size_t I = 0; I < forward::RefusalReasonCount; ++I) {
      if (Reasons[I] > 0) {
        Count("refusals_by_priority", Reasons[I],
              {{"priority", std::to_string(Priority)},
               {"reason",
                forward::toString(static_cast<forward::RefusalReason>(I))}});
      }
    }
  }
  for (const auto &[Priority, Waiting] : this->Engine.waitingByPriority()) {
    Add("calls_waiting", static_cast<double>(Waiting),
        {{"priority", std::to_string(Priority)}});
  }
  Count("reserved", EngineCounters.Reserved);
  const net::UpstreamCounters &UpstreamCounters = this->Upstream.counters();
  Count("connections_opened", UpstreamCounters.Opened);
  Count("connections_failed", UpstreamCounters.ConnectFailed);
  Count("connections_reused", UpstreamCounters.Reused);
  Count("foreign_replies", UpstreamCounters.ForeignReplies);
  Count("surplus_bytes", UpstreamCounters.SurplusBytes);
  Count("oversized_replies", UpstreamCounters.OversizedReplies);
  Count("malformed_replies", UpstreamCounters.MalformedReplies);
  Count("abandoned_closed", UpstreamCounters.AbandonedClosed);
  Count("server_writes_stalled", UpstreamCounters.WritesStalled);
  Count("server_connections_closed_for_memory",
        UpstreamCounters.ClosedForMemory);
  Count("store_calls", this->Reader->counters().Calls);
  Count("store_failures", this->Reader->counters().Failures);
  Count("store_restores", this->Reader->counters().Restores);
  Count("heartbeats_sent", this->Fleet->counters().Sent);
  Count("heartbeats_received", this->Fleet->counters().Received);
  Count("heartbeats_malformed", this->Fleet->counters().Malformed);
  Count("view_pulls", this->Fleet->counters().Pulls);
  Count("view_pulls_failed", this->Fleet->counters().PullsFailed);
  Count("view_pulls_refused", this->Fleet->counters().PullsRefused);
  Count("view_updates_refused", this->UpdatesRefused);
  const net::ForwardServerCounters &CallerCounters =
      this->CallerServer.counters();
  Count("caller_connections", CallerCounters.Accepted);
  Count("caller_requests", CallerCounters.Requests);
  Count("caller_requests_malformed", CallerCounters.Malformed);
  Count("caller_requests_too_large", CallerCounters.TooLarge);
  Count("caller_header_timeouts", CallerCounters.HeaderTimeouts);
  Count("caller_idle_closed", CallerCounters.IdleClosed);
  Count("caller_writes_stalled", CallerCounters.WritesStalled);
  Count("caller_writes_too_late", CallerCounters.WritesTooLate);
  Count("caller_connections_closed_for_memory", CallerCounters.ClosedForMemory);
  for (const auto &[Listener, Server] :
       {std::pair("control", &this->ControlServer),
        std::pair("readiness", &this->ReadinessServer)}) {
    net::HttpServerCounters Counters = Server->counters();
    Count("listener_requests_malformed", Counters.Malformed,
          {{"listener", Listener}});
    Count("listener_requests_too_large", Counters.TooLarge,
          {{"listener", Listener}});
  }
  Add("held_bytes", static_cast<double>(this->Ledger->heldBytes()));
  Add("held_bytes_limit", static_cast<double>(this->Ledger->maxBytes()));
  Add("instances", static_cast<double>(this->Fleet->instances(Clock::now())));
  Add("capacity_weight", this->Fleet->capacityWeight(Clock::now()));
  Add("routes_observed", static_cast<double>(this->Engine.observedRoutes()));
  Add("backend_servers", static_cast<double>(this->Engine.servers()));
  forward::EvacuationLoad Evacuated = this->Engine.evacuationLoad();
  Add("evacuated_domains",
      static_cast<double>(this->Engine.evacuated().size()));
  Add("evacuated_servers", static_cast<double>(Evacuated.Servers));
  Add("evacuated_attempts", static_cast<double>(Evacuated.Attempts));
  Add("backend_servers_assigned",
      static_cast<double>(this->Engine.assignedServers()));
  Add("reaches_servers", this->Engine.reachesServers() ? 1 : 0);
  Add("peer_connections", static_cast<double>(this->PeerLinks.connections()));
  Add("connections", static_cast<double>(this->Upstream.connections()));
  Add("calls_in_progress", static_cast<double>(this->Engine.callsInProgress()));
  Add("view_revision", static_cast<double>(this->View.position().Revision));
  if (this->Freshness.VerifiedAt) {
    Add("view_age_seconds", base::toMilliseconds(fleet::viewAge(
                                this->Freshness, suspendAwareNow())) /
                                1'000);
  }
  Add("view_epoch", static_cast<double>(this->View.position().Epoch));
  Add("config_version",
      static_cast<double>(this->Engine.routes() ? this->Engine.routes()->Version
                                                : 0));
  return Text.str() + this->Metrics.render();
}

} // namespace hickorycrank::daemon
