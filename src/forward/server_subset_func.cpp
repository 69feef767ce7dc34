#include "forward/server_subset_func.h"

#include "forward/placement_func.h"

#include "base/digest_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace hickorycrank::forward {

namespace {

/** Fraction of a server's connections that is assigned. The rest is left for
 * probes, for connections that still read the reply of an abandoned attempt,
 * and for the deviation of the hashes. */
constexpr double AssignedConnectionShare = 0.8;
/** Fraction of a server's connections that the instances of its own failure
 * domain may take without regard to the hashes. */
constexpr double OwnDomainConnectionShare = 0.5;

/** A server and its rank for this instance. */
struct RankedServer {
  Server *Backend = nullptr;
  double Unit = 0;        ///< Evenly distributed in [0, 1).
  bool Preferred = false; ///< In the own failure domain, which fits.
};

/** @return The hash of an instance and a server, in [0, 1). */
double hashUnit(const SubsetCriteria &Criteria, const Server &Backend) {
  uint64_t Seed = base::stableHash("connect/" + Backend.Entry.Id.Value);
  uint64_t Hash = base::stableHash(Criteria.Instance, Seed);
  return std::ldexp(static_cast<double>(Hash >> 11U), -53);
}

/** @return Usable servers, the best first. */
std::vector<RankedServer> rankServers(const ServicePool &Pool,
                                      const SubsetCriteria &Criteria) {
  bool DomainFits = static_cast<double>(Criteria.DomainInstances) <=
                    OwnDomainConnectionShare * Pool.MaxConnections;
  std::vector<RankedServer> Ranked;
  for (Server *Backend : Pool.Servers) {
    if (!isUsable(*Backend, nullptr)) {
      continue;
    }
    Ranked.push_back({Backend, hashUnit(Criteria, *Backend),
                      DomainFits && Backend->Entry.Domain == Criteria.Domain});
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const RankedServer &Left, const RankedServer &Right) {
              if (Left.Preferred != Right.Preferred) {
                return Left.Preferred;
              }
              return Left.Unit != Right.Unit
                         ? Left.Unit < Right.Unit
                         : Left.Backend->Entry.Id < Right.Backend->Entry.Id;
            });
  return Ranked;
}

/** @return Whether no failure domain has more than half of the servers. If one
 * has, the few servers of the others cannot be in the subsets of all. */
bool areDomainsEven(const std::vector<RankedServer> &Ranked) {
  std::map<std::string, size_t> Counts;
  return std::all_of(
      Ranked.begin(), Ranked.end(), [&](const RankedServer &Entry) {
        size_t Count = ++Counts[Entry.Backend->Entry.Domain.Value];
        return Count * 2 <= Ranked.size();
      });
}

/** Moves the best server of another failure domain than the first one's to the
 * second place. */
void spreadDomains(std::vector<RankedServer> &Ranked) {
  if (!areDomainsEven(Ranked)) {
    return;
  }
  const base::FailureDomainId &First = Ranked.front().Backend->Entry.Domain;
  auto Other = std::find_if(Ranked.begin() + 1, Ranked.end(),
                            [&First](const RankedServer &Entry) {
                              return Entry.Backend->Entry.Domain != First;
                            });
  if (Other != Ranked.end()) {
    std::rotate(Ranked.begin() + 1, Other, Other + 1);
  }
}

/** @return Probability with which a server beyond the first ones is chosen, so
 * that the instances together use the assigned connections. */
double additionalShare(const ServicePool &Pool, const SubsetCriteria &Criteria,
                       size_t Servers) {
  double Connections = AssignedConnectionShare * Pool.MaxConnections *
                       Criteria.Weight * static_cast<double>(Servers) /
                       static_cast<double>(Criteria.Instances);
  double Additional = Connections - static_cast<double>(MinSubsetServers);
  return std::clamp(
      Additional / static_cast<double>(Servers - MinSubsetServers), 0.0, 1.0);
}

} // namespace

std::vector<ServerKey> assignServers(ServicePool &Pool,
                                     const SubsetCriteria &Criteria) {
  std::vector<ServerKey> Dropped;
  std::vector<RankedServer> Ranked = rankServers(Pool, Criteria);
  if (Criteria.Instances <= Pool.MaxConnections ||
      Ranked.size() <= MinSubsetServers) {
    for (Server *Backend : Pool.Servers) {
      Backend->Assigned = true;
    }
    return Dropped;
  }
  spreadDomains(Ranked);
  double Share = additionalShare(Pool, Criteria, Ranked.size());
  for (size_t I = 0; I < Ranked.size(); ++I) {
    Server &Backend = *Ranked[I].Backend;
    // The first places are a function of the hash; this one is independent.
    double Draw = std::fmod(Ranked[I].Unit * 65'536, 1.0);
    bool Assigned = I < MinSubsetServers || Draw < Share;
    if (Backend.Assigned && !Assigned) {
      Dropped.push_back(Backend.Key);
    }
    Backend.Assigned = Assigned;
  }
  return Dropped;
}

} // namespace hickorycrank::forward
