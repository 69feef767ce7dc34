#ifndef HICKORYCRANK_FORWARD_ENGINE_BASE_H
#define HICKORYCRANK_FORWARD_ENGINE_BASE_H

#include "base/random_base.h"
#include "forward/action_type.h"
#include "forward/crash_record_base.h"
#include "forward/engine_type.h"
#include "forward/peer_set_base.h"
#include "forward/placement_func.h"
#include "forward/reachability_base.h"
#include "forward/room_func.h"
#include "limits/latency_model_base.h"
#include "limits/recent_rate_func.h"

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace hickorycrank::forward {

/**
 * Forwards callers' requests to backend servers, either to one service or to
 * all shards of a route. Sends hedges and retries within the shared budget and
 * returns early or partial answers. The engine is a state machine without I/O:
 * it takes events with the current time and emits actions.
 */
class Engine {
public:
  /**
   * Creates an engine without a configuration.
   * @param Options Settings.
   * @param Seed Seed for random tie-breaking between servers and for backoff
   *   jitter.
   */
  Engine(EngineOptions Options, uint64_t Seed);

  /**
   * Activates a configuration for requests that arrive from now on.
   * @param Table The configuration; older versions are ignored.
   * @return Whether the configuration was activated.
   */
  bool onRoutes(std::shared_ptr<const RouteTable> Table);

  /**
   * Replaces the list of backend servers.
   * @param Now Current time.
   * @param Entries All listed servers.
   * @param Out Receives actions.
   */
  void onServers(base::TimePoint Now, const std::vector<ServerEntry> &Entries,
                 Actions &Out);

  /**
   * Replaces the set of evacuated failure domains. Their servers get no new
   * requests; attempts in progress continue.
   * @param Evacuated The failure domains.
   */
  void onEvacuations(DomainSet Evacuated);

  /**
   * Replaces the regions of failure domains, for requests that arrive from now
   * on.
   * @param Regions Region of each failure domain.
   */
  void setRegions(RegionMap Regions);

  /**
   * Sets the number of instances, which share budgets and connections.
   * @param Instances Instances including this one.
   * @param Weight Part of this instance, relative to an equal part.
   */
  void onInstances(size_t Instances, double Weight = 1);

  /**
   * Sets the number of instances in the own failure domain.
   * @param Instances Instances including this one.
   */
  void onDomainInstances(size_t Instances);

  /**
   * Replaces the list of instances that may send requests to cold servers.
   * Until the first list has settled, cold servers with a limit get none.
   * @param Members The instances.
   */
  void onColdMembers(limits::ColdMembers Members);

  /**
   * Sets the part of the slack of the retry budgets that this instance takes.
   * @param Part From 0 to 1; 0 while the other instances are not known.
   */
  void onSlackPart(double Part) { this->Share.SlackPart = Part; }
  /** @return The part of the slack of the retry budgets. */
  double slackPart() const { return this->Share.SlackPart; }

  /**
   * Replaces the list of instances that accept relays.
   * @param Entries The other instances.
   */
  void onPeers(const std::vector<PeerEntry> &Entries);

  /**
   * Handles a peer's answer to a relayed call.
   * @param Now Current time.
   * @param Ref The relay.
   * @param Peer The peer.
   * @param Received The answer.
   * @param Out Receives actions.
   */
  void onRelayReply(base::TimePoint Now, const AttemptRef &Ref, ServerKey Peer,
                    Reply &&Received, Actions &Out);

  /**
   * Handles a relay that ended without an answer.
   * @param Now Current time.
   * @param Ref The relay.
   * @param Peer The peer.
   * @param Kind How it ended.
   * @param Out Receives actions.
   */
  void onRelayFailure(base::TimePoint Now, const AttemptRef &Ref,
                      ServerKey Peer, AttemptFailure Kind, Actions &Out);

  /**
   * Ends all calls by a certain time, including those that arrive later: the
   * process will end.
   * @param Deadline Time by which each call has its final answer.
   */
  void endCallsBy(base::TimePoint Deadline);

  /** Refuses all requests that arrive from now on. */
  void stopAdmission() { this->AdmissionStopped = true; }

  /** @return Whether this instance appears to reach backend servers. */
  bool reachesServers() const { return !this->Links.isLost(); }

  /** Changes the tolerance of cold servers. @param Limits The tolerance. */
  void setColdLimits(const limits::ColdLimits &Limits);

  /** Changes the limits on extra attempts. @param Extra Limits for all
   * instances together. */
  void setExtraLimits(const limits::ExtraAttemptLimits &Extra) {
    this->Options.Extra = Extra;
  }

  /**
   * Handles a caller's request.
   * @param Now Current time.
   * @param Request The request.
   * @param Out Receives actions.
   * @return Identifier of the call.
   */
  CallId onRequest(base::TimePoint Now, const CallRequest &Request,
                   Actions &Out);

  /**
   * Handles a complete reply.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Key The server that it was sent to.
   * @param Received The reply.
   * @param Out Receives actions.
   */
  void onReply(base::TimePoint Now, const AttemptRef &Ref, ServerKey Key,
               Reply &&Received, Actions &Out);

  /**
   * Handles an attempt that ended without a reply.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Key The server that it was intended for.
   * @param Kind How it ended.
   * @param Out Receives actions.
   */
  void onFailure(base::TimePoint Now, const AttemptRef &Ref, ServerKey Key,
                 AttemptFailure Kind, Actions &Out);

  /**
   * Handles the end of an abandoned attempt that received no reply. It may
   * have crashed the server all the same.
   * @param Now Current time.
   * @param Ref The attempt.
   * @param Key The server that it was intended for.
   * @param Kind How it ended.
   * @param Out Receives actions.
   */
  void onAbandonedAttemptEnded(base::TimePoint Now, const AttemptRef &Ref,
                               ServerKey Key, AttemptFailure Kind,
                               Actions &Out);

  /**
   * Cancels a call whose caller has disconnected.
   * @param Now Current time.
   * @param Id The call.
   * @param Out Receives actions.
   */
  void onCallerGone(base::TimePoint Now, CallId Id, Actions &Out);

  /**
   * Quarantines request content that other instances found to crash servers.
   * @param Now Current time.
   * @param Content The content.
   */
  void onQuarantine(base::TimePoint Now, base::Fingerprint Content);

  /**
   * Adds crashes of servers that another instance has reported.
   * @param Now Current time.
   * @param Report The report.
   */
  void onCrashReport(base::TimePoint Now, const CrashReport &Report);

  /**
   * Runs due hedges, retries and deadlines.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void onTick(base::TimePoint Now, Actions &Out);

  /**
   * Probes unreachable servers whose next probe is due, and relays the calls in
   * progress if the links to all servers have been lost.
   * @param Now Current time.
   * @param Out Receives actions.
   */
  void probeServers(base::TimePoint Now, Actions &Out);

  /**
   * Handles the result of a probe, or of a connection whose attempt was
   * abandoned while it was being established.
   * @param Now Current time.
   * @param Probed The server.
   * @param Reached Whether a connection was established.
   */
  void onProbeResult(base::TimePoint Now, ServerKey Probed, bool Reached);

  /**
   * Checks whether enough shards are reachable for every route that fans out.
   * @param Now Current time.
   * @return Whether all active fan-out routes can be served.
   */
  bool canReachShards(base::TimePoint Now);

  /** @return Time at which onTick() must be called next. */
  base::TimePoint nextWake() const;
  /** @return Maximum number of connections from this instance to a server. */
  uint32_t connectionShare(ServerKey Key);
  /** @return The active configuration, or nullptr. */
  const std::shared_ptr<const RouteTable> &routes() const {
    return this->Table;
  }
  /** @return Number of routes with a latency model. */
  size_t observedRoutes() const { return this->Latencies.size(); }
  /** @return Number of calls without a final answer. */
  size_t callsInProgress() const { return this->Calls.size(); }
  /** @param Now Current time. @return Number of servers that are cold. */
  size_t coldServers(base::TimePoint Now) const;
  /** @return Number of calls with parts that wait for a server, by priority. */
  std::map<uint32_t, size_t> waitingByPriority() const;
  /** @return Number of listed servers. */
  size_t servers() const { return this->Servers.size(); }
  /** @return The evacuated failure domains. */
  const DomainSet &evacuated() const { return this->Evacuated; }
  /** @return Servers in evacuated failure domains and the attempts there. */
  EvacuationLoad evacuationLoad() const {
    return countEvacuated(this->Servers);
  }
  /** @return Number of listed servers that this instance connects to. */
  size_t assignedServers() const;
  /** @return Record of requests that crash backend servers. */
  const CrashRecord &crashes() const { return this->Crashes; }
  /** @return Current counters. */
  const EngineCounters &counters() const { return this->Counters; }

private:
  /** Servers among which choose() chooses. */
  enum class ServerChoice {
    Any,
    Untried,  ///< Servers to which the part has not been sent.
    ForHedge, ///< Untried servers that state no rate limit.
  };

  /** A scheduled call of advance(). */
  struct Wake {
    base::TimePoint When;
    CallId Id;
    bool operator>(const Wake &Other) const { return this->When > Other.When; }
  };

  // Admission (engine_admission.cpp).
  /** @return The service of a route for a request. A service that another
   * instance has tried already is kept. */
  const std::string &chooseService(const Route &MatchedRoute,
                                   const std::vector<TriedServer> &Tried);
  /** Refuses a request on arrival, before there is a call. */
  void refuseUnsent(CallId Id, RefusalReason Reason,
                    std::optional<std::chrono::milliseconds> RetryAfter,
                    Actions &Out);
  bool admit(base::TimePoint Now, Call &CurrentCall, Actions &Out);
  bool admitByQueueLength(base::TimePoint Now, Call &CurrentCall,
                          size_t MaxOmitted, Actions &Out);
  /** Counts a refusal or failure of a call. */
  void countRefusal(const Call &CurrentCall, RefusalReason Reason);
  void refuseForQueue(Call &CurrentCall, RefusalReason Reason,
                      base::Duration RoomIn, Actions &Out);
  /** @return Expected time until the reply of a part. */
  base::Duration expectedInQueue(base::TimePoint Now, const Call &CurrentCall,
                                 uint32_t Index);
  void omitPart(Call &CurrentCall, Part &OmittedPart);
  Call *find(uint64_t Id);

  // Order and shares (engine_order.cpp).
  /** @return The more urgent routes that use the same servers and have recent
   * requests. */
  std::vector<std::pair<const Route *, UrgentDemand>>
  urgentDemands(base::TimePoint Now, const Route &MatchedRoute);
  /** @return Whether a call is refused so that more urgent ones meet their
   * targets. */
  bool yieldsToUrgent(
      base::TimePoint Now, const Call &CurrentCall,
      const std::vector<std::pair<const Route *, UrgentDemand>> &Urgent,
      const std::vector<size_t> &Pressed);
  static limits::WaitingPart waitingPart(const Call &CurrentCall,
                                         uint32_t Index);
  /** Removes the parts of a call from the queues of their services. */
  static void leaveQueues(const Call &CurrentCall);
  /** Forgets a call that has ended. */
  void eraseCall(const Call &Ended);
  /** @return Whether the last connections to the servers of a part are kept for
   * more urgent requests. */
  bool isReserved(base::TimePoint Now, const Call &CurrentCall,
                  const Part &CurrentPart);
  /** Starts the next part that waits for a service. */
  void startWaiting(base::TimePoint Now, ServicePool &Pool, Actions &Out);
  /** @return The next part that still waits, or nothing. */
  std::optional<limits::WaitingPart> nextWaiting(base::TimePoint Now,
                                                 ServicePool &Pool);

  // Attempts (engine_attempts.cpp).
  base::Duration typicalLatency(const Route &MatchedRoute);
  base::Duration hedgeDelay(const Route &MatchedRoute);
  Server *choose(base::TimePoint Now, const Call &CurrentCall,
                 const Part &CurrentPart, ServerChoice Choice);
  Server *chooseForAttempt(base::TimePoint Now, const Call &CurrentCall,
                           const Part &CurrentPart);
  /** @return A server that may already have the part and may get it again, or
   * nullptr. */
  Server *chooseTried(base::TimePoint Now, const Call &CurrentCall,
                      const Part &CurrentPart);
  void waitForServer(base::TimePoint Now, Call &CurrentCall, Part &CurrentPart);
  static bool isWaitTooLong(base::TimePoint Until, const Call &CurrentCall);
  void startAttempt(base::TimePoint Now, Call &CurrentCall, uint32_t Index,
                    Actions &Out);
  static bool shouldDefer(base::TimePoint Now, const Call &CurrentCall,
                          const Server &Backend);
  void send(base::TimePoint Now, Call &CurrentCall, uint32_t Index,
            Server &Backend, Actions &Out);
  void hedge(base::TimePoint Now, Call &CurrentCall, uint32_t Index,
             Actions &Out);
  void retryOrFail(base::TimePoint Now, Call &CurrentCall, uint32_t Index,
                   Actions &Out);
  void abandonLiveAttempts(Call &CurrentCall, uint32_t Index, Actions &Out);
  uint32_t maxOutstanding(const ServicePool &Pool) const;
  base::Duration attemptTimeout(base::TimePoint Now,
                                const Call &CurrentCall) const;

  // Servers that this instance connects to (engine_subset.cpp).
  /** Chooses the servers that this instance connects to, if the servers or the
   * numbers of instances have changed. */
  void updateAssignments(Actions &Out);
  /** Closes the connections to unassigned servers that are not in use. */
  void returnBorrowed(Actions &Out);

  // Crashes of servers (engine_crashes.cpp).
  /** Records the attempts that were in flight when a server restarted. */
  void recordRestart(base::TimePoint Now, const EndedIncarnation &Ended);
  /** Logs content that has been quarantined since the last call. */
  void logQuarantines(Actions &Out);

  // Replies (engine_replies.cpp).
  void handleReply(base::TimePoint Now, const AttemptRef &Ref, ServerKey Key,
                   Reply &&Received, Actions &Out);
  /** Opens a connection to a server that may have crashed. */
  void probe(Server &Suspect, Actions &Out);
  void recordStatements(base::TimePoint Now, Server &Backend,
                        const Reply &Received, Actions &Out);
  void handleErrorReply(base::TimePoint Now, Call &CurrentCall,
                        const AttemptRef &Ref, bool Rejected, Reply &&Received,
                        Actions &Out);

  // Cold servers (engine_cold.cpp).
  void refreshColdShare(Server &Backend);
  void refreshColdShares();
  /** Starts the share of a server that has become cold, and logs changes. */
  void updateColdState(base::TimePoint Now, Server &Backend, Actions &Out);
  void updateColdStates(base::TimePoint Now, Actions &Out);
  /** Sets whether all servers of a part have reached their rate limits. */
  void setRateLimited(base::TimePoint Now, Part &Limited, bool RateLimited);

  // Relays through other instances (engine_relay.cpp).
  void updateReachability(base::TimePoint Now, Actions &Out);
  /** @return Whether the call lacks servers that a peer may reach. */
  bool isOutOfReach(base::TimePoint Now, const Call &CurrentCall) const;
  /** Takes the repetitions that a relay causes from the budgets.
   * @return Whether the budgets allow them. */
  bool payForRelay(base::TimePoint Now, Call &CurrentCall);
  /** @return Whether the budgets allow to send each part once more. A request
   * that tests lost links needs it: it is relayed if they stay silent. */
  bool mayRepeat(base::TimePoint Now, const Call &CurrentCall) const;
  /** Counts the attempts of the instance that has relayed the call here. */
  static void addTriedServers(Call &CurrentCall,
                              const std::vector<TriedServer> &Tried);
  /** Takes a relayed call that was sent to no server out of the budgets: the
   * next instance that gets it counts it. */
  static void uncountUnsentRelay(Call &CurrentCall);
  /** @return The servers that may have received the call's parts. */
  static std::vector<TriedServer> triedServers(const Call &CurrentCall);
  bool tryRelay(base::TimePoint Now, Call &CurrentCall, Actions &Out);
  Call *endRelay(base::TimePoint Now, const AttemptRef &Ref, ServerKey Peer,
                 bool Failed);
  void cancelRelay(base::TimePoint Now, Call &CurrentCall, Actions &Out);
  void relayAgainOrFail(base::TimePoint Now, Call &CurrentCall,
                        RefusalReason Reason, Actions &Out);
  void failRelayed(Call &CurrentCall, RefusalReason Reason, Actions &Out);
  void advanceRelay(base::TimePoint Now, Call &CurrentCall, Actions &Out);

  // Placement (engine_placement.cpp).
  void updateFilters();
  /** @return Whether servers that a route may use for a shard are in reach, or
   * placement leaves none, which is the same at other instances. */
  bool canReach(base::TimePoint Now, const Route &RouteConfig,
                const std::string &Shard);
  /** @return Time after which to retry a call that was not run. */
  static std::chrono::milliseconds notRunRetryAfter(base::TimePoint Now,
                                                    const Call &CurrentCall);

  // Progress (engine_progress.cpp).
  void advance(base::TimePoint Now, Call &CurrentCall, Actions &Out);
  bool finishIfDone(base::TimePoint Now, Call &CurrentCall, Actions &Out);
  void finishCall(base::TimePoint Now, Call &CurrentCall, bool TimedOut,
                  Actions &Out);
  /** Ends a call with its answer; no call is answered elsewhere. */
  void respond(const Call &Ended, CallResult &&Proposed, Actions &Out);
  CallResult buildResult(base::TimePoint Now, const Call &CurrentCall,
                         bool TimedOut) const;
  CallResult buildFailure(base::TimePoint Now, const Call &CurrentCall,
                          bool TimedOut) const;
  /** @return Reason of a refusal if no attempt was sent. */
  static RefusalReason unsentReason(const Call &CurrentCall);
  static CallSummary summarise(const Call &CurrentCall);
  void scheduleWake(base::TimePoint Now, Call &CurrentCall);

  EngineOptions Options;
  base::Random Generator;
  std::shared_ptr<const RouteTable> Table;
  ServerSet Servers;
  PeerSet Peers;
  DomainSet Evacuated;
  /** For the routes of Table that name regions. */
  std::unordered_map<const Route *, DomainFilter> Filters;
  Reachability Links;
  size_t Instances = 1;
  limits::ColdMembers Members;
  limits::BudgetShare Share; ///< Of the retry budgets.
  /** Part of this instance in common limits, relative to an equal part. */
  double CapacityWeight = 1;
  /** This instance takes one part in so many of a common limit; the number of
   * instances, if their capacities are equal. */
  size_t LimitParts = 1;
  size_t DomainInstances = 1;
  bool AssignmentsDue = false; ///< updateAssignments() has something to do.
  CrashRecord Crashes;
  EngineCounters Counters;
  std::unordered_map<uint64_t, std::unique_ptr<Call>> Calls;
  std::unordered_map<std::string, limits::LatencyModel>
      Latencies; ///< By route.
  /** Current weights of smooth weighted round-robin, by route and service. */
  std::map<std::string, std::map<std::string, double>> RoundRobinCredits;
  std::unordered_set<std::string> DeferrableRoutes;
  /** More urgent routes that use the same servers, by route; they point into
   * Table. */
  std::unordered_map<std::string, std::vector<const Route *>> UrgentRoutes;
  std::unordered_map<std::string, limits::RouteDemand> Demands; ///< By route.
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> Wakes;
  bool AdmissionStopped = false;
  /** Latest deadline of a call. */
  base::TimePoint LastDeadline = base::TimePoint::max();
  uint64_t NextCall = 1;
  /** Added to the numbers of calls in crash reports, so that they differ from
   * those of other instances. */
  uint64_t CallNumberOffset = 0;
};

} // namespace hickorycrank::forward

#endif
