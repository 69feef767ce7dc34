#ifndef HICKORYCRANK_FORWARD_NOT_RUN_FUNC_H
#define HICKORYCRANK_FORWARD_NOT_RUN_FUNC_H

#include "forward/call_type.h"

#include <cstdint>

namespace hickorycrank::forward {

/**
 * Tells whether a status states that the request has not run and never will.
 * Callers send a request that must not run twice again only after these.
 * @param Status Status of an answer.
 * @return Whether it is 408, 421, 429 or 503.
 */
bool statesNotRun(uint32_t Status);

/**
 * Tells whether a server has rejected a request without running it.
 * @param Received The server's reply.
 * @return Whether it says so. A signature proves that the request ran, whatever
 *   else the reply says, and a status alone says nothing.
 */
bool isRejection(const Reply &Received);

/**
 * Tells whether another instance has refused a relayed request in its own name.
 * @param Received The instance's reply.
 * @return Whether no server has run the request there.
 */
bool isPeerRefusal(const Reply &Received);

/**
 * Tells whether a server may have run a call's request, or may still do so.
 * @param CurrentCall The call.
 * @return Whether an attempt may have reached a server that has not rejected
 *   it, here or at an instance to which the call was relayed.
 */
bool mayHaveRun(const Call &CurrentCall);

/**
 * Decides what an answer may state about the execution of a request. Every
 * answer to a call passes here.
 * @param CurrentCall The call.
 * @param Result The answer; a refusal need not say whether the request may have
 *   run.
 * @return The answer, with a refusal that says so in place of a server's status
 *   that would falsely state that the request has not run.
 */
CallResult stateExecution(const Call &CurrentCall, CallResult &&Result);

} // namespace hickorycrank::forward

#endif
