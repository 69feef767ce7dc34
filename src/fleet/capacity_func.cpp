#include "fleet/capacity_func.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::fleet {

namespace {

/** Ratio of the largest to the smallest capacity up to which all instances
 * take equal parts. */
constexpr double EvenRatio = 1.25;
/** Bounds of a capacity, relative to the mean. A very small instance still
 * needs a few extra attempts and connections; a very large one cannot use more
 * than the callers send to it. */
constexpr double MinRelativeCapacity = 0.5;
constexpr double MaxRelativeCapacity = 4;
constexpr double ThousandthsPerCore = 1'000;

} // namespace

std::optional<uint32_t> toCapacity(double CpuCores) {
  if (!(CpuCores > 0)) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(
      std::max(1.0, std::round(CpuCores * ThousandthsPerCore)));
}

double weighCapacity(uint32_t Own, std::span<const uint32_t> Known,
                     size_t Unheard) {
  uint32_t Smallest = Own;
  uint32_t Largest = Own;
  double Sum = Own;
  for (uint32_t Capacity : Known) {
    Smallest = std::min(Smallest, Capacity);
    Largest = std::max(Largest, Capacity);
    Sum += Capacity;
  }
  if (Largest <= Smallest * EvenRatio) {
    return 1;
  }
  auto Count = static_cast<double>(Known.size() + 1);
  double Mean = Sum / Count;
  auto Bounded = [Mean](double Capacity) {
    return std::clamp(Capacity, Mean * MinRelativeCapacity,
                      Mean * MaxRelativeCapacity);
  };
  double BoundedSum =
      Bounded(Own) + Bounded(Largest) * static_cast<double>(Unheard);
  for (uint32_t Capacity : Known) {
    BoundedSum += Bounded(Capacity);
  }
  return Bounded(Own) * (Count + static_cast<double>(Unheard)) / BoundedSum;
}

} // namespace hickorycrank::fleet
