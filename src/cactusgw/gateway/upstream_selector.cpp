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
  if (!mState.mWaitQueue.HasWaiterAheadOf(QueueOf(aRequest), aRequest.mRank)) {
    std::string found = SelectAvailable(aRequest, aTried);
    if (!found.empty()) {
      co_return found;
    }
  }
  co_return co_await Wait(aRequest, aTried);
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
  const CandidateFilter filter{ mState.Gate(BootNow()).RegionsFor(
                                  aRequest.mOrigin),
                                aTried,
                                mState.mSettings.mPlace.mDataCentre,
                                mWaitEntry != nullptr };
  const std::vector<Candidate> candidates =
    mState.Candidates(*aRequest.mService, filter, SteadyNow());
  const Candidate* const chosen =
    ChooseUpstream(candidates, *aRequest.mService, aRequest.mTokenNeed);
  return chosen == nullptr ? std::string{} : chosen->mUpstream->mRecord.mId;
}

Task<Result<std::string>>
UpstreamSelector::Wait(const AdmittedRequest& aRequest,
                       std::span<const std::string> aTried)
{
  mState.mMetrics.mWaits.Add();
  const std::string& service = aRequest.mService->mName;
  const Milliseconds longest = std::chrono::duration_cast<Milliseconds>(
    aRequest.mRoute->mLatencyObjective * kMaxWaitFraction);
  const Instant waitEnd = std::min(aRequest.mDeadline, mStart + longest);
  const net::any_io_executor executor = co_await net::this_coro::executor;
  WaitQueue::Entry entry{
    mState.mWaitQueue, QueueOf(aRequest), aRequest.mRank, executor
  };
  mWaitEntry = &entry;
  std::string found;
  Result<void> homes = boost::outcome_v2::success();
  while (found.empty() && homes && !mIsCancelled && SteadyNow() < waitEnd) {
    if (entry.IsFirst()) {
      found = SelectAvailable(aRequest, aTried);
    }
    if (found.empty()) {
      co_await entry.Wait(std::min(waitEnd, SteadyNow() + kRecheckInterval));
      homes = CheckHomes(mState, aRequest.mOrigin);
    }
  }
  mWaitEntry = nullptr;
  if (!found.empty()) {
    co_return found;
  }
  if (!homes) {
    co_return homes.error();
  }
  const std::size_t known = mState.mDirectory.Serving(service).size();
  co_return NotRun(FailureCode::Busy,
                   "none of " + std::to_string(known) + " upstreams has room");
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
