#ifndef HICKORYCRANK_QUERY_MERGE_FUNC_H
#define HICKORYCRANK_QUERY_MERGE_FUNC_H

#include "query/query_type.h"

#include <vector>

namespace hickorycrank::query {

/**
 * Sorts the rows of all shards and keeps the first ones. Rows with equal keys
 * stay in shard order, so that equal replies give equal answers.
 * @param Template Defines the sort order and the limit.
 * @param RowsByShard Rows of each answered shard, in layout order.
 * @return Merged rows.
 */
std::vector<Row> mergeRows(const config::TemplateDoc &Template,
                           std::vector<std::vector<Row>> RowsByShard);

} // namespace hickorycrank::query

#endif
