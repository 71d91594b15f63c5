#include "cactusgw/telemetry/metrics.hpp"

#include <array>
#include <iomanip>
#include <sstream>
#include <utility>

namespace cactusgw {

namespace {

/// Upper edges in seconds. 0.029 and 0.94 are the targets between tokens and
/// to the first token.
constexpr std::array<double, 17> kEdgesSeconds{
  0.0,  0.001, 0.0025, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1,
  0.25, 0.5,   0.94,   2.0,   5.0,  10.0, 30.0,  60.0
};

std::string
Number(double aValue)
{
  std::ostringstream out;
  out << std::setprecision(12) << aValue;
  return out.str();
}

void
WriteHead(const MetricName& aName,
          std::string_view aType,
          std::string& aLastName,
          std::string& aText)
{
  if (aName.mName == aLastName) {
    return;
  }
  aLastName = aName.mName;
  aText += "# HELP " + aName.mName + " " + aName.mHelp + "\n";
  aText += "# TYPE " + aName.mName + " " + std::string{ aType } + "\n";
}

std::string
Labelled(const MetricName& aName)
{
  return aName.mLabels.empty() ? aName.mName
                               : aName.mName + "{" + aName.mLabels + "}";
}

} // namespace

Counter::Counter(MetricName aName)
  : mName(std::move(aName))
{
}

Gauge::Gauge(MetricName aName)
  : mName(std::move(aName))
{
}

LatencyHistogram::LatencyHistogram(MetricName aName)
  : mName(std::move(aName))
  , mHistogram(boost::histogram::make_histogram(
      Axis(kEdgesSeconds.begin(), kEdgesSeconds.end())))
{
}

void
LatencyHistogram::Record(std::chrono::nanoseconds aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  mHistogram(seconds);
  mSumSeconds += seconds;
}

void
LatencyHistogram::Write(std::string& aText) const
{
  const std::string prefix =
    mName.mLabels.empty() ? std::string{} : mName.mLabels + ",";
  double cumulative = 0;
  const Axis& axis = mHistogram.axis(0);
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += mHistogram.at(i);
    aText += mName.mName + "_bucket{" + prefix + "le=\"" +
             Number(axis.bin(i).upper()) + "\"} " + Number(cumulative) + "\n";
  }
  cumulative += mHistogram.at(axis.size());
  aText += mName.mName + "_bucket{" + prefix + "le=\"+Inf\"} " +
           Number(cumulative) + "\n";
  const std::string labels =
    mName.mLabels.empty() ? std::string{} : "{" + mName.mLabels + "}";
  aText += mName.mName + "_sum" + labels + " " + Number(mSumSeconds) + "\n";
  aText += mName.mName + "_count" + labels + " " + Number(cumulative) + "\n";
}

Counter&
MetricRegistry::AddCounter(MetricName aName)
{
  mCounters.push_back(std::make_unique<Counter>(std::move(aName)));
  return *mCounters.back();
}

Gauge&
MetricRegistry::AddGauge(MetricName aName)
{
  mGauges.push_back(std::make_unique<Gauge>(std::move(aName)));
  return *mGauges.back();
}

LatencyHistogram&
MetricRegistry::AddLatency(MetricName aName)
{
  mLatencies.push_back(std::make_unique<LatencyHistogram>(std::move(aName)));
  return *mLatencies.back();
}

std::string
MetricRegistry::Write() const
{
  std::string text;
  std::string lastName;
  for (const std::unique_ptr<Counter>& counter : mCounters) {
    WriteHead(counter->Name(), "counter", lastName, text);
    text +=
      Labelled(counter->Name()) + " " + std::to_string(counter->Value()) + "\n";
  }
  for (const std::unique_ptr<Gauge>& gauge : mGauges) {
    WriteHead(gauge->Name(), "gauge", lastName, text);
    text += Labelled(gauge->Name()) + " " + Number(gauge->Value()) + "\n";
  }
  for (const std::unique_ptr<LatencyHistogram>& latency : mLatencies) {
    WriteHead(latency->Name(), "histogram", lastName, text);
    latency->Write(text);
  }
  return text;
}

} // namespace cactusgw
