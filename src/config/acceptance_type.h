#ifndef HICKORYCRANK_CONFIG_ACCEPTANCE_TYPE_H
#define HICKORYCRANK_CONFIG_ACCEPTANCE_TYPE_H

#include "base/id_type.h"

#include <string>

namespace hickorycrank::config {

/** What identifies a configuration when two are compared. */
struct ConfigurationVersion {
  base::Revision Number;      ///< 0: none.
  std::string ManifestSha256; ///< Empty: none.

  bool operator==(const ConfigurationVersion &) const = default;
};

/** Verdict on a configuration that is offered by the platform or a peer. */
enum class Acceptance {
  Accept,         ///< Newer than the one in force.
  Same,           ///< The one in force.
  Older,          ///< An older revision; ignored.
  Conflict,       ///< Same revision, smaller digest; ignored and reported.
  ConflictAccept, ///< Same revision, larger digest; accepted and reported.
};

} // namespace hickorycrank::config

#endif
