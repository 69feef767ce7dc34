#ifndef HICKORYCRANK_ONCE_REGISTRY_BASE_H
#define HICKORYCRANK_ONCE_REGISTRY_BASE_H

#include "once/ticket_type.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace hickorycrank::once {

/**
 * Issues the tickets of one process and remembers the used ones. Reads no
 * clock and does no I/O. Not thread-safe.
 *
 * Rules it keeps: Run is returned at most once for each ticket; a used ticket
 * is remembered until it has expired and its run has ended; an issued ticket
 * that has not been used takes no memory.
 */
class TicketRegistry {
public:
  /** A used ticket. */
  struct Use {
    std::string Content; ///< Digest of template and parameters.
    base::TimePoint ExpiresAt;
    UseState State = UseState::Running;
    std::string Response; ///< Only while Finished.
  };

  /**
   * Creates an empty registry.
   * @param Self This instance.
   * @param Process Incarnation of this process.
   * @param Secret Random bytes that no other process knows.
   * @param Rules Limits and rules.
   */
  TicketRegistry(base::InstanceId Self, base::Incarnation Process,
                 std::string Secret, TicketPolicy Rules = {})
      : Self(std::move(Self)), Process(Process), Secret(std::move(Secret)),
        Rules(Rules) {}

  /**
   * Issues a ticket.
   * @param Now Current time.
   * @param Organisation To whom.
   * @param Nonce Unguessable; never used before.
   * @return The ticket.
   */
  Ticket issue(base::TimePoint Now, const base::OrganisationId &Organisation,
               base::AttemptId Nonce);

  /**
   * Judges a request without using its ticket.
   * @param Now Current time.
   * @param Offered The ticket.
   * @param Organisation Who sent the request.
   * @param Content Digest of template and parameters.
   * @return The verdict.
   */
  TicketDecision check(base::TimePoint Now, const Ticket &Offered,
                       const base::OrganisationId &Organisation,
                       const std::string &Content);

  /**
   * Judges a request; on Run the ticket is used and running.
   * @param Now Current time.
   * @param Offered The ticket.
   * @param Organisation Who sent the request.
   * @param Content Digest of template and parameters.
   * @return The verdict.
   */
  TicketDecision use(base::TimePoint Now, const Ticket &Offered,
                     const base::OrganisationId &Organisation,
                     const std::string &Content);

  /**
   * Records the response of a run, or drops it or older ones if they do not
   * fit in memory.
   * @param Nonce Ticket of a running request; others are ignored.
   * @param Response The final response.
   */
  void finish(base::AttemptId Nonce, std::string Response);

  /** Forgets tickets that expired. @param Now Current time. */
  void expire(base::TimePoint Now);

  /** @return Used tickets that are remembered, by nonce. */
  const std::map<base::AttemptId, Use> &used() const { return this->Uses; }
  /** @return Bytes of recorded responses. */
  size_t recordBytes() const { return this->RecordBytes; }
  /** @return Latest time seen. */
  base::TimePoint latest() const { return this->Latest; }

private:
  base::TimePoint observe(base::TimePoint Now);
  std::string macOf(const Ticket &Source) const;
  void drop(Use &Target);

  base::InstanceId Self;
  base::Incarnation Process;
  std::string Secret;
  TicketPolicy Rules;
  base::TimePoint Latest = base::TimePoint::min();
  std::map<base::AttemptId, Use> Uses;
  /** Uses by expiry, for expire(); a ticket is in it once. */
  std::multimap<base::TimePoint, base::AttemptId> Expiries;
  /** Finished uses, oldest first; may name some that have expired. */
  std::deque<base::AttemptId> Finished;
  size_t RecordBytes = 0;
};

} // namespace hickorycrank::once

#endif
