#ifndef HICKORYCRANK_FORWARD_COLD_STATE_FUNC_H
#define HICKORYCRANK_FORWARD_COLD_STATE_FUNC_H

#include "forward/server_type.h"

#include <chrono>
#include <optional>

namespace hickorycrank::forward {

/** Longest time for which one statement makes a server cold. A server that
 * states more by mistake is used normally again after it. */
inline constexpr std::chrono::milliseconds MaxColdTime =
    std::chrono::minutes(10);

/**
 * Checks whether a server is cold.
 * @param Now Current time.
 * @param Backend The server.
 * @return Whether it is cold.
 */
bool isCold(base::TimePoint Now, const Server &Backend);

/**
 * Sets whether a server that has just been listed is cold.
 * @param Now Current time.
 * @param Backend The server with its entry.
 * @param UsualTime Cold time of a server that starts now and whose entry does
 *   not state one; 0 for a server that may have started earlier.
 */
void startCold(base::TimePoint Now, Server &Backend,
               std::chrono::milliseconds UsualTime);

/**
 * Applies another entry of a listed server. An entry that states what the last
 * one stated says nothing new: its time has been counted since then. An entry
 * may be older than a reply, so it only extends the time that a reply states.
 * @param Now Current time.
 * @param Backend The server with its last entry.
 * @param Entry The new entry of the same incarnation.
 */
void restateCold(base::TimePoint Now, Server &Backend,
                 const ServerEntry &Entry);

/**
 * Applies the statement of a reply.
 * @param Now Current time.
 * @param Backend The server.
 * @param Remaining Time for which it remains cold; 0 if it is warm.
 */
void recordCold(base::TimePoint Now, Server &Backend,
                std::chrono::milliseconds Remaining);

/**
 * Finds when a cold server accepts a request of this instance.
 * @param Now Current time.
 * @param Backend The server.
 * @return Now, the start of the next turn, or the time at which it is warm.
 */
base::TimePoint coldTurnAt(base::TimePoint Now, const Server &Backend);

/**
 * Tells whether a server's rate is limited because it is cold.
 * @param Now Current time.
 * @param Backend The server.
 * @return Whether turns are needed for requests to it.
 */
bool isColdLimited(base::TimePoint Now, const Server &Backend);

/**
 * Records the execution time that a server's machine states.
 * @param Now Current time.
 * @param Backend The server.
 * @param Report The load report of a reply.
 */
void recordStatedWork(base::TimePoint Now, Server &Backend,
                      const LoadReport &Report);

/**
 * Estimates how much slower than usual a server executes requests now,
 * according to its own statements: it is cold, or its machine is busy.
 * @param Now Current time.
 * @param Backend The server.
 * @return Factor of the execution time, 1 if it states nothing.
 */
double statedSlowness(base::TimePoint Now, const Server &Backend);

/**
 * Divides the stated slowness out of an observed latency ratio, so that it is
 * not learned as the server's lasting speed. What the statement does not
 * explain stays, and an explained observation never moves the estimate in the
 * other direction.
 * @param Ratio Observed ratio to the typical latency.
 * @param Slowness Factor by statedSlowness().
 * @param Current Present estimate of the lasting ratio.
 * @return The ratio to learn.
 */
double withoutStatedSlowness(double Ratio, double Slowness, double Current);

} // namespace hickorycrank::forward

#endif
