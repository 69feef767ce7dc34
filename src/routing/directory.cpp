#include "routing/directory_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::routing {

using base::ServerIndex;
using base::TimePoint;

namespace {

constexpr base::Duration FirstProbeDelay = std::chrono::milliseconds(100);

/**
 * Clears what was observed of an earlier process at the same address.
 * @param Server The server.
 * @param Process The new incarnation.
 * @param Limit Concurrency limit to start with.
 */
void resetObservations(ServerState &Server, base::Incarnation Process,
                       double Limit) {
  Server.Process = Process;
  Server.Phase = ServerPhase::Unknown;
  Server.WasLeaving = false;
  Server.Latency = 0;
  Server.SuccessRate = 1;
  Server.Limit = Limit;
  Server.ConsecutiveFailures = 0;
  Server.Ejections = 0;
  Server.EjectedUntil = {};
  Server.ShedUntil = {};
  Server.ConnectionSuspect = false;
  Server.VersionsDigest.clear();
}

/**
 * Compares two layouts.
 * @param Left One layout.
 * @param Right The other.
 * @return Whether both have the same shards in the same order.
 */
bool isSameLayout(const std::shared_ptr<const Layout> &Left,
                  const std::shared_ptr<const Layout> &Right) {
  return Left == Right || Left->Shards == Right->Shards;
}

/**
 * Compares the versions known for a server with those it reports.
 * @param Known Versions known.
 * @param Reported Versions reported.
 * @return Whether nothing has changed.
 */
bool hasSameHoldings(const std::vector<VersionReport> &Known,
                     const std::vector<VersionReport> &Reported) {
  return std::equal(
      Known.begin(), Known.end(), Reported.begin(), Reported.end(),
      [](const VersionReport &Left, const VersionReport &Right) {
        bool SameLayout =
            Left.ShardLayout == Right.ShardLayout ||
            (Left.ShardLayout->Version == Right.ShardLayout->Version &&
             Left.ShardLayout->Shards == Right.ShardLayout->Shards);
        return SameLayout && Left.Holds == Right.Holds;
      });
}

} // namespace

Directory::Directory(Policy Rules, double InitialLimit)
    : Rules(Rules), InitialLimit(InitialLimit) {}

std::vector<ServerIndex>
Directory::applyList(TimePoint Now, const std::vector<ServerListing> &Listed) {
  std::vector<ServerIndex> NewServers;
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
      NewServers.push_back(Found->second);
    }
    ServerState &Server = this->at(Found->second);
    Seen[Found->second.Value] = true;
    if (Entry.Process < Server.Process) {
      continue; // The list is older than the server's own report.
    }
    if (Entry.Process > Server.Process || Server.Phase == ServerPhase::Gone) {
      // A stale list may include a server that has already left.
      bool WasLeaving = Server.WasLeaving && Entry.Process == Server.Process;
      resetObservations(Server, Entry.Process, this->InitialLimit);
      Server.Phase = WasLeaving ? ServerPhase::Leaving : ServerPhase::Unknown;
      NewServers.push_back(Found->second);
    }
    Server.Address = Entry.Address;
    Server.Domain = Entry.Domain;
    if (Entry.Leaving) {
      Server.Phase = ServerPhase::Leaving;
    }
  }
  for (size_t I = 0; I < Seen.size(); ++I) {
    if (!Seen[I]) {
      this->Servers[I].WasLeaving =
          this->Servers[I].WasLeaving ||
          this->Servers[I].Phase == ServerPhase::Leaving;
      this->Servers[I].Phase = ServerPhase::Gone;
    }
  }
  this->rebuildVersions();
  return NewServers;
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
  // The version index leaves out servers that are not listed.
  bool WasGone = Server.Phase == ServerPhase::Gone;
  if (Report.Process > Server.Process) {
    Change.NewIncarnation = Server.Phase != ServerPhase::Unknown;
    resetObservations(Server, Report.Process, this->InitialLimit);
    Change.NeedsVersions = !Report.HasVersions;
  }
  Server.ReportedLoad = Report.Load;
  Server.ReportedAt = Now;
  if (Report.HasVersions) {
    if (WasGone) {
      Server.Versions = Report.Versions;
    } else if (!hasSameHoldings(Server.Versions, Report.Versions)) {
      this->replaceHoldings(*Found, Report.Versions);
    }
    Server.VersionsDigest = Report.VersionsDigest;
    Server.ConfirmedAt = Now;
  } else if (!Report.VersionsDigest.empty() &&
             Report.VersionsDigest == Server.VersionsDigest) {
    Server.ConfirmedAt = Now;
  }
  if (Report.Leaving) {
    Change.StartedLeaving = Server.Phase != ServerPhase::Leaving;
    Server.Phase = ServerPhase::Leaving;
  } else if (Server.Phase == ServerPhase::Unknown ||
             Server.Phase == ServerPhase::Down) {
    Server.Phase = ServerPhase::Live;
    Server.RampStartedAt = Now;
    Change.BecameLive = true;
  }
  if (WasGone) {
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
  bool WasGone = State.Phase == ServerPhase::Gone;
  if (Process > State.Process) {
    resetObservations(State, Process, this->InitialLimit);
  }
  State.Phase = ServerPhase::Leaving;
  if (WasGone) {
    this->rebuildVersions();
  }
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
  std::vector<VersionReport> Holdings = this->at(Index).Versions;
  std::erase_if(Holdings, [Version](const VersionReport &Entry) {
    return Entry.ShardLayout->Version == Version;
  });
  this->replaceHoldings(Index, std::move(Holdings));
  // The digest covers the dropped version, so the next report must be a full
  // one.
  this->at(Index).VersionsDigest.clear();
}

std::optional<ServerIndex> Directory::find(const base::ServerId &Server) const {
  auto Found = this->ByName.find(Server);
  if (Found == this->ByName.end()) {
    return std::nullopt;
  }
  return Found->second;
}

void Directory::shareLayouts(std::vector<VersionReport> &Holdings) const {
  for (VersionReport &Entry : Holdings) {
    auto Known = this->Versions.find(Entry.ShardLayout->Version);
    if (Known != this->Versions.end() && Known->second.ShardLayout &&
        Known->second.ShardLayout->Shards == Entry.ShardLayout->Shards) {
      Entry.ShardLayout = Known->second.ShardLayout;
    }
  }
}

void Directory::rebuildVersions() {
  this->Versions.clear();
  for (uint32_t I = 0; I < this->Servers.size(); ++I) {
    this->addHoldings(ServerIndex(I));
  }
}

void Directory::addHoldings(ServerIndex Index) {
  const ServerState &Server = this->at(Index);
  if (Server.Phase == ServerPhase::Gone) {
    return;
  }
  for (const VersionReport &Entry : Server.Versions) {
    VersionState &State = this->Versions[Entry.ShardLayout->Version];
    if (!State.ShardLayout) {
      State.ShardLayout = Entry.ShardLayout;
      State.Holders.resize(Entry.ShardLayout->Shards.size());
    }
    if (!isSameLayout(State.ShardLayout, Entry.ShardLayout)) {
      State.HasConflictingLayouts = true;
      continue; // Merging different layouts would count the wrong shards.
    }
    ++State.Reporters;
    for (base::ShardIndex Shard : Entry.Holds) {
      if (Shard.Value < State.Holders.size()) {
        // Sorted by server index, so that the choice of a replica does not
        // depend on which server reported first.
        std::vector<ServerIndex> &Holders = State.Holders[Shard.Value];
        Holders.insert(std::upper_bound(Holders.begin(), Holders.end(), Index),
                       Index);
      }
    }
  }
}

bool Directory::removeHoldings(ServerIndex Index) {
  const ServerState &Server = this->at(Index);
  bool NeedsRebuild = false;
  if (Server.Phase == ServerPhase::Gone) {
    return NeedsRebuild;
  }
  for (const VersionReport &Entry : Server.Versions) {
    auto Found = this->Versions.find(Entry.ShardLayout->Version);
    if (Found == this->Versions.end() ||
        !isSameLayout(Found->second.ShardLayout, Entry.ShardLayout)) {
      continue;
    }
    VersionState &State = Found->second;
    for (base::ShardIndex Shard : Entry.Holds) {
      if (Shard.Value < State.Holders.size()) {
        std::erase(State.Holders[Shard.Value], Index);
      }
    }
    if (--State.Reporters == 0) {
      NeedsRebuild = NeedsRebuild || State.HasConflictingLayouts;
      this->Versions.erase(Found);
    }
  }
  return NeedsRebuild;
}

void Directory::replaceHoldings(ServerIndex Index,
                                std::vector<VersionReport> Holdings) {
  bool NeedsRebuild = this->removeHoldings(Index);
  this->shareLayouts(Holdings);
  this->at(Index).Versions = std::move(Holdings);
  if (NeedsRebuild) {
    this->rebuildVersions();
    return;
  }
  this->addHoldings(Index);
}

} // namespace hickorycrank::routing
