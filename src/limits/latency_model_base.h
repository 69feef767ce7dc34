#ifndef HICKORYCRANK_LIMITS_LATENCY_MODEL_BASE_H
#define HICKORYCRANK_LIMITS_LATENCY_MODEL_BASE_H

#include "base/time_type.h"

#include <array>
#include <cstdint>

namespace hickorycrank::limits {

/**
 * Estimates latency quantiles with a histogram of logarithmic bins, each 5%
 * wider than the one before, from 10 microseconds to two minutes. All counts
 * are halved after each batch of observations, so that the estimate adapts to a
 * change within two batches.
 */
class LatencyModel {
public:
  /**
   * Adds an observation.
   * @param Latency Time from sending the request to its reply.
   */
  void record(base::Duration Latency);

  /**
   * Estimates a quantile.
   * @param Fraction The quantile, from 0 to 1.
   * @param Default Returned while there are too few observations.
   * @return Upper bound of the bin that contains the quantile.
   */
  base::Duration quantile(double Fraction, base::Duration Default) const;

  /**
   * Estimates the mean.
   * @param Default Returned while there are no observations.
   * @return Exponentially smoothed mean latency.
   */
  base::Duration mean(base::Duration Default) const;

private:
  static constexpr size_t BinCount = 336;
  /** Number of counted observations at which all counts are halved. */
  static constexpr uint32_t BatchSize = 4096;
  /** Minimum number of observations for an estimate of a quantile. */
  static constexpr uint32_t MinObservations = 20;

  std::array<uint32_t, BinCount> Bins{};
  uint32_t Total = 0;
  double MeanMs = 0;
  /** Fraction of the cached quantile; -1 if there is none. A request that
   * fans out needs the same quantile for each shard, so it is cached until the
   * next observation. */
  mutable double CachedFraction = -1;
  mutable base::Duration CachedQuantile{};
};

} // namespace hickorycrank::limits

#endif
