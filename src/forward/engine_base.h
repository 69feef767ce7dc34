#ifndef HICKORYCRANK_FORWARD_ENGINE_BASE_H
#define HICKORYCRANK_FORWARD_ENGINE_BASE_H

#include "base/random_base.h"
#include "forward/action_type.h"
#include "forward/crash_record_base.h"
#include "limits/latency_model_base.h"

#include <array>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace hickorycrank::forward {

/** Settings of an engine. */
struct EngineOptions {
  base::FailureDomainId Domain; ///< Of this instance.
  limits::ExtraAttemptLimits Extra;
};

/** What an engine counts; never reset. */
struct EngineCounters {
  uint64_t Calls = 0;
  uint64_t Answers = 0;
  uint64_t PartialAnswers = 0;
  uint64_t CallersGone = 0;
  uint64_t ShardsLeftOut = 0; ///< Not asked because they were overloaded.
  uint64_t Attempts = 0;
  uint64_t Hedges = 0;
  uint64_t Retries = 0;
  uint64_t HedgesDenied = 0;  ///< By the budget.
  uint64_t Deferred = 0;      ///< First attempts that gave way.
  uint64_t RetriesDenied = 0; ///< By the budget.
  uint64_t Shed = 0;          ///< Replies that say: not executed.
  uint64_t Misdirected = 0;
  uint64_t ServerErrors = 0;
  uint64_t NotSent = 0;
  uint64_t Broken = 0;
  uint64_t Probes = 0;
  uint64_t LateReplies = 0; ///< Of abandoned attempts.
  std::array<uint64_t, RefusalReasonCount> Refusals{};
};

/**
 * Carries callers' requests to backend servers: one service or all shards of a
 * route, hedges, retries within the common budget, early and partial answers.
 * Events and the current time come in, actions go out; it does no I/O.
 */
class Engine {
public:
  /**
   * Creates an engine that knows no configuration.
   * @param Options Settings.
   * @param Seed For ties between servers.
   */
  Engine(EngineOptions Options, uint64_t Seed);

  /**
   * Puts a configuration in force for requests that arrive from now on.
   * @param Table The configuration; older versions are ignored.
   * @return Whether it is in force now.
   */
  bool onRoutes(std::shared_ptr<const RouteTable> Table);

  /**
   * Takes the list of backend servers.
   * @param Now Current time.
   * @param Entries All listed servers.
   * @param Out Receives actions.
   */
  void onServers(base::TimePoint Now, const std::vector<ServerEntry> &Entries,
                 Actions &Out);

  /**
   * Takes the number of instances, which share budgets and connections.
   * @param Instances Instances including this one.
   */
  void onInstances(size_t Instances);

  /** Takes changed limits. @param Extra Limits of extra attempts. */
  void setExtraLimits(const limits::ExtraAttemptLimits &Extra) {
    this->Options.Extra = Extra;
  }

  /**
   * Takes a caller's request.
   * @param Now Current time.
   * @param Request The request.
   * @param Out Receives actions.
   * @return Name of the call.
   */
  CallId onRequest(base::TimePoint Now, const CallRequest &Request,
                   Actions &Out);

  /**
   * Takes a complete reply.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Server The server that it was sent to.
   * @param Received The reply.
   * @param Out Receives actions.
   */
  void onReply(base::TimePoint Now, const AttemptRef &Ref, ServerKey Server,
               Reply &&Received, Actions &Out);

  /**
   * Takes the end of an attempt without a reply.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Server The server that it was meant for.
   * @param Kind How it ended.
   * @param Out Receives actions.
   */
  void onFailure(base::TimePoint Now, const AttemptRef &Ref, ServerKey Server,
                 AttemptFailure Kind, Actions &Out);

  /**
   * Takes the end of an abandoned attempt whose reply did not come in time.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Server The server that it was sent to.
   */
  void onAbandonedAttemptEnded(base::TimePoint Now, const AttemptRef &Ref,
                               ServerKey Server);

  /**
   * Drops a call whose caller has gone.
   * @param Id The call.
   * @param Out Receives actions.
   */
  void onCallerGone(CallId Id, Actions &Out);

  /**
   * Takes the content of requests that other instances found to crash servers.
   * @param Now Current time.
   * @param Content The content.
   */
  void onQuarantine(base::TimePoint Now, base::Fingerprint Content);

  /**
   * Hedges, retries and ends what is due.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onTick(base::TimePoint Now, Actions &Out);

  /**
   * Probes servers that could not be reached, when they are due.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void probeServers(base::TimePoint Now, Actions &Out);

  /**
   * Takes the result of a probe, or of a connection whose attempt was
   * abandoned while it was opened.
   * @param Now Current time.
   * @param Target The server.
   * @param Reached Whether a connection was opened.
   */
  void onProbeResult(base::TimePoint Now, ServerKey Target, bool Reached);

  /**
   * Tells whether enough shards can be reached for every route that fans out.
   * @param Now Current time.
   * @return Whether the routes in force can be served.
   */
  bool canReachShards(base::TimePoint Now);

  /** @return Time of the next onTick() that has something to do. */
  base::TimePoint nextWake() const;
  /** @return Connections that this instance may hold to one server. */
  uint32_t connectionShare(ServerKey Server);
  /** @return The configuration in force, or nullptr. */
  const std::shared_ptr<const RouteTable> &routes() const {
    return this->Table;
  }
  /** @return Routes whose latency was observed. */
  size_t observedRoutes() const { return this->Latencies.size(); }
  /** @return Calls without a final answer. */
  size_t callsInProgress() const { return this->Calls.size(); }
  /** @return Number of listed servers. */
  size_t servers() const { return this->Servers.size(); }
  /** @return Requests that crash backend servers. */
  const CrashRecord &crashes() const { return this->Crashes; }
  /** @return What was counted so far. */
  const EngineCounters &counters() const { return this->Counters; }

private:
  /** A time at which a call has something to do. */
  struct Wake {
    base::TimePoint When;
    CallId Id;
    bool operator>(const Wake &Other) const { return this->When > Other.When; }
  };

  // Admission (engine_admission.cpp).
  const std::string &chooseService(const Route &Source);
  void refuse(CallId Id, const Refusal &Reason, Actions &Out,
              CallSummary Summary = {});
  bool admit(base::TimePoint Now, Call &Target, Actions &Out);
  bool admitAtQueues(base::TimePoint Now, Call &Target, size_t Spare,
                     Actions &Out);
  void leaveOut(Call &Target, Part &Which);
  Call *find(uint64_t Id);

  // Attempts (engine_attempts.cpp).
  base::Duration usualLatency(const Route &Source);
  base::Duration hedgeDelay(const Route &Source);
  Server *choose(base::TimePoint Now, const Call &Owner, const Part &Target,
                 bool AvoidTried);
  void startAttempt(base::TimePoint Now, Call &Owner, uint32_t Index,
                    Actions &Out);
  static bool shouldDefer(base::TimePoint Now, const Call &Owner,
                          const Server &To);
  void send(base::TimePoint Now, Call &Owner, uint32_t Index, Server &To,
            Actions &Out);
  void hedge(base::TimePoint Now, Call &Owner, uint32_t Index, Actions &Out);
  void retryOrFail(base::TimePoint Now, Call &Owner, uint32_t Index,
                   Actions &Out);
  void abandonLive(Call &Owner, uint32_t Index, Actions &Out);
  uint32_t maxOutstanding(const ServicePool &Pool) const;
  base::Duration timeForServer(base::TimePoint Now, const Call &Owner) const;

  // Replies (engine_replies.cpp).
  void takeError(base::TimePoint Now, Call &Owner, const AttemptRef &Ref,
                 Reply &&Received, Actions &Out);

  // Progress (engine_progress.cpp).
  void advance(base::TimePoint Now, Call &Target, Actions &Out);
  bool concludeIfDone(base::TimePoint Now, Call &Target, Actions &Out);
  void conclude(Call &Target, bool TimedOut, Actions &Out);
  CallResult buildResult(const Call &Target, bool TimedOut) const;
  CallResult buildFailure(const Call &Target, bool TimedOut) const;
  static CallSummary summarise(const Call &Target);
  void scheduleWake(base::TimePoint Now, Call &Target);

  EngineOptions Options;
  base::Random Generator;
  std::shared_ptr<const RouteTable> Table;
  ServerSet Servers;
  size_t Instances = 1;
  CrashRecord Crashes;
  EngineCounters Counters;
  std::unordered_map<uint64_t, std::unique_ptr<Call>> Calls;
  std::unordered_map<std::string, limits::LatencyModel>
      Latencies; ///< By route.
  /** Running totals of weighted round-robin, by route and service. */
  std::map<std::string, std::map<std::string, double>> Turns;
  std::unordered_set<std::string> DeferrableRoutes;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> Wakes;
  uint64_t NextCall = 1;
};

} // namespace hickorycrank::forward

#endif
