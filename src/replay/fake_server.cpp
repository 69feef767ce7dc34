#include "replay/fake_server_base.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hickorycrank::replay {

using query::ExecutionState;
using query::ReplyStatus;

namespace {

/** Time from the start of a crashing request to the crash. */
constexpr base::Duration CrashDelay = std::chrono::milliseconds(1);
/** Records of each shard. */
constexpr uint64_t ShardRecords = 100;
/** Loads are kept for reports of at most this age. */
constexpr base::Duration LoadHistory = std::chrono::seconds(60);

/**
 * Draws a log-normal service time with the Box-Muller transform.
 * @param Generator Source of random draws.
 * @param Config Median and sigma.
 * @return Milliseconds.
 */
double drawService(base::Random &Generator, const TraceConfig &Config) {
  double Radius = std::sqrt(-2 * std::log(1 - Generator.unit()));
  double Normal = Radius * std::cos(2 * std::numbers::pi * Generator.unit());
  return Config.ServiceMs * std::exp(Config.ServiceSigma * Normal);
}

} // namespace

FakeServer::FakeServer(EventQueue &Queue, const TraceConfig &Config,
                       uint32_t Index, ServerCallbacks Notify)
    : Queue(Queue), Config(Config), Index(Index), Notify(std::move(Notify)),
      Name("server-" + std::to_string(Index)),
      Generator(Config.Seed * 1'000'003 + Index) {}

void FakeServer::arrive(Job Arrived) {
  if (this->Mode == ServerMode::Shedding ||
      this->Waiting.size() >= this->Config.QueueLimit) {
    query::Reply Answer =
        this->reply(Arrived, ReplyStatus::Shed, ExecutionState::NotRun);
    if (this->RetryAfter > base::Duration::zero()) {
      Answer.RetryAfter =
          std::chrono::ceil<std::chrono::milliseconds>(this->RetryAfter);
    }
    this->Notify.OnReply(Arrived, std::move(Answer));
    return;
  }
  if (this->Mode == ServerMode::Failing) {
    this->Notify.OnRun(Arrived);
    this->Notify.OnReply(Arrived, this->reply(Arrived, ReplyStatus::Error,
                                              ExecutionState::MayHaveRun));
    return;
  }
  this->Waiting.push_back(std::move(Arrived));
  this->runNext();
}

void FakeServer::cancel(base::AttemptId Id) {
  auto Queued = std::find_if(this->Waiting.begin(), this->Waiting.end(),
                             [&](const Job &Item) { return Item.Id == Id; });
  if (Queued != this->Waiting.end()) {
    Job Removed = std::move(*Queued);
    this->Waiting.erase(Queued);
    this->Notify.OnReply(Removed, this->reply(Removed, ReplyStatus::Cancelled,
                                              ExecutionState::NotRun));
    return;
  }
  for (auto It = this->Running.begin(); It != this->Running.end(); ++It) {
    if (It->second.Id == Id) {
      Job Removed = std::move(It->second);
      this->Running.erase(It);
      this->Notify.OnReply(Removed, this->reply(Removed, ReplyStatus::Cancelled,
                                                ExecutionState::MayHaveRun));
      this->runNext();
      return;
    }
  }
}

std::vector<Job> FakeServer::stop() {
  std::vector<Job> Lost;
  for (auto &[Token, Item] : this->Running) {
    Lost.push_back(std::move(Item));
  }
  for (Job &Item : this->Waiting) {
    Lost.push_back(std::move(Item));
  }
  this->Running.clear();
  this->Waiting.clear();
  this->Up = false;
  return Lost;
}

void FakeServer::start() {
  if (this->Up) {
    return;
  }
  this->Up = true;
  this->Leaving = false;
  ++this->Process.Value;
  ++this->VersionChanges;
}

void FakeServer::setMode(ServerMode Mode, base::Duration RetryAfter) {
  this->Mode = Mode;
  this->RetryAfter = RetryAfter;
}

void FakeServer::publish(std::shared_ptr<const routing::Layout> Shards) {
  this->Versions.push_back(std::move(Shards));
  ++this->VersionChanges;
}

void FakeServer::retire(base::VersionId Version) {
  std::erase_if(this->Versions,
                [&](const auto &Entry) { return Entry->Version == Version; });
  ++this->VersionChanges;
}

bool FakeServer::holds(base::VersionId Version) const {
  return std::any_of(
      this->Versions.begin(), this->Versions.end(),
      [&](const auto &Entry) { return Entry->Version == Version; });
}

void FakeServer::runNext() {
  while (this->Running.size() < this->Config.Slots && !this->Waiting.empty()) {
    Job Started = std::move(this->Waiting.front());
    this->Waiting.pop_front();
    if (Started.Source->Deadline <= this->Queue.now()) {
      this->Notify.OnReply(Started, this->reply(Started, ReplyStatus::Expired,
                                                ExecutionState::NotRun));
    } else if (!this->holds(Started.Version)) {
      this->Notify.OnReply(Started,
                           this->reply(Started, ReplyStatus::VersionGone,
                                       ExecutionState::NotRun));
    } else {
      this->run(std::move(Started));
    }
  }
}

void FakeServer::run(Job Started) {
  this->Notify.OnRun(Started);
  uint64_t Token = this->NextToken++;
  if (isCrashing(*Started.Source)) {
    this->Queue.after(CrashDelay, [this, Token, Process = this->Process] {
      if (this->Process == Process && this->Running.count(Token) != 0) {
        this->Notify.OnCrash();
      }
    });
  } else {
    base::Duration Service = base::fromMilliseconds(
        drawService(this->Generator, this->Config) * this->Slow);
    this->Notify.OnService(Started, Service);
    this->Queue.after(Service, [this, Token] { this->finish(Token); });
  }
  this->Running.emplace(Token, std::move(Started));
}

void FakeServer::finish(uint64_t Token) {
  auto Found = this->Running.find(Token);
  if (Found == this->Running.end()) {
    return; // Cancelled, or the process has ended.
  }
  Job Done = std::move(Found->second);
  this->Running.erase(Found);
  query::Reply Answer =
      this->reply(Done, ReplyStatus::Ok, ExecutionState::MayHaveRun);
  Answer.Records = ShardRecords;
  Answer.RecordsTotal = ShardRecords;
  // The row names its origin, so that the merged answer can be checked.
  Answer.Rows.push_back(
      {{}, std::to_string(Done.Version.Value) + ":" + Done.Shard});
  this->Notify.OnReply(Done, std::move(Answer));
  this->runNext();
}

query::Reply FakeServer::reply(const Job &Done, ReplyStatus Status,
                               ExecutionState Ran) const {
  query::Reply Answer;
  Answer.Echo = Done.Id;
  Answer.Version = Done.Version;
  Answer.Status = Status;
  Answer.Ran = Ran;
  Answer.Report = this->report(false);
  return Answer;
}

double FakeServer::load() const {
  return static_cast<double>(this->Running.size() + this->Waiting.size()) /
         this->Config.Slots;
}

void FakeServer::sampleLoad() {
  base::TimePoint Now = this->Queue.now();
  this->Loads.emplace_back(Now, this->load());
  while (this->Loads.front().first + LoadHistory < Now) {
    this->Loads.pop_front();
  }
}

routing::ServerReport FakeServer::report(bool WithVersions) const {
  routing::ServerReport Report;
  Report.Server = this->Name;
  Report.Process = this->Process;
  Report.Leaving = this->Leaving;
  Report.Slots = this->Config.Slots;
  Report.Load = this->load();
  if (this->ReportAge > base::Duration::zero()) {
    base::TimePoint Wanted = this->Queue.now() - this->ReportAge;
    Report.Load = this->Loads.empty() ? 0 : this->Loads.front().second;
    for (const auto &[When, Load] : this->Loads) {
      if (When > Wanted) {
        break;
      }
      Report.Load = Load;
    }
  }
  if (this->ReportInverted) {
    Report.Load = std::max(0.0, 1 - Report.Load);
  }
  Report.HasVersions = WithVersions;
  uint32_t Group = this->Index / this->Config.Replicas;
  for (size_t I = 0; WithVersions && I < this->Versions.size(); ++I) {
    routing::VersionReport Held{this->Versions[I], {}};
    for (uint32_t J = 0; J < this->Config.ShardsPerGroup; ++J) {
      Held.Holds.emplace_back(Group * this->Config.ShardsPerGroup + J);
    }
    Report.Versions.push_back(std::move(Held));
  }
  return Report;
}

} // namespace hickorycrank::replay
