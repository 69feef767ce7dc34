#include "replay/session_base.h"
#include "replay/trace_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorycrank::replay {

using base::Duration;
using base::TimePoint;

namespace {

/** Content of the crashing request; others count up from 1. */
constexpr uint64_t CrashingContent = 0xC0FFEE0000000001ULL;
/** Shapes are told apart from contents by their upper half. */
constexpr uint64_t ShapeBase = 1ULL << 32U;

} // namespace

void Session::scheduleArrival(uint32_t Class) {
  double Shares = 0;
  for (const RequestClass &Entry : this->Config.Classes) {
    Shares += Entry.Share;
  }
  double Rate = requestRate(this->Config, this->Load) *
                this->Config.Classes[Class].Share / Shares;
  double Seconds = -std::log(1 - this->Arrivals.unit()) / Rate;
  this->Queue.after(base::fromMilliseconds(Seconds * 1'000), [this, Class] {
    if (this->elapsed() < this->Config.Length) {
      this->sendRequest(Class, nullptr);
      this->scheduleArrival(Class);
    }
  });
}

void Session::sendRequest(uint32_t Class, const TraceEvent *Crashing) {
  const RequestClass &Kind = this->Config.Classes[Class];
  uint64_t Id = this->Record.Queries.size();
  auto Target =
      static_cast<uint32_t>(this->Arrivals.below(this->Config.Instances));
  uint64_t Content = this->Arrivals.next();
  QueryRecord Added;
  Added.Class = Class;
  Added.Instance = Target;
  Added.Crashing = Crashing != nullptr;
  Added.SentAt = this->elapsed();
  Added.Expected = static_cast<uint32_t>(this->ShardNames.size());
  if (Kind.Selection == config::ShardSelection::ByKey) {
    Added.Expected = 1;
  } else if (Kind.Selection == config::ShardSelection::Listed) {
    Added.Expected = Kind.Shards;
  }
  this->Record.Queries.push_back(Added);
  auto Request = std::make_shared<query::Request>();
  Request->RequestId = std::to_string(Id);
  Request->Template = this->Templates[Class];
  Request->Organisation = this->Organisations[Class];
  Request->Deadline = this->Queue.now() + Kind.Deadline;
  if (Kind.Distinct != 0) {
    Content = Content % Kind.Distinct + 1;
  }
  if (Crashing != nullptr) {
    Content = CrashingContent;
    Request->Parameters.Json = R"({"crash":true})";
  }
  Request->Parameters.Content = base::Fingerprint(Content);
  Request->Parameters.Key = std::to_string(Content);
  bool NewShape = Crashing != nullptr && Crashing->NewShape;
  Request->Parameters.Shape =
      base::Fingerprint(NewShape ? CrashingContent : ShapeBase + Class);
  this->deliver(Target, [this, Target, Id, Request] {
    query::Actions Decided;
    this->Instances[Target].Engine->onRequest(
        this->Queue.now(), base::QueryId(Id), Request, Decided);
    this->perform(Target, Decided);
  });
  if (this->Instances[Target].Paused) {
    this->PausedQueries.insert(Id);
  }
}

void Session::apply(const TraceEvent &Event) {
  switch (Event.Kind) {
  case EventKind::Load:
    this->Load = Event.Value;
    return;
  case EventKind::Publish: {
    auto Shards = std::make_shared<const routing::Layout>(routing::Layout{
        base::VersionId(this->NextVersion++), this->ShardNames});
    this->spread(Event,
                 [Shards](FakeServer &Server) { Server.publish(Shards); });
    return;
  }
  case EventKind::Retire: {
    base::VersionId Version(this->OldestVersion++);
    this->spread(Event,
                 [Version](FakeServer &Server) { Server.retire(Version); });
    return;
  }
  case EventKind::Pause:
    this->pause(Event);
    return;
  case EventKind::CrashingRequest:
    this->sendRequest(Event.Class, &Event);
    return;
  default:
    for (uint32_t Server : Event.Servers) {
      this->applyToServer(Event, Server);
    }
  }
}

void Session::applyToServer(const TraceEvent &Event, uint32_t Server) {
  FakeServer &Target = *this->Servers[Server];
  switch (Event.Kind) {
  case EventKind::Slow:
    Target.setSlow(Event.Value);
    break;
  case EventKind::Crash:
    this->stopServer(Server);
    break;
  case EventKind::Restart:
    this->stopServer(Server);
    Target.start();
    break;
  case EventKind::Drain:
    Target.leave();
    break;
  case EventKind::Silence:
    for (Instance &Source : this->Instances) {
      Source.Pools[Server].silence();
    }
    break;
  case EventKind::Shed:
    Target.setMode(ServerMode::Shedding, Event.RetryAfter);
    break;
  case EventKind::Fail:
    Target.setMode(ServerMode::Failing, {});
    break;
  case EventKind::StaleReports:
    Target.setReportAge(base::fromMilliseconds(Event.Value));
    break;
  case EventKind::InvertReports:
    Target.setReportInverted(true);
    break;
  default:
    break;
  }
}

void Session::end(const TraceEvent &Event) {
  if (Event.Kind == EventKind::Load) {
    this->Load = this->Config.Load;
  } else if (Event.Kind == EventKind::Pause) {
    this->resume(Event.Instance);
  }
  for (uint32_t Server : Event.Servers) {
    this->endAtServer(Event, Server);
  }
}

void Session::endAtServer(const TraceEvent &Event, uint32_t Server) {
  FakeServer &Target = *this->Servers[Server];
  switch (Event.Kind) {
  case EventKind::Slow:
    Target.setSlow(1);
    break;
  case EventKind::Crash:
    Target.start();
    break;
  case EventKind::Drain:
    // Drained; a new process takes its place.
    this->stopServer(Server);
    Target.start();
    break;
  case EventKind::Shed:
  case EventKind::Fail:
    Target.setMode(ServerMode::Serving, {});
    break;
  case EventKind::StaleReports:
    Target.setReportAge({});
    break;
  case EventKind::InvertReports:
    Target.setReportInverted(false);
    break;
  default:
    break;
  }
}

void Session::spread(const TraceEvent &Event,
                     const std::function<void(FakeServer &)> &Change) {
  for (size_t I = 0; I < Event.Servers.size(); ++I) {
    double Part =
        static_cast<double>(I) / static_cast<double>(Event.Servers.size());
    FakeServer *Target = this->Servers[Event.Servers[I]].get();
    this->Queue.after(base::fromMilliseconds(Event.Value * Part),
                      [Target, Change] { Change(*Target); });
  }
}

void Session::pause(const TraceEvent &Event) {
  this->Instances[Event.Instance].Paused = true;
  for (uint64_t I = 0; I < this->Record.Queries.size(); ++I) {
    const QueryRecord &Query = this->Record.Queries[I];
    if (Query.Instance == Event.Instance && Query.Responses == 0) {
      this->PausedQueries.insert(I);
    }
  }
}

void Session::resume(uint32_t Index) {
  Instance &Target = this->Instances[Index];
  Target.Paused = false;
  TimePoint Now = this->Queue.now();
  query::Actions Decided;
  Target.Engine->onPause(Now, Decided);
  Target.LastTick = Now;
  Target.Engine->onTick(Now, Decided);
  this->perform(Index, Decided);
  for (const auto &Run : std::exchange(Target.Backlog, {})) {
    Run();
  }
}

void Session::stopServer(uint32_t Server) {
  for (const Job &Lost : this->Servers[Server]->stop()) {
    Duration Delay = this->delay(Lost.Instance, Server);
    this->Queue.after(Delay, [this, Server, Lost] {
      this->deliver(Lost.Instance, [this, Server, Lost] {
        ConnectionPool &Pool = this->Instances[Lost.Instance].Pools[Server];
        const Connection *Used = Pool.find(Lost.Connection);
        if (Used == nullptr || Used->Silent) {
          return;
        }
        Pool.close(Lost.Connection);
        this->attemptFailed(Lost.Instance, Lost.Ref, query::FailureKind::Reset,
                            true);
        this->serveWaiting(Lost.Instance, Server);
      });
    });
  }
}

} // namespace hickorycrank::replay
