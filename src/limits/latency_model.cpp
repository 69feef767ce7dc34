#include "limits/latency_model_base.h"

#include <algorithm>
#include <cmath>

namespace hickorycrank::limits {

namespace {

constexpr double SmallestMs = 0.01;
const double LogStep = std::log(1.05);
constexpr double MeanSmoothing = 0.01;

} // namespace

void LatencyModel::record(base::Duration Latency) {
  double Ms = std::max(base::toMilliseconds(Latency), SmallestMs);
  auto Bin = static_cast<size_t>(std::log(Ms / SmallestMs) / LogStep);
  ++this->Bins[std::min(Bin, BinCount - 1)];
  ++this->Total;
  this->CachedFraction = -1;
  double Weight =
      std::max(MeanSmoothing, 1.0 / static_cast<double>(this->Total));
  this->MeanMs += Weight * (Ms - this->MeanMs);
  if (this->Total < BatchSize) {
    return;
  }
  this->Total = 0;
  for (uint32_t &Count : this->Bins) {
    Count /= 2;
    this->Total += Count;
  }
}

base::Duration LatencyModel::quantile(double Fraction,
                                      base::Duration Default) const {
  if (this->Total < MinObservations) {
    return Default;
  }
  if (Fraction == this->CachedFraction) {
    return this->CachedQuantile;
  }
  double TargetCount = Fraction * this->Total;
  double Cumulative = 0;
  for (size_t Bin = 0; Bin < BinCount; ++Bin) {
    Cumulative += this->Bins[Bin];
    if (Cumulative >= TargetCount) {
      this->CachedFraction = Fraction;
      this->CachedQuantile = base::fromMilliseconds(
          SmallestMs * std::exp(LogStep * static_cast<double>(Bin + 1)));
      return this->CachedQuantile;
    }
  }
  return Default;
}

base::Duration LatencyModel::mean(base::Duration Default) const {
  return this->Total == 0 ? Default : base::fromMilliseconds(this->MeanMs);
}

} // namespace hickorycrank::limits
