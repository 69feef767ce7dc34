#ifndef HICKORYCRANK_FORWARD_REPLICA_FUNC_H
#define HICKORYCRANK_FORWARD_REPLICA_FUNC_H

#include "base/random_base.h"
#include "forward/server_set_base.h"

#include <optional>
#include <span>

namespace hickorycrank::forward {

/** What the choice of a server depends on besides the servers. */
struct ReplicaRequest {
  base::TimePoint Now;
  base::Duration Expected{};        ///< Usual latency of the route.
  base::FailureDomainId Domain;     ///< Of this instance.
  uint32_t MaxOutstanding = 1;      ///< Attempts of this instance at a server.
  std::span<const ServerKey> Avoid; ///< Tried before.
  bool Idempotent = false;          ///< Others never test a server that failed.
};

/** How an attempt at a server ended. */
enum class AttemptOutcome {
  Succeeded,
  Shed,          ///< Refused without running it.
  Failed,        ///< An error reply or a broken reply.
  ConnectFailed, ///< No connection.
  Abandoned,     ///< Not needed any more; its latency is a lower bound.
};

/**
 * Chooses the server with the least expected time to a reply.
 * @param Pool Servers of the service.
 * @param Wanted Circumstances of the choice.
 * @param Generator Breaks ties.
 * @return A server, or nullptr if none may be used now.
 */
Server *chooseReplica(const ServicePool &Pool, const ReplicaRequest &Wanted,
                      base::Random &Generator);

/**
 * Estimates the time to a reply from the server's load and speed.
 * @param Now Current time.
 * @param Target The server.
 * @param Usual Usual latency of the route.
 * @return The expected time.
 */
base::Duration expectedTime(base::TimePoint Now, const Server &Target,
                            base::Duration Usual);

/**
 * Tells whether a new attempt would be run at once.
 * @param Now Current time.
 * @param Target The server.
 * @return Whether a slot is free, as far as known.
 */
bool hasFreeSlot(base::TimePoint Now, const Server &Target);

/**
 * Tells whether a new attempt would wait for two rounds of the server's slots
 * or more. Only servers with an attempt of this instance count, whose reply
 * will tell their load: reports of others' attempts are old by the time that
 * they are read.
 * @param Now Current time.
 * @param Target The server.
 * @return Whether its queue is that long, as far as known.
 */
bool hasLongQueue(base::TimePoint Now, const Server &Target);

/**
 * Tells whether a service has a server that may be used, now or once an
 * attempt has ended.
 * @param Pool Servers of the service.
 * @return Whether it has one.
 */
bool hasUsableReplica(const ServicePool &Pool);

/**
 * Tells whether no server of a service accepts connections.
 * @param Now Current time.
 * @param Pool Servers of the service.
 * @return When the first of them is to be probed again, or nothing if one may
 *   be reached.
 */
std::optional<base::TimePoint> unreachableUntil(base::TimePoint Now,
                                                const ServicePool &Pool);

/**
 * Tells whether a server has stopped replying, as during a pause.
 * @param Now Current time.
 * @param Target The server.
 * @return Whether its oldest attempt is far beyond its usual latency.
 */
bool isStalled(base::TimePoint Now, const Server &Target);

/**
 * Records the end of an attempt.
 * @param Now Current time.
 * @param Target The server.
 * @param Ref The attempt, which is removed from Outstanding.
 * @param Outcome How it ended.
 */
void settleAttempt(base::TimePoint Now, Server &Target, const AttemptRef &Ref,
                   AttemptOutcome Outcome);

/**
 * Records whether a connection opened that carries no attempt.
 * @param Now Current time.
 * @param Target The server.
 * @param Reached Whether a connection was opened.
 */
void settleProbe(base::TimePoint Now, Server &Target, bool Reached);

/**
 * Records a load report.
 * @param Now Current time.
 * @param Target The server.
 * @param Report The report.
 */
void recordLoad(base::TimePoint Now, Server &Target, const LoadReport &Report);

} // namespace hickorycrank::forward

#endif
