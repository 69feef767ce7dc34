#include "daemon/server_list_func.h"

namespace hickorycrank::daemon {

bool isLiveInstance(const net::InstanceListing &Entry) {
  return Entry.Kind == "entry" && !Entry.Server.Leaving;
}

peers::ServerList toServerList(const net::InstanceList &List) {
  peers::ServerList Servers;
  Servers.Version = List.Version;
  for (const net::InstanceListing &Entry : List.Entries) {
    if (Entry.Kind == "backend") {
      Servers.Servers.push_back({Entry.Service, Entry.Server});
    }
    Servers.Instances += isLiveInstance(Entry) ? 1 : 0;
  }
  return Servers;
}

} // namespace hickorycrank::daemon
