#include "forward/engine_base.h"

#include "forward/replica_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Time reserved before the caller's deadline for delivering the final answer.
 */
constexpr Duration DeliveryMargin = std::chrono::milliseconds(12);
/** Retry-after time; an instance usually obtains a configuration within it. */
constexpr std::chrono::milliseconds NotReadyRetryAfter(300);

} // namespace

const char *toString(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NotReady:
    return "not_ready";
  case RefusalReason::NoRoute:
    return "no_route";
  case RefusalReason::NoServer:
    return "no_server";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::Timeout:
    return "timeout";
  case RefusalReason::BackendFailed:
    return "backend_failed";
  case RefusalReason::Evacuated:
    return "evacuated";
  case RefusalReason::NoAllowedRegion:
    return "no_allowed_region";
  case RefusalReason::LowerPriority:
    return "lower_priority";
  }
  return "unknown";
}

Engine::Engine(EngineOptions Options, uint64_t Seed)
    : Options(std::move(Options)), Generator(Seed), Servers(Seed),
      Share(this->Options.Share), CallNumberOffset(this->Generator.next()) {}

bool Engine::onRoutes(std::shared_ptr<const RouteTable> Table) {
  if (this->Table && Table->Version <= this->Table->Version) {
    return false;
  }
  this->Table = std::move(Table);
  for (const auto &[Name, Spec] : this->Table->Services) {
    ServicePool &Pool = this->Servers.pool(Name);
    Pool.MaxConnections = Spec.MaxConnections;
    Pool.ColdTime = Spec.ColdTime;
    Pool.ColdRate = Spec.ColdRate;
  }
  this->refreshColdShares();
  this->AssignmentsDue = true;
  std::set<std::string_view> Names;
  for (const Route &Known : this->Table->Routes) {
    Names.insert(Known.Name);
  }
  auto IsGone = [&Names](const auto &Entry) {
    return Names.count(Entry.first) == 0;
  };
  std::erase_if(this->RoundRobinCredits, IsGone);
  std::erase_if(this->Latencies, IsGone);
  std::erase_if(this->Demands, IsGone);
  this->DeferrableRoutes = findDeferrable(*this->Table);
  this->updateFilters();
  this->UrgentRoutes = findMoreUrgent(*this->Table);
  return true;
}

void Engine::onServers(TimePoint Now, const std::vector<ServerEntry> &Entries,
                       Actions &Out) {
  for (ServerKey Ended : this->Servers.apply(Now, Entries)) {
    Out.push_back(CloseServerConnections{Ended});
  }
  for (const EndedIncarnation &Ended : this->Servers.takeRestarted()) {
    this->recordRestart(Now, Ended);
  }
  markEvacuated(this->Servers, this->Evacuated);
  this->updateColdStates(Now, Out);
  this->AssignmentsDue = true;
  this->updateAssignments(Out);
}

void Engine::onInstances(size_t Instances, double Weight) {
  Instances = std::max<size_t>(1, Instances);
  this->AssignmentsDue |=
      this->Instances != Instances || this->CapacityWeight != Weight;
  this->Instances = Instances;
  this->CapacityWeight = Weight;
  // Rounded up, so that the parts of all instances stay within the limit.
  this->LimitParts = std::max<size_t>(
      1,
      static_cast<size_t>(std::ceil(static_cast<double>(Instances) / Weight)));
}

CallId Engine::onRequest(TimePoint Now, const CallRequest &Request,
                         Actions &Out) {
  CallId Id(this->NextCall++);
  ++this->Counters.Calls;
  if (!this->Table || this->AdmissionStopped) {
    this->refuseUnsent(Id, RefusalReason::NotReady, NotReadyRetryAfter, Out);
    return Id;
  }
  const Route *MatchedRoute =
      findRoute(*this->Table, Request.Host, Request.Target);
  if (MatchedRoute == nullptr) {
    this->refuseUnsent(Id, RefusalReason::NoRoute, std::nullopt, Out);
    return Id;
  }
  if (this->Crashes.isQuarantined(Now, Request.Content)) {
    this->refuseUnsent(Id, RefusalReason::Quarantined, std::nullopt, Out);
    return Id;
  }
  auto Owned = std::make_unique<Call>();
  Call &CurrentCall = *Owned;
  CurrentCall.Id = Id;
  CurrentCall.Table = this->Table;
  CurrentCall.MatchedRoute = MatchedRoute;
  CurrentCall.ArrivedAt = Now;
  CurrentCall.Content = Request.Content;
  auto Filter = this->Filters.find(MatchedRoute);
  CurrentCall.Allowed =
      Filter == this->Filters.end() ? nullptr : Filter->second;
  CurrentCall.BodyBytes = Request.BodyBytes;
  CurrentCall.Relayed = Request.Relayed;
  this->Counters.RelaysReceived += Request.Relayed ? 1 : 0;
  CurrentCall.Deferrable =
      this->DeferrableRoutes.count(MatchedRoute->Name) != 0;
  Duration Allowed =
      std::min<Duration>(Request.Remaining, MatchedRoute->Timeout);
  // At least half of a short time is kept.
  CurrentCall.Deadline =
      std::min(Now + std::max(Allowed - DeliveryMargin, Allowed / 2),
               this->LastDeadline);
  if (MatchedRoute->fansOut()) {
    CurrentCall.Parts.resize(MatchedRoute->Shards.size());
    for (size_t I = 0; I < MatchedRoute->Shards.size(); ++I) {
      CurrentCall.Parts[I].Pool = &this->Servers.pool(MatchedRoute->Shards[I]);
    }
  } else {
    CurrentCall.Parts.resize(1);
    CurrentCall.Parts[0].Pool =
        &this->Servers.pool(this->chooseService(*MatchedRoute, Request.Tried));
  }
  addTriedServers(CurrentCall, Request.Tried);
  this->Calls[Id.Value] = std::move(Owned);
  for (Part &Needed : CurrentCall.Parts) {
    Needed.Pool->Budget.recordRequest(Now);
  }
  limits::recordEvent(this->Demands[MatchedRoute->Name].Offered, Now);
  if (this->admit(Now, CurrentCall, Out)) {
    this->advance(Now, CurrentCall, Out);
  }
  return Id;
}

void Engine::onQuarantine(TimePoint Now, base::Fingerprint Content) {
  this->Crashes.quarantine(Now, Content);
}

void Engine::endCallsBy(TimePoint Deadline) {
  this->LastDeadline = Deadline;
  for (auto &[Id, CurrentCall] : this->Calls) {
    CurrentCall->Deadline = std::min(CurrentCall->Deadline, Deadline);
    this->scheduleWake(Deadline, *CurrentCall);
  }
}

void Engine::onCrashReport(TimePoint Now, const CrashReport &Report) {
  this->Crashes.merge(Now, Report);
}

void Engine::onCallerGone(TimePoint Now, CallId Id, Actions &Out) {
  Call *CurrentCall = this->find(Id.Value);
  if (CurrentCall == nullptr) {
    return;
  }
  ++this->Counters.CallersGone;
  this->cancelRelay(Now, *CurrentCall, Out);
  for (uint32_t I = 0; I < CurrentCall->Parts.size(); ++I) {
    this->abandonLiveAttempts(*CurrentCall, I, Out);
  }
  this->eraseCall(*CurrentCall);
}

void Engine::onTick(TimePoint Now, Actions &Out) {
  while (!this->Wakes.empty() && this->Wakes.top().When <= Now) {
    Wake Due = this->Wakes.top();
    this->Wakes.pop();
    Call *CurrentCall = this->find(Due.Id.Value);
    if (CurrentCall == nullptr || CurrentCall->NextWake != Due.When) {
      continue;
    }
    CurrentCall->NextWake = TimePoint::max();
    this->advance(Now, *CurrentCall, Out);
  }
  this->Crashes.expire(Now);
}

void Engine::probeServers(TimePoint Now, Actions &Out) {
  this->updateAssignments(Out);
  this->returnBorrowed(Out);
  for (const auto &[Id, Backend] : this->Servers.all()) {
    bool Due = Backend->Unreachable && !Backend->Probing &&
               Backend->EjectedUntil <= Now && !Backend->Entry.Leaving &&
               !Backend->Evacuated;
    if (!Due) {
      continue;
    }
    this->probe(*Backend, Out);
  }
  this->updateColdStates(Now, Out);
  this->updateReachability(Now, Out);
  this->logQuarantines(Out);
}

void Engine::probe(Server &Suspect, Actions &Out) {
  Suspect.Probing = true;
  Suspect.Borrowed = !Suspect.Assigned;
  ++this->Counters.Probes;
  Out.push_back(ProbeConnection{Suspect.Key, Suspect.Entry.Address});
}

void Engine::onProbeResult(TimePoint Now, ServerKey Probed, bool Reached) {
  if (Reached) {
    this->Links.recordConnection();
  } else {
    this->Crashes.recordUnreachable(Now, Probed);
  }
  if (Server *Backend = this->Servers.find(Probed)) {
    recordProbeResult(Now, *Backend, Reached);
  }
}

bool Engine::canReachShards(TimePoint Now) {
  if (!this->Table) {
    return false;
  }
  for (const Route &RouteConfig : this->Table->Routes) {
    size_t Reachable = 0;
    for (const std::string &Shard : RouteConfig.Shards) {
      Reachable += this->canReach(Now, RouteConfig, Shard) ? 1 : 0;
    }
    if (RouteConfig.fansOut() && Reachable < requiredParts(RouteConfig)) {
      return false;
    }
  }
  return true;
}

TimePoint Engine::nextWake() const {
  return this->Wakes.empty() ? TimePoint::max() : this->Wakes.top().When;
}

Call *Engine::find(uint64_t Id) {
  auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : Found->second.get();
}

} // namespace hickorycrank::forward
