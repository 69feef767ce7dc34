#include "peers/fact_store_base.h"

#include <algorithm>

namespace hickorycrank::peers {

namespace {

/** A stored fact counts as renewed only if its lifetime grows by more than
 * this. A smaller increase may be caused by network delay of a returning copy.
 */
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
  Key FactKey{Fact.Kind, Fact.Server, Fact.Process, Fact.Request};
  auto Found = this->Facts.find(FactKey);
  if (Found != this->Facts.end()) {
    if (Expiry <= Found->second.Expiry + RenewalMargin) {
      return false;
    }
    Found->second = {Fact, Expiry, Transmissions};
    return true;
  }
  if (this->Facts.size() >= this->Capacity) {
    auto ExpiresFirst =
        std::min_element(this->Facts.begin(), this->Facts.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.Expiry < Right.second.Expiry;
                         });
    this->Facts.erase(ExpiresFirst);
  }
  this->Facts.emplace(std::move(FactKey), Entry{Fact, Expiry, Transmissions});
  return true;
}

std::vector<query::PublishFact> FactStore::takeForSending(base::TimePoint Now,
                                                          size_t Count) {
  this->expire(Now);
  std::vector<Entry *> Pending;
  for (auto &[FactKey, Stored] : this->Facts) {
    if (Stored.TransmissionsLeft > 0) {
      Pending.push_back(&Stored);
    }
  }
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const Entry *Left, const Entry *Right) {
                     return Left->TransmissionsLeft > Right->TransmissionsLeft;
                   });
  Pending.resize(std::min(Count, Pending.size()));
  std::vector<query::PublishFact> Selected;
  for (Entry *Stored : Pending) {
    --Stored->TransmissionsLeft;
    Selected.push_back(Stored->Fact);
    Selected.back().Lifetime = Stored->Expiry - Now;
  }
  return Selected;
}

std::vector<query::PublishFact>
FactStore::factsOfKind(base::TimePoint Now, query::FactKind Kind) const {
  std::vector<query::PublishFact> Found;
  for (const auto &[FactKey, Stored] : this->Facts) {
    if (Stored.Fact.Kind == Kind && Stored.Expiry > Now) {
      Found.push_back(Stored.Fact);
      Found.back().Lifetime = Stored.Expiry - Now;
    }
  }
  return Found;
}

void FactStore::scheduleResend(uint32_t Transmissions) {
  for (auto &[FactKey, Stored] : this->Facts) {
    Stored.TransmissionsLeft =
        std::max(Stored.TransmissionsLeft, Transmissions);
  }
}

} // namespace hickorycrank::peers
