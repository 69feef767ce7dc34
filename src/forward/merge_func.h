#ifndef HICKORYCRANK_FORWARD_MERGE_FUNC_H
#define HICKORYCRANK_FORWARD_MERGE_FUNC_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace hickorycrank::forward {

/** Size of one record in a shard's reply, in bytes. */
inline constexpr size_t RecordBytes = 16;

/**
 * Merges the records in the replies of shards.
 * @param Parts Reply bodies, each a sequence of records in any order; a
 *   trailing incomplete record is ignored.
 * @param Limit Maximum number of records to return.
 * @return The greatest records in descending bytewise order; duplicates are
 *   kept.
 */
std::string mergeGreatest(std::span<const std::string_view> Parts,
                          size_t Limit);

} // namespace hickorycrank::forward

#endif
