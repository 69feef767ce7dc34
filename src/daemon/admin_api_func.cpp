#include "daemon/admin_api_func.h"

#include <array>
#include <boost/json.hpp>

namespace hickorycrank::daemon {

namespace json = boost::json;

namespace {

/**
 * Renders the metrics of one service.
 * @param Status The service.
 * @return Prometheus text.
 */
std::string renderService(const ServiceStatus &Status) {
  std::string Text;
  auto Sample = [&](const std::string &Name, metrics::Labels Series,
                    double Value) {
    Series["service"] = Status.Service;
    Text += metrics::formatSample("hickorycrank_" + Name, Series, Value);
  };
  const query::EngineCounters &Counters = Status.Counters;
  const std::pair<const char *, uint64_t> Plain[] = {
      {"queries_total", Counters.Queries},
      {"queries_joined_total", Counters.Joined},
      {"answers_total", Counters.Answers},
      {"first_attempts_total", Counters.FirstAttempts},
      {"hedges_total", Counters.Hedges},
      {"hedge_wins_total", Counters.HedgeWins},
      {"hedges_denied_total", Counters.HedgesDenied},
      {"retries_denied_total", Counters.RetriesDenied},
      {"wrong_echoes_total", Counters.WrongEchoes},
      {"wrong_versions_total", Counters.WrongVersions},
      {"late_replies_total", Counters.LateReplies},
      {"snapshot_restarts_total", Counters.Restarts},
      {"early_stops_total", Counters.EarlyStops},
      {"ejections_total", Counters.Ejections},
      {"silent_connections_total", Counters.SilentConnections},
      {"server_crashes_total", Counters.Crashes},
      {"pauses_total", Counters.Pauses},
      {"live_queries", Status.LiveQueries},
      {"waiting_sub_queries", Status.Waiting}};
  for (const auto &[Name, Value] : Plain) {
    Sample(Name, {}, static_cast<double>(Value));
  }
  uint64_t Retries = 0;
  for (size_t I = 0; I < query::RetryReasonCount; ++I) {
    Retries += Counters.Retries[I];
    Sample("retries_total",
           {{"reason", toString(static_cast<query::RetryReason>(I))}},
           static_cast<double>(Counters.Retries[I]));
  }
  for (size_t I = 0; I < query::RefusalKindCount; ++I) {
    Sample("engine_refusals_total",
           {{"kind", toString(static_cast<query::RefusalKind>(I))}},
           static_cast<double>(Counters.Refusals[I]));
  }
  Sample("extra_attempts_total", {},
         static_cast<double>(Retries + Counters.Hedges));
  Sample("hedge_delay_seconds", {}, Status.HedgeDelayMs / 1000);
  return Text;
}

/**
 * Renders one service for the status page.
 * @param Status The service.
 * @return JSON object.
 */
json::object encodeService(const ServiceStatus &Status) {
  json::array Servers;
  for (const ServerStatus &Server : Status.Servers) {
    Servers.push_back(json::object{{"server", Server.Server},
                                   {"phase", Server.Phase},
                                   {"outstanding", Server.Outstanding},
                                   {"latency_ms", Server.LatencyMs},
                                   {"success_rate", Server.SuccessRate},
                                   {"concurrency_limit", Server.Limit},
                                   {"connections", Server.Connections}});
  }
  const query::EngineCounters &Counters = Status.Counters;
  uint64_t Retries = 0;
  for (uint64_t Count : Counters.Retries) {
    Retries += Count;
  }
  return {{"service", Status.Service},
          {"live_queries", Status.LiveQueries},
          {"waiting", Status.Waiting},
          {"hedge_delay_ms", Status.HedgeDelayMs},
          {"budget", json::object{{"first_attempts", Counters.FirstAttempts},
                                  {"hedges", Counters.Hedges},
                                  {"retries", Retries},
                                  {"hedges_denied", Counters.HedgesDenied},
                                  {"retries_denied", Counters.RetriesDenied}}},
          {"servers", std::move(Servers)}};
}

/**
 * Renders the metrics of the peer protocol.
 * @param Status Snapshot of the peer state.
 * @return Prometheus text.
 */
std::string renderPeers(const PeerStatus &Status) {
  std::string Text;
  auto Sample = [&](const std::string &Name, double Value) {
    Text += metrics::formatSample("hickorycrank_peer_" + Name, {}, Value);
  };
  for (const auto &[Name, Value] : Status.Transport) {
    Sample(std::string(Name) + "_total", static_cast<double>(Value));
  }
  const std::pair<const char *, uint64_t> Plain[] = {
      {"probes_total", Status.Membership.Probes},
      {"suspicions_total", Status.Membership.Suspicions},
      {"deaths_total", Status.Membership.Deaths},
      {"refutations_total", Status.Membership.Refutations},
      {"misdelivered_total", Status.Node.Misdelivered},
      {"stale_process_total", Status.Node.StaleProcess},
      {"facts_learnt_total", Status.Node.FactsLearnt},
      {"configuration_pulls_total", Status.Node.Pulls},
      {"server_list_pulls_total", Status.Node.ServerPulls},
      {"facts", Status.Facts},
      {"connections", Status.Connections},
      {"reader", Status.Reader ? 1 : 0},
      {"config_unconfirmed", Status.Unconfirmed ? 1 : 0}};
  for (const auto &[Name, Value] : Plain) {
    Sample(Name, static_cast<double>(Value));
  }
  std::array<uint64_t, peers::MemberStateCount> States{};
  for (const peers::MemberRecord &Record : Status.Members) {
    ++States[static_cast<size_t>(Record.View.State)];
  }
  for (size_t I = 0; I < States.size(); ++I) {
    Text += metrics::formatSample(
        "hickorycrank_peer_members",
        {{"state", toString(static_cast<peers::MemberState>(I))}},
        static_cast<double>(States[I]));
  }
  return Text;
}

/**
 * Renders the metrics of one HTTP server.
 * @param Server Name of the server.
 * @param Counters Counters of the server.
 * @return Prometheus text.
 */
std::string renderHttpServer(const std::string &Server,
                             const net::HttpServerCounters &Counters) {
  std::string Text = metrics::formatSample(
      "hickorycrank_http_connections_total", {{"server", Server}},
      static_cast<double>(Counters.Accepted));
  const std::pair<const char *, uint64_t> Reasons[] = {
      {"malformed", Counters.Malformed},
      {"too_large", Counters.TooLarge},
      {"read_timeout", Counters.ReadTimeouts},
      {"too_many_connections", Counters.TooManyConnections}};
  for (const auto &[Reason, Value] : Reasons) {
    Text += metrics::formatSample("hickorycrank_http_refusals_total",
                                  {{"server", Server}, {"reason", Reason}},
                                  static_cast<double>(Value));
  }
  return Text;
}

/**
 * Renders the membership for the status page.
 * @param Status Snapshot of the peer state.
 * @return JSON object.
 */
json::object encodePeers(const PeerStatus &Status) {
  json::array Members;
  for (const peers::MemberRecord &Record : Status.Members) {
    Members.push_back(json::object{{"instance", Record.View.Id.Value},
                                   {"address", Record.View.Address},
                                   {"failure_domain", Record.View.Domain.Value},
                                   {"process", Record.View.Process.Value},
                                   {"state", toString(Record.View.State)},
                                   {"listed", Record.Listed}});
  }
  return {{"process", Status.Process.Value},
          {"reader", Status.Reader},
          {"config_unconfirmed", Status.Unconfirmed},
          {"members", std::move(Members)}};
}

/**
 * Returns the name of a readiness state.
 * @param State The state.
 * @return Lower-case name.
 */
const char *readinessName(Readiness State) {
  static constexpr const char *Names[] = {"starting", "ready", "draining"};
  return Names[static_cast<size_t>(State)];
}

} // namespace

std::string renderMetrics(Tier &QueryTier, const PeerNode &Peers,
                          const HttpCounters &Servers) {
  std::string Text = QueryTier.metrics().render();
  Text += metrics::formatSample(
      "hickorycrank_configuration_revision", {},
      static_cast<double>(QueryTier.configurationVersion().Number.Value));
  for (const ServiceStatus &Status : QueryTier.status()) {
    Text += renderService(Status);
  }
  Text += renderPeers(Peers.status());
  Text += renderHttpServer("callers", Servers.Callers);
  Text += renderHttpServer("admin", Servers.Admin);
  return Text;
}

std::string renderStatus(Tier &QueryTier, const PeerNode &Peers) {
  json::array Services;
  for (const ServiceStatus &Status : QueryTier.status()) {
    Services.push_back(encodeService(Status));
  }
  config::ConfigurationVersion Version = QueryTier.configurationVersion();
  json::object Body{{"instance", QueryTier.settings().Instance.Value},
                    {"failure_domain", QueryTier.settings().Domain.Value},
                    {"state", readinessName(QueryTier.State)},
                    {"revision", Version.Number.Value},
                    {"manifest_sha256", Version.ManifestSha256},
                    {"peers", encodePeers(Peers.status())},
                    {"services", std::move(Services)}};
  return json::serialize(Body);
}

void handleAdmin(Tier &QueryTier, const PeerNode &Peers,
                 const HttpCounters &Servers, const net::HttpCall &Call) {
  net::HttpResponse Response;
  const std::string &Path = Call.Request.Path;
  if (Path == "/live") {
    Response.Body = R"({"live":true})";
  } else if (Path == "/ready") {
    bool Ready = QueryTier.State == Readiness::Ready;
    Response.Status = Ready ? 200 : 503;
    Response.Body = json::serialize(
        json::object{{"state", readinessName(QueryTier.State)},
                     {"config_unconfirmed", Peers.status().Unconfirmed}});
  } else if (Path == "/metrics") {
    Response.ContentType = "text/plain; version=0.0.4";
    Response.Body = renderMetrics(QueryTier, Peers, Servers);
  } else if (Path == "/status") {
    Response.Body = renderStatus(QueryTier, Peers);
  } else {
    Response.Status = 404;
    Response.Body = R"({"error":"use /live, /ready, /metrics or /status"})";
  }
  Call.Respond(std::move(Response));
}

} // namespace hickorycrank::daemon
