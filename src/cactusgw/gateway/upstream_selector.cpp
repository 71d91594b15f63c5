#include "cactusgw/gateway/upstream_selector.hpp"

#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace cactusgw {

namespace {

/// Fraction of the route's latency objective that a request may spend in the
/// queue. The rest is left for a retry by the client.
constexpr double kMaxWaitFraction = 0.6;
/// Maximum time between two checks of a queued request: capacity that other
/// gateways release causes no local notification.
constexpr Milliseconds kRecheckInterval{ 50 };

} // namespace

UpstreamSelector::UpstreamSelector(GatewayState& aState, Instant aStart)
  : mState(aState)
  , mStart(aStart)
{
}

Task<Result<std::string>>
UpstreamSelector::Find(const AdmittedRequest& aRequest,
                       std::span<const std::string> aTried)
{
  if (aRequest.mService == nullptr) {
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "the route leads to no known service");
  }
  const Result<void> homes = CheckHomes(mState, aRequest.mOrigin);
  if (!homes) {
    co_return homes.error();
  }
  const std::string& version = aRequest.mOrigin.mStreamVersion;
  if (!version.empty() &&
      !mState.IsVersionServing(aRequest.mService->mName, version)) {
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "no upstream of version " + version +
                       ", which began the stream, is left");
  }
  std::string found = SelectAtOnce(aRequest, aTried);
  if (!found.empty()) {
    co_return found;
  }
  const Result<void> unpaused = CheckPauses(aRequest);
  if (!unpaused) {
    co_return unpaused.error();
  }
  co_return co_await Wait(aRequest, aTried);
}

std::string
UpstreamSelector::FindAtOnce(const AdmittedRequest& aRequest,
                             std::span<const std::string> aTried) const
{
  return aRequest.mService == nullptr ? std::string{}
                                      : SelectAtOnce(aRequest, aTried);
}

std::string
UpstreamSelector::SelectAtOnce(const AdmittedRequest& aRequest,
                               std::span<const std::string> aTried) const
{
  if (mState.mWaitQueue.HasWaiterAheadOf(QueueOf(aRequest), aRequest.mRank)) {
    return {};
  }
  return SelectAvailable(aRequest, aTried);
}

std::string
UpstreamSelector::QueueOf(const AdmittedRequest& aRequest) const
{
  return aRequest.mService->mName + " " +
         mState.Gate(BootNow()).RegionsFor(aRequest.mOrigin).Text();
}

std::string
UpstreamSelector::SelectAvailable(const AdmittedRequest& aRequest,
                                  std::span<const std::string> aTried) const
{
  CandidateFilter filter{ mState.Gate(BootNow()).RegionsFor(aRequest.mOrigin),
                          aTried,
                          mState.mSettings.mPlace.mDataCentre,
                          mWaitEntry != nullptr,
                          aRequest.mSide,
                          aRequest.mPromptPrefixes,
                          aRequest.mOrigin.mStreamVersion,
                          aRequest.mRoute->mKind ==
                              RouteKind::ResumableStream &&
                            aRequest.mOrigin.mStreamVersion.empty() };
  const GatewayService& service = *aRequest.mService;
  std::vector<Candidate> candidates =
    mState.Candidates(service, filter, SteadyNow());
  const Candidate* chosen =
    ChooseUpstream(candidates, service, aRequest.mTokenNeed);
  if (chosen == nullptr && filter.mSide == RolloutSide::Target &&
      mState.mRollouts.MayFallBack(service.mName)) {
    filter.mSide = RolloutSide::OtherVersions;
    candidates = mState.Candidates(service, filter, SteadyNow());
    chosen = ChooseUpstream(candidates, service, aRequest.mTokenNeed);
  }
  return chosen == nullptr ? std::string{} : chosen->mUpstream->mRecord.mId;
}

Task<Result<std::string>>
UpstreamSelector::Wait(const AdmittedRequest& aRequest,
                       std::span<const std::string> aTried)
{
  mState.mMetrics.mWaits.Add();
  const std::string& service = aRequest.mService->mName;
  const Instant waitEnd = WaitEnd(aRequest);
  const net::any_io_executor executor = co_await net::this_coro::executor;
  WaitQueue::Entry entry{
    mState.mWaitQueue, QueueOf(aRequest), aRequest.mRank, executor
  };
  mWaitEntry = &entry;
  std::string found;
  Result<void> hopeful = boost::outcome_v2::success();
  while (found.empty() && hopeful && !mIsCancelled && SteadyNow() < waitEnd) {
    if (entry.IsFirst()) {
      found = SelectAvailable(aRequest, aTried);
    }
    if (found.empty()) {
      co_await entry.Wait(std::min(waitEnd, SteadyNow() + kRecheckInterval));
      hopeful = CheckHomes(mState, aRequest.mOrigin);
      if (hopeful) {
        hopeful = CheckPauses(aRequest);
      }
    }
  }
  mWaitEntry = nullptr;
  if (!found.empty()) {
    co_return found;
  }
  if (!hopeful) {
    co_return hopeful.error();
  }
  const std::size_t known = mState.mDirectory.Serving(service).size();
  co_return NotRun(FailureCode::Busy,
                   "none of " + std::to_string(known) + " upstreams has room");
}

Result<void>
UpstreamSelector::CheckPauses(const AdmittedRequest& aRequest) const
{
  const Instant now = SteadyNow();
  const std::optional<Instant> first =
    mState.AllPausedUntil(*aRequest.mService,
                          mState.Gate(BootNow()).RegionsFor(aRequest.mOrigin),
                          now);
  if (!first || *first < WaitEnd(aRequest)) {
    return boost::outcome_v2::success();
  }
  mState.mMetrics.mPausedRequests.Add();
  return NotRun(FailureCode::Busy,
                "all upstreams asked for a pause",
                std::chrono::ceil<Milliseconds>(*first - now));
}

Instant
UpstreamSelector::WaitEnd(const AdmittedRequest& aRequest) const
{
  const Milliseconds longest = std::chrono::duration_cast<Milliseconds>(
    aRequest.mRoute->mLatencyObjective * kMaxWaitFraction);
  return std::min(aRequest.mDeadline, mStart + longest);
}

void
UpstreamSelector::Cancel()
{
  mIsCancelled = true;
  if (mWaitEntry != nullptr) {
    mWaitEntry->Wake();
  }
}

} // namespace cactusgw
