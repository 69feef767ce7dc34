#ifndef HICKORYCRANK_LIMITS_LATENCY_MODEL_BASE_H
#define HICKORYCRANK_LIMITS_LATENCY_MODEL_BASE_H

#include "base/time_type.h"

#include <array>
#include <cstdint>

namespace hickorycrank::limits {

/**
 * Learns latency quantiles in logarithmic bins of 5%, from 10 microseconds to
 * two minutes. Counts are halved each time a batch is full, so that the model
 * follows a change within two batches.
 */
class LatencyModel {
public:
  /**
   * Records an observation.
   * @param Latency Time from send to reply.
   */
  void record(base::Duration Latency);

  /**
   * Estimates a quantile.
   * @param Share From 0 to 1.
   * @param Default Returned before there are enough observations for it.
   * @return Upper edge of the bin that holds the quantile.
   */
  base::Duration quantile(double Share, base::Duration Default) const;

  /**
   * Estimates the mean.
   * @param Default Returned before there are observations.
   * @return Smoothed mean latency.
   */
  base::Duration mean(base::Duration Default) const;

private:
  static constexpr size_t BinCount = 336;
  static constexpr uint32_t BatchSize = 4096;
  static constexpr uint32_t MinObservations = 20;

  std::array<uint32_t, BinCount> Bins{};
  uint32_t Total = 0;
  double MeanMs = 0;
  /** The last quantile, until the next observation: a wide query asks for the
   * same one for each of its shards. */
  mutable double CachedShare = -1;
  mutable base::Duration CachedQuantile{};
};

} // namespace hickorycrank::limits

#endif
