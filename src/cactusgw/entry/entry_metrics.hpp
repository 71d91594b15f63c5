#ifndef CACTUSGW_ENTRY_ENTRY_METRICS_HPP
#define CACTUSGW_ENTRY_ENTRY_METRICS_HPP

/// Metrics of an entry.

#include "cactusgw/core/stream_assembler.hpp"
#include "cactusgw/core/verdict.hpp"
#include "cactusgw/telemetry/metrics.hpp"

#include <string>

namespace cactusgw {

class EntryMetrics
{
public:
  EntryMetrics();

  void CountRequest() { mRequests.Add(); }
  void CountCompleted() { mCompleted.Add(); }
  void CountFailure(const Failure& aFailure);
  void CountRetry() { mRetries.Add(); }
  void CountResume() { mResumes.Add(); }
  void CountTokens(std::uint64_t aCount) { mTokens.Add(aCount); }
  void CountFrames(const AssemblerCounts& aCounts);
  void RecordFirstToken(std::chrono::nanoseconds aTime);
  void RecordGap(std::chrono::nanoseconds aTime);
  void SetOpenRequests(std::size_t aCount);
  void SetQuarantines(std::size_t aCount);

  std::string Write() const { return mRegistry.Write(); }

private:
  MetricRegistry mRegistry;
  Counter& mRequests;
  Counter& mCompleted;
  Counter& mNotRun;
  Counter& mMayHaveRun;
  Counter& mRan;
  Counter& mRetries;
  Counter& mResumes;
  Counter& mTokens;
  Counter& mRepeatedFrames;
  Counter& mGapFrames;
  Counter& mForeignFrames;
  Gauge& mOpen;
  Gauge& mQuarantines;
  LatencyHistogram& mFirstToken;
  LatencyHistogram& mTokenGap;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_ENTRY_METRICS_HPP
