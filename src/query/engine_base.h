#ifndef HICKORYCRANK_QUERY_ENGINE_BASE_H
#define HICKORYCRANK_QUERY_ENGINE_BASE_H

#include "base/id_type.h"
#include "base/random_base.h"
#include "base/time_type.h"
#include "limits/latency_model_base.h"
#include "limits/retry_budget_base.h"
#include "limits/wait_queue_base.h"
#include "query/action_type.h"
#include "query/quarantine_base.h"
#include "query/query_type.h"
#include "query/state_type.h"
#include "routing/directory_base.h"
#include "routing/policy_type.h"
#include "routing/server_func.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace hickorycrank::query {

/** What an engine is built from. */
struct EngineOptions {
  routing::Policy Rules;
  base::FailureDomainId Domain; ///< Of this instance.
  uint32_t SlotsPerServer = 3;
  uint32_t ConnectionShare = 7;                  ///< Connections to one server.
  uint32_t MaxWaiting = 20'000;                  ///< Sub-queries that may wait.
  uint64_t Seed = 1;                             ///< For routing and jitter.
  std::function<base::AttemptId()> NewAttemptId; ///< Unguessable in a daemon.
};

/** Builds the options of an engine. */
class EngineBuilder {
public:
  /** @param Rules Policy in force. @return This builder. */
  EngineBuilder &rules(routing::Policy Rules) {
    this->Built.Rules = Rules;
    return *this;
  }
  /** @param Domain Failure domain of this instance. @return This builder. */
  EngineBuilder &domain(base::FailureDomainId Domain) {
    this->Built.Domain = std::move(Domain);
    return *this;
  }
  /** @param Slots Requests a server runs at once. @return This builder. */
  EngineBuilder &slotsPerServer(uint32_t Slots) {
    this->Built.SlotsPerServer = Slots;
    return *this;
  }
  /** @param Share Connections to one server. @return This builder. */
  EngineBuilder &connectionShare(uint32_t Share) {
    this->Built.ConnectionShare = Share;
    return *this;
  }
  /** @param Count Sub-queries that may wait. @return This builder. */
  EngineBuilder &maxWaiting(uint32_t Count) {
    this->Built.MaxWaiting = Count;
    return *this;
  }
  /** @param Seed For routing and jitter. @return This builder. */
  EngineBuilder &seed(uint64_t Seed) {
    this->Built.Seed = Seed;
    return *this;
  }
  /** @param Source Draws attempt ids. @return This builder. */
  EngineBuilder &attemptIds(std::function<base::AttemptId()> Source) {
    this->Built.NewAttemptId = std::move(Source);
    return *this;
  }
  /** @return The options; without an id source, ids come from the seed. */
  EngineOptions build() const { return this->Built; }

private:
  EngineOptions Built;
};

/**
 * Decides for all queries of one backend service. Events and the current time
 * come in, actions go out; the owner carries the actions out and reports what
 * came of them. Reads no clock and does no I/O. Not thread-safe: its owner
 * holds one lock per engine.
 *
 * Rules it keeps: a query merges replies of one index version only; a shard is
 * counted once; a request that is not idempotent is sent at most once; hedges
 * and retries stay within one budget; a server that is leaving gets no new
 * work; every request gets exactly one response, by its deadline.
 */
class Engine {
public:
  /** @param Options What the engine is built from. */
  explicit Engine(EngineOptions Options);
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  /**
   * Accepts a request.
   * @param Now Current time.
   * @param Query Name chosen by the owner; not in use.
   * @param Source The request.
   * @param Out Receives actions.
   */
  void onRequest(base::TimePoint Now, base::QueryId Query,
                 std::shared_ptr<const Request> Source, Actions &Out);

  /**
   * Takes a backend server's reply.
   * @param Now Current time.
   * @param Ref The attempt that the reply arrived for.
   * @param Received The reply.
   * @param Out Receives actions.
   * @return Whether the connection may be reused: false if the reply carried
   *   another id or version than the attempt.
   */
  bool onReply(base::TimePoint Now, const AttemptRef &Ref, Reply Received,
               Actions &Out);

  /**
   * Takes note that an attempt failed.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Kind How it failed.
   * @param BytesSent Whether any byte may have left.
   * @param Out Receives actions.
   */
  void onAttemptFailed(base::TimePoint Now, const AttemptRef &Ref,
                       FailureKind Kind, bool BytesSent, Actions &Out);

  /**
   * Takes the platform's list of this service's servers.
   * @param Now Current time.
   * @param Listed The list.
   * @param Out Receives actions.
   */
  void onServerList(base::TimePoint Now,
                    const std::vector<routing::ServerListing> &Listed,
                    Actions &Out);

  /**
   * Takes what a server says of itself.
   * @param Now Current time.
   * @param Report The report.
   * @param Out Receives actions.
   */
  void onServerReport(base::TimePoint Now, const routing::ServerReport &Report,
                      Actions &Out);

  /**
   * Takes note that a probe found no process at a server's address.
   * @param Now Current time.
   * @param Server The server.
   * @param Out Receives actions.
   */
  void onProbeFailed(base::TimePoint Now, base::ServerIndex Server,
                     Actions &Out);

  /**
   * Takes a fact that another instance published.
   * @param Now Current time.
   * @param Fact The fact.
   * @param Out Receives actions.
   */
  void onFact(base::TimePoint Now, const PublishFact &Fact, Actions &Out);

  /**
   * Gives up a query whose caller has gone away.
   * @param Now Current time.
   * @param Query The query.
   * @param Out Receives actions.
   */
  void onCancel(base::TimePoint Now, base::QueryId Query, Actions &Out);

  /**
   * Acts on what has become due: time-outs, hedges, retries, the wait queue.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onTick(base::TimePoint Now, Actions &Out);

  /**
   * Re-checks beliefs after a pause of the process, before any new send:
   * expired queries are refused, reports and latencies from before the pause
   * are not trusted.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onPause(base::TimePoint Now, Actions &Out);

  /** @param Share Connections to one server from now on. */
  void setConnectionShare(uint32_t Share) {
    this->Options.ConnectionShare = Share;
  }

  /** @return Queries in progress. */
  size_t liveQueries() const { return this->Queries.size(); }
  /** @return Sub-queries that wait for a server. */
  size_t waiting() const { return this->Queue.size(); }
  /** @return What the engine has counted. */
  const EngineCounters &counters() const { return this->Counters; }
  /** @return The backend servers as this engine sees them. */
  const routing::Directory &directory() const { return this->Servers; }
  /** @return Learnt latency at which shards are hedged. */
  base::Duration hedgeDelay() const;

private:
  struct Wake {
    base::TimePoint When;
    base::QueryId Query;
    bool operator>(const Wake &Other) const { return this->When > Other.When; }
  };

  /** Attempts that were reset on one server. */
  struct ResetRecord {
    std::vector<base::Fingerprint> Requests;
    bool Isolated = false; ///< The server was reserved for one suspect.
  };

  // Admission (engine_admission.cpp).
  std::optional<Refusal> judgeAdmission(base::TimePoint Now,
                                        const Request &Source,
                                        const routing::PinnedVersion &Pinned);
  bool joinIdentical(base::TimePoint Now, base::QueryId Query,
                     const Request &Source);
  void refuse(base::QueryId Query, Refusal Reason, Actions &Out);
  void chooseMode(QueryState &Query);

  // Sending (engine_dispatch.cpp).
  void startSlots(base::TimePoint Now, QueryState &Query, Actions &Out);
  void sendOrWait(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  Actions &Out);
  void send(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
            base::ServerIndex Server, bool Hedge, Actions &Out);
  void dequeue(QueryState &Query, Slot &Target);
  void pump(base::TimePoint Now, base::ServerIndex Server, Actions &Out);
  void runSuspects(base::TimePoint Now, Actions &Out);
  bool settleSuspicion(base::TimePoint Now, QueryState &Query, Actions &Out);
  void giveUpUnheldSlots(base::TimePoint Now, QueryState &Query);
  std::optional<uint32_t> pickSuspectSlot(base::TimePoint Now,
                                          const QueryState &Query) const;
  std::optional<base::ServerIndex> reserveServer(base::TimePoint Now,
                                                 QueryState &Query,
                                                 base::ShardIndex Shard,
                                                 Actions &Out);
  void releaseSuspect(base::TimePoint Now, QueryState &Query, Actions &Out);
  bool hedge(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
             Actions &Out);
  std::optional<base::ServerIndex>
  pickServer(base::TimePoint Now, QueryState &Query, const Slot &Target);
  bool hasLiveHolder(base::VersionId Version, base::ShardIndex Shard) const;

  // Ends of attempts (engine_events.cpp, engine_failure.cpp).
  AttemptState *findAttempt(const AttemptRef &Ref, QueryState *&Query);
  void settle(base::TimePoint Now, AttemptState &Attempt,
              routing::Outcome Ended);
  void takeAnswer(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  uint32_t AttemptIndex, Reply &&Received, Actions &Out);
  void cancelSlot(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  CancelReason Reason, Actions &Out);
  void slotFailed(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  RetryReason Reason, bool MayRetry, Actions &Out);
  void retryOrGiveUp(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                     Actions &Out);
  void giveUpSlot(Slot &Target, QueryState &Query);
  void timeOutAttempts(base::TimePoint Now, QueryState &Query,
                       uint32_t SlotIndex, Actions &Out);
  bool restart(base::TimePoint Now, QueryState &Query, Actions &Out);
  void confirmCrash(base::TimePoint Now, base::ServerIndex Server,
                    Actions &Out);
  base::Duration attemptTimeout() const;

  // Progress of queries (engine_progress.cpp).
  void advance(base::TimePoint Now, base::QueryId Query, Actions &Out);
  void advanceSlots(base::TimePoint Now, QueryState &Query, Actions &Out);
  void replaceCanary(base::TimePoint Now, QueryState &Query, Actions &Out);
  bool concludeIfDone(base::TimePoint Now, base::QueryId Query, Actions &Out);
  void conclude(base::TimePoint Now, QueryState &Query, Actions &Out);
  void discard(base::TimePoint Now, QueryState &Query, Actions &Out);
  Response buildResponse(base::TimePoint Now, QueryState &Query);
  Refusal buildRefusal(base::TimePoint Now, const QueryState &Query,
                       double Covered) const;
  void scheduleWake(base::TimePoint Now, QueryState &Query);
  void wakeBy(base::TimePoint Now, QueryState &Query, base::TimePoint When);
  QueryState *find(base::QueryId Query);

  EngineOptions Options;
  base::Random Generator;
  routing::Directory Servers;
  limits::RetryBudget Budget;
  limits::LatencyModel Latencies;
  limits::WaitQueue Queue;
  Quarantine Suspects;
  EngineCounters Counters;
  std::unordered_map<base::QueryId, std::unique_ptr<QueryState>> Queries;
  std::unordered_map<base::Fingerprint, base::QueryId> Running;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> Wakes;
  std::deque<base::QueryId> SuspectQueue;
  /** Requests whose attempts were reset, until a probe gives the cause. */
  std::map<base::ServerIndex, ResetRecord> Resets;
  base::TimePoint LastPause;
  base::TimePoint NextExpiry;
};

} // namespace hickorycrank::query

#endif
