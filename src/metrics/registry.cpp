#include "metrics/registry_base.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace hickorycrank::metrics {

namespace bh = boost::histogram;

namespace {

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LinearAxis = bh::axis::regular<double>;

/** A histogram with the sum of its observations. */
template <typename Axis> struct Summed {
  explicit Summed(Axis Bins) : Counts(bh::make_histogram(Bins)) {}

  decltype(bh::make_histogram(std::declval<Axis>())) Counts;
  double Sum = 0;

  /** @param Value Observation to add. */
  void record(double Value) {
    this->Counts(Value);
    this->Sum += Value;
  }
};

using Key = std::pair<std::string, Labels>;

constexpr unsigned LatencyBins = 24;
constexpr double SmallestLatency = 1e-4;
constexpr double LargestLatency = 1e2;
constexpr unsigned ShareBins = 20;

/**
 * Writes a histogram as cumulative buckets.
 * @param Out Receives text.
 * @param Name Metric name.
 * @param Series Labels.
 * @param Source The histogram.
 */
template <typename Histogram>
void renderHistogram(std::ostringstream &Out, const std::string &Name,
                     const Labels &Series, const Histogram &Source) {
  double Total = Source.Counts.at(-1);
  const auto &Bins = Source.Counts.axis();
  for (int I = 0; I < Bins.size(); ++I) {
    Total += Source.Counts.at(I);
    Labels Bucket = Series;
    std::ostringstream Edge;
    Edge << Bins.bin(I).upper();
    Bucket["le"] = Edge.str();
    Out << formatSample(Name + "_bucket", Bucket, Total);
  }
  Total += Source.Counts.at(Bins.size());
  Labels Last = Series;
  Last["le"] = "+Inf";
  Out << formatSample(Name + "_bucket", Last, Total);
  Out << formatSample(Name + "_sum", Series, Source.Sum);
  Out << formatSample(Name + "_count", Series, Total);
}

} // namespace

struct Registry::State {
  mutable std::mutex Mutex;
  std::map<Key, Summed<LogAxis>> Latencies;
  std::map<Key, Summed<LinearAxis>> Shares;
  std::map<Key, uint64_t> Counters;
};

Registry::Registry() : Held(std::make_unique<State>()) {}
Registry::~Registry() = default;

void Registry::recordLatency(const std::string &Name, const Labels &Series,
                             base::Duration Latency) {
  std::lock_guard Lock(this->Held->Mutex);
  auto Found = this->Held->Latencies.try_emplace(
      {Name, Series}, LogAxis(LatencyBins, SmallestLatency, LargestLatency));
  Found.first->second.record(std::chrono::duration<double>(Latency).count());
}

void Registry::recordShare(const std::string &Name, const Labels &Series,
                           double Share) {
  std::lock_guard Lock(this->Held->Mutex);
  auto Found = this->Held->Shares.try_emplace({Name, Series},
                                              LinearAxis(ShareBins, 0.0, 1.0));
  Found.first->second.record(Share);
}

void Registry::add(const std::string &Name, const Labels &Series,
                   uint64_t Count) {
  std::lock_guard Lock(this->Held->Mutex);
  this->Held->Counters[{Name, Series}] += Count;
}

std::string Registry::render() const {
  std::ostringstream Out;
  std::lock_guard Lock(this->Held->Mutex);
  for (const auto &[Id, Source] : this->Held->Latencies) {
    renderHistogram(Out, Id.first + "_seconds", Id.second, Source);
  }
  for (const auto &[Id, Source] : this->Held->Shares) {
    renderHistogram(Out, Id.first + "_ratio", Id.second, Source);
  }
  for (const auto &[Id, Count] : this->Held->Counters) {
    Out << formatSample(Id.first + "_total", Id.second,
                        static_cast<double>(Count));
  }
  return Out.str();
}

std::string formatSample(const std::string &Name, const Labels &Series,
                         double Value) {
  std::ostringstream Line;
  Line.precision(15);
  Line << Name;
  const char *Separator = "{";
  for (const auto &[Label, Text] : Series) {
    Line << Separator << Label << "=\"";
    for (char Letter : Text) {
      if (Letter == '\\' || Letter == '"') {
        Line << '\\';
      }
      Line << Letter;
    }
    Line << '"';
    Separator = ",";
  }
  Line << (Series.empty() ? " " : "} ") << Value << '\n';
  return Line.str();
}

} // namespace hickorycrank::metrics
