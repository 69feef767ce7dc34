#include "forward/engine_base.h"

#include "forward/replica_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Time for the final answer to reach the caller before it leaves. */
constexpr Duration DeliveryMargin = std::chrono::milliseconds(12);
/** Time in which an instance without a configuration usually learns one. */
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
  }
  return "unknown";
}

Engine::Engine(EngineOptions Options, uint64_t Seed)
    : Options(std::move(Options)), Generator(Seed) {}

bool Engine::onRoutes(std::shared_ptr<const RouteTable> Newer) {
  if (this->Table && Newer->Version <= this->Table->Version) {
    return false;
  }
  this->Table = std::move(Newer);
  for (const auto &[Name, Spec] : this->Table->Services) {
    this->Servers.pool(Name).MaxConnections = Spec.MaxConnections;
  }
  std::set<std::string_view> Names;
  for (const Route &Known : this->Table->Routes) {
    Names.insert(Known.Name);
  }
  auto IsGone = [&Names](const auto &Entry) {
    return Names.count(Entry.first) == 0;
  };
  std::erase_if(this->Turns, IsGone);
  std::erase_if(this->Latencies, IsGone);
  this->DeferrableRoutes = findDeferrable(*this->Table);
  return true;
}

void Engine::onServers(TimePoint Now, const std::vector<ServerEntry> &Entries,
                       Actions &Out) {
  for (ServerKey Ended : this->Servers.apply(Now, Entries)) {
    Out.push_back(CloseServerConnections{Ended});
  }
}

void Engine::onInstances(size_t Count) {
  this->Instances = std::max<size_t>(1, Count);
}

CallId Engine::onRequest(TimePoint Now, const CallRequest &Request,
                         Actions &Out) {
  CallId Id(this->NextCall++);
  ++this->Counters.Calls;
  if (!this->Table) {
    this->refuse(Id, {RefusalReason::NotReady, false, NotReadyRetryAfter}, Out);
    return Id;
  }
  const Route *Source = findRoute(*this->Table, Request.Host, Request.Target);
  if (Source == nullptr) {
    this->refuse(Id, {RefusalReason::NoRoute, false, std::nullopt}, Out);
    return Id;
  }
  if (this->Crashes.isQuarantined(Now, Request.Content)) {
    this->refuse(Id, {RefusalReason::Quarantined, false, std::nullopt}, Out);
    return Id;
  }
  auto Owned = std::make_unique<Call>();
  Call &Target = *Owned;
  Target.Id = Id;
  Target.Table = this->Table;
  Target.Source = Source;
  Target.ArrivedAt = Now;
  Target.Content = Request.Content;
  Target.Deferrable = this->DeferrableRoutes.count(Source->Name) != 0;
  Duration Allowed = std::min<Duration>(Request.Remaining, Source->Timeout);
  Target.Deadline = Now + std::max(Allowed - DeliveryMargin, Allowed / 2);
  if (Source->fansOut()) {
    Target.Parts.resize(Source->Shards.size());
    for (size_t I = 0; I < Source->Shards.size(); ++I) {
      Target.Parts[I].Pool = &this->Servers.pool(Source->Shards[I]);
    }
  } else {
    Target.Parts.resize(1);
    Target.Parts[0].Pool = &this->Servers.pool(this->chooseService(*Source));
  }
  this->Calls[Id.Value] = std::move(Owned);
  for (Part &Needed : Target.Parts) {
    Needed.Pool->Budget.recordRequest(Now);
  }
  if (this->admit(Now, Target, Out)) {
    this->advance(Now, Target, Out);
  }
  return Id;
}

void Engine::onQuarantine(TimePoint Now, base::Fingerprint Content) {
  this->Crashes.quarantine(Now, Content);
}

void Engine::onCallerGone(CallId Id, Actions &Out) {
  Call *Target = this->find(Id.Value);
  if (Target == nullptr) {
    return;
  }
  ++this->Counters.CallersGone;
  for (uint32_t I = 0; I < Target->Parts.size(); ++I) {
    this->abandonLive(*Target, I, Out);
  }
  this->Calls.erase(Id.Value);
}

void Engine::onTick(TimePoint Now, Actions &Out) {
  while (!this->Wakes.empty() && this->Wakes.top().When <= Now) {
    Wake Due = this->Wakes.top();
    this->Wakes.pop();
    Call *Target = this->find(Due.Id.Value);
    if (Target == nullptr || Target->NextWake != Due.When) {
      continue;
    }
    Target->NextWake = TimePoint::max();
    this->advance(Now, *Target, Out);
  }
  this->Crashes.expire(Now);
}

void Engine::probeServers(TimePoint Now, Actions &Out) {
  for (const auto &[Id, Target] : this->Servers.all()) {
    bool Due = Target->Unreachable && !Target->Probing &&
               Target->EjectedUntil <= Now && !Target->Entry.Leaving;
    if (!Due) {
      continue;
    }
    Target->Probing = true;
    ++this->Counters.Probes;
    Out.push_back(ProbeConnection{Target->Key, Target->Entry.Address});
  }
}

void Engine::onProbeResult(TimePoint Now, ServerKey Probed, bool Reached) {
  if (!Reached) {
    this->Crashes.recordUnreachable(Now, Probed);
  }
  if (Server *Target = this->Servers.find(Probed)) {
    settleProbe(Now, *Target, Reached);
  }
}

bool Engine::canReachShards(TimePoint Now) {
  if (!this->Table) {
    return false;
  }
  for (const Route &Source : this->Table->Routes) {
    size_t Reachable = 0;
    for (const std::string &Shard : Source.Shards) {
      const ServicePool &Pool = this->Servers.pool(Shard);
      Reachable +=
          hasUsableReplica(Pool) && !unreachableUntil(Now, Pool) ? 1 : 0;
    }
    if (Source.fansOut() && Reachable < requiredParts(Source)) {
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
