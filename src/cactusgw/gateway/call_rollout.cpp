#include "cactusgw/gateway/call_rollout.hpp"

namespace cactusgw {

void
CallRollout::OnAdmitted(std::string_view aService,
                        std::string_view aRoute,
                        bool aIsConfigFresh)
{
  mService = aService;
  mRoute = aRoute;
  mChosen = mControl.OnRequest(aService, aIsConfigFresh);
  mSide = mChosen;
}

void
CallRollout::OnRetry()
{
  mSide = mControl.SideOfRetry(mService);
}

Result<void>
CallRollout::Check(std::string_view aVersion) const
{
  if (mControl.MaySend(mService, aVersion)) {
    return boost::outcome_v2::success();
  }
  return NotRun(FailureCode::UpstreamUnreachable,
                "the roll-out sends no requests to this version");
}

void
CallRollout::OnSent(std::string_view aVersion, Instant aNow)
{
  mPlace = mControl.OnSent(mService, aVersion, mRoute, mChosen);
  mChosen.reset();
  if (mPlace) {
    const bool isOnTarget = mPlace->mSide == RolloutSide::Target;
    (isOnTarget ? mMetrics.mRolloutTargetRequests
                : mMetrics.mRolloutOtherRequests)
      .Add();
  }
  mSentAt = aNow;
  mFirstEventAt.reset();
  mFurtherEvents = 0;
}

void
CallRollout::OnEvents(Instant aNow)
{
  if (!mPlace) {
    return;
  }
  mLastEventAt = aNow;
  if (mFirstEventAt) {
    ++mFurtherEvents;
    return;
  }
  mFirstEventAt = aNow;
  mControl.Evidence().OnFirstEvent(
    mPlace->mRollout,
    mRoute,
    mPlace->mSide,
    std::chrono::duration_cast<Milliseconds>(aNow - mSentAt));
}

void
CallRollout::OnCompleted(bool aIsServerError, Instant aNow)
{
  if (!mPlace) {
    return;
  }
  if (aIsServerError) {
    OnBroken();
    return;
  }
  OnEvents(aNow);
  if (mFurtherEvents > 1) {
    const Milliseconds time =
      std::chrono::duration_cast<Milliseconds>(mLastEventAt - *mFirstEventAt);
    mControl.Evidence().OnStreamEnded(
      mPlace->mRollout, mRoute, mPlace->mSide, time / mFurtherEvents);
  }
  mPlace.reset();
}

void
CallRollout::OnBroken()
{
  if (mPlace) {
    const bool isOnTarget = mPlace->mSide == RolloutSide::Target;
    (isOnTarget ? mMetrics.mRolloutTargetFailures
                : mMetrics.mRolloutOtherFailures)
      .Add();
    mControl.Evidence().OnFailed(
      mPlace->mRollout, mRoute, mPlace->mSide, mFirstEventAt.has_value());
  }
  mPlace.reset();
}

} // namespace cactusgw
