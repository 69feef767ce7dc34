#include "forward/server_set_base.h"

#include <algorithm>
#include <set>

namespace hickorycrank::forward {

namespace {

/** @return Whether both entries describe the same lifetime of a server. */
bool sameLifetime(const ServerEntry &Left, const ServerEntry &Right) {
  bool SameStart = Left.StartedAt == Right.StartedAt || Left.StartedAt == 0 ||
                   Right.StartedAt == 0;
  return SameStart && Left.Service == Right.Service &&
         Left.Address == Right.Address;
}

} // namespace

std::vector<ServerKey>
ServerSet::apply(base::TimePoint Now, const std::vector<ServerEntry> &Entries) {
  std::vector<ServerKey> Ended;
  std::set<std::string> Listed;
  for (const ServerEntry &Entry : Entries) {
    Listed.insert(Entry.Id.Value);
    auto Known = this->ById.find(Entry.Id.Value);
    if (Known != this->ById.end() &&
        !sameLifetime(Known->second->Entry, Entry)) {
      Ended.push_back(Known->second->Key);
      this->remove(Entry.Id.Value);
      Known = this->ById.end();
    }
    if (Known == this->ById.end()) {
      this->add(Now, Entry);
      continue;
    }
    Known->second->Entry = Entry;
  }
  std::vector<std::string> Gone;
  for (const auto &[Id, Entry] : this->ById) {
    if (Listed.count(Id) == 0) {
      Gone.push_back(Id);
    }
  }
  for (const std::string &Id : Gone) {
    Ended.push_back(this->ById.at(Id)->Key);
    this->remove(Id);
  }
  return Ended;
}

ServicePool &ServerSet::pool(const std::string &Service) {
  return this->Pools[Service];
}

Server *ServerSet::find(ServerKey Key) {
  auto Found = this->Servers.find(Key);
  return Found == this->Servers.end() ? nullptr : Found->second.get();
}

Server &ServerSet::add(base::TimePoint Now, const ServerEntry &Entry) {
  auto Added = std::make_unique<Server>();
  Added->Key = ServerKey(this->NextKey++);
  Added->Entry = Entry;
  Added->ColdUntil = Now + Entry.ColdRemaining;
  Added->ObservedAt = Now;
  Server &Result = *Added;
  this->ById[Entry.Id.Value] = &Result;
  this->Pools[Entry.Service].Servers.push_back(&Result);
  this->Servers[Result.Key] = std::move(Added);
  return Result;
}

void ServerSet::remove(const std::string &Id) {
  Server *Target = this->ById.at(Id);
  std::erase(this->Pools[Target->Entry.Service].Servers, Target);
  this->ById.erase(Id);
  this->Servers.erase(Target->Key);
}

} // namespace hickorycrank::forward
