#ifndef HICKORYCRANK_BASE_ID_TYPE_H
#define HICKORYCRANK_BASE_ID_TYPE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hickorycrank::base {

/**
 * A value that is only comparable and assignable to ids of the same kind.
 * @tparam Tag Names the kind.
 * @tparam Rep Underlying representation.
 */
template <typename Tag, typename Rep> struct StrongId {
  using RepType = Rep;
  Rep Value{}; ///< The raw id.

  StrongId() = default;
  /**
   * Wraps a raw value.
   * @param Raw The raw id.
   */
  explicit StrongId(Rep Raw) : Value(std::move(Raw)) {}

  auto operator<=>(const StrongId &) const = default;
};

using QueryId = StrongId<struct QueryTag, uint64_t>; ///< Local to an engine.
using VersionId = StrongId<struct VersionTag, uint64_t>; ///< Index version.
using Revision =
    StrongId<struct RevisionTag, uint64_t>; ///< Configuration revision.
using Incarnation =
    StrongId<struct IncarnationTag, uint64_t>; ///< Of one process.
using Fingerprint =
    StrongId<struct FingerprintTag, uint64_t>; ///< Of a request's content.
using ShardIndex =
    StrongId<struct ShardTag, uint32_t>; ///< Position in a layout.
using ServerIndex =
    StrongId<struct ServerIndexTag, uint32_t>; ///< Position in a directory.

using ServerId = StrongId<struct ServerTag, std::string>;
using InstanceId = StrongId<struct InstanceTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;
using TemplateId = StrongId<struct TemplateTag, std::string>;
using OrganisationId = StrongId<struct OrganisationTag, std::string>;
using FailureDomainId = StrongId<struct FailureDomainTag, std::string>;

/** Unguessable 128-bit name of one attempt, echoed by the backend server. */
struct AttemptId {
  uint64_t High = 0; ///< Upper half.
  uint64_t Low = 0;  ///< Lower half.

  auto operator<=>(const AttemptId &) const = default;
};

} // namespace hickorycrank::base

/** Hashes a strong id by its raw value. */
template <typename Tag, typename Rep>
struct std::hash<hickorycrank::base::StrongId<Tag, Rep>> {
  /**
   * @param Id The id to hash.
   * @return Hash of the raw value.
   */
  size_t
  operator()(const hickorycrank::base::StrongId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>()(Id.Value);
  }
};

#endif
