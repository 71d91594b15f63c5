#ifndef CACTUSGW_TELEMETRY_METRICS_HPP
#define CACTUSGW_TELEMETRY_METRICS_HPP

/// Counters, gauges and latency histograms, written as Prometheus text.

#include "cactusgw/core/verdict.hpp"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cactusgw {

/// Name and meaning of a metric; labels in the form `name="value"`.
struct MetricName
{
  std::string mName;
  std::string mHelp;
  std::string mLabels;
};

class Counter
{
public:
  explicit Counter(MetricName aName);
  void Add(std::uint64_t aCount = 1) { mValue += aCount; }
  std::uint64_t Value() const { return mValue; }
  const MetricName& Name() const { return mName; }

private:
  MetricName mName;
  std::uint64_t mValue = 0;
};

class Gauge
{
public:
  explicit Gauge(MetricName aName);
  void Set(double aValue) { mValue = aValue; }
  double Value() const { return mValue; }
  const MetricName& Name() const { return mName; }

private:
  MetricName mName;
  double mValue = 0;
};

/// A histogram of durations, in seconds when written.
class LatencyHistogram
{
public:
  explicit LatencyHistogram(MetricName aName);
  void Record(std::chrono::nanoseconds aDuration);
  void Write(std::string& aText) const;
  const MetricName& Name() const { return mName; }

private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  MetricName mName;
  Histogram mHistogram;
  double mSumSeconds = 0;
};

/// Owns a process's metrics. References stay valid as long as the registry.
class MetricRegistry
{
public:
  Counter& AddCounter(MetricName aName);
  Gauge& AddGauge(MetricName aName);
  LatencyHistogram& AddLatency(MetricName aName);

  /// All metrics in the Prometheus text format.
  std::string Write() const;

private:
  std::vector<std::unique_ptr<Counter>> mCounters;
  std::vector<std::unique_ptr<Gauge>> mGauges;
  std::vector<std::unique_ptr<LatencyHistogram>> mLatencies;
};

} // namespace cactusgw

#endif // CACTUSGW_TELEMETRY_METRICS_HPP
