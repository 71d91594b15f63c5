#ifndef CACTUSGW_GATEWAY_GATEWAY_METRICS_HPP
#define CACTUSGW_GATEWAY_GATEWAY_METRICS_HPP

/// Counters and latencies of a gateway.

#include "cactusgw/telemetry/metrics.hpp"

#include <string>

namespace cactusgw {

/// Not thread-safe; one instance per process.
class GatewayMetrics
{
public:
  GatewayMetrics();

  void CountFailure(const Failure& aFailure);
  std::string Write() const { return mRegistry.Write(); }

private:
  MetricRegistry mRegistry;

public:
  Counter& mRequests;
  Counter& mCompleted;
  Counter& mCallersLeft;
  Counter& mSends;
  Counter& mRepeats;
  Counter& mConnects;
  Counter& mWaits;
  Counter& mStoreCalls;
  Counter& mMovesStarted;
  Counter& mMovesDone;
  Counter& mMovesFailed;
  Counter& mContinued;
  Gauge& mConfigVersion;
  Gauge& mKnowledgeAge;
  LatencyHistogram& mFirstByte;
  LatencyHistogram& mWholeAnswer;
  LatencyHistogram& mEventGap;

private:
  Counter& mNotRun;
  Counter& mMayHaveRun;
  Counter& mRan;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_METRICS_HPP
