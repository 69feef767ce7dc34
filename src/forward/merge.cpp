#include "forward/merge_func.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace hickorycrank::forward {

std::string mergeGreatest(std::span<const std::string_view> Parts,
                          size_t Limit) {
  std::vector<std::string_view> Records;
  for (std::string_view Part : Parts) {
    for (size_t At = 0; At + RecordBytes <= Part.size(); At += RecordBytes) {
      Records.push_back(Part.substr(At, RecordBytes));
    }
  }
  // std::string_view compares characters as unsigned bytes.
  size_t Kept = std::min(Limit, Records.size());
  std::partial_sort(Records.begin(),
                    Records.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Records.end(), std::greater<>());
  std::string Merged;
  Merged.reserve(Kept * RecordBytes);
  for (size_t I = 0; I < Kept; ++I) {
    Merged.append(Records[I]);
  }
  return Merged;
}

} // namespace hickorycrank::forward
