#include "cactusgw/gateway/gateway_metrics.hpp"

namespace cactusgw {

namespace {

MetricName
FailureMetric(const char* aVerdict)
{
  return { "cactusgw_failures_total",
           "Failed requests by verdict.",
           std::string{ "verdict=\"" } + aVerdict + "\"" };
}

MetricName
MigrationMetric(const char* aOutcome)
{
  return { "cactusgw_moves_total",
           "Generations moved to another upstream, by outcome.",
           std::string{ "outcome=\"" } + aOutcome + "\"" };
}

MetricName
BackupMetric(const char* aOutcome)
{
  return { "cactusgw_backups_total",
           "Generations replicated to a second upstream while they run, and "
           "those that it continued or refused to.",
           std::string{ "outcome=\"" } + aOutcome + "\"" };
}

MetricName
ResumptionMetric(const char* aVersion)
{
  return { "cactusgw_resumptions_total",
           "Streams that clients resumed, by whether the version that began "
           "them was known; the others were refused.",
           std::string{ "version=\"" } + aVersion + "\"" };
}

MetricName
RolloutMetric(const char* aName, const char* aSide)
{
  return { aName,
           "Requests sent, or failed, while a roll-out of their service is in "
           "progress, by version.",
           std::string{ "side=\"" } + aSide + "\"" };
}

} // namespace

GatewayMetrics::GatewayMetrics()
  : mRequests(mRegistry.AddCounter(
      { "cactusgw_requests_total", "Requests received.", "" }))
  , mCompleted(mRegistry.AddCounter({ "cactusgw_requests_completed_total",
                                      "Requests answered by an upstream.",
                                      "" }))
  , mClientDisconnects(mRegistry.AddCounter(
      { "cactusgw_callers_left_total", "Requests whose caller left.", "" }))
  , mAttempts(mRegistry.AddCounter(
      { "cactusgw_sends_total", "Requests sent to upstreams.", "" }))
  , mRetries(mRegistry.AddCounter(
      { "cactusgw_repeats_total", "Requests sent once more.", "" }))
  , mConnects(mRegistry.AddCounter({ "cactusgw_upstream_connections_total",
                                     "New connections to upstreams.",
                                     "" }))
  , mWaits(mRegistry.AddCounter(
      { "cactusgw_waits_total", "Requests that waited for an upstream.", "" }))
  , mStoreCalls(mRegistry.AddCounter(
      { "cactusgw_store_calls_total", "Calls to the platform's store.", "" }))
  , mMigrationsStarted(mRegistry.AddCounter(MigrationMetric("started")))
  , mMigrationsCompleted(mRegistry.AddCounter(MigrationMetric("done")))
  , mMigrationsFailed(mRegistry.AddCounter(MigrationMetric("failed")))
  , mContinued(mRegistry.AddCounter({ "cactusgw_streams_continued_total",
                                      "Streams continued by an upstream.",
                                      "" }))
  , mBackupsOrdered(mRegistry.AddCounter(BackupMetric("ordered")))
  , mBackupsUsed(mRegistry.AddCounter(BackupMetric("used")))
  , mBackupsRefused(mRegistry.AddCounter(BackupMetric("refused")))
  , mResumedStreams(mRegistry.AddCounter(ResumptionMetric("known")))
  , mUnknownStreams(mRegistry.AddCounter(ResumptionMetric("unknown")))
  , mHomeRefusals(
      mRegistry.AddCounter({ "cactusgw_home_refusals_total",
                             "Requests refused for want of an upstream in the "
                             "regions that they are allowed in.",
                             "" }))
  , mCrashSuspects(
      mRegistry.AddCounter({ "cactusgw_crash_suspects_total",
                             "Requests whose connection the upstream closed "
                             "before their answer had begun.",
                             "" }))
  , mQuarantinedRequests(
      mRegistry.AddCounter({ "cactusgw_quarantined_requests_total",
                             "Requests refused as they, or their prompt parts, "
                             "crash upstreams.",
                             "" }))
  , mQuarantines(mRegistry.AddGauge(
      { "cactusgw_quarantines", "Quarantines of prompt parts in force.", "" }))
  , mRequestQuarantines(
      mRegistry.AddGauge({ "cactusgw_request_quarantines",
                           "Quarantines of requests in force.",
                           "" }))
  , mStoreEra(mRegistry.AddGauge(
      { "cactusgw_store_era",
        "Era of the store: how often it was restored from a copy.",
        "" }))
  , mLimitedUpstreams(
      mRegistry.AddGauge({ "cactusgw_limited_upstreams",
                           "Upstreams that state a limit of their requests.",
                           "" }))
  , mRolloutTargetRequests(mRegistry.AddCounter(
      RolloutMetric("cactusgw_rollout_requests_total", "target")))
  , mRolloutOtherRequests(mRegistry.AddCounter(
      RolloutMetric("cactusgw_rollout_requests_total", "others")))
  , mRolloutTargetFailures(mRegistry.AddCounter(
      RolloutMetric("cactusgw_rollout_failures_total", "target")))
  , mRolloutOtherFailures(mRegistry.AddCounter(
      RolloutMetric("cactusgw_rollout_failures_total", "others")))
  , mRolloutStage(mRegistry.AddGauge(
      { "cactusgw_rollout_stage",
        "Stage that a roll-out has last reached, from 0 (observing) to 6.",
        "" }))
  , mOutlierUpstreams(mRegistry.AddGauge(
      { "cactusgw_outlier_upstreams",
        "Upstreams that are ejected, as they fail more than others.",
        "" }))
  , mPromptCacheHits(mRegistry.AddCounter(
      { "cactusgw_prompt_cache_hits_total",
        "Tokens of shared prompt parts that the upstream was expected to hold.",
        "" }))
  , mPromptCacheMisses(mRegistry.AddCounter(
      { "cactusgw_prompt_cache_misses_total",
        "Tokens of shared prompt parts that the upstream was expected to read.",
        "" }))
  , mPauses(mRegistry.AddCounter(
      { "cactusgw_upstream_pauses_total",
        "Refusals by which an upstream asked for a pause, or a longer one.",
        "" }))
  , mPausedRequests(mRegistry.AddCounter(
      { "cactusgw_paused_requests_total",
        "Requests refused because all of their upstreams are paused.",
        "" }))
  , mPausedUpstreams(mRegistry.AddGauge(
      { "cactusgw_paused_upstreams", "Upstreams that asked for a pause.", "" }))
  , mDrainingResponses(mRegistry.AddCounter(
      { "cactusgw_draining_responses_total",
        "Responses by which an upstream stated that it is draining.",
        "" }))
  , mTunnelsOpened(mRegistry.AddCounter(
      { "cactusgw_tunnels_opened_total",
        "Connections to upstreams that another gateway carries.",
        "" }))
  , mTunnelsFailed(mRegistry.AddCounter(
      { "cactusgw_tunnels_failed_total",
        "Requests to another gateway to carry a connection that failed.",
        "" }))
  , mLinksBroken(
      mRegistry.AddGauge({ "cactusgw_links_broken",
                           "1 while this gateway reaches no upstream directly.",
                           "" }))
  , mConfigVersion(mRegistry.AddGauge(
      { "cactusgw_config_version", "Configuration in force.", "" }))
  , mConfigAge(mRegistry.AddGauge({ "cactusgw_config_age_seconds",
                                    "Age of the configuration's last "
                                    "confirmation by the store.",
                                    "" }))
  , mMemoryCapacity(
      mRegistry.AddGauge({ "cactusgw_memory_capacity_bytes",
                           "Memory for requests and answers in progress.",
                           "" }))
  , mMemoryUsed(
      mRegistry.AddGauge({ "cactusgw_memory_used_bytes",
                           "Memory of requests and answers in progress.",
                           "" }))
  , mMemoryPeak(mRegistry.AddGauge(
      { "cactusgw_memory_peak_bytes",
        "Maximum of cactusgw_memory_used_bytes since the start.",
        "" }))
  , mMemoryRefusals(
      mRegistry.AddCounter({ "cactusgw_memory_refusals_total",
                             "Requests refused for want of memory.",
                             "" }))
  , mFirstByte(mRegistry.AddLatency(
      { "cactusgw_first_byte_seconds", "Time until the answer begins.", "" }))
  , mResponseTime(mRegistry.AddLatency(
      { "cactusgw_answer_seconds", "Time until the answer is whole.", "" }))
  , mEventGap(mRegistry.AddLatency({ "cactusgw_event_gap_seconds",
                                     "Time between two parts of a stream.",
                                     "" }))
  , mNotRun(mRegistry.AddCounter(FailureMetric("not-run")))
  , mMayHaveRun(mRegistry.AddCounter(FailureMetric("may-have-run")))
  , mRan(mRegistry.AddCounter(FailureMetric("ran")))
{
}

void
GatewayMetrics::CountFailure(const Failure& aFailure)
{
  if (aFailure.mCode == FailureCode::OutsideHomeRegions) {
    mHomeRefusals.Add();
  }
  switch (aFailure.mVerdict) {
    case Verdict::NotRun:
      mNotRun.Add();
      break;
    case Verdict::MayHaveRun:
      mMayHaveRun.Add();
      break;
    case Verdict::Ran:
      mRan.Add();
      break;
  }
}

} // namespace cactusgw
