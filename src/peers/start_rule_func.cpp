#include "peers/start_rule_func.h"

#include <algorithm>

namespace hickorycrank::peers {

StartReadiness evaluateStart(const StartConditions &Conditions) {
  if (!Conditions.HasConfiguration) {
    return StartReadiness::NotReady;
  }
  bool ConfirmationTimedOut = Conditions.TimeSinceStart >= ConfirmationTimeout;
  if (Conditions.NewerAdvertised && !ConfirmationTimedOut) {
    return StartReadiness::NotReady;
  }
  bool FleetStarting = Conditions.ListRead &&
                       Conditions.PeersAnswered >=
                           std::min(Conditions.ListedPeers, ColdStartPeerCount);
  bool Confirmed = (Conditions.ReadyPeerAnswered || FleetStarting) &&
                   !Conditions.NewerAdvertised;
  if (Confirmed) {
    bool PlatformChecked =
        Conditions.PlatformRead || Conditions.TimeSinceStart >= PlatformTimeout;
    return PlatformChecked ? StartReadiness::Ready : StartReadiness::NotReady;
  }
  return ConfirmationTimedOut ? StartReadiness::ReadyUnconfirmed
                              : StartReadiness::NotReady;
}

} // namespace hickorycrank::peers
