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
 * Merges the replies of shards.
 * @param Parts Bodies; each is a sequence of records in any order, and a
 *   remainder shorter than a record is ignored.
 * @param Limit Number of records to keep.
 * @return The greatest records in descending order, compared byte by byte;
 *   equal records are kept.
 */
std::string mergeGreatest(std::span<const std::string_view> Parts,
                          size_t Limit);

} // namespace hickorycrank::forward

#endif
