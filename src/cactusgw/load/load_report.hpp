#ifndef CACTUSGW_LOAD_LOAD_REPORT_HPP
#define CACTUSGW_LOAD_LOAD_REPORT_HPP

/// Results of a load run.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cactusgw {

/// Times in milliseconds, kept whole for exact quantiles.
class TimeSeries
{
public:
  void Add(std::chrono::nanoseconds aTime);
  std::size_t Count() const { return mValues.size(); }
  double Quantile(double aQuantile) const;

private:
  std::vector<float> mValues;
};

struct LoadReport
{
  std::uint64_t mRequests = 0;
  /// Answered whole, in order and from one generation.
  std::uint64_t mWhole = 0;
  /// Ended with an error that said so, after tokens had come.
  std::uint64_t mBroken = 0;
  std::uint64_t mRefusedNotRun = 0;
  std::uint64_t mRefusedMayHaveRun = 0;
  std::uint64_t mRefusedRan = 0;
  /// The connection failed without an answer.
  std::uint64_t mConnectionFailures = 0;
  /// Tokens lost, repeated, out of order or mixed, and silent ends.
  std::uint64_t mViolations = 0;
  std::uint64_t mTokens = 0;
  double mStallSeconds = 0;
  double mElapsedSeconds = 0;
  /// As told by the engines, over the run.
  std::uint64_t mPreemptions = 0;
  std::uint64_t mOverloads = 0;
  TimeSeries mFirstToken;
  TimeSeries mTokenGap;
};

std::string WriteReportTable(const LoadReport& aReport);

std::string WriteReportJson(const LoadReport& aReport);

} // namespace cactusgw

#endif // CACTUSGW_LOAD_LOAD_REPORT_HPP
