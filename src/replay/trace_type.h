#ifndef HICKORYCRANK_REPLAY_TRACE_TYPE_H
#define HICKORYCRANK_REPLAY_TRACE_TYPE_H

#include "base/time_type.h"
#include "config/document_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorycrank::replay {

/** One kind of request that callers send. */
struct RequestClass {
  std::string Name = "search";
  std::string Organisation = "market";
  double OrganisationWeight = 1; ///< Share of the organisation.
  double Share = 1;              ///< Of all requests, relative to the others.
  config::ShardSelection Selection = config::ShardSelection::All;
  uint32_t Shards = 0; ///< For Listed: how many shards are named.
  std::chrono::milliseconds Deadline{1000};
  double Goal = 1;  ///< Coverage worth waiting for.
  double Floor = 0; ///< Coverage below which the answer is an error.
  uint32_t Priority = 5;
  bool Idempotent = true;
  config::CanaryRule Canary = config::CanaryRule::Shape;
  uint32_t Distinct = 0; ///< Contents in use; 0: each request differs.
};

/** The deployment and the workload of a trace. */
struct TraceConfig {
  std::string Name;
  uint64_t Seed = 1;
  base::Duration Length = std::chrono::seconds(20);
  base::Duration Warmup = std::chrono::seconds(2); ///< Not in the figures.
  uint32_t Instances = 3;                          ///< Entry instances.
  uint32_t Domains = 3;                            ///< Failure domains.
  uint32_t Groups = 10;                            ///< Of backend servers.
  uint32_t Replicas = 3;                           ///< Servers in a group.
  uint32_t ShardsPerGroup = 3;
  uint32_t Slots = 3;       ///< Requests a server runs at once.
  uint32_t QueueLimit = 30; ///< Requests that wait at a server; more are shed.
  uint32_t ConnectionCap = 30; ///< Connections that a server accepts.
  double ServiceMs = 4;        ///< Median service time.
  double ServiceSigma = 0.3;   ///< Of the log-normal service time.
  base::Duration Network = std::chrono::microseconds(500); ///< One way.
  base::Duration Connect = std::chrono::milliseconds(6);
  base::Duration ReportEvery = std::chrono::seconds(1);
  double Load = 0.4; ///< Share of all slots that the workload keeps busy.
  std::vector<RequestClass> Classes;
};

/** What happens at a time of the trace. */
enum class EventKind {
  Load,           ///< The workload changes to Value.
  Slow,           ///< Service times grow by the factor Value.
  Crash,          ///< Processes end; connections are reset, then refused.
  Restart,        ///< New processes start at the same addresses.
  Drain,          ///< Servers announce that they leave, and end later.
  Silence,        ///< All open connections stop carrying bytes for good.
  Shed,           ///< Servers shed all work.
  Fail,           ///< Servers answer all work with an error.
  Publish,        ///< A new index version, spread over Value milliseconds.
  Retire,         ///< The oldest index version is removed likewise.
  StaleReports,   ///< Reported loads are Value milliseconds old.
  InvertReports,  ///< Busy servers report to be idle and vice versa.
  Pause,          ///< One instance's process is stopped for a while.
  CrashingRequest ///< A request that crashes each server that runs it.
};

/** One timed event; repeated ones are expanded by the reader. */
struct TraceEvent {
  base::Duration At{};
  EventKind Kind = EventKind::Load;
  std::vector<uint32_t> Servers; ///< Affected servers.
  uint32_t Instance = 0;         ///< For Pause.
  uint32_t Class = 0;            ///< Of the CrashingRequest.
  bool NewShape = false;         ///< No request of its shape came before.
  double Value = 0;              ///< See EventKind.
  base::Duration For{};          ///< Time until it ends; 0: to the end.
  base::Duration RetryAfter{};   ///< For Shed.
};

/** What a bound limits. */
enum class BoundKind {
  P99OverFaultFree,      ///< p99 over that of the trace without faults.
  P99OverNoReports,      ///< p99 over that without reported loads.
  P99OverQueueFloor,     ///< p99 over that of one central queue a group.
  ExtraLoad,             ///< Extra attempts per first attempt, whole trace.
  ExtraLoadAnySecond,    ///< The same in the worst second.
  Coverage,              ///< Smallest mean coverage; refusals count as 0.
  GoodputRecovery,       ///< Goodput 3 s after the last fault over before.
  TimeoutsPerConnection, ///< Time-outs on any one connection.
  Ejections,             ///< Servers ejected.
  RestartShare,          ///< Restarts on a newer version per query.
  ServersLost,           ///< Crashes caused by the crashing request.
  OthersAffected,        ///< Other requests refused or incomplete.
};

/** A stated outcome. */
struct Bound {
  BoundKind Kind = BoundKind::ExtraLoad;
  double Limit = 0; ///< Largest value; smallest for Coverage and Goodput.
};

/** A whole trace. */
struct Trace {
  TraceConfig Config;
  std::vector<TraceEvent> Events; ///< In the order of time.
  std::vector<Bound> Bounds;
};

} // namespace hickorycrank::replay

#endif
