#include "replay/session_base.h"
#include "replay/trace_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::replay {

using base::Duration;
using base::TimePoint;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
/** A longer gap between two ticks is a pause of the process. */
constexpr Duration PauseGap = std::chrono::milliseconds(250);
/** One way between processes in the same failure domain. */
constexpr Duration LocalNetwork = std::chrono::microseconds(100);
/** Time after the last arrival for all responses. */
constexpr Duration CoolDown = std::chrono::seconds(5);
/** Latest response after the deadline: one tick, and rounding. */
constexpr Duration ResponseSlack = std::chrono::milliseconds(10);
/** Rows of an answer; more than shards, so that no row is cut off. */
constexpr uint32_t RowLimit = 100'000;
constexpr size_t MaxViolations = 10;

} // namespace

Session::Session(const Trace &Source, const routing::Policy &Rules)
    : Source(Source), Config(Source.Config), Start(Queue.now()),
      Arrivals(Source.Config.Seed), Load(Source.Config.Load) {
  for (uint32_t I = 0; I < this->Config.Groups * this->Config.ShardsPerGroup;
       ++I) {
    this->ShardNames.push_back("shard-" + std::to_string(I));
  }
  this->buildServers();
  this->buildInstances(Rules);
  this->buildClasses();
}

void Session::buildServers() {
  auto First = std::make_shared<const routing::Layout>(
      routing::Layout{base::VersionId(this->NextVersion++), this->ShardNames});
  for (uint32_t I = 0; I < this->serverCount(); ++I) {
    ServerCallbacks Notify;
    Notify.OnReply = [this, I](const Job &Done, query::Reply Answer) {
      this->replyArrived(I, Done, std::move(Answer));
    };
    Notify.OnRun = [this](const Job &Started) {
      ++this->Record.Queries[this->queryOf(*Started.Source)].Runs;
    };
    Notify.OnService = [this](const Job &Started, Duration Service) {
      auto Shard = std::find(this->ShardNames.begin(), this->ShardNames.end(),
                             Started.Shard);
      this->Record.Queries[this->queryOf(*Started.Source)].Service.emplace(
          static_cast<uint32_t>(Shard - this->ShardNames.begin()), Service);
    };
    Notify.OnCrash = [this, I] {
      ++this->Record.ServersLost;
      this->stopServer(I);
      this->Queue.after(std::chrono::seconds(5),
                        [this, I] { this->Servers[I]->start(); });
    };
    this->Servers.push_back(std::make_unique<FakeServer>(
        this->Queue, this->Config, I, std::move(Notify)));
    this->Servers.back()->publish(First);
  }
}

void Session::buildInstances(const routing::Policy &Rules) {
  std::vector<routing::ServerListing> Listed;
  for (uint32_t I = 0; I < this->serverCount(); ++I) {
    uint32_t Domain = (I % this->Config.Replicas) % this->Config.Domains;
    Listed.push_back({this->Servers[I]->name(), std::to_string(I),
                      base::FailureDomainId("domain-" + std::to_string(Domain)),
                      this->Servers[I]->process(), false});
  }
  uint32_t Share =
      std::max(1U, this->Config.ConnectionCap / this->Config.Instances);
  this->Instances.resize(this->Config.Instances);
  for (uint32_t I = 0; I < this->Config.Instances; ++I) {
    Instance &Added = this->Instances[I];
    Added.Engine = std::make_unique<query::Engine>(
        query::EngineBuilder()
            .rules(Rules)
            .domain(base::FailureDomainId(
                "domain-" + std::to_string(I % this->Config.Domains)))
            .serverConcurrency(this->Config.Slots)
            .connectionShare(Share)
            .seed(this->Config.Seed * 7'919 + I)
            .build());
    Added.Pools.assign(this->serverCount(), ConnectionPool(Share));
    Added.VersionsSeen.assign(this->serverCount(), UINT64_MAX);
    Added.LeavingSeen.assign(this->serverCount(), base::Incarnation(0));
    Added.LastTick = this->Start;
    query::Actions Decided;
    Added.Engine->onServerList(this->Start, Listed, Decided);
    this->perform(I, Decided);
  }
}

void Session::buildClasses() {
  for (const RequestClass &Class : this->Config.Classes) {
    auto Template = std::make_shared<config::TemplateDoc>();
    Template->Name = base::TemplateId(Class.Name);
    Template->Selection = Class.Selection;
    for (uint32_t I = 0; I < Class.Shards && I < this->ShardNames.size(); ++I) {
      Template->ShardNames.push_back(this->ShardNames[I]);
    }
    Template->Deadline = Class.Deadline;
    Template->CoverageGoal = Class.Goal;
    Template->CoverageFloor = Class.Floor;
    Template->Priority = Class.Priority;
    Template->Idempotent = Class.Idempotent;
    Template->Canary = Class.Canary;
    Template->Limit = RowLimit;
    this->Templates.push_back(std::move(Template));
    auto Organisation = std::make_shared<config::OrganisationDoc>();
    Organisation->Name = base::OrganisationId(Class.Organisation);
    Organisation->Weight = Class.OrganisationWeight;
    this->Organisations.push_back(std::move(Organisation));
  }
}

Duration Session::delay(uint32_t Instance, uint32_t Server) const {
  uint32_t Domain = (Server % this->Config.Replicas) % this->Config.Domains;
  return Instance % this->Config.Domains == Domain ? LocalNetwork
                                                   : this->Config.Network;
}

void Session::deliver(uint32_t To, std::function<void()> Run) {
  if (this->Instances[To].Paused) {
    this->Instances[To].Backlog.push_back(std::move(Run));
  } else {
    Run();
  }
}

void Session::tick(uint32_t Index) {
  this->Queue.after(TickInterval, [this, Index] { this->tick(Index); });
  Instance &Target = this->Instances[Index];
  if (Target.Paused) {
    return;
  }
  TimePoint Now = this->Queue.now();
  query::Actions Decided;
  if (Now - Target.LastTick > PauseGap) {
    Target.Engine->onPause(Now, Decided);
  }
  Target.LastTick = Now;
  Target.Engine->onTick(Now, Decided);
  this->perform(Index, Decided);
}

void Session::sendReports() {
  this->Queue.after(this->Config.ReportEvery, [this] { this->sendReports(); });
  for (uint32_t I = 0; I < this->serverCount(); ++I) {
    this->Servers[I]->sampleLoad();
    for (uint32_t J = 0; J < this->Config.Instances; ++J) {
      query::ProbeServer Order{base::ServerIndex(I), {}};
      this->deliver(J,
                    [this, J, Order]() mutable { this->performOne(J, Order); });
    }
  }
}

RunRecord Session::run() {
  for (uint32_t I = 0; I < this->Config.Instances; ++I) {
    this->tick(I);
  }
  this->sendReports();
  // Reports are in before the first request arrives.
  this->Queue.after(std::chrono::milliseconds(50), [this] {
    for (uint32_t I = 0; I < this->Config.Classes.size(); ++I) {
      this->scheduleArrival(I);
    }
  });
  for (const TraceEvent &Event : this->Source.Events) {
    this->Queue.at(this->Start + Event.At,
                   [this, &Event] { this->apply(Event); });
    if (Event.For > Duration::zero()) {
      this->Queue.at(this->Start + Event.At + Event.For,
                     [this, &Event] { this->end(Event); });
    }
  }
  this->Queue.runUntil(this->Start + this->Config.Length + CoolDown);
  this->finishChecks();
  return std::move(this->Record);
}

void Session::finishChecks() {
  for (uint64_t I = 0; I < this->Record.Queries.size(); ++I) {
    const QueryRecord &Query = this->Record.Queries[I];
    Duration Limit = this->Config.Classes[Query.Class].Deadline + ResponseSlack;
    if (Query.Responses != 1) {
      this->violated("a query gets exactly one response", I);
    }
    if (Query.Latency > Limit && this->PausedQueries.count(I) == 0) {
      this->violated("a response comes by the deadline", I);
    }
    if (Query.NotRun && Query.Runs != 0) {
      this->violated("a refusal not_run means that no server ran it", I);
    }
    if (!this->Config.Classes[Query.Class].Idempotent && Query.Arrivals > 1) {
      this->violated("a non-idempotent request reaches one server", I);
    }
  }
  for (const Instance &Source : this->Instances) {
    const query::EngineCounters &Counted = Source.Engine->counters();
    this->Record.Counters.Ejections += Counted.Ejections;
    this->Record.Counters.Restarts += Counted.Restarts;
    this->Record.Counters.Hedges += Counted.Hedges;
    this->Record.Counters.HedgeWins += Counted.HedgeWins;
    this->Record.Counters.HedgesDenied += Counted.HedgesDenied;
    this->Record.Counters.RetriesDenied += Counted.RetriesDenied;
    this->Record.Counters.SilentConnections += Counted.SilentConnections;
    this->Record.Counters.EarlyStops += Counted.EarlyStops;
    this->Record.Counters.Joined += Counted.Joined;
    this->Record.Counters.Crashes += Counted.Crashes;
    this->Record.Counters.Pauses += Counted.Pauses;
    for (size_t I = 0; I < query::RetryReasonCount; ++I) {
      this->Record.Counters.Retries[I] += Counted.Retries[I];
    }
  }
}

void Session::violated(const std::string &Promise, uint64_t Query) {
  ++this->Record.ViolationCount;
  if (this->Record.Violations.size() < MaxViolations) {
    this->Record.Violations.push_back(Promise + " (query " +
                                      std::to_string(Query) + ")");
  }
}

SecondRecord &Session::second() {
  auto Index = static_cast<size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(this->elapsed())
          .count());
  if (this->Record.Seconds.size() <= Index) {
    this->Record.Seconds.resize(Index + 1);
  }
  return this->Record.Seconds[Index];
}

uint64_t Session::queryOf(const query::Request &Source) const {
  return std::stoull(Source.RequestId);
}

} // namespace hickorycrank::replay
