#ifndef HICKORYCRANK_ONCE_REGISTRY_BASE_H
#define HICKORYCRANK_ONCE_REGISTRY_BASE_H

#include "once/ticket_type.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace hickorycrank::once {

/**
 * Issues the tickets of one process and keeps a record of the used ones. Reads
 * no clock and does no I/O. Not thread-safe.
 *
 * Invariants: use() returns Run at most once for each ticket. A used ticket is
 * remembered until it has expired and its request has finished. An issued but
 * unused ticket takes no memory.
 */
class TicketRegistry {
public:
  /** Record of a used ticket. */
  struct UsedTicket {
    std::string ContentDigest; ///< Digest of template and parameters.
    base::TimePoint ExpiresAt;
    TicketState State = TicketState::Running;
    std::string Response; ///< Set only in state ResponseRecorded.
  };

  /**
   * Creates an empty registry.
   * @param Self Id of this instance.
   * @param OwnIncarnation Incarnation of this process.
   * @param Secret Random bytes that no other process knows.
   * @param Policy Limits.
   */
  TicketRegistry(base::InstanceId Self, base::Incarnation OwnIncarnation,
                 std::string Secret, TicketPolicy Policy = {})
      : Self(std::move(Self)), OwnIncarnation(OwnIncarnation),
        Secret(std::move(Secret)), Policy(Policy) {}

  /**
   * Issues a ticket.
   * @param Now Current time.
   * @param Organisation Organisation that may use it.
   * @param Nonce Unguessable id that was never used before.
   * @return The ticket.
   */
  Ticket issue(base::TimePoint Now, const base::OrganisationId &Organisation,
               base::AttemptId Nonce);

  /**
   * Checks a request without marking its ticket as used.
   * @param Now Current time.
   * @param Offered The ticket.
   * @param Organisation Organisation that sent the request.
   * @param ContentDigest Digest of template and parameters.
   * @return The verdict, with the recorded response for Replay.
   */
  TicketDecision check(base::TimePoint Now, const Ticket &Offered,
                       const base::OrganisationId &Organisation,
                       const std::string &ContentDigest);

  /**
   * Checks a request. If the verdict is Run, marks its ticket as used, in state
   * Running.
   * @param Now Current time.
   * @param Offered The ticket.
   * @param Organisation Organisation that sent the request.
   * @param ContentDigest Digest of template and parameters.
   * @return The verdict, with the recorded response for Replay.
   */
  TicketDecision use(base::TimePoint Now, const Ticket &Offered,
                     const base::OrganisationId &Organisation,
                     const std::string &ContentDigest);

  /**
   * Records the response of a running request. Drops the oldest responses,
   * possibly including this one, while they exceed the memory limit.
   * @param Nonce Nonce of the request's ticket; ignored unless it is running.
   * @param Response The final response.
   */
  void finish(base::AttemptId Nonce, std::string Response);

  /**
   * Forgets expired tickets, except those whose request is still running.
   * @param Now Current time.
   */
  void expire(base::TimePoint Now);

  /** @return Remembered used tickets, by nonce. */
  const std::map<base::AttemptId, UsedTicket> &used() const {
    return this->UsedTickets;
  }
  /** @return Total size of the recorded responses, in bytes. */
  size_t responseBytes() const { return this->ResponseBytes; }
  /** @return Latest time seen, if the policy clamps to it. */
  base::TimePoint latestTime() const { return this->LatestTime; }

private:
  /**
   * Makes time monotonic.
   * @param Now Current time of the caller.
   * @return The latest time seen; Now if the policy does not clamp it.
   */
  base::TimePoint clampTime(base::TimePoint Now);
  std::string computeMac(const Ticket &Source) const;
  void dropResponse(UsedTicket &Target);

  base::InstanceId Self;
  base::Incarnation OwnIncarnation;
  std::string Secret;
  TicketPolicy Policy;
  base::TimePoint LatestTime = base::TimePoint::min();
  std::map<base::AttemptId, UsedTicket> UsedTickets;
  /** Nonces of all used tickets, by expiry. */
  std::multimap<base::TimePoint, base::AttemptId> Expiries;
  /** Nonces of finished tickets, oldest first. May include expired ones. */
  std::deque<base::AttemptId> FinishedNonces;
  size_t ResponseBytes = 0;
};

} // namespace hickorycrank::once

#endif
