#include "query/merge_func.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace hickorycrank::query {

std::vector<Row> mergeRows(const config::TemplateDoc &Template,
                           std::vector<std::vector<Row>> RowsByShard) {
  std::vector<Row *> Order;
  for (std::vector<Row> &Rows : RowsByShard) {
    for (Row &Entry : Rows) {
      Order.push_back(&Entry);
    }
  }
  size_t Kept = std::min<size_t>(Order.size(), Template.Limit);
  if (!Template.OrderBy.empty()) {
    // Positions and not rows are sorted, and only as many as the answer keeps.
    std::vector<std::pair<Row *, size_t>> Ranked;
    Ranked.reserve(Order.size());
    for (Row *Entry : Order) {
      Ranked.emplace_back(Entry, Ranked.size());
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
    std::partial_sort(Ranked.begin(),
                      Ranked.begin() + static_cast<std::ptrdiff_t>(Kept),
                      Ranked.end(), Before);
    for (size_t I = 0; I < Kept; ++I) {
      Order[I] = Ranked[I].first;
    }
  }
  std::vector<Row> Merged;
  Merged.reserve(Kept);
  for (size_t I = 0; I < Kept; ++I) {
    Merged.push_back(std::move(*Order[I]));
  }
  return Merged;
}

} // namespace hickorycrank::query
