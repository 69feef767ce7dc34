// Stop and reload of a gateway.
#include "daemon/gateway_base.h"

#include "daemon/suspend_clock_func.h"
#include "fleet/view_freshness_func.h"

#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Duration;
using base::TimePoint;

namespace {

/** Time that the load balancer takes to remove an instance that is not ready
 * from rotation: two failed readiness checks, one per second. */
constexpr Duration BalancerRemovalTime = std::chrono::milliseconds(2'300);
/** Part of the grace period reserved for the process to exit. */
constexpr Duration ExitMargin = std::chrono::milliseconds(350);
/** Time before the end for the last answers to reach their callers. */
constexpr Duration LastAnswerMargin = std::chrono::milliseconds(150);

} // namespace

void Gateway::stop(std::function<void()> Done) {
  if (this->Stopping) {
    return;
  }
  logEvent(LogLevel::Info, "gateway.stopping",
           {{"in_progress",
             std::to_string(this->CallerServer.requestsInProgress())}});
  this->Stopping = true;
  this->OnStopped = std::move(Done);
  this->CloseAt = Clock::now() + BalancerRemovalTime;
  Duration ServiceTime = this->Settings.Grace - ExitMargin;
  this->StopAt = Clock::now() + ServiceTime;
  this->Engine.endCallsBy(suspendAwareNow() + ServiceTime - LastAnswerMargin);
  this->scheduleWake();
  this->CallerServer.setClosing(true);
  this->RelayServer.setClosing(true);
}

void Gateway::finishStop() {
  if (!this->Stopping || !this->OnStopped) {
    return;
  }
  TimePoint Now = Clock::now();
  if (Now < this->CloseAt) {
    return;
  }
  // Requests on connections that are being read would be cut off at the end.
  this->Engine.stopAdmission();
  this->CallerServer.stopAccepting();
  this->RelayServer.stopAccepting();
  bool Idle = this->CallerServer.requestsInProgress() == 0 &&
              this->CallerServer.connections() == 0 &&
              this->RelayServer.requestsInProgress() == 0;
  if (!Idle && Now < this->StopAt) {
    return;
  }
  logEvent(LogLevel::Info, "gateway.stopped",
           {{"in_progress",
             std::to_string(this->CallerServer.requestsInProgress())}});
  auto Done = std::exchange(this->OnStopped, nullptr);
  this->Fleet->sendHeartbeats(Now); // Announces that this instance is leaving.
  Done();
}

void Gateway::reload(const config::GatewaySettings &Changed) {
  this->Settings.Seeds = Changed.Seeds;
  this->Settings.Extra = Changed.Extra;
  this->Settings.Cold = Changed.Cold;
  this->Settings.Grace = Changed.Grace;
  this->Settings.ChangeBound = Changed.ChangeBound;
  this->Reader->setTiming(fleet::makeReadTiming(Changed.ChangeBound));
  this->Engine.setExtraLimits(Changed.Extra);
  if (Changed.Regions != this->Settings.Regions) {
    this->Settings.Regions = Changed.Regions;
    this->Engine.setRegions(Changed.Regions);
  }
  this->Engine.setColdLimits(Changed.Cold);
  this->Fleet->setSeeds(Changed.Seeds);
  logEvent(LogLevel::Info, "gateway.reloaded",
           {{"seeds", std::to_string(Changed.Seeds.size())}});
}

} // namespace hickorycrank::daemon
