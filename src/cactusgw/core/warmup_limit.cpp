#include "cactusgw/core/warmup_limit.hpp"

#include <algorithm>

namespace cactusgw {

WarmupLimit
WarmupLimit::Create(LimitBounds aBounds)
{
  return WarmupLimit{ aBounds };
}

WarmupLimit::WarmupLimit(LimitBounds aBounds)
  : mBounds(aBounds)
  , mLimit(std::min(aBounds.mCold, aBounds.mWarm))
{
}

void
WarmupLimit::OnCompleted(const CompletedWork& aWork)
{
  mPeakInUse = std::max(mPeakInUse, aWork.mInUse + aWork.mCompleted);
  if (aWork.mSlow > 0) {
    // Requests were slow at this limit: discard the progress of this round and
    // lower the limit by a quarter, but not below the cold limit.
    mCompletedInRound = 0;
    mLimit = std::max(mBounds.mCold, mLimit - (mLimit / kGrowthDivisor / 2));
    return;
  }
  mCompletedInRound += aWork.mCompleted;
  const bool wasUsed = mPeakInUse * kMinUseDivisor >= mLimit;
  if (mCompletedInRound >= mLimit && wasUsed) {
    Grow();
  }
}

void
WarmupLimit::Grow()
{
  const std::uint32_t step = std::max(1U, mLimit / kGrowthDivisor);
  mLimit = std::min(mBounds.mWarm, mLimit + step);
  mCompletedInRound = 0;
  mPeakInUse = 0;
}

void
WarmupLimit::OnTrouble()
{
  mLimit = std::min(mBounds.mCold, mBounds.mWarm);
  mCompletedInRound = 0;
  mPeakInUse = 0;
}

void
WarmupLimit::Inherit(std::uint32_t aLimit)
{
  mLimit = std::clamp(aLimit, mLimit, mBounds.mWarm);
}

void
WarmupLimit::SetBounds(LimitBounds aBounds)
{
  mBounds = aBounds;
  mLimit = std::min(mLimit, mBounds.mWarm);
}

} // namespace cactusgw
