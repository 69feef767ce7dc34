#ifndef HICKORYCRANK_METRICS_REGISTRY_BASE_H
#define HICKORYCRANK_METRICS_REGISTRY_BASE_H

#include "base/time_type.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace hickorycrank::metrics {

/** Labels of one time series, by name. */
using Labels = std::map<std::string, std::string>;

/**
 * Histograms of latency and coverage, and counters that no other part keeps.
 * Thread-safe.
 */
class Registry {
public:
  Registry();
  ~Registry();
  Registry(const Registry &) = delete;
  Registry &operator=(const Registry &) = delete;

  /**
   * Records the latency of a response, from 0.1 ms to 100 s.
   * @param Name Metric name; "_seconds" is appended.
   * @param Series Labels.
   * @param Latency The latency.
   */
  void recordLatency(const std::string &Name, const Labels &Series,
                     base::Duration Latency);

  /**
   * Records a share from 0 to 1.
   * @param Name Metric name; "_ratio" is appended.
   * @param Series Labels.
   * @param Share The share.
   */
  void recordShare(const std::string &Name, const Labels &Series, double Share);

  /**
   * Adds to a counter.
   * @param Name Metric name; "_total" is appended.
   * @param Series Labels.
   * @param Count How much to add.
   */
  void add(const std::string &Name, const Labels &Series, uint64_t Count = 1);

  /** @return All metrics as Prometheus text, in a stable order. */
  std::string render() const;

private:
  struct State;
  std::unique_ptr<State> Held;
};

/**
 * Writes one sample of Prometheus text.
 * @param Name Full metric name.
 * @param Series Labels.
 * @param Value The value.
 * @return One line.
 */
std::string formatSample(const std::string &Name, const Labels &Series,
                         double Value);

} // namespace hickorycrank::metrics

#endif
