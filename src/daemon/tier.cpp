#include "daemon/tier_base.h"

#include "base/digest_func.h"
#include "config/acceptance_func.h"
#include "daemon/server_list_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;

Tier::Tier(boost::asio::io_context &Context, const config::Settings &Settings,
           ServiceEngine::FactCallback OnFact)
    : Context(Context), Settings(Settings), OnFact(std::move(OnFact)) {}

config::Acceptance
Tier::offerConfiguration(std::shared_ptr<const config::Configuration> Offered) {
  std::vector<std::pair<std::shared_ptr<ServiceEngine>, uint32_t>> Shares;
  config::Acceptance Verdict{};
  {
    std::lock_guard Lock(this->Mutex);
    config::ConfigurationVersion Current;
    if (this->InForce) {
      Current = {this->InForce->Number, this->InForce->ManifestSha256};
    }
    Verdict = config::judgeVersion(Current,
                                   {Offered->Number, Offered->ManifestSha256});
    if (!config::takesOffer(Verdict)) {
      return Verdict;
    }
    this->InForce = std::move(Offered);
    for (const auto &[Id, Doc] : this->InForce->Services) {
      std::shared_ptr<ServiceEngine> &Engine = this->Engines[Id];
      if (!Engine) {
        // Equal seeds would make all instances choose the same servers.
        uint64_t Seed =
            base::stableHash(Id.Value + this->Settings.Instance.Value) ^
            base::randomAttemptId().Low;
        Engine = std::make_shared<ServiceEngine>(
            this->Context, *Doc,
            query::EngineBuilder()
                .domain(this->Settings.Domain)
                .serverConcurrency(Doc->Slots)
                .maxWaiting(this->Settings.MaxWaiting)
                .seed(Seed)
                .attemptIds(base::randomAttemptId)
                .build(),
            this->OnFact);
      }
      Shares.emplace_back(Engine, limits::connectionShare(Doc->ConnectionCap,
                                                          Doc->PlannedInstances,
                                                          this->Instances));
    }
  }
  for (const auto &[Engine, Share] : Shares) {
    Engine->setConnectionShare(Share);
  }
  std::lock_guard ListLock(this->ListMutex);
  this->distributeList();
  return Verdict;
}

std::shared_ptr<const config::Configuration> Tier::configuration() const {
  std::lock_guard Lock(this->Mutex);
  return this->InForce;
}

config::ConfigurationVersion Tier::configurationVersion() const {
  std::lock_guard Lock(this->Mutex);
  if (!this->InForce) {
    return {};
  }
  return {this->InForce->Number, this->InForce->ManifestSha256};
}

void Tier::applyInstances(const net::InstanceList &List) {
  peers::ServerList NewList = toServerList(List);
  std::lock_guard ListLock(this->ListMutex);
  {
    std::lock_guard Lock(this->Mutex);
    bool Stale =
        this->ServersFromPlatform && NewList.Version < this->ServerList.Version;
    if (NewList.Version == 0 || Stale) {
      return; // Empty list, or a list from a stale replica.
    }
    this->ServersFromPlatform = true;
    this->ServerList = std::move(NewList);
  }
  this->distributeList();
}

void Tier::applyPeerServers(const peers::ServerList &List) {
  std::lock_guard ListLock(this->ListMutex);
  {
    std::lock_guard Lock(this->Mutex);
    if (this->ServersFromPlatform || List.Version <= this->ServerList.Version) {
      return;
    }
    this->ServerList = List;
  }
  this->distributeList();
}

void Tier::distributeList() {
  struct Update {
    std::shared_ptr<ServiceEngine> Engine;
    std::vector<routing::ServerListing> Servers;
    uint32_t Share = 1;
  };
  std::vector<Update> Updates;
  {
    std::lock_guard Lock(this->Mutex);
    limits::recordInstances(this->Instances, Clock::now(),
                            std::max(this->ServerList.Instances, 1U));
    if (this->ServerList.Version == 0) {
      return; // No list has been received yet.
    }
    for (const auto &[Id, Engine] : this->Engines) {
      Update Entry;
      Entry.Engine = Engine;
      for (const peers::ServerEntry &Listing : this->ServerList.Servers) {
        if (Listing.Service == Id) {
          Entry.Servers.push_back(Listing.Server);
        }
      }
      auto Doc = this->InForce->Services.find(Id);
      if (Doc != this->InForce->Services.end()) {
        Entry.Share = limits::connectionShare(Doc->second->ConnectionCap,
                                              Doc->second->PlannedInstances,
                                              this->Instances);
      }
      Updates.push_back(std::move(Entry));
    }
  }
  for (const Update &Entry : Updates) {
    Entry.Engine->setConnectionShare(Entry.Share);
    Entry.Engine->applyList(Entry.Servers);
  }
}

std::shared_ptr<ServiceEngine>
Tier::serviceEngine(const base::ServiceId &Service) const {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Engines.find(Service);
  return Found == this->Engines.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<ServiceEngine>> Tier::serviceEngines() const {
  std::vector<std::shared_ptr<ServiceEngine>> All;
  std::lock_guard Lock(this->Mutex);
  for (const auto &[Id, Engine] : this->Engines) {
    All.push_back(Engine);
  }
  return All;
}

void Tier::tick(const base::Tick &Event) {
  for (const auto &Engine : this->serviceEngines()) {
    Engine->tick(Event);
  }
}

void Tier::refreshReports() {
  for (const auto &Engine : this->serviceEngines()) {
    Engine->refreshReports();
  }
}

void Tier::applyFact(const query::PublishFact &Fact) {
  for (const auto &Engine : this->serviceEngines()) {
    Engine->applyFact(Fact);
  }
}

void Tier::release() {
  for (const auto &Engine : this->serviceEngines()) {
    Engine->release();
  }
}

std::vector<ServiceStatus> Tier::status() const {
  std::vector<ServiceStatus> All;
  for (const auto &Engine : this->serviceEngines()) {
    All.push_back(Engine->status());
  }
  return All;
}

std::chrono::milliseconds Tier::longestDeadline() const {
  std::chrono::milliseconds Longest(0);
  std::lock_guard Lock(this->Mutex);
  if (this->InForce) {
    for (const auto &[Id, Template] : this->InForce->Templates) {
      Longest = std::max(Longest, Template->Deadline);
    }
  }
  return Longest;
}

} // namespace hickorycrank::daemon
