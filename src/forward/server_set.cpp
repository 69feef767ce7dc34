#include "forward/server_set_base.h"

#include "forward/cold_state_func.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickorycrank::forward {

namespace {

/** Time for which it is remembered that a server has reported that it leaves,
 * after its entry has vanished. A store that is restored from a copy may list
 * the server's earlier entry; such copies are some seconds old. */
constexpr base::Duration DepartureMemory = std::chrono::seconds(60);

/** Time for which an ended incarnation is remembered, so that a later start
 * tells that the server has restarted. */
constexpr base::Duration RestartMemory = std::chrono::seconds(15);

/** @return Whether both entries describe the same incarnation of a server; an
 * unknown start time matches any other. */
bool sameIncarnation(const ServerEntry &Left, const ServerEntry &Right) {
  bool SameStart = Left.StartedAt == Right.StartedAt || Left.StartedAt == 0 ||
                   Right.StartedAt == 0;
  return SameStart && Left.Service == Right.Service &&
         Left.Address == Right.Address;
}

} // namespace

std::vector<ServerKey>
ServerSet::apply(base::TimePoint Now, const std::vector<ServerEntry> &Entries) {
  std::vector<ServerKey> EndedKeys;
  std::set<std::string> Listed;
  std::erase_if(this->Departures, [&](const auto &Known) {
    return Now - Known.second.ListedAt > DepartureMemory;
  });
  std::erase_if(this->Ended, [&](const auto &Known) {
    return Now - Known.second.EndedAt > RestartMemory;
  });
  for (ServerEntry Entry : Entries) {
    Entry.Leaving = this->hasDeparted(Now, Entry);
    Listed.insert(Entry.Id.Value);
    auto Existing = this->ById.find(Entry.Id.Value);
    if (Existing != this->ById.end() &&
        !sameIncarnation(Existing->second->Entry, Entry)) {
      EndedKeys.push_back(Existing->second->Key);
      this->remove(Now, Entry.Id.Value);
      Existing = this->ById.end();
    }
    if (Existing == this->ById.end()) {
      this->add(Now, Entry);
      continue;
    }
    Entry.Leaving = Entry.Leaving || Existing->second->StatedLeaving;
    restateCold(Now, *Existing->second, Entry);
    Existing->second->Entry = std::move(Entry);
  }
  this->FirstListed = this->FirstListed || !Entries.empty();
  std::vector<std::string> Unlisted;
  for (const auto &[Id, Entry] : this->ById) {
    if (Listed.count(Id) == 0) {
      Unlisted.push_back(Id);
    }
  }
  for (const std::string &Id : Unlisted) {
    EndedKeys.push_back(this->ById.at(Id)->Key);
    this->remove(Now, Id);
  }
  return EndedKeys;
}

bool ServerSet::hasDeparted(base::TimePoint Now, const ServerEntry &Entry) {
  // Without a start time, a new incarnation cannot be told from the old one.
  if (Entry.StartedAt == 0) {
    return Entry.Leaving;
  }
  auto Known = this->Departures.find(Entry.Id.Value);
  bool Departed = Entry.Leaving || (Known != this->Departures.end() &&
                                    Known->second.StartedAt == Entry.StartedAt);
  if (Departed) {
    this->Departures[Entry.Id.Value] = {Entry.StartedAt, Now};
  }
  return Departed;
}

void ServerSet::recordLeaving(base::TimePoint Now, Server &Backend) {
  Backend.StatedLeaving = true;
  Backend.Entry.Leaving = true;
  if (Backend.Entry.StartedAt != 0) {
    this->Departures[Backend.Entry.Id.Value] = {Backend.Entry.StartedAt, Now};
  }
}

ServicePool &ServerSet::pool(const std::string &Service) {
  ServicePool &Found = this->Pools[Service];
  if (Found.Service.empty()) {
    Found.Service = Service;
    Found.Budget.setFirstCredit(this->Generator.unit());
  }
  return Found;
}

Server *ServerSet::find(const base::ServerId &Id) {
  auto Found = this->ById.find(Id.Value);
  return Found == this->ById.end() ? nullptr : Found->second;
}

Server *ServerSet::find(ServerKey Key) {
  auto Found = this->Servers.find(Key);
  return Found == this->Servers.end() ? nullptr : Found->second.get();
}

std::vector<ServicePool *> ServerSet::pools() {
  std::vector<ServicePool *> Result;
  Result.reserve(this->Pools.size());
  for (auto &[Name, Pool] : this->Pools) {
    Result.push_back(&Pool);
  }
  return Result;
}

void ServerSet::findRestart(const ServerEntry &Entry) {
  auto Found = this->Ended.find(Entry.Id.Value);
  if (Found == this->Ended.end()) {
    return;
  }
  if (Entry.StartedAt > Found->second.StartedAt) {
    this->Restarted.push_back(std::move(Found->second));
  }
  this->Ended.erase(Found);
}

Server &ServerSet::add(base::TimePoint Now, const ServerEntry &Entry) {
  this->findRestart(Entry);
  auto Added = std::make_unique<Server>();
  Added->Key = ServerKey(this->NextKey++);
  Added->Entry = Entry;
  // Servers of the first list may have started long ago.
  startCold(Now, *Added,
            this->FirstListed ? this->pool(Entry.Service).ColdTime
                              : std::chrono::milliseconds(0));
  Added->ObservedAt = Now;
  Added->Speed.LastingAt = Now;
  Added->Speed.MomentAt = Now;
  Server &Result = *Added;
  this->ById[Entry.Id.Value] = &Result;
  this->Pools[Entry.Service].Servers.push_back(&Result);
  this->Servers[Result.Key] = std::move(Added);
  return Result;
}

void ServerSet::remove(base::TimePoint Now, const std::string &Id) {
  Server *Removed = this->ById.at(Id);
  const ServerEntry &Entry = Removed->Entry;
  if (!Entry.Leaving && Entry.StartedAt != 0) {
    this->Ended[Id] = {Removed->Key, Entry.Service, Entry.StartedAt, Now,
                       std::move(Removed->Outstanding)};
  }
  std::erase(this->Pools[Removed->Entry.Service].Servers, Removed);
  this->ById.erase(Id);
  this->Servers.erase(Removed->Key);
}

} // namespace hickorycrank::forward
