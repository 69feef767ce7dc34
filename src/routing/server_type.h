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

/** The shards of one index version, in the same order on all servers. */
struct Layout {
  base::VersionId Version;
  std::vector<std::string> Shards;
};

/** One index version held by a backend server, as the server reports it. */
struct VersionReport {
  std::shared_ptr<const Layout> ShardLayout;
  std::vector<base::ShardIndex> Holds; ///< Shards that the server serves.
};

/** Status report of a backend server. */
struct ServerReport {
  base::ServerId Server;
  base::Incarnation Process;
  bool Leaving = false;
  double Load = 0; ///< Fraction of its capacity in use; a hint only.
  uint32_t Slots = 0;
  std::vector<VersionReport> Versions; ///< Unchanged if HasVersions is false.
  bool HasVersions = false;
  /** Digest of Versions; empty if the server sends none. */
  std::string VersionsDigest;
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
  Leaving, ///< Drains; permanent for its incarnation.
  Gone,    ///< No longer listed.
};

/** State that an instance keeps for one backend server. */
struct ServerState {
  base::ServerId Id;
  std::string Address;
  base::FailureDomainId Domain;
  base::Incarnation Process;
  ServerPhase Phase = ServerPhase::Unknown;
  bool WasLeaving = false; ///< Was leaving before it disappeared from the list.
  uint32_t Outstanding = 0; ///< Attempts sent that have not ended.
  double Latency = 0; ///< Moving average in milliseconds; 0: none observed.
  base::TimePoint ObservedAt; ///< When Latency was last updated.
  double SuccessRate = 1;     ///< Moving average of the success rate.
  double Limit = 3;           ///< Concurrency limit.
  uint32_t ConsecutiveFailures = 0;
  uint32_t Ejections = 0; ///< Consecutive ejections, for the back-off.
  base::TimePoint EjectedUntil;
  base::TimePoint ShedUntil;     ///< The server sheds load until then.
  base::TimePoint NextProbe;     ///< When a Down server is probed again.
  base::TimePoint RampStartedAt; ///< When it became live or its ejection ended.
  /** The next attempt must use a new connection. */
  bool ConnectionSuspect = false;
  double ReportedLoad = 0;
  base::TimePoint ReportedAt;
  /** Last report that lists or confirms the versions held. */
  base::TimePoint ConfirmedAt;
  /** Suspected query that runs here alone. */
  std::optional<base::QueryId> ReservedFor;
  std::vector<VersionReport> Versions;
  /** Digest of Versions as reported; empty: unknown. */
  std::string VersionsDigest;
};

} // namespace hickorycrank::routing

#endif
