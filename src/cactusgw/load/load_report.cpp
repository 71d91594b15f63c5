#include "cactusgw/load/load_report.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cactusgw {

namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyFive = 0.95;
constexpr double kNinetyNine = 0.99;

std::string
Line(const char* aName, double aValue, const char* aUnit)
{
  constexpr std::size_t kLineBytes = 96;
  std::string line(kLineBytes, '\0');
  const int n = std::snprintf(
    line.data(), line.size(), "%-28s %12.2f %s\n", aName, aValue, aUnit);
  line.resize(static_cast<std::size_t>(n));
  return line;
}

} // namespace

void
TimeSeries::Add(std::chrono::nanoseconds aTime)
{
  mValues.push_back(std::chrono::duration<float, std::milli>(aTime).count());
}

double
TimeSeries::Quantile(double aQuantile) const
{
  if (mValues.empty()) {
    return 0;
  }
  std::vector<float> values = mValues;
  const double last = static_cast<double>(values.size() - 1);
  const std::size_t at =
    static_cast<std::size_t>(std::lround(aQuantile * last));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

std::string
WriteReportTable(const LoadReport& aReport)
{
  const auto count = [](std::uint64_t aCount) {
    return static_cast<double>(aCount);
  };
  std::string text;
  text += Line("requests", count(aReport.mRequests), "");
  text += Line("answered whole", count(aReport.mWhole), "");
  text += Line("broken with an error", count(aReport.mBroken), "");
  text += Line("refused, not run", count(aReport.mRefusedNotRun), "");
  text += Line("refused, may have run", count(aReport.mRefusedMayHaveRun), "");
  text += Line("refused, ran", count(aReport.mRefusedRan), "");
  text += Line("connection failures", count(aReport.mConnectionFailures), "");
  text += Line("violations", count(aReport.mViolations), "");
  text += Line("tokens", count(aReport.mTokens), "");
  text += Line("elapsed", aReport.mElapsedSeconds, "s");
  text += Line("first token p50", aReport.mFirstToken.Quantile(kMedian), "ms");
  text +=
    Line("first token p95", aReport.mFirstToken.Quantile(kNinetyFive), "ms");
  text += Line("between tokens p50", aReport.mTokenGap.Quantile(kMedian), "ms");
  text +=
    Line("between tokens p95", aReport.mTokenGap.Quantile(kNinetyFive), "ms");
  text +=
    Line("between tokens p99", aReport.mTokenGap.Quantile(kNinetyNine), "ms");
  text += Line("stall time", aReport.mStallSeconds, "s");
  text += Line("preemptions", count(aReport.mPreemptions), "");
  text += Line("upstream overloads", count(aReport.mOverloads), "");
  return text;
}

std::string
WriteReportJson(const LoadReport& aReport)
{
  return boost::json::serialize(boost::json::object{
    { "requests", aReport.mRequests },
    { "whole", aReport.mWhole },
    { "broken", aReport.mBroken },
    { "refusedNotRun", aReport.mRefusedNotRun },
    { "refusedMayHaveRun", aReport.mRefusedMayHaveRun },
    { "refusedRan", aReport.mRefusedRan },
    { "connectionFailures", aReport.mConnectionFailures },
    { "violations", aReport.mViolations },
    { "tokens", aReport.mTokens },
    { "elapsedSeconds", aReport.mElapsedSeconds },
    { "firstTokenP50Ms", aReport.mFirstToken.Quantile(kMedian) },
    { "firstTokenP95Ms", aReport.mFirstToken.Quantile(kNinetyFive) },
    { "tokenGapP50Ms", aReport.mTokenGap.Quantile(kMedian) },
    { "tokenGapP95Ms", aReport.mTokenGap.Quantile(kNinetyFive) },
    { "tokenGapP99Ms", aReport.mTokenGap.Quantile(kNinetyNine) },
    { "stallSeconds", aReport.mStallSeconds },
    { "preemptions", aReport.mPreemptions },
    { "overloads", aReport.mOverloads } });
}

} // namespace cactusgw
