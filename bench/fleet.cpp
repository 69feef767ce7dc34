// Measures what instances cost each other: hickorycrank_fleet [COUNT...]
#include "base/random_base.h"
#include "config/settings_func.h"
#include "daemon/instance_base.h"
#include "daemon/log_func.h"
#include "standin/deployment_base.h"
#include "standin/runner_base.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <functional>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace hickorycrank;
using base::Clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t ThreadCount = 4;
constexpr seconds SteadyTime(20);
constexpr seconds LossTime(30);
constexpr seconds Limit(60);
constexpr int Publications = 5;
constexpr double LossShare = 0.05;

/** Loses frames at random, once switched on. */
struct Loss {
  std::mutex Mutex;
  base::Random Generator{42};
  double Share = 0;

  net::FrameFate decide() {
    std::lock_guard Lock(this->Mutex);
    return {this->Generator.unit() < this->Share, milliseconds(0)};
  }
  void set(double Value) {
    std::lock_guard Lock(this->Mutex);
    this->Share = Value;
  }
};

/**
 * Waits for a condition.
 * @param Holds The condition.
 * @return Milliseconds waited, or -1 if it did not come true in time.
 */
double waitFor(const std::function<bool()> &Holds) {
  auto Begin = Clock::now();
  while (!Holds()) {
    if (Clock::now() - Begin > Limit) {
      return -1;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return base::toMilliseconds(Clock::now() - Begin);
}

/** A platform and some instances. */
class Fleet {
public:
  explicit Fleet(size_t Count)
      : Stand(Outside.Context, standin::DeploymentBuilder()),
        Documents(standin::readDocuments(std::string(HICKORYCRANK_SOURCE_DIR) +
                                         "/examples/consortium")) {
    this->Stand.platform().publish(1, this->Documents);
    std::vector<standin::ListedInstance> Entries;
    for (size_t I = 0; I < Count; ++I) {
      auto Added = std::make_shared<daemon::Instance>(
          this->Inside.Context,
          this->Stand.entrySettings("entry-" + std::to_string(I), I));
      Added->peerNode().transport().setFrameHook(
          [this](const peers::Envelope &) { return this->Lossy.decide(); });
      standin::ListedInstance Entry;
      Entry.Id = "entry-" + std::to_string(I);
      Entry.Kind = "entry";
      Entry.Address = config::toString(Added->peerEndpoint());
      Entry.Domain = Added->tier().settings().Domain.Value;
      Entries.push_back(Entry);
      this->Instances.push_back(std::move(Added));
    }
    this->Stand.listEntries(Entries);
    for (const auto &Entry : this->Instances) {
      Entry->start();
    }
  }
  ~Fleet() {
    this->Inside.join();
    this->Outside.join();
  }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /** @return Whether all instances are ready. */
  bool allReady() const {
    return std::all_of(this->Instances.begin(), this->Instances.end(),
                       [](const auto &Entry) {
                         return Entry->tier().State == daemon::Readiness::Ready;
                       });
  }

  /** Publishes a revision. @return Milliseconds until it is in force. */
  double publish(uint64_t Revision) {
    for (auto &[Name, Text] : this->Documents) {
      if (Name.rfind("template/", 0) == 0) {
        Text += "# " + std::to_string(Revision) + "\n";
        break; // One document changes.
      }
    }
    this->Stand.platform().publish(Revision, this->Documents);
    return waitFor([&] {
      return std::all_of(
          this->Instances.begin(), this->Instances.end(),
          [&](const auto &Entry) {
            return Entry->tier().configurationVersion().Number.Value ==
                   Revision;
          });
    });
  }

  /** @return Control bytes sent and received by all instances so far. */
  double controlBytes() const {
    uint64_t Total = 0;
    for (const auto &Entry : this->Instances) {
      auto &Transport = Entry->peerNode().transport();
      Total += Transport.count(net::PeerCount::ControlBytesSent) +
               Transport.count(net::PeerCount::ControlBytesReceived);
    }
    return static_cast<double>(Total);
  }

  /** Counts the members that others hold in a state. */
  size_t views(const std::string &Of, peers::MemberState State) const {
    size_t Count = 0;
    for (const auto &Entry : this->Instances) {
      for (const auto &Record : Entry->peerNode().status().Members) {
        Count += Record.View.Id.Value == Of && Record.View.State == State;
      }
    }
    return Count;
  }

  /** @return Suspicions raised and deaths seen by all instances so far. */
  std::pair<uint64_t, uint64_t> suspicions() const {
    std::pair<uint64_t, uint64_t> Total;
    for (const auto &Entry : this->Instances) {
      auto Counters = Entry->peerNode().status().Membership;
      Total.first += Counters.Suspicions;
      Total.second += Counters.Deaths;
    }
    return Total;
  }

  /** Kills an instance. @return Milliseconds until all others know. */
  double killLast() {
    this->Killed = this->Instances.back();
    this->Instances.pop_back();
    std::string Name = this->Killed->tier().settings().Instance.Value;
    this->Killed->abort();
    return waitFor([&] {
      std::this_thread::sleep_for(milliseconds(20));
      return this->views(Name, peers::MemberState::Dead) ==
             this->Instances.size();
    });
  }

  standin::Runner Outside{
      ThreadCount}; ///< Runs the platform, whose CPU time is not counted.
  standin::Runner Inside{ThreadCount};
  Loss Lossy;
  standin::Deployment Stand;
  std::map<std::string, std::string> Documents;
  std::vector<std::shared_ptr<daemon::Instance>> Instances;
  std::shared_ptr<daemon::Instance> Killed;
};

/**
 * Measures a fleet and prints one line of JSON.
 * @param Count Instances.
 */
void measure(size_t Count) {
  Fleet Measured(Count);
  auto Size = static_cast<double>(Count);
  boost::json::object Line{{"instances", Count}};
  Line["ready_ms"] = waitFor([&] { return Measured.allReady(); });
  std::this_thread::sleep_for(seconds(2)); // The start's traffic ends.
  double Bytes = Measured.controlBytes();
  double Cpu = Measured.Inside.cpuSeconds();
  uint64_t Calls = Measured.Stand.platform().calls();
  auto Before = Measured.suspicions();
  std::this_thread::sleep_for(SteadyTime);
  double Span = std::chrono::duration<double>(SteadyTime).count();
  Line["platform_calls_per_s"] =
      static_cast<double>(Measured.Stand.platform().calls() - Calls) / Span;
  Line["control_bytes_per_instance_s"] =
      (Measured.controlBytes() - Bytes) / Size / Span;
  Line["cpu_ms_per_instance_s"] =
      (Measured.Inside.cpuSeconds() - Cpu) * 1000 / Size / Span;
  Line["suspicions_steady"] = Measured.suspicions().first - Before.first;
  std::vector<double> Times;
  Times.reserve(Publications);
  for (int I = 0; I < Publications; ++I) {
    Times.push_back(Measured.publish(static_cast<uint64_t>(I) + 2));
  }
  std::sort(Times.begin(), Times.end());
  Line["publish_ms_median"] = Times[Times.size() / 2];
  Line["publish_ms_max"] = Times.back();
  Line["failed_publications"] = std::count(Times.begin(), Times.end(), -1.0);
  Line["detection_ms"] = Measured.killLast();
  Before = Measured.suspicions();
  Measured.Lossy.set(LossShare);
  std::this_thread::sleep_for(LossTime);
  auto After = Measured.suspicions();
  Line["loss"] = LossShare;
  Line["loss_s"] = std::chrono::duration<double>(LossTime).count();
  Line["suspicions_at_loss"] = After.first - Before.first;
  Line["deaths_at_loss"] = After.second - Before.second;
  std::cout << boost::json::serialize(Line) << std::endl;
}

} // namespace

/**
 * Measures fleets of 4, 32 and 100 instances, or of the sizes given.
 * @param Count Number of arguments.
 * @param Arguments Arguments.
 * @return Exit code.
 */
int main(int Count, char **Arguments) {
  daemon::initialiseLogging(Arguments[0]);
  FLAGS_minloglevel = google::GLOG_FATAL;
  std::vector<size_t> Sizes{4, 32, 100};
  if (Count > 1) {
    Sizes.clear();
  }
  for (int I = 1; I < Count; ++I) {
    Sizes.push_back(std::stoul(Arguments[I]));
  }
  for (size_t Size : Sizes) {
    if (Size < 2) {
      std::cerr << "give fleet sizes of at least 2\n";
      return 2;
    }
    measure(Size);
  }
  return 0;
}
