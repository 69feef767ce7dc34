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

/** Configuration of an engine. */
struct EngineOptions {
  routing::Policy Rules;
  base::FailureDomainId Domain;   ///< Failure domain of this instance.
  uint32_t ServerConcurrency = 3; ///< Attempts a server runs at once.
  /** Connections that this instance may open to one server; upper bound of the
   * server's concurrency limit. */
  uint32_t ConnectionShare = 7;
  uint32_t MaxWaiting = 20'000; ///< Sub-queries that may wait.
  uint64_t Seed = 1;            ///< For routing and jitter.
  /** Draws the id of a new attempt. A daemon must supply ids that cannot be
   * predicted, because a reply is accepted if it repeats the id. */
  std::function<base::AttemptId()> NewAttemptId;
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
  /** @param Attempts Attempts a server runs at once. @return This builder. */
  EngineBuilder &serverConcurrency(uint32_t Attempts) {
    this->Built.ServerConcurrency = Attempts;
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
 * State machine for all queries of one backend service. It takes events with
 * the current time and returns actions; the owner executes the actions and
 * reports their results as events. It reads no clock and does no I/O. Not
 * thread-safe: the owner holds one lock per engine.
 *
 * Invariants: a query merges replies of one index version only; a shard is
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
   * @param Query Identifier chosen by the owner; not in use.
   * @param Source The request.
   * @param Out Receives actions.
   */
  void onRequest(base::TimePoint Now, base::QueryId Query,
                 std::shared_ptr<const Request> Source, Actions &Out);

  /**
   * Handles a backend server's reply.
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
   * Handles the failure of an attempt.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Kind How it failed.
   * @param BytesSent Whether any byte may have been sent.
   * @param Out Receives actions.
   */
  void onAttemptFailed(base::TimePoint Now, const AttemptRef &Ref,
                       FailureKind Kind, bool BytesSent, Actions &Out);

  /**
   * Applies the platform's list of this service's servers.
   * @param Now Current time.
   * @param Listed The list.
   * @param Out Receives actions.
   */
  void onServerList(base::TimePoint Now,
                    const std::vector<routing::ServerListing> &Listed,
                    Actions &Out);

  /**
   * Applies a server's report of its own state.
   * @param Now Current time.
   * @param Report The report.
   * @param Out Receives actions.
   */
  void onServerReport(base::TimePoint Now, const routing::ServerReport &Report,
                      Actions &Out);

  /**
   * Handles a probe that found no process at a server's address.
   * @param Now Current time.
   * @param Server The server.
   * @param Out Receives actions.
   */
  void onProbeFailed(base::TimePoint Now, base::ServerIndex Server,
                     Actions &Out);

  /**
   * Applies a fact that another instance published.
   * @param Now Current time.
   * @param Fact The fact.
   * @param Out Receives actions.
   */
  void onFact(base::TimePoint Now, const PublishFact &Fact, Actions &Out);

  /**
   * Cancels a query whose caller has disconnected.
   * @param Now Current time.
   * @param Query The query.
   * @param Out Receives actions.
   */
  void onCancel(base::TimePoint Now, base::QueryId Query, Actions &Out);

  /**
   * Handles due time-outs, hedges, retries, probes and the wait queue.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onTick(base::TimePoint Now, Actions &Out);

  /**
   * Revalidates the state after the process was paused, before anything is
   * sent: expired queries are refused, and reports and latencies from before
   * the pause are discarded.
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
  /** @return Counters since the engine was created. */
  const EngineCounters &counters() const { return this->Counters; }
  /** @return The engine's directory of backend servers. */
  const routing::Directory &directory() const { return this->ServerDirectory; }
  /** @return Latency quantile after which a shard is hedged. */
  base::Duration hedgeDelay() const;

private:
  /** A scheduled wake-up of a query. */
  struct WakeUp {
    base::TimePoint When;
    base::QueryId Query;
    bool operator>(const WakeUp &Other) const {
      return this->When > Other.When;
    }
  };

  /** Requests whose attempts were reset on one server. */
  struct ResetRecord {
    std::vector<base::Fingerprint> Requests;
    /** The server was reserved for one suspected request. */
    bool Isolated = false;
  };

  // Admission (engine_admission.cpp).
  /** Returns a refusal if too few needed shards can be reached, the queue is
   * full, or the request cannot be served before its deadline. */
  std::optional<Refusal> checkAdmission(base::TimePoint Now,
                                        const Request &Source,
                                        const routing::PinnedVersion &Pinned);
  /**
   * Joins a request to an identical one in progress.
   * @return Whether it did.
   */
  bool joinIdentical(base::TimePoint Now, base::QueryId Query,
                     const Request &Source);
  /** Counts a refusal and sends it to the caller. */
  void refuse(base::QueryId Query, Refusal Reason, Actions &Out);
  /** Selects whether a query starts as a canary, as a suspect or normally. */
  void chooseMode(QueryState &Query);

  // Sending (engine_dispatch.cpp).
  /** Starts the held slots, as far as the mode of the query allows. */
  void startSlots(base::TimePoint Now, QueryState &Query, Actions &Out);
  /** Sends an attempt for a slot, or queues the slot if no replica has
   * capacity. */
  void sendOrWait(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  Actions &Out);
  /** Sends an attempt for a slot to a given server. */
  void send(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
            base::ServerIndex Server, bool Hedge, Actions &Out);
  /** Removes a slot from the wait queue, if it is in it. */
  void dequeue(QueryState &Query, Slot &ShardSlot);
  /** Sends queued sub-queries to a server while it has capacity. */
  void dispatchWaiting(base::TimePoint Now, base::ServerIndex Server,
                       Actions &Out);
  /** Sends attempts of suspected queries to servers reserved for them. */
  void dispatchSuspects(base::TimePoint Now, Actions &Out);
  /**
   * Ends the isolation of a query that was quarantined or cleared.
   * @return Whether it is no longer a suspect; the query may then be gone.
   */
  bool resolveSuspicion(base::TimePoint Now, QueryState &Query, Actions &Out);
  /** Fails the unsent slots whose shard has no live replica. */
  void failSlotsWithoutReplica(base::TimePoint Now, QueryState &Query);
  /** Selects the unsent slot with the most usable replicas, unless the suspect
   * is still running. */
  std::optional<uint32_t> selectSuspectSlot(base::TimePoint Now,
                                            const QueryState &Query) const;
  /** Reserves the least loaded usable holder of a shard for a suspect. */
  std::optional<base::ServerIndex> reserveServer(base::TimePoint Now,
                                                 QueryState &Query,
                                                 base::ShardIndex Shard,
                                                 Actions &Out);
  /** Releases the servers reserved for a query and gives them queued work. */
  void releaseReservation(base::TimePoint Now, QueryState &Query, Actions &Out);
  /**
   * Sends a hedge for a slot if a replica and the budget allow.
   * @return Whether it was sent.
   */
  bool tryHedge(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                Actions &Out);
  /** Selects a replica for the next attempt of a slot. */
  std::optional<base::ServerIndex>
  selectServer(base::TimePoint Now, QueryState &Query, const Slot &ShardSlot);
  /** Tells whether any live server holds a shard. */
  bool hasLiveReplica(base::VersionId Version, base::ShardIndex Shard) const;

  // Ends of attempts (engine_events.cpp, engine_failure.cpp).
  /** Finds a live attempt and its query; nullptr if it has ended. */
  AttemptState *findAttempt(const AttemptRef &Ref, QueryState *&Query);
  /** Marks an attempt as ended and updates the server's limit and statistics.
   */
  void completeAttempt(base::TimePoint Now, AttemptState &Attempt,
                       routing::Outcome Result);
  /** Stores the first answer of a slot and cancels its other attempts. */
  void recordSlotAnswer(base::TimePoint Now, QueryState &Query,
                        uint32_t SlotIndex, uint32_t AttemptIndex,
                        Reply &&Received, Actions &Out);
  /** Cancels the live attempts of a slot. */
  void cancelSlot(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                  CancelReason Reason, Actions &Out);
  /** Schedules a retry of a slot or fails it, once no attempt of it is live. */
  void handleSlotFailure(base::TimePoint Now, QueryState &Query,
                         uint32_t SlotIndex, RetryReason Reason, bool MayRetry,
                         Actions &Out);
  /** Sends a due retry if the budget allows; fails the slot after too many
   * denials. */
  void retryOrFail(base::TimePoint Now, QueryState &Query, uint32_t SlotIndex,
                   Actions &Out);
  /** Marks a slot as failed. */
  void failSlot(Slot &ShardSlot, QueryState &Query);
  /** Cancels attempts of a slot that exceeded the attempt time-out. */
  void timeOutAttempts(base::TimePoint Now, QueryState &Query,
                       uint32_t SlotIndex, Actions &Out);
  /**
   * Restarts a query on a newer index version.
   * @return Whether it did.
   */
  bool restart(base::TimePoint Now, QueryState &Query, Actions &Out);
  /** Marks the requests that were reset on a crashed server as suspects and
   * publishes the crash. */
  void confirmCrash(base::TimePoint Now, base::ServerIndex Server,
                    Actions &Out);
  /** Returns the time after which an attempt is cancelled. */
  base::Duration attemptTimeout() const;

  // Progress of queries (engine_progress.cpp).
  /** Handles a due wake-up of a query. */
  void advance(base::TimePoint Now, base::QueryId Query, Actions &Out);
  /** Handles the due time-outs, retries and hedges of all slots. */
  void advanceSlots(base::TimePoint Now, QueryState &Query, Actions &Out);
  /** Starts another canary if the previous one failed. */
  void replaceCanary(base::TimePoint Now, QueryState &Query, Actions &Out);
  /**
   * Concludes a query that needs no more attempts.
   * @return Whether the query is gone.
   */
  bool concludeIfDone(base::TimePoint Now, base::QueryId Query, Actions &Out);
  /** Responds to the callers of a query and removes it. */
  void conclude(base::TimePoint Now, QueryState &Query, Actions &Out);
  /** Cancels all attempts of a query and removes it. */
  void discard(base::TimePoint Now, QueryState &Query, Actions &Out);
  /** Builds the answer, or a refusal if the coverage is too low. */
  Response buildResponse(base::TimePoint Now, QueryState &Query);
  /** Builds the refusal of a query from the states of its slots. */
  Refusal buildRefusal(base::TimePoint Now, const QueryState &Query,
                       double Covered) const;
  /** Schedules the next wake-up of a query from the states of its slots. */
  void scheduleWakeUp(base::TimePoint Now, QueryState &Query);
  /** Schedules a wake-up of a query unless an earlier one is pending. */
  void wakeNoLaterThan(base::TimePoint Now, QueryState &Query,
                       base::TimePoint When);
  /** Finds a query in progress; nullptr if there is none. */
  QueryState *find(base::QueryId Query);

  EngineOptions Options;
  base::Random Generator;
  routing::Directory ServerDirectory;
  limits::RetryBudget Budget;
  limits::LatencyModel Latencies;
  limits::WaitQueue Queue;
  Quarantine Suspects;
  EngineCounters Counters;
  std::unordered_map<base::QueryId, std::unique_ptr<QueryState>> Queries;
  /** Idempotent queries in progress, by content. */
  std::unordered_map<base::Fingerprint, base::QueryId> RunningByContent;
  std::priority_queue<WakeUp, std::vector<WakeUp>, std::greater<>> WakeUps;
  std::deque<base::QueryId> SuspectQueue; ///< In order of arrival.
  /** Requests whose attempts were reset, until a probe shows whether the server
   * crashed. */
  std::map<base::ServerIndex, ResetRecord> ResetsByServer;
  base::TimePoint LastPause;
  base::TimePoint NextQuarantineCleanup;
};

} // namespace hickorycrank::query

#endif
