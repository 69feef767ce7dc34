#include "query/merge_func.h"

#include <algorithm>
#include <iterator>

namespace hickorycrank::query {

std::vector<Row> mergeRows(const config::TemplateDoc &Template,
                           std::vector<std::vector<Row>> RowsByShard) {
  std::vector<Row> Merged;
  for (std::vector<Row> &Rows : RowsByShard) {
    std::move(Rows.begin(), Rows.end(), std::back_inserter(Merged));
  }
  if (!Template.OrderBy.empty()) {
    bool Descending = Template.Descending;
    std::stable_sort(Merged.begin(), Merged.end(),
                     [Descending](const Row &Left, const Row &Right) {
                       return Descending ? Right.Key < Left.Key
                                         : Left.Key < Right.Key;
                     });
  }
  if (Merged.size() > Template.Limit) {
    Merged.resize(Template.Limit);
  }
  return Merged;
}

} // namespace hickorycrank::query
