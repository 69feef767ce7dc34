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
  this->CachedShare = -1;
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

base::Duration LatencyModel::quantile(double Share,
                                      base::Duration Default) const {
  if (this->Total < MinObservations) {
    return Default;
  }
  if (Share == this->CachedShare) {
    return this->CachedQuantile;
  }
  double Wanted = Share * this->Total;
  double Seen = 0;
  for (size_t Bin = 0; Bin < BinCount; ++Bin) {
    Seen += this->Bins[Bin];
    if (Seen >= Wanted) {
      this->CachedShare = Share;
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
