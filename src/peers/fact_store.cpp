#include "peers/fact_store_base.h"

#include <algorithm>

namespace hickorycrank::peers {

namespace {

/** A known fact counts as renewed only if it lasts this much longer; less may
 * come from delays on its way back. */
constexpr base::Duration RenewalMargin = std::chrono::seconds(5);

} // namespace

void FactStore::expire(base::TimePoint Now) {
  std::erase_if(this->Facts,
                [Now](const auto &Pair) { return Pair.second.Expiry <= Now; });
}

bool FactStore::add(base::TimePoint Now, const query::PublishFact &Fact,
                    uint32_t Transmissions) {
  this->expire(Now);
  if (Fact.Lifetime <= base::Duration::zero()) {
    return false;
  }
  base::TimePoint Expiry = Now + std::min(Fact.Lifetime, this->MaxLifetime);
  Key Name{Fact.Kind, Fact.Server, Fact.Process, Fact.Request};
  auto Found = this->Facts.find(Name);
  if (Found != this->Facts.end()) {
    if (Expiry <= Found->second.Expiry + RenewalMargin) {
      return false;
    }
    Found->second = {Fact, Expiry, Transmissions};
    return true;
  }
  if (this->Facts.size() >= this->Capacity) {
    auto First =
        std::min_element(this->Facts.begin(), this->Facts.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.Expiry < Right.second.Expiry;
                         });
    this->Facts.erase(First);
  }
  this->Facts.emplace(std::move(Name), Entry{Fact, Expiry, Transmissions});
  return true;
}

std::vector<query::PublishFact> FactStore::take(base::TimePoint Now,
                                                size_t Count) {
  this->expire(Now);
  std::vector<Entry *> Pending;
  for (auto &[Name, Held] : this->Facts) {
    if (Held.Remaining > 0) {
      Pending.push_back(&Held);
    }
  }
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const Entry *Left, const Entry *Right) {
                     return Left->Remaining > Right->Remaining;
                   });
  Pending.resize(std::min(Count, Pending.size()));
  std::vector<query::PublishFact> Taken;
  for (Entry *Held : Pending) {
    --Held->Remaining;
    Taken.push_back(Held->Fact);
    Taken.back().Lifetime = Held->Expiry - Now;
  }
  return Taken;
}

std::vector<query::PublishFact> FactStore::held(base::TimePoint Now,
                                                query::FactKind Kind) const {
  std::vector<query::PublishFact> Found;
  for (const auto &[Name, Held] : this->Facts) {
    if (Held.Fact.Kind == Kind && Held.Expiry > Now) {
      Found.push_back(Held.Fact);
      Found.back().Lifetime = Held.Expiry - Now;
    }
  }
  return Found;
}

void FactStore::renew(uint32_t Transmissions) {
  for (auto &[Name, Held] : this->Facts) {
    Held.Remaining = std::max(Held.Remaining, Transmissions);
  }
}

} // namespace hickorycrank::peers
