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
 * Facts about backend servers and requests that spread between instances. A
 * fact is sent a bounded number of times and remembered until it expires, so
 * that its return is not taken for news.
 */
class FactStore {
public:
  /**
   * Creates an empty store.
   * @param Capacity Facts remembered; the one that expires first makes room.
   * @param MaxLifetime Longer lifetimes are cut, whoever claims them.
   */
  FactStore(size_t Capacity, base::Duration MaxLifetime)
      : Capacity(Capacity), MaxLifetime(MaxLifetime) {}

  /**
   * Takes a fact from this or another instance.
   * @param Now Current time.
   * @param Fact The fact; its lifetime counts from now.
   * @param Transmissions How often to pass it on.
   * @return Whether it is news.
   */
  bool add(base::TimePoint Now, const query::PublishFact &Fact,
           uint32_t Transmissions);

  /**
   * Chooses facts to piggyback and counts them as sent.
   * @param Now Current time.
   * @param Count How many at most.
   * @return Facts with their remaining lifetimes.
   */
  std::vector<query::PublishFact> take(base::TimePoint Now, size_t Count);

  /**
   * Lists the facts about one kind of subject, without counting them as sent.
   * @param Now Current time.
   * @param Kind The kind.
   * @return Facts with their remaining lifetimes.
   */
  std::vector<query::PublishFact> held(base::TimePoint Now,
                                       query::FactKind Kind) const;

  /**
   * Sends all facts again, such as to an instance that was out of reach.
   * @param Transmissions How often.
   */
  void renew(uint32_t Transmissions);

  /** @return Facts remembered. */
  size_t size() const { return this->Facts.size(); }

private:
  using Key = std::tuple<query::FactKind, base::ServerId, base::Incarnation,
                         base::Fingerprint>;

  /** A fact and what is left of it. */
  struct Entry {
    query::PublishFact Fact;
    base::TimePoint Expiry;
    uint32_t Remaining = 0;
  };

  void expire(base::TimePoint Now);

  size_t Capacity;
  base::Duration MaxLifetime;
  std::map<Key, Entry> Facts;
};

} // namespace hickorycrank::peers

#endif
