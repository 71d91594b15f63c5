#include "cactusgw/gateway/upstream_seeker.hpp"

#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace cactusgw {

namespace {

/// Part of the objective that a request may wait for room. The rest is left
/// for another try of the caller.
constexpr double kWaitPart = 0.6;
/// Longest time a waiting request sleeps before it looks again: others may
/// have freed room that nobody tells of.
constexpr Milliseconds kLookAgain{ 50 };

} // namespace

UpstreamSeeker::UpstreamSeeker(GatewayState& aState, Instant aStart)
  : mState(aState)
  , mStart(aStart)
{
}

Task<Result<std::string>>
UpstreamSeeker::Find(const AdmittedRequest& aRequest,
                     std::span<const std::string> aTried)
{
  if (aRequest.mService == nullptr) {
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "the route leads to no known service");
  }
  if (!mState.mLine.IsAhead(aRequest.mService->mName, aRequest.mRank)) {
    std::string found = FindRoom(aRequest, aTried);
    if (!found.empty()) {
      co_return found;
    }
  }
  co_return co_await Wait(aRequest, aTried);
}

std::string
UpstreamSeeker::FindRoom(const AdmittedRequest& aRequest,
                         std::span<const std::string> aTried) const
{
  const CandidateFilter filter{ aRequest.mRegions,
                                aTried,
                                mState.mSettings.mPlace.mDataCentre };
  const std::vector<Candidate> candidates =
    mState.Candidates(*aRequest.mService, filter, SteadyNow());
  const Candidate* const chosen =
    ChooseUpstream(candidates, *aRequest.mService, aRequest.mNeed);
  return chosen == nullptr ? std::string{} : chosen->mUpstream->mRecord.mId;
}

Task<Result<std::string>>
UpstreamSeeker::Wait(const AdmittedRequest& aRequest,
                     std::span<const std::string> aTried)
{
  mState.mMetrics.mWaits.Add();
  const std::string& service = aRequest.mService->mName;
  const Milliseconds longest = std::chrono::duration_cast<Milliseconds>(
    aRequest.mRoute->mLatencyObjective * kWaitPart);
  const Instant waitEnd = std::min(aRequest.mEnd, mStart + longest);
  const net::any_io_executor executor = co_await net::this_coro::executor;
  WaitingLine::Place place{ mState.mLine, service, aRequest.mRank, executor };
  mPlace = &place;
  std::string found;
  while (found.empty() && !mIsCancelled && SteadyNow() < waitEnd) {
    if (place.IsFirst()) {
      found = FindRoom(aRequest, aTried);
    }
    if (found.empty()) {
      co_await place.Wait(std::min(waitEnd, SteadyNow() + kLookAgain));
    }
  }
  mPlace = nullptr;
  if (!found.empty()) {
    co_return found;
  }
  const std::size_t known = mState.mDirectory.Serving(service).size();
  co_return NotRun(FailureCode::Busy,
                   "none of " + std::to_string(known) + " upstreams has room");
}

void
UpstreamSeeker::Cancel()
{
  mIsCancelled = true;
  if (mPlace != nullptr) {
    mPlace->Wake();
  }
}

} // namespace cactusgw
