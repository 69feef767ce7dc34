#include "query/merge_func.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace hickorycrank::query {

std::vector<Row> mergeRows(const config::TemplateDoc &Template,
                           std::vector<std::vector<Row>> RowsByShard) {
  std::vector<Row *> Order;
  for (std::vector<Row> &Rows : RowsByShard) {
    for (Row &Current : Rows) {
      Order.push_back(&Current);
    }
  }
  size_t KeptCount = std::min<size_t>(Order.size(), Template.Limit);
  if (!Template.OrderBy.empty()) {
    // Sorts pointers instead of rows, and only as many as the answer keeps.
    std::vector<std::pair<Row *, size_t>> IndexedRows;
    IndexedRows.reserve(Order.size());
    for (Row *Current : Order) {
      IndexedRows.emplace_back(Current, IndexedRows.size());
    }
    bool Descending = Template.Descending;
    auto Before = [Descending](const auto &Left, const auto &Right) {
      const SortKey &First = Descending ? Right.first->Key : Left.first->Key;
      const SortKey &Second = Descending ? Left.first->Key : Right.first->Key;
      if (First < Second) {
        return true;
      }
      return !(Second < First) && Left.second < Right.second;
    };
    std::partial_sort(IndexedRows.begin(),
                      IndexedRows.begin() +
                          static_cast<std::ptrdiff_t>(KeptCount),
                      IndexedRows.end(), Before);
    for (size_t I = 0; I < KeptCount; ++I) {
      Order[I] = IndexedRows[I].first;
    }
  }
  std::vector<Row> Merged;
  Merged.reserve(KeptCount);
  for (size_t I = 0; I < KeptCount; ++I) {
    Merged.push_back(std::move(*Order[I]));
  }
  return Merged;
}

} // namespace hickorycrank::query
