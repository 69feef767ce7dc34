#include "routing/directory_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::routing {

using base::ServerIndex;
using base::TimePoint;

namespace {

constexpr base::Duration FirstProbeDelay = std::chrono::milliseconds(100);

/**
 * Forgets what was observed of an earlier process at the same address.
 * @param Server The server.
 * @param Process The new incarnation.
 * @param Limit Concurrency limit to start with.
 */
void resetObservations(ServerState &Server, base::Incarnation Process,
                       double Limit) {
  Server.Process = Process;
  Server.Phase = ServerPhase::Unknown;
  Server.Left = false;
  Server.Latency = 0;
  Server.SuccessRate = 1;
  Server.Limit = Limit;
  Server.ConsecutiveFailures = 0;
  Server.Ejections = 0;
  Server.EjectedUntil = {};
  Server.ShedUntil = {};
  Server.ConnectionSuspect = false;
}

/**
 * Compares what a server holds with what it reports.
 * @param Known Versions known.
 * @param Reported Versions reported.
 * @return Whether nothing has changed.
 */
bool holdsSame(const std::vector<VersionReport> &Known,
               const std::vector<VersionReport> &Reported) {
  return std::equal(
      Known.begin(), Known.end(), Reported.begin(), Reported.end(),
      [](const VersionReport &Left, const VersionReport &Right) {
        bool SameLayout = Left.Shards == Right.Shards ||
                          (Left.Shards->Version == Right.Shards->Version &&
                           Left.Shards->Shards == Right.Shards->Shards);
        return SameLayout && Left.Holds == Right.Holds;
      });
}

} // namespace

Directory::Directory(Policy Rules, double InitialLimit)
    : Rules(Rules), InitialLimit(InitialLimit) {}

std::vector<ServerIndex>
Directory::applyList(TimePoint Now, const std::vector<ServerListing> &Listed) {
  std::vector<ServerIndex> Fresh;
  std::vector<bool> Seen(this->Servers.size(), false);
  for (const ServerListing &Entry : Listed) {
    auto [Found, Inserted] = this->ByName.try_emplace(
        Entry.Server, ServerIndex(static_cast<uint32_t>(this->Servers.size())));
    if (Inserted) {
      ServerState Added;
      Added.Id = Entry.Server;
      Added.Limit = this->InitialLimit;
      Added.Process = Entry.Process;
      Added.Address = Entry.Address;
      Added.Domain = Entry.Domain;
      Added.NextProbe = Now + FirstProbeDelay;
      this->Servers.push_back(std::move(Added));
      Seen.push_back(true);
      Fresh.push_back(Found->second);
    }
    ServerState &Server = this->at(Found->second);
    Seen[Found->second.Value] = true;
    if (Entry.Process < Server.Process) {
      continue; // The list lags behind the server's own report.
    }
    if (Entry.Process > Server.Process || Server.Phase == ServerPhase::Gone) {
      // A list that lags may name a server again that has left.
      bool Left = Server.Left && Entry.Process == Server.Process;
      resetObservations(Server, Entry.Process, this->InitialLimit);
      Server.Phase = Left ? ServerPhase::Leaving : ServerPhase::Unknown;
      Fresh.push_back(Found->second);
    }
    Server.Address = Entry.Address;
    Server.Domain = Entry.Domain;
    if (Entry.Leaving) {
      Server.Phase = ServerPhase::Leaving;
    }
  }
  for (size_t I = 0; I < Seen.size(); ++I) {
    if (!Seen[I]) {
      this->Servers[I].Left = this->Servers[I].Left ||
                              this->Servers[I].Phase == ServerPhase::Leaving;
      this->Servers[I].Phase = ServerPhase::Gone;
    }
  }
  this->rebuildVersions();
  return Fresh;
}

DirectoryChange Directory::applyReport(TimePoint Now,
                                       const ServerReport &Report) {
  DirectoryChange Change;
  auto Found = this->find(Report.Server);
  if (!Found) {
    return Change;
  }
  ServerState &Server = this->at(*Found);
  if (Report.Process < Server.Process) {
    return Change;
  }
  if (Report.Process > Server.Process) {
    Change.NewIncarnation = Server.Phase != ServerPhase::Unknown;
    resetObservations(Server, Report.Process, this->InitialLimit);
  }
  Server.ReportedLoad = Report.Load;
  Server.ReportedAt = Now;
  bool NewVersions =
      Report.HasVersions && !holdsSame(Server.Versions, Report.Versions);
  if (NewVersions) {
    Server.Versions = Report.Versions;
    this->shareLayouts(Server.Versions);
  }
  if (Report.Leaving) {
    Change.NowLeaving = Server.Phase != ServerPhase::Leaving;
    Server.Phase = ServerPhase::Leaving;
  } else if (Server.Phase == ServerPhase::Unknown ||
             Server.Phase == ServerPhase::Down) {
    Server.Phase = ServerPhase::Live;
    Server.RampFrom = Now;
    Change.Appeared = true;
  }
  if (NewVersions || Change.Appeared || Change.NowLeaving) {
    this->rebuildVersions();
  }
  return Change;
}

bool Directory::markLeaving(const base::ServerId &Server,
                            base::Incarnation Process) {
  auto Found = this->find(Server);
  if (!Found) {
    return false;
  }
  ServerState &State = this->at(*Found);
  if (Process < State.Process || State.Phase == ServerPhase::Leaving) {
    return false;
  }
  if (Process > State.Process) {
    resetObservations(State, Process, this->InitialLimit);
  }
  State.Phase = ServerPhase::Leaving;
  return true;
}

bool Directory::markDown(TimePoint Now, ServerIndex Index) {
  ServerState &Server = this->at(Index);
  if (Server.Phase != ServerPhase::Live) {
    return false;
  }
  Server.Phase = ServerPhase::Down;
  Server.NextProbe = Now + FirstProbeDelay;
  return true;
}

void Directory::dropVersion(ServerIndex Index, base::VersionId Version) {
  std::vector<VersionReport> &Held = this->at(Index).Versions;
  auto Matches = [Version](const VersionReport &Entry) {
    return Entry.Shards->Version == Version;
  };
  Held.erase(std::remove_if(Held.begin(), Held.end(), Matches), Held.end());
  this->rebuildVersions();
}

std::optional<ServerIndex> Directory::find(const base::ServerId &Server) const {
  auto Found = this->ByName.find(Server);
  if (Found == this->ByName.end()) {
    return std::nullopt;
  }
  return Found->second;
}

void Directory::shareLayouts(std::vector<VersionReport> &Held) const {
  for (VersionReport &Entry : Held) {
    auto Known = this->Versions.find(Entry.Shards->Version);
    if (Known != this->Versions.end() && Known->second.Shards &&
        Known->second.Shards->Shards == Entry.Shards->Shards) {
      Entry.Shards = Known->second.Shards;
    }
  }
}

void Directory::rebuildVersions() {
  this->Versions.clear();
  for (uint32_t I = 0; I < this->Servers.size(); ++I) {
    const ServerState &Server = this->Servers[I];
    if (Server.Phase == ServerPhase::Gone) {
      continue;
    }
    for (const VersionReport &Entry : Server.Versions) {
      VersionState &State = this->Versions[Entry.Shards->Version];
      if (!State.Shards) {
        State.Shards = Entry.Shards;
        State.Holders.resize(Entry.Shards->Shards.size());
      }
      bool SameLayout = State.Shards == Entry.Shards ||
                        State.Shards->Shards == Entry.Shards->Shards;
      if (!SameLayout) {
        continue; // Merging different layouts would count wrong shards.
      }
      for (base::ShardIndex Shard : Entry.Holds) {
        if (Shard.Value < State.Holders.size()) {
          State.Holders[Shard.Value].push_back(ServerIndex(I));
        }
      }
    }
  }
}

} // namespace hickorycrank::routing
