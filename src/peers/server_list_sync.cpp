#include "peers/server_list_sync_base.h"

#include "peers/start_rule_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickorycrank::peers {

using base::InstanceId;
using base::TimePoint;

namespace {

/** Timeout of one reply. A peer that has just served another one does not
 * reply; another peer may be asked after this time. */
constexpr base::Duration PullTimeout = std::chrono::seconds(1);

/**
 * Sorts servers in the same order on all instances, so that a pull can continue
 * from another peer.
 * @param List The list.
 */
void sortServers(ServerList &List) {
  std::sort(List.Servers.begin(), List.Servers.end(),
            [](const ServerEntry &Left, const ServerEntry &Right) {
              return std::tie(Left.Service, Left.Server.Server) <
                     std::tie(Right.Service, Right.Server.Server);
            });
}

/**
 * Removes servers that a message cannot carry: those with empty or too long
 * names, and those beyond the maximum number.
 * @param List The list.
 */
void removeUnsendable(ServerList &List) {
  auto IsValidName = [](const std::string &Name) {
    return !Name.empty() && Name.size() <= MaxListedNameBytes;
  };
  std::erase_if(List.Servers, [IsValidName](const ServerEntry &Entry) {
    return !IsValidName(Entry.Service.Value) ||
           !IsValidName(Entry.Server.Server.Value) ||
           !IsValidName(Entry.Server.Address) ||
           Entry.Server.Domain.Value.size() > MaxListedNameBytes;
  });
  if (List.Servers.size() > MaxListedServers) {
    List.Servers.resize(MaxListedServers);
  }
}

/**
 * Counts the bytes of the names and addresses of a server.
 * @param Entry The server.
 * @return Bytes, without encoding overhead.
 */
size_t nameBytes(const ServerEntry &Entry) {
  return Entry.Service.Value.size() + Entry.Server.Server.Value.size() +
         Entry.Server.Address.size() + Entry.Server.Domain.Value.size();
}

} // namespace

ServerListSync::ServerListSync(TimePoint Started)
    : NextPullTime(Started + PlatformTimeout), NextPushTime(Started) {}

void ServerListSync::setPlatformList(ServerList List) {
  bool Stale = this->FromPlatform && List.Version < this->KnownList.Version;
  if (List.Version == 0 || Stale) {
    return;
  }
  removeUnsendable(List);
  sortServers(List);
  this->KnownList = std::move(List);
  this->FromPlatform = true;
  this->Current.reset();
}

void ServerListSync::onAdvertised(TimePoint Now, const InstanceId &Peer,
                                  uint64_t AdvertisedVersion) {
  if (this->FromPlatform || AdvertisedVersion <= this->KnownList.Version) {
    return;
  }
  if (!this->Current || this->Current->Received.Version < AdvertisedVersion) {
    this->Current = PendingPull{};
    this->Current->Received.Version = AdvertisedVersion;
  } else if (Now < this->Current->Deadline ||
             this->Current->Received.Version != AdvertisedVersion) {
    return;
  }
  this->Current->Peer = Peer;
  this->Current->Deadline = std::max(Now, this->NextPullTime) + PullTimeout;
  this->Current->RequestSent = false;
}

std::optional<ServerListRequest> ServerListSync::tick(TimePoint Now) {
  if (!this->Current || this->Current->RequestSent ||
      Now < this->NextPullTime) {
    return std::nullopt;
  }
  this->Current->RequestSent = true;
  this->Current->Deadline = Now + PullTimeout;
  this->NextPullTime = Now + ServerPullInterval;
  const ServerList &Received = this->Current->Received;
  return ServerListRequest{
      this->Current->Peer,
      {Received.Version, static_cast<uint32_t>(Received.Servers.size())}};
}

std::optional<ServerPush> ServerListSync::onPull(TimePoint Now,
                                                 const ServerPull &Pull) {
  if (this->KnownList.Version == 0 || Now < this->NextPushTime) {
    return std::nullopt;
  }
  this->NextPushTime = Now + ServerPushInterval;
  ServerPush Push;
  Push.Version = this->KnownList.Version;
  Push.Instances = this->KnownList.Instances;
  Push.Total = static_cast<uint32_t>(this->KnownList.Servers.size());
  Push.First = Pull.Version == this->KnownList.Version ? Pull.First : 0;
  size_t Bytes = 0;
  for (size_t I = Push.First; I < this->KnownList.Servers.size(); ++I) {
    const ServerEntry &Entry = this->KnownList.Servers[I];
    Bytes += nameBytes(Entry);
    bool Full = Push.Servers.size() >= MaxPushServers ||
                (Bytes > MaxPushNameBytes && !Push.Servers.empty());
    if (Full) {
      break;
    }
    Push.Servers.push_back(Entry);
  }
  return Push;
}

std::optional<ServerList> ServerListSync::onPush(TimePoint Now,
                                                 const InstanceId &Peer,
                                                 const ServerPush &Push) {
  if (!this->Current || this->Current->Peer != Peer ||
      Push.Version <= this->KnownList.Version) {
    return std::nullopt;
  }
  ServerList &Received = this->Current->Received;
  if (Push.Version != Received.Version) {
    Received = ServerList{
        Push.Version, 0, {}}; // The peer's list has changed; start over.
  }
  size_t ReceivedCount = Received.Servers.size() + Push.Servers.size();
  bool IsUnusable = Push.First != Received.Servers.size() ||
                    ReceivedCount > Push.Total ||
                    Push.Total > MaxListedServers ||
                    (Push.Servers.empty() && ReceivedCount < Push.Total);
  if (IsUnusable) {
    this->Current->Deadline = Now; // Another peer may be asked at once.
    return std::nullopt;
  }
  Received.Instances = Push.Instances;
  Received.Servers.insert(Received.Servers.end(), Push.Servers.begin(),
                          Push.Servers.end());
  this->Current->RequestSent = false;
  if (ReceivedCount < Push.Total) {
    this->Current->Deadline = Now + PullTimeout;
    return std::nullopt;
  }
  this->KnownList = std::move(Received);
  this->Current.reset();
  return this->KnownList;
}

} // namespace hickorycrank::peers
