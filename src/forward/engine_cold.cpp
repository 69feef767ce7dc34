#include "forward/cold_state_func.h"
#include "forward/engine_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::forward {

using base::Duration;
using base::TimePoint;

void Engine::onColdMembers(limits::ColdMembers Members) {
  if (this->Members == Members) {
    return;
  }
  this->Members = std::move(Members);
  this->refreshColdShares();
}

void Engine::setColdLimits(const limits::ColdLimits &Limits) {
  this->Options.Cold = Limits;
  this->refreshColdShares();
}

size_t Engine::coldServers(TimePoint Now) const {
  const auto &All = this->Servers.all();
  auto Count = std::count_if(All.begin(), All.end(), [Now](const auto &Entry) {
    return isCold(Now, *Entry.second);
  });
  return static_cast<size_t>(Count);
}

void Engine::refreshColdShare(Server &Backend) {
  double Rate = this->Servers.pool(Backend.Entry.Service).ColdRate;
  if (Rate <= 0) {
    Backend.ColdShare.reset();
    return;
  }
  if (!Backend.ColdShare) {
    Backend.ColdShare.emplace();
  }
  limits::updateColdShare(*Backend.ColdShare, Rate, this->Options.Cold,
                          this->Members,
                          limits::coldKey(Backend.Entry.Id.Value));
}

void Engine::refreshColdShares() {
  for (const auto &[Id, Backend] : this->Servers.all()) {
    if (Backend->ColdLogged) {
      this->refreshColdShare(*Backend);
    }
  }
}

void Engine::updateColdState(TimePoint Now, Server &Backend, Actions &Out) {
  bool Cold = isCold(Now, Backend);
  if (Cold == Backend.ColdLogged) {
    return;
  }
  Backend.ColdLogged = Cold;
  double Rate = this->Servers.pool(Backend.Entry.Service).ColdRate;
  if (Cold) {
    this->refreshColdShare(Backend);
  }
  Out.push_back(LogColdState{Backend.Entry.Id,
                             Cold ? Backend.ColdUntil - Now : Duration::zero(),
                             Cold ? Rate : 0});
}

void Engine::updateColdStates(TimePoint Now, Actions &Out) {
  for (const auto &[Id, Backend] : this->Servers.all()) {
    this->updateColdState(Now, *Backend, Out);
  }
}

void Engine::setRateLimited(TimePoint Now, Part &Limited, bool RateLimited) {
  if (RateLimited && !Limited.RateLimited) {
    const std::vector<Server *> &Replicas = Limited.Pool->Servers;
    this->Counters.ColdLimited +=
        std::any_of(
            Replicas.begin(), Replicas.end(),
            [Now](const Server *Entry) { return isColdLimited(Now, *Entry); })
            ? 1
            : 0;
  }
  Limited.RateLimited = RateLimited;
}

} // namespace hickorycrank::forward
