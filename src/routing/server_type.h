#ifndef HICKORYCRANK_ROUTING_SERVER_TYPE_H
#define HICKORYCRANK_ROUTING_SERVER_TYPE_H

#include "base/id_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickorycrank::routing {

/** The shards of one index version, in an order that all servers share. */
struct Layout {
  base::VersionId Version;
  std::vector<std::string> Shards;
};

/** What a backend server says of one index version it holds. */
struct VersionReport {
  std::shared_ptr<const Layout> ShardLayout;
  std::vector<base::ShardIndex> Holds; ///< Shards that the server serves.
};

/** What a backend server says of itself. */
struct ServerReport {
  base::ServerId Server;
  base::Incarnation Process;
  bool Leaving = false;
  double Load = 0; ///< Share of its capacity in use; a hint only.
  uint32_t Slots = 0;
  std::vector<VersionReport> Versions; ///< Unchanged if HasVersions is false.
  bool HasVersions = false;
  std::string VersionsDigest; ///< Of Versions; empty if the server gives none.
};

/** One backend server in the platform's list. */
struct ServerListing {
  base::ServerId Server;
  std::string Address; ///< "address:port".
  base::FailureDomainId Domain;
  base::Incarnation Process;
  bool Leaving = false;
};

/** Whether a backend server takes new work. */
enum class ServerPhase {
  Unknown, ///< Listed, but no report yet.
  Live,    ///< Takes work.
  Down,    ///< Connections are refused or it crashed.
  Leaving, ///< Drains; sticky for its incarnation.
  Gone,    ///< No longer listed.
};

/** What an instance knows of one backend server. */
struct ServerState {
  base::ServerId Id;
  std::string Address;
  base::FailureDomainId Domain;
  base::Incarnation Process;
  ServerPhase Phase = ServerPhase::Unknown;
  bool Left = false; ///< Was seen leaving before it was no longer listed.
  uint32_t Outstanding = 0;   ///< Attempts sent and not settled.
  double Latency = 0;         ///< Smoothed milliseconds; 0: none observed.
  base::TimePoint ObservedAt; ///< When Latency was last updated.
  double SuccessRate = 1;     ///< Smoothed share of attempts that succeeded.
  double Limit = 3;           ///< Concurrency limit.
  uint32_t ConsecutiveFailures = 0;
  uint32_t Ejections = 0; ///< In a row, for the back-off.
  base::TimePoint EjectedUntil;
  base::TimePoint ShedUntil;      ///< Asked to be left alone until then.
  base::TimePoint NextProbe;      ///< When a Down server is probed again.
  base::TimePoint RampFrom;       ///< When it appeared or returned.
  bool ConnectionSuspect = false; ///< Next attempt needs a new connection.
  double ReportedLoad = 0;
  base::TimePoint ReportedAt;
  base::TimePoint ConfirmedAt; ///< Last report that names the versions held.
  std::optional<base::QueryId> ReservedFor; ///< Runs one suspect alone.
  std::vector<VersionReport> Versions;
  std::string VersionsDigest; ///< Of Versions as reported; empty: unknown.
};

} // namespace hickorycrank::routing

#endif
