#include "peers/server_list_sync_base.h"

#include "peers/start_rule_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickorycrank::peers {

using base::InstanceId;
using base::TimePoint;

namespace {

/** Time for one answer of a peer; a peer that serves others skips a pull. */
constexpr base::Duration AnswerTime = std::chrono::seconds(1);

/**
 * Orders servers alike at all instances, so that one peer can go on with a
 * list that another one began.
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
 * Removes what a message cannot hold.
 * @param List The list.
 */
void dropUnsendable(ServerList &List) {
  auto Fits = [](const std::string &Name) {
    return !Name.empty() && Name.size() <= MaxListedNameBytes;
  };
  std::erase_if(List.Servers, [Fits](const ServerEntry &Entry) {
    return !Fits(Entry.Service.Value) || !Fits(Entry.Server.Server.Value) ||
           !Fits(Entry.Server.Address) ||
           Entry.Server.Domain.Value.size() > MaxListedNameBytes;
  });
  if (List.Servers.size() > MaxListedServers) {
    List.Servers.resize(MaxListedServers);
  }
}

/**
 * Counts the bytes of the names in a server's listing.
 * @param Entry The listing.
 * @return Bytes, without those of the encoding.
 */
size_t nameBytes(const ServerEntry &Entry) {
  return Entry.Service.Value.size() + Entry.Server.Server.Value.size() +
         Entry.Server.Address.size() + Entry.Server.Domain.Value.size();
}

} // namespace

ServerListSync::ServerListSync(TimePoint Started)
    : NextAsk(Started + PlatformTime), NextPush(Started) {}

void ServerListSync::setListed(ServerList List) {
  bool Stale = this->FromPlatform && List.Version < this->Held.Version;
  if (List.Version == 0 || Stale) {
    return;
  }
  dropUnsendable(List);
  sortServers(List);
  this->Held = std::move(List);
  this->FromPlatform = true;
  this->Current.reset();
}

void ServerListSync::onShown(TimePoint Now, const InstanceId &Peer,
                             uint64_t Shown) {
  if (this->FromPlatform || Shown <= this->Held.Version) {
    return;
  }
  if (!this->Current || this->Current->Parts.Version < Shown) {
    this->Current = Pulling{};
    this->Current->Parts.Version = Shown;
  } else if (Now < this->Current->Deadline ||
             this->Current->Parts.Version != Shown) {
    return;
  }
  this->Current->Peer = Peer;
  this->Current->Deadline = std::max(Now, this->NextAsk) + AnswerTime;
  this->Current->Asked = false;
}

std::optional<ServerAsk> ServerListSync::tick(TimePoint Now) {
  if (!this->Current || this->Current->Asked || Now < this->NextAsk) {
    return std::nullopt;
  }
  this->Current->Asked = true;
  this->Current->Deadline = Now + AnswerTime;
  this->NextAsk = Now + ServerPullInterval;
  const ServerList &Parts = this->Current->Parts;
  return ServerAsk{
      this->Current->Peer,
      {Parts.Version, static_cast<uint32_t>(Parts.Servers.size())}};
}

std::optional<ServerPush> ServerListSync::onPull(TimePoint Now,
                                                 const ServerPull &Pull) {
  if (this->Held.Version == 0 || Now < this->NextPush) {
    return std::nullopt;
  }
  this->NextPush = Now + ServerPushInterval;
  ServerPush Push;
  Push.Version = this->Held.Version;
  Push.Instances = this->Held.Instances;
  Push.Total = static_cast<uint32_t>(this->Held.Servers.size());
  Push.First = Pull.Version == this->Held.Version ? Pull.First : 0;
  size_t Bytes = 0;
  for (size_t I = Push.First; I < this->Held.Servers.size(); ++I) {
    const ServerEntry &Entry = this->Held.Servers[I];
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
      Push.Version <= this->Held.Version) {
    return std::nullopt;
  }
  ServerList &Parts = this->Current->Parts;
  if (Push.Version != Parts.Version) {
    Parts = ServerList{Push.Version, 0, {}}; // The peer's list has changed.
  }
  size_t After = Parts.Servers.size() + Push.Servers.size();
  bool Useless = Push.First != Parts.Servers.size() || After > Push.Total ||
                 Push.Total > MaxListedServers ||
                 (Push.Servers.empty() && After < Push.Total);
  if (Useless) {
    this->Current->Deadline = Now; // Another peer may take over at once.
    return std::nullopt;
  }
  Parts.Instances = Push.Instances;
  Parts.Servers.insert(Parts.Servers.end(), Push.Servers.begin(),
                       Push.Servers.end());
  this->Current->Asked = false;
  if (After < Push.Total) {
    this->Current->Deadline = Now + AnswerTime;
    return std::nullopt;
  }
  this->Held = std::move(Parts);
  this->Current.reset();
  return this->Held;
}

} // namespace hickorycrank::peers
