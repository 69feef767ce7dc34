#include "peers/start_rule_func.h"

#include <algorithm>

namespace hickorycrank::peers {

StartReadiness judgeStart(const StartView &View) {
  if (!View.HasConfiguration) {
    return StartReadiness::NotReady;
  }
  bool Overdue = View.Waited >= ConfirmationTime;
  if (View.NewerShown && !Overdue) {
    return StartReadiness::NotReady;
  }
  bool AllStarting =
      View.ListRead &&
      View.PeersAnswered >= std::min(View.ListedPeers, ColdStartSample);
  bool Confirmed = (View.ReadyAnswered || AllStarting) && !View.NewerShown;
  if (Confirmed) {
    bool PlatformAsked = View.PlatformRead || View.Waited >= PlatformTime;
    return PlatformAsked ? StartReadiness::Ready : StartReadiness::NotReady;
  }
  return Overdue ? StartReadiness::ReadyUnconfirmed : StartReadiness::NotReady;
}

} // namespace hickorycrank::peers
