#include "cactusgw/core/upstream_owner.hpp"

#include <utility>

namespace cactusgw {

UpstreamOwner
UpstreamOwner::Create(LimitBounds aBounds,
                      std::span<const CreditHolder> aHolders,
                      std::uint64_t aEpoch,
                      Instant aNow,
                      CreditTimes aTimes)
{
  return UpstreamOwner{ aBounds,
                        CreditLedger::Create(aHolders, aEpoch, aNow, aTimes) };
}

UpstreamOwner::UpstreamOwner(LimitBounds aBounds, CreditLedger aLedger)
  : mWarmup(WarmupLimit::Create(aBounds))
  , mLedger(std::move(aLedger))
{
}

std::vector<CreditGrant>
UpstreamOwner::OnReport(std::string_view aVm,
                        const CreditReport& aReport,
                        const WorkReport& aWork,
                        Instant aNow)
{
  if (aWork.mTrouble) {
    FallBackToCold();
  } else if (aWork.mCompleted > 0) {
    mWarmup.OnCompleted({ aWork.mCompleted, aWork.mSlow, mLedger.InUse() });
  }
  return mLedger.OnReport(aVm, aReport, Limit(), aNow);
}

std::vector<CreditGrant>
UpstreamOwner::OnLoad(const LoadObservation& aLoad, Instant aNow)
{
  mFailedLoads = 0;
  mAwaitsLoad = false;
  const bool isFirst = mIncarnation.empty();
  const bool restarted = !isFirst && aLoad.mIncarnation != mIncarnation;
  const bool overloaded = !isFirst && aLoad.mOverloads > mOverloads;
  if (restarted || overloaded) {
    FallBackToCold();
  }
  mIncarnation = aLoad.mIncarnation;
  mOverloads = aLoad.mOverloads;
  mLedger.ObserveRunning({ aLoad.mRunning, aLoad.mSampledAt });
  return mLedger.GrantWaiting(Limit(), aNow);
}

void
UpstreamOwner::OnLoadFailed()
{
  ++mFailedLoads;
  if (mFailedLoads == kFailuresUntilDown) {
    FallBackToCold();
  }
}

std::vector<CreditGrant>
UpstreamOwner::OnConnectionLost(Instant aNow)
{
  FallBackToCold();
  mAwaitsLoad = true;
  return mLedger.RevokeIdle(aNow);
}

void
UpstreamOwner::SetDrained(bool aDrained)
{
  if (mDrained && !aDrained) {
    // An upstream that had no work for a while counts as cold.
    FallBackToCold();
  }
  mDrained = aDrained;
}

std::vector<CreditGrant>
UpstreamOwner::OnTick(Instant aNow)
{
  return mLedger.GrantWaiting(Limit(), aNow);
}

std::uint32_t
UpstreamOwner::Limit() const
{
  return IsDown() || mDrained || mAwaitsLoad ? 0 : mWarmup.Limit();
}

void
UpstreamOwner::FallBackToCold()
{
  mWarmup.OnTrouble();
  ++mTimesCold;
}

} // namespace cactusgw
