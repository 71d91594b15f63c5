#include "cactusgw/entry/entry_metrics.hpp"

namespace cactusgw {

EntryMetrics::EntryMetrics()
  : mRequests(mRegistry.AddCounter(
      { "cactusgw_requests_total", "Requests received.", "" }))
  , mCompleted(mRegistry.AddCounter(
      { "cactusgw_requests_completed_total", "Requests answered whole.", "" }))
  , mNotRun(mRegistry.AddCounter({ "cactusgw_failures_total",
                                   "Failed requests by verdict.",
                                   "verdict=\"not-run\"" }))
  , mMayHaveRun(mRegistry.AddCounter({ "cactusgw_failures_total",
                                       "Failed requests by verdict.",
                                       "verdict=\"may-have-run\"" }))
  , mRan(mRegistry.AddCounter({ "cactusgw_failures_total",
                                "Failed requests by verdict.",
                                "verdict=\"ran\"" }))
  , mRetries(mRegistry.AddCounter(
      { "cactusgw_retries_total", "Requests sent again.", "" }))
  , mResumes(mRegistry.AddCounter(
      { "cactusgw_resumes_total", "Streams resumed on a new connection.", "" }))
  , mTokens(mRegistry.AddCounter(
      { "cactusgw_tokens_total", "Tokens delivered.", "" }))
  , mRepeatedFrames(mRegistry.AddCounter({ "cactusgw_frames_dropped_total",
                                           "Frames not delivered, by reason.",
                                           "reason=\"repeat\"" }))
  , mGapFrames(mRegistry.AddCounter({ "cactusgw_frames_dropped_total",
                                      "Frames not delivered, by reason.",
                                      "reason=\"gap\"" }))
  , mForeignFrames(mRegistry.AddCounter({ "cactusgw_frames_dropped_total",
                                          "Frames not delivered, by reason.",
                                          "reason=\"foreign\"" }))
  , mOpen(mRegistry.AddGauge(
      { "cactusgw_requests_open", "Requests in progress.", "" }))
  , mQuarantines(mRegistry.AddGauge(
      { "cactusgw_quarantines", "Quarantines of prompt parts in force.", "" }))
  , mFirstToken(mRegistry.AddLatency(
      { "cactusgw_first_token_seconds", "Time to the first token.", "" }))
  , mTokenGap(mRegistry.AddLatency(
      { "cactusgw_token_gap_seconds", "Time between two tokens.", "" }))
{
}

void
EntryMetrics::CountFailure(const Failure& aFailure)
{
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

void
EntryMetrics::CountFrames(const AssemblerCounts& aCounts)
{
  mRepeatedFrames.Add(aCounts.mDuplicates + aCounts.mAfterEnd);
  mGapFrames.Add(aCounts.mGaps);
  mForeignFrames.Add(aCounts.mForeign);
}

void
EntryMetrics::RecordFirstToken(std::chrono::nanoseconds aTime)
{
  mFirstToken.Record(aTime);
}

void
EntryMetrics::RecordGap(std::chrono::nanoseconds aTime)
{
  mTokenGap.Record(aTime);
}

void
EntryMetrics::SetOpenRequests(std::size_t aCount)
{
  mOpen.Set(static_cast<double>(aCount));
}

void
EntryMetrics::SetQuarantines(std::size_t aCount)
{
  mQuarantines.Set(static_cast<double>(aCount));
}

} // namespace cactusgw
