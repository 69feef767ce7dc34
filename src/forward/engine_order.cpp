#include "forward/engine_base.h"
#include "forward/replica_func.h"
#include "forward/route_table_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

namespace {

/** Requests per second below which a route does not count as active: one
 * request in the last two seconds. */
constexpr double MinActiveRate = 0.14;
/** Share of the connections to a service that is never kept for more urgent
 * requests. */
constexpr double MinUnreservedShare = 0.2;

} // namespace

std::vector<std::pair<const Route *, UrgentDemand>>
Engine::urgentDemands(TimePoint Now, const Route &MatchedRoute) {
  std::vector<std::pair<const Route *, UrgentDemand>> Result;
  auto Found = this->UrgentRoutes.find(MatchedRoute.Name);
  if (Found == this->UrgentRoutes.end()) {
    return Result;
  }
  for (const Route *Urgent : Found->second) {
    double Rate = limits::perSecond(this->Demands[Urgent->Name].Offered, Now);
    if (Rate < MinActiveRate) {
      continue;
    }
    UrgentDemand Demand;
    Demand.Target = Urgent->TargetLatency;
    Demand.Typical = this->typicalLatency(*Urgent);
    Demand.FleetPerSecond = Rate * static_cast<double>(this->Instances);
    Result.emplace_back(Urgent, Demand);
  }
  return Result;
}

bool Engine::yieldsToUrgent(
    TimePoint Now, const Call &CurrentCall,
    const std::vector<std::pair<const Route *, UrgentDemand>> &Urgent,
    const std::vector<size_t> &Pressed) {
  bool Pressing = false;
  for (size_t I = 0; I < Urgent.size(); ++I) {
    const Route &Other = *Urgent[I].first;
    size_t MaxOmitted =
        Other.fansOut() ? Other.Shards.size() - requiredParts(Other) : 0;
    Pressing = Pressing || Pressed[I] > MaxOmitted;
  }
  limits::RouteDemand &Demand = this->Demands[CurrentCall.MatchedRoute->Name];
  if (!Pressing || !limits::mayYield(Demand, Now)) {
    return false;
  }
  limits::recordEvent(Demand.Yielded, Now);
  return true;
}

limits::WaitingPart Engine::waitingPart(const Call &CurrentCall,
                                        uint32_t Index) {
  return {CurrentCall.ArrivedAt + CurrentCall.MatchedRoute->TargetLatency,
          CurrentCall.MatchedRoute->Priority, CurrentCall.Id.Value, Index};
}

void Engine::leaveQueues(const Call &CurrentCall) {
  for (uint32_t I = 0; I < CurrentCall.Parts.size(); ++I) {
    CurrentCall.Parts[I].Pool->Waiting.remove(waitingPart(CurrentCall, I),
                                              /*Started=*/false);
  }
}

void Engine::eraseCall(const Call &Ended) {
  this->leaveQueues(Ended);
  this->Calls.erase(Ended.Id.Value);
}

bool Engine::isReserved(TimePoint Now, const Call &CurrentCall,
                        const Part &CurrentPart) {
  double Needed = 0;
  for (const auto &[Urgent, Demand] :
       this->urgentDemands(Now, *CurrentCall.MatchedRoute)) {
    Duration Expected =
        estimatePace(Now, *CurrentPart.Pool, Demand.Typical).Execution;
    Needed += Demand.FleetPerSecond / static_cast<double>(this->Instances) *
              std::chrono::duration<double>(Expected).count();
  }
  auto Reserve = static_cast<size_t>(std::lround(Needed));
  if (Reserve == 0) {
    return false;
  }
  size_t Outstanding = 0;
  size_t Usable = 0;
  for (const Server *Entry : CurrentPart.Pool->Servers) {
    Outstanding += Entry->Outstanding.size();
    Usable += isInUse(Now, *Entry) ? 1 : 0;
  }
  size_t Capacity = Usable * this->maxOutstanding(*CurrentPart.Pool);
  auto Unreserved = static_cast<size_t>(
      std::ceil(static_cast<double>(Capacity) * MinUnreservedShare));
  return Outstanding >= Unreserved && Outstanding + Reserve >= Capacity;
}

std::optional<limits::WaitingPart> Engine::nextWaiting(TimePoint Now,
                                                       ServicePool &Pool) {
  while (Pool.Waiting.size() > 0) {
    limits::ServicePace Pace{};
    if (const Call *First = this->find(Pool.Waiting.first().Call)) {
      Pace =
          estimatePace(Now, Pool, this->typicalLatency(*First->MatchedRoute));
    }
    auto Next = Pool.Waiting.next(Now, Pace);
    const Call *Waiting = this->find(Next->Call);
    if (Waiting != nullptr && !Waiting->CurrentRelay &&
        Waiting->Parts[Next->Part].Phase == PartPhase::Waiting) {
      return Next;
    }
    Pool.Waiting.remove(*Next, false);
  }
  return std::nullopt;
}

void Engine::startWaiting(TimePoint Now, ServicePool &Pool, Actions &Out) {
  auto Next = this->nextWaiting(Now, Pool);
  if (!Next) {
    return;
  }
  Call &CurrentCall = *this->find(Next->Call);
  Part &CurrentPart = CurrentCall.Parts[Next->Part];
  CurrentPart.WakeAt = std::min(CurrentPart.WakeAt, Now);
  this->advance(Now, CurrentCall, Out);
}

std::map<uint32_t, size_t> Engine::waitingByPriority() const {
  std::map<uint32_t, size_t> Result;
  for (const auto &[Id, CurrentCall] : this->Calls) {
    bool Waits = std::any_of(
        CurrentCall->Parts.begin(), CurrentCall->Parts.end(),
        [](const Part &Entry) { return Entry.Phase == PartPhase::Waiting; });
    Result[CurrentCall->MatchedRoute->Priority] += Waits ? 1 : 0;
  }
  return Result;
}

} // namespace hickorycrank::forward
