#ifndef CACTUSGW_GATEWAY_GATEWAY_METRICS_HPP
#define CACTUSGW_GATEWAY_GATEWAY_METRICS_HPP

/// Counters, gauges and latency histograms of a gateway.

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
  Counter& mClientDisconnects;
  Counter& mAttempts;
  Counter& mRetries;
  Counter& mConnects;
  Counter& mWaits;
  Counter& mStoreCalls;
  Counter& mMigrationsStarted;
  Counter& mMigrationsCompleted;
  Counter& mMigrationsFailed;
  Counter& mContinued;
  Counter& mBackupsOrdered;
  Counter& mBackupsUsed;
  Counter& mBackupsRefused;
  Counter& mResumedStreams;
  Counter& mUnknownStreams;
  Counter& mHomeRefusals;
  Counter& mCrashSuspects;
  Counter& mQuarantinedRequests;
  Gauge& mQuarantines;
  Gauge& mRequestQuarantines;
  Gauge& mStoreEra;
  Gauge& mLimitedUpstreams;
  Counter& mRolloutTargetRequests;
  Counter& mRolloutOtherRequests;
  Counter& mRolloutTargetFailures;
  Counter& mRolloutOtherFailures;
  Gauge& mRolloutStage;
  Gauge& mOutlierUpstreams;
  Counter& mPromptCacheHits;
  Counter& mPromptCacheMisses;
  Counter& mPauses;
  Counter& mPausedRequests;
  Gauge& mPausedUpstreams;
  Counter& mDrainingResponses;
  Counter& mTunnelsOpened;
  Counter& mTunnelsFailed;
  Gauge& mLinksBroken;
  Gauge& mConfigVersion;
  Gauge& mConfigAge;
  Gauge& mMemoryCapacity;
  Gauge& mMemoryUsed;
  Gauge& mMemoryPeak;
  Counter& mMemoryRefusals;
  LatencyHistogram& mFirstByte;
  LatencyHistogram& mResponseTime;
  LatencyHistogram& mEventGap;

private:
  Counter& mNotRun;
  Counter& mMayHaveRun;
  Counter& mRan;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_METRICS_HPP
