#include "peers/start_rule_func.h"

#include <algorithm>

namespace hickorycrank::peers {

StartVerdict judgeStart(const StartView &View) {
  if (!View.HasConfiguration) {
    return StartVerdict::NotReady;
  }
  bool Overdue = View.Waited >= ConfirmationTime;
  if (View.NewerShown && !Overdue) {
    return StartVerdict::NotReady;
  }
  bool AllStarting =
      View.ListRead &&
      View.PeersAnswered >= std::min(View.ListedPeers, ColdStartSample);
  bool Confirmed = (View.ReadyAnswered || AllStarting) && !View.NewerShown;
  if (Confirmed) {
    bool PlatformAsked = View.PlatformRead || View.Waited >= PlatformTime;
    return PlatformAsked ? StartVerdict::Ready : StartVerdict::NotReady;
  }
  return Overdue ? StartVerdict::ReadyUnconfirmed : StartVerdict::NotReady;
}

} // namespace hickorycrank::peers
