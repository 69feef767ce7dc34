#ifndef HICKORYCRANK_REPLAY_SESSION_BASE_H
#define HICKORYCRANK_REPLAY_SESSION_BASE_H

#include "base/random_base.h"
#include "query/engine_base.h"
#include "replay/connection_pool_base.h"
#include "replay/event_queue_base.h"
#include "replay/fake_server_base.h"
#include "replay/result_type.h"
#include "replay/trace_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hickorycrank::replay {

/**
 * One run of a trace: drives a query::Engine per instance on virtual time
 * against fake backend servers, records what happens, and checks promises that
 * hold in every run. Reads no clock and starts no thread.
 */
class Session {
public:
  /**
   * Builds the deployment of a trace.
   * @param Source The trace; must outlive the session.
   * @param Rules Policy of the engines.
   */
  Session(const Trace &Source, const routing::Policy &Rules);
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /** Runs the trace to its end. @return What was recorded. */
  RunRecord run();

private:
  /** One entry instance. */
  struct Instance {
    std::unique_ptr<query::Engine> Engine;
    std::vector<ConnectionPool> Pools;          ///< By server.
    std::vector<uint64_t> VersionsSeen;         ///< By server.
    std::vector<base::Incarnation> LeavingSeen; ///< By server; 0: none.
    bool Paused = false;
    base::TimePoint LastTick;
    std::vector<std::function<void()>> Backlog; ///< Arrived while paused.
  };
  /** A server that announced that it leaves. */
  struct LeavingNotice {
    base::Incarnation Process;
    base::TimePoint FirstSeen;
  };

  // The deployment (session.cpp).
  void buildServers();
  void buildInstances(const routing::Policy &Rules);
  void buildClasses();
  base::Duration delay(uint32_t Instance, uint32_t Server) const;
  void deliver(uint32_t To, std::function<void()> Run);
  void tick(uint32_t Index);
  void sendReports();
  void finishChecks();

  // The workload and the faults (session_events.cpp).
  void scheduleArrival(uint32_t Class);
  void sendRequest(uint32_t Class, const TraceEvent *Crashing);
  void apply(const TraceEvent &Event);
  void applyToServer(const TraceEvent &Event, uint32_t Server);
  void end(const TraceEvent &Event);
  void endAtServer(const TraceEvent &Event, uint32_t Server);
  void spread(const TraceEvent &Event,
              const std::function<void(FakeServer &)> &Change);
  void pause(const TraceEvent &Event);
  void resume(uint32_t Index);
  void stopServer(uint32_t Server);

  // Actions and what comes of them (session_actions.cpp).
  void perform(uint32_t Index, query::Actions &Decided);
  void performOne(uint32_t Index, query::SendAttempt &Order);
  void performOne(uint32_t Index, query::CancelAttempt &Order);
  void performOne(uint32_t Index, query::CloseConnections &Order);
  void performOne(uint32_t Index, query::ProbeServer &Order);
  void performOne(uint32_t Index, query::Respond &Order);
  void performOne(uint32_t Index, query::PublishFact &Order);
  void connect(uint32_t Index, const query::SendAttempt &Order);
  void transmit(uint32_t Index, uint64_t Connection,
                const query::SendAttempt &Order, base::Duration After);
  void serveWaiting(uint32_t Index, uint32_t Server);
  void replyArrived(uint32_t Server, const Job &Done, query::Reply Answer);
  void attemptFailed(uint32_t Index, const query::AttemptRef &Ref,
                     query::FailureKind Kind, bool BytesSent);
  void reportArrived(uint32_t Index, const routing::ServerReport &Report);
  void noteLeaving(uint32_t Index, const routing::ServerReport &Report);
  void checkSend(uint32_t Index, const query::SendAttempt &Order);
  void checkAnswer(uint64_t Query, const query::Answer &Result);
  void violated(const std::string &Promise, uint64_t Query);

  base::Duration elapsed() const { return this->Queue.now() - this->Start; }
  SecondRecord &second();
  uint64_t queryOf(const query::Request &Source) const;
  uint32_t serverCount() const {
    return this->Config.Groups * this->Config.Replicas;
  }

  const Trace &Source;
  const TraceConfig &Config;
  EventQueue Queue;
  base::TimePoint Start;
  base::Random Arrivals; ///< Independent of what the policy does.
  double Load;
  uint64_t NextVersion = 1;
  uint64_t OldestVersion = 1;
  uint64_t NextConnection = 1;
  std::vector<std::string> ShardNames;
  std::vector<std::unique_ptr<FakeServer>> Servers;
  std::vector<Instance> Instances;
  std::vector<std::shared_ptr<const config::TemplateDoc>> Templates;
  std::vector<std::shared_ptr<const config::OrganisationDoc>> Organisations;
  std::map<uint32_t, LeavingNotice> LeavingNotices; ///< By server.
  std::set<uint64_t> PausedQueries; ///< Open while their instance paused.
  RunRecord Record;
};

} // namespace hickorycrank::replay

#endif
