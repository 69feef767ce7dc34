#include "replay/session_base.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickorycrank::replay {

using base::Duration;
using query::FailureKind;

namespace {

/** An abandoned reply is read for this time, then its connection is closed. */
constexpr Duration DrainTime = std::chrono::seconds(1);
/** Delay of facts between instances. */
constexpr Duration FactDelay = std::chrono::milliseconds(2);
/** After this time no instance may send to a server that leaves. */
constexpr Duration LeavingTime = std::chrono::seconds(3);

} // namespace

void Session::perform(uint32_t Index, query::Actions &Decided) {
  for (query::Action &Entry : Decided) {
    std::visit([this, Index](auto &Order) { this->performOne(Index, Order); },
               Entry);
  }
}

void Session::performOne(uint32_t Index, query::SendAttempt &Order) {
  this->checkSend(Index, Order);
  SecondRecord &Second = this->second();
  ++Second.All;
  if (Order.Ref.Index == 0 && Order.Ref.Round == 0) {
    ++Second.First;
  }
  ++this->Record.Queries[this->queryOf(*Order.Source)].Attempts;
  this->connect(Index, Order);
}

void Session::connect(uint32_t Index, const query::SendAttempt &Order) {
  uint32_t Server = Order.Server.Value;
  ConnectionPool &Pool = this->Instances[Index].Pools[Server];
  if (!Order.NewConnection) {
    if (auto Reused = Pool.reuse(Order)) {
      this->transmit(Index, *Reused, Order, Duration::zero());
      return;
    }
  }
  uint64_t Id = this->NextConnection++;
  if (!Pool.open(Id, Order)) {
    Pool.Waiting.push_back(Order);
    return;
  }
  this->transmit(Index, Id, Order, this->Config.Connect);
}

void Session::transmit(uint32_t Index, uint64_t Id,
                       const query::SendAttempt &Order, Duration After) {
  uint32_t Server = Order.Server.Value;
  Duration Delay = this->delay(Index, Server) + After;
  this->Queue.after(Delay, [this, Index, Id, Order, Server, After] {
    ConnectionPool &Pool = this->Instances[Index].Pools[Server];
    Connection *Used = Pool.find(Id);
    if (Used == nullptr || Used->Silent || !Used->Carried ||
        Used->Carried->Id != Order.Id) {
      return; // Closed, or the bytes never arrive.
    }
    FakeServer &Target = *this->Servers[Server];
    if (Target.up()) {
      ++this->Record.Queries[this->queryOf(*Order.Source)].Arrivals;
      Target.arrive({Index, Id, Order.Ref, Order.Id, Order.Version, Order.Shard,
                     Order.Source});
      return;
    }
    bool NeverOpened = After > Duration::zero();
    this->Queue.after(this->delay(Index, Server), [=, this] {
      this->deliver(Index, [=, this] {
        this->Instances[Index].Pools[Server].close(Id);
        this->attemptFailed(Index, Order.Ref,
                            NeverOpened ? FailureKind::ConnectRefused
                                        : FailureKind::Reset,
                            !NeverOpened);
        this->serveWaiting(Index, Server);
      });
    });
  });
}

void Session::serveWaiting(uint32_t Index, uint32_t Server) {
  ConnectionPool &Pool = this->Instances[Index].Pools[Server];
  if (!Pool.Waiting.empty()) {
    query::SendAttempt Next = std::move(Pool.Waiting.front());
    Pool.Waiting.pop_front();
    this->connect(Index, Next);
  }
}

void Session::performOne(uint32_t Index, query::CancelAttempt &Order) {
  uint32_t Server = Order.Server.Value;
  ConnectionPool &Pool = this->Instances[Index].Pools[Server];
  std::erase_if(Pool.Waiting, [&](const query::SendAttempt &Entry) {
    return Entry.Id == Order.Id;
  });
  auto Carrier = Pool.carrier(Order.Id);
  if (!Carrier) {
    return;
  }
  if (Order.Reason == query::CancelReason::TimedOut) {
    Connection &Used = *Pool.find(*Carrier);
    this->Record.MostTimeouts =
        std::max(this->Record.MostTimeouts, ++Used.Timeouts);
    Pool.close(*Carrier);
    this->serveWaiting(Index, Server);
  } else {
    uint64_t Id = *Carrier;
    this->Queue.after(DrainTime, [this, Index, Server, Id, Name = Order.Id] {
      ConnectionPool &Later = this->Instances[Index].Pools[Server];
      const Connection *Used = Later.find(Id);
      if (Used != nullptr && Used->Carried && Used->Carried->Id == Name) {
        Later.close(Id);
        this->serveWaiting(Index, Server);
      }
    });
  }
  // The cancellation travels on the control connection.
  this->Queue.after(
      this->delay(Index, Server),
      [this, Server, Name = Order.Id] { this->Servers[Server]->cancel(Name); });
}

void Session::performOne(uint32_t Index, query::CloseConnections &Order) {
  this->Instances[Index].Pools[Order.Server.Value].retireAll();
}

void Session::performOne(uint32_t Index, query::ProbeServer &Order) {
  uint32_t Server = Order.Server.Value;
  Duration Delay = this->delay(Index, Server);
  this->Queue.after(Delay, [this, Index, Server, Delay] {
    FakeServer &Target = *this->Servers[Server];
    bool Up = Target.up();
    Instance &Asking = this->Instances[Index];
    uint64_t Changes = Target.versionChanges();
    bool WithVersions = Asking.VersionsSeen[Server] != Changes;
    routing::ServerReport Report = Target.report(WithVersions);
    this->Queue.after(Delay, [=, this] {
      this->deliver(Index, [=, this] {
        if (Up) {
          this->Instances[Index].VersionsSeen[Server] = Changes;
          this->reportArrived(Index, Report);
          return;
        }
        query::Actions Decided;
        this->Instances[Index].Engine->onProbeFailed(
            this->Queue.now(), base::ServerIndex(Server), Decided);
        this->perform(Index, Decided);
      });
    });
  });
}

void Session::reportArrived(uint32_t Index,
                            const routing::ServerReport &Report) {
  this->noteLeaving(Index, Report);
  query::Actions Decided;
  this->Instances[Index].Engine->onServerReport(this->Queue.now(), Report,
                                                Decided);
  this->perform(Index, Decided);
}

void Session::noteLeaving(uint32_t Index, const routing::ServerReport &Report) {
  if (!Report.Leaving) {
    return;
  }
  for (uint32_t I = 0; I < this->serverCount(); ++I) {
    if (this->Servers[I]->name() != Report.Server) {
      continue;
    }
    this->Instances[Index].LeavingSeen[I] = Report.Process;
    LeavingNotice &Notice = this->LeavingNotices[I];
    if (Notice.Process < Report.Process) {
      Notice = {Report.Process, this->Queue.now()};
    }
  }
}

void Session::performOne(uint32_t Index, query::Respond &Order) {
  uint64_t Id = Order.Query.Value;
  QueryRecord &Query = this->Record.Queries[Id];
  ++Query.Responses;
  Query.Latency = this->elapsed() - Query.SentAt;
  if (const auto *Result = std::get_if<query::Answer>(&Order.Result)) {
    Query.Answered = Result->Covered.Answered;
    Query.Snapshot = Result->Snapshot.Value;
    ++this->second().Good;
    this->checkAnswer(Id, *Result);
  } else {
    const auto &Reason = std::get<query::Refusal>(Order.Result);
    Query.Refused = Reason.Kind;
    Query.NotRun = Reason.Ran == query::ExecutionState::NotRun;
  }
  if (Index != Query.Instance) {
    this->violated("a response comes from the instance asked", Id);
  }
}

void Session::performOne(uint32_t Index, query::PublishFact &Order) {
  for (uint32_t I = 0; I < this->Config.Instances; ++I) {
    if (I == Index) {
      continue;
    }
    this->Queue.after(FactDelay, [this, I, Order] {
      this->deliver(I, [this, I, Order] {
        query::Actions Decided;
        this->Instances[I].Engine->onFact(this->Queue.now(), Order, Decided);
        this->perform(I, Decided);
      });
    });
  }
}

void Session::replyArrived(uint32_t Server, const Job &Done,
                           query::Reply Answer) {
  this->Queue.after(
      this->delay(Done.Instance, Server),
      [this, Server, Done, Answer = std::move(Answer)] {
        this->deliver(Done.Instance, [this, Server, Done, Answer] {
          ConnectionPool &Pool = this->Instances[Done.Instance].Pools[Server];
          const Connection *Used = Pool.find(Done.Connection);
          if (Used == nullptr || Used->Silent || !Used->Carried ||
              Used->Carried->Id != Done.Id) {
            return;
          }
          Pool.release(Done.Connection);
          if (Answer.Report) {
            this->noteLeaving(Done.Instance, *Answer.Report);
          }
          query::Actions Decided;
          this->Instances[Done.Instance].Engine->onReply(
              this->Queue.now(), Done.Ref, Answer, Decided);
          this->perform(Done.Instance, Decided);
          this->serveWaiting(Done.Instance, Server);
        });
      });
}

void Session::attemptFailed(uint32_t Index, const query::AttemptRef &Ref,
                            FailureKind Kind, bool BytesSent) {
  query::Actions Decided;
  this->Instances[Index].Engine->onAttemptFailed(this->Queue.now(), Ref, Kind,
                                                 BytesSent, Decided);
  this->perform(Index, Decided);
}

void Session::checkSend(uint32_t Index, const query::SendAttempt &Order) {
  uint64_t Query = this->queryOf(*Order.Source);
  uint32_t Server = Order.Server.Value;
  base::Incarnation Process = this->Servers[Server]->process();
  if (this->Instances[Index].LeavingSeen[Server] == Process) {
    this->violated("a leaving server gets no new work", Query);
  }
  auto Notice = this->LeavingNotices.find(Server);
  if (Notice != this->LeavingNotices.end() &&
      Notice->second.Process == Process &&
      this->Queue.now() > Notice->second.FirstSeen + LeavingTime) {
    this->violated("no instance sends to a leaving server after 3 s", Query);
  }
}

void Session::checkAnswer(uint64_t Id, const query::Answer &Result) {
  const query::Coverage &Covered = Result.Covered;
  std::string Prefix = std::to_string(Result.Snapshot.Value) + ":";
  std::set<std::string> Merged;
  for (const query::Row &Entry : Result.Rows) {
    if (Entry.Json.rfind(Prefix, 0) != 0) {
      this->violated("an answer comes from one snapshot", Id);
    }
    Merged.insert(Entry.Json.substr(Prefix.size()));
  }
  bool Exact = Merged.size() == Result.Rows.size() &&
               Merged.size() == Covered.Answered &&
               Covered.Expected == this->Record.Queries[Id].Expected &&
               Covered.Answered + Covered.Missing.size() == Covered.Expected;
  for (const std::string &Shard : Covered.Missing) {
    Exact = Exact && Merged.count(Shard) == 0;
  }
  if (!Exact) {
    this->violated("coverage equals what was merged", Id);
  }
}

} // namespace hickorycrank::replay
