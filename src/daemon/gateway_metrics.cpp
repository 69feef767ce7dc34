// Metrics of a gateway in the Prometheus text format.
#include "daemon/gateway_base.h"

#include "daemon/suspend_clock_func.h"
#include "fleet/view_freshness_func.h"

#include <sstream>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;

namespace {

/** Collects samples of the metrics of this program. */
class MetricsText {
public:
  /** Adds a gauge. */
  void add(const std::string &Name, double Value,
           const metrics::Labels &Series = {}) {
    this->Text << metrics::formatSample("hickorycrank_" + Name, Series, Value);
  }

  /** Adds a counter; its name gets the suffix "_total". */
  void count(const std::string &Name, uint64_t Value,
             const metrics::Labels &Series = {}) {
    this->add(Name + "_total", static_cast<double>(Value), Series);
  }

  /** @return All samples so far. */
  std::string str() const { return this->Text.str(); }

private:
  std::ostringstream Text;
};

void addEngine(MetricsText &Text, const forward::EngineCounters &Counted) {
  Text.count("calls", Counted.Calls);
  Text.count("answers", Counted.Answers);
  Text.count("partial_answers", Counted.PartialAnswers);
  Text.count("callers_gone", Counted.CallersGone);
  Text.count("shards_left_out", Counted.ShardsLeftOut);
  Text.count("attempts", Counted.Attempts);
  Text.count("hedges", Counted.Hedges);
  Text.count("retries", Counted.Retries);
  Text.count("hedges_denied", Counted.HedgesDenied);
  Text.count("deferred", Counted.Deferred);
  Text.count("retries_denied", Counted.RetriesDenied);
  Text.count("attempts_shed", Counted.Shed);
  Text.count("attempts_misdirected", Counted.Misdirected);
  Text.count("attempts_server_error", Counted.ServerErrors);
  Text.count("statements_withheld", Counted.StatementsWithheld);
  Text.count("attempts_not_sent", Counted.NotSent);
  Text.count("attempts_broken", Counted.Broken);
  Text.count("connection_probes", Counted.Probes);
  Text.count("late_replies", Counted.LateReplies);
  Text.count("signatures_too_long", Counted.SignaturesTooLong);
  Text.count("rate_limit_replies", Counted.RateLimitReplies);
  Text.count("retry_after_replies", Counted.RetryAfterReplies);
  Text.count("parts_cold_limited", Counted.ColdLimited);
  Text.count("relays", Counted.Relays);
  Text.count("relays_failed", Counted.RelaysFailed);
  Text.count("relays_received", Counted.RelaysReceived);
  Text.count("attempts_unassigned", Counted.Borrowed);
  Text.count("reserved", Counted.Reserved);
}

void addRefusals(MetricsText &Text, const forward::EngineCounters &Counted) {
  for (size_t I = 0; I < forward::RefusalReasonCount; ++I) {
    Text.count("refusals", Counted.Refusals[I],
               {{"reason",
                 forward::toString(static_cast<forward::RefusalReason>(I))}});
  }
  for (const auto &[Priority, Reasons] : Counted.RefusalsByPriority) {
    for (size_t I = 0; I < forward::RefusalReasonCount; ++I) {
      if (Reasons[I] > 0) {
        Text.count("refusals_by_priority", Reasons[I],
                   {{"priority", std::to_string(Priority)},
                    {"reason", forward::toString(
                                   static_cast<forward::RefusalReason>(I))}});
      }
    }
  }
}

void addCrashes(MetricsText &Text, const forward::CrashCounters &Counted) {
  Text.count("crashed_calls", Counted.Calls);
  Text.count("crashed_calls_cleared", Counted.Cleared);
  Text.count("crashed_calls_doubted", Counted.Doubted);
  Text.count("crashed_calls_confirmed", Counted.Confirmed);
}

void addUpstream(MetricsText &Text, const net::UpstreamCounters &Counted) {
  Text.count("connections_opened", Counted.Opened);
  Text.count("connections_failed", Counted.ConnectFailed);
  Text.count("connections_reused", Counted.Reused);
  Text.count("foreign_replies", Counted.ForeignReplies);
  Text.count("surplus_bytes", Counted.SurplusBytes);
  Text.count("oversized_replies", Counted.OversizedReplies);
  Text.count("malformed_replies", Counted.MalformedReplies);
  Text.count("abandoned_closed", Counted.AbandonedClosed);
  Text.count("server_writes_stalled", Counted.WritesStalled);
  Text.count("server_connections_closed_for_memory", Counted.ClosedForMemory);
}

void addFleet(MetricsText &Text, const FleetCounters &Counted) {
  Text.count("heartbeats_sent", Counted.Sent);
  Text.count("heartbeats_received", Counted.Received);
  Text.count("heartbeats_malformed", Counted.Malformed);
  Text.count("view_pulls", Counted.Pulls);
  Text.count("view_pulls_failed", Counted.PullsFailed);
  Text.count("view_pulls_refused", Counted.PullsRefused);
}

void addCallers(MetricsText &Text, const net::ForwardServerCounters &Counted) {
  Text.count("caller_connections", Counted.Accepted);
  Text.count("caller_requests", Counted.Requests);
  Text.count("caller_requests_malformed", Counted.Malformed);
  Text.count("caller_requests_too_large", Counted.TooLarge);
  Text.count("caller_header_timeouts", Counted.HeaderTimeouts);
  Text.count("caller_idle_closed", Counted.IdleClosed);
  Text.count("caller_writes_stalled", Counted.WritesStalled);
  Text.count("caller_writes_too_late", Counted.WritesTooLate);
  Text.count("caller_connections_closed_for_memory", Counted.ClosedForMemory);
}

} // namespace

std::string Gateway::renderMetrics() const {
  MetricsText Text;
  addEngine(Text, this->Engine.counters());
  addRefusals(Text, this->Engine.counters());
  addCrashes(Text, this->Engine.crashes().counters());
  Text.add("quarantined_contents",
           static_cast<double>(
               this->Engine.crashes().quarantined(suspendAwareNow()).size()));
  Text.add("cold_servers",
           static_cast<double>(this->Engine.coldServers(suspendAwareNow())));
  for (const auto &[Priority, Waiting] : this->Engine.waitingByPriority()) {
    Text.add("calls_waiting", static_cast<double>(Waiting),
             {{"priority", std::to_string(Priority)}});
  }
  addUpstream(Text, this->Upstream.counters());
  Text.count("store_calls", this->Reader->counters().Calls);
  Text.count("store_failures", this->Reader->counters().Failures);
  Text.count("store_restores", this->Reader->counters().Restores);
  addFleet(Text, this->Fleet->counters());
  Text.count("view_updates_refused", this->UpdatesRefused);
  addCallers(Text, this->CallerServer.counters());
  for (const auto &[Listener, Server] :
       {std::pair("control", &this->ControlServer),
        std::pair("readiness", &this->ReadinessServer)}) {
    net::HttpServerCounters Counters = Server->counters();
    Text.count("listener_requests_malformed", Counters.Malformed,
               {{"listener", Listener}});
    Text.count("listener_requests_too_large", Counters.TooLarge,
               {{"listener", Listener}});
  }
  Text.add("held_bytes", static_cast<double>(this->Ledger->heldBytes()));
  Text.add("held_bytes_limit", static_cast<double>(this->Ledger->maxBytes()));
  Text.add("instances",
           static_cast<double>(this->Fleet->instances(Clock::now())));
  Text.add("retry_slack_part", this->Engine.slackPart());
  Text.add("capacity_weight", this->Fleet->capacityWeight(Clock::now()));
  Text.add("routes_observed",
           static_cast<double>(this->Engine.observedRoutes()));
  Text.add("backend_servers", static_cast<double>(this->Engine.servers()));
  forward::EvacuationLoad Evacuated = this->Engine.evacuationLoad();
  Text.add("evacuated_domains",
           static_cast<double>(this->Engine.evacuated().size()));
  Text.add("evacuated_servers", static_cast<double>(Evacuated.Servers));
  Text.add("evacuated_attempts", static_cast<double>(Evacuated.Attempts));
  Text.add("backend_servers_assigned",
           static_cast<double>(this->Engine.assignedServers()));
  Text.add("reaches_servers", this->Engine.reachesServers() ? 1 : 0);
  Text.add("peer_connections",
           static_cast<double>(this->PeerLinks.connections()));
  Text.add("connections", static_cast<double>(this->Upstream.connections()));
  Text.add("calls_in_progress",
           static_cast<double>(this->Engine.callsInProgress()));
  Text.add("view_revision",
           static_cast<double>(this->View.position().Revision));
  if (this->Freshness.VerifiedAt) {
    Text.add("view_age_seconds", base::toMilliseconds(fleet::viewAge(
                                     this->Freshness, suspendAwareNow())) /
                                     1'000);
  }
  Text.add("view_epoch", static_cast<double>(this->View.position().Epoch));
  Text.add("config_version",
           static_cast<double>(
               this->Engine.routes() ? this->Engine.routes()->Version : 0));
  return Text.str() + this->Metrics.render();
}

} // namespace hickorycrank::daemon
