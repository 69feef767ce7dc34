#ifndef HICKORYCRANK_PEERS_FACT_STORE_BASE_H
#define HICKORYCRANK_PEERS_FACT_STORE_BASE_H

#include "base/time_type.h"
#include "query/action_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hickorycrank::peers {

/**
 * Facts about backend servers and requests that instances gossip to each
 * other. A fact is sent a bounded number of times and stored until it expires,
 * so that a copy that comes back is not treated as new.
 */
class FactStore {
public:
  /**
   * Creates an empty store.
   * @param Capacity Maximum number of facts; if it is reached, the fact that
   *     expires first is evicted.
   * @param MaxLifetime Upper limit on the lifetime of a fact, whatever its
   * source claims.
   */
  FactStore(size_t Capacity, base::Duration MaxLifetime)
      : Capacity(Capacity), MaxLifetime(MaxLifetime) {}

  /**
   * Adds a fact of this or another instance.
   * @param Now Current time.
   * @param Fact The fact; its lifetime starts at Now.
   * @param Transmissions Number of times to send it.
   * @return True if the fact is new or extends the lifetime of a stored one.
   */
  bool add(base::TimePoint Now, const query::PublishFact &Fact,
           uint32_t Transmissions);

  /**
   * Chooses facts to piggyback and counts them as sent.
   * @param Now Current time.
   * @param Count Maximum number of facts.
   * @return Facts with their remaining lifetimes.
   */
  std::vector<query::PublishFact> takeForSending(base::TimePoint Now,
                                                 size_t Count);

  /**
   * Lists the unexpired facts of one kind without counting them as sent.
   * @param Now Current time.
   * @param Kind The kind.
   * @return Facts with their remaining lifetimes.
   */
  std::vector<query::PublishFact> factsOfKind(base::TimePoint Now,
                                              query::FactKind Kind) const;

  /**
   * Schedules all facts to be sent again, for example because an instance has
   * become reachable again.
   * @param Transmissions Minimum number of remaining sends of each fact.
   */
  void scheduleResend(uint32_t Transmissions);

  /** @return Number of stored facts. */
  size_t size() const { return this->Facts.size(); }

private:
  using Key = std::tuple<query::FactKind, base::ServerId, base::Incarnation,
                         base::Fingerprint>;

  /** A stored fact. */
  struct Entry {
    query::PublishFact Fact;
    base::TimePoint Expiry;
    uint32_t TransmissionsLeft = 0;
  };

  void expire(base::TimePoint Now);

  size_t Capacity;
  base::Duration MaxLifetime;
  std::map<Key, Entry> Facts;
};

} // namespace hickorycrank::peers

#endif
