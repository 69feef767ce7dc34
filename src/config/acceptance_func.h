#ifndef HICKORYCRANK_CONFIG_ACCEPTANCE_FUNC_H
#define HICKORYCRANK_CONFIG_ACCEPTANCE_FUNC_H

#include "config/acceptance_type.h"

namespace hickorycrank::config {

/**
 * Compares an offered configuration with the one in force. Revisions only
 * rise; if two contents carry one revision, every instance takes the larger
 * digest, so that all converge without an agreement.
 * @param InForce The version in force; revision 0 if none.
 * @param Offered The version offered.
 * @return The verdict.
 */
inline Acceptance judgeVersion(const ConfigurationVersion &InForce,
                               const ConfigurationVersion &Offered) {
  if (Offered.Number > InForce.Number) {
    return Acceptance::Accept;
  }
  if (Offered.Number < InForce.Number) {
    return Acceptance::Older;
  }
  if (Offered.ManifestSha256 == InForce.ManifestSha256) {
    return Acceptance::Same;
  }
  return Offered.ManifestSha256 > InForce.ManifestSha256
             ? Acceptance::ConflictAccept
             : Acceptance::Conflict;
}

/**
 * Tells whether a verdict puts the offered configuration in force.
 * @param Verdict The verdict.
 * @return Whether to take it, provided that it is valid.
 */
inline bool takesOffer(Acceptance Verdict) {
  return Verdict == Acceptance::Accept || Verdict == Acceptance::ConflictAccept;
}

} // namespace hickorycrank::config

#endif
