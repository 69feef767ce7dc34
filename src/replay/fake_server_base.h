#ifndef HICKORYCRANK_REPLAY_FAKE_SERVER_BASE_H
#define HICKORYCRANK_REPLAY_FAKE_SERVER_BASE_H

#include "base/random_base.h"
#include "query/action_type.h"
#include "replay/event_queue_base.h"
#include "replay/trace_type.h"
#include "routing/server_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace hickorycrank::replay {

/** One attempt as a backend server sees it. */
struct Job {
  uint32_t Instance = 0; ///< Sender.
  uint64_t Connection = 0;
  query::AttemptRef Ref;
  base::AttemptId Id;
  base::VersionId Version;
  std::string Shard;
  std::shared_ptr<const query::Request> Source;
};

/** How a fake server treats work. */
enum class ServerMode { Serving, Shedding, Failing };

/** What a fake server tells its owner. */
struct ServerCallbacks {
  std::function<void(const Job &, query::Reply)> OnReply;
  std::function<void(const Job &)> OnRun; ///< A job starts to run.
  /** A job starts to run for this time. */
  std::function<void(const Job &, base::Duration)> OnService;
  std::function<void()> OnCrash; ///< A job crashes the process.
};

/**
 * A backend server on virtual time: slots, a FIFO queue with a limit, index
 * versions, load reports, and faults that a trace switches on and off.
 */
class FakeServer {
public:
  /**
   * Starts the process.
   * @param Queue Virtual time.
   * @param Config Sizes and service times.
   * @param Index Position of the server.
   * @param Notify Receives replies.
   */
  FakeServer(EventQueue &Queue, const TraceConfig &Config, uint32_t Index,
             ServerCallbacks Notify);

  /** Takes an attempt. @param Arrived The attempt. */
  void arrive(Job Arrived);
  /** Abandons an attempt; it is still replied to. @param Id The attempt. */
  void cancel(base::AttemptId Id);
  /** Ends the process. @return Attempts that were in progress. */
  std::vector<Job> stop();
  /** Starts a new process unless one runs. */
  void start();

  /** Announces that the server takes no new work. */
  void leave() { this->Leaving = true; }
  /** @param Factor Of service times. */
  void setSlow(double Factor) { this->Slow = Factor; }
  /** @param Mode How to treat work. @param RetryAfter Sent when shedding. */
  void setMode(ServerMode Mode, base::Duration RetryAfter);
  /** @param Age Age of reported loads. */
  void setReportAge(base::Duration Age) { this->ReportAge = Age; }
  /** @param Inverted Whether reported loads are inverted. */
  void setReportInverted(bool Inverted) { this->ReportInverted = Inverted; }
  /** @param Shards Layout of a new version. */
  void publish(std::shared_ptr<const routing::Layout> Shards);
  /** @param Version Version to remove. */
  void retire(base::VersionId Version);

  /** @return Whether a process runs. */
  bool up() const { return this->Up; }
  /** @return Whether it announced that it leaves. */
  bool leaving() const { return this->Leaving; }
  /** @return Incarnation of the process. */
  base::Incarnation process() const { return this->Process; }
  /** @return Counts changes of the versions held. */
  uint64_t versionChanges() const { return this->VersionChanges; }
  /** @return Name of the server. */
  const base::ServerId &name() const { return this->Name; }

  /**
   * Says what the server says of itself.
   * @param WithVersions Whether to include the versions.
   * @return The report.
   */
  routing::ServerReport report(bool WithVersions) const;
  /** Notes the load for reports that are stale. */
  void sampleLoad();

private:
  void runNext();
  void run(Job Started);
  void finish(uint64_t Token);
  query::Reply reply(const Job &Done, query::ReplyStatus Status,
                     query::ExecutionState Ran) const;
  bool holds(base::VersionId Version) const;
  double load() const;

  EventQueue &Queue;
  const TraceConfig &Config;
  uint32_t Index;
  ServerCallbacks Notify;
  base::ServerId Name;
  base::Random Generator;
  base::Incarnation Process{1};
  bool Up = true;
  bool Leaving = false;
  double Slow = 1;
  ServerMode Mode = ServerMode::Serving;
  base::Duration RetryAfter{};
  base::Duration ReportAge{};
  bool ReportInverted = false;
  uint64_t VersionChanges = 0;
  uint64_t NextToken = 0;
  std::deque<Job> Waiting;
  std::map<uint64_t, Job> Running;
  std::deque<std::pair<base::TimePoint, double>> Loads;
  std::vector<std::shared_ptr<const routing::Layout>> Versions;
};

/**
 * Marks a request that crashes each server that runs it.
 * @param Source The request.
 * @return Whether it is marked.
 */
inline bool isCrashing(const query::Request &Source) {
  return Source.Parameters.Json == R"({"crash":true})";
}

} // namespace hickorycrank::replay

#endif
