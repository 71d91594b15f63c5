#include "cactusgw/core/upstream_owner.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
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
                        CreditLedger::Create(aHolders, aEpoch, aNow, aTimes),
                        aNow };
}

UpstreamOwner::UpstreamOwner(LimitBounds aBounds,
                             CreditLedger aLedger,
                             Instant aNow)
  : mWarmup(WarmupLimit::Create(aBounds))
  , mLedger(std::move(aLedger))
  , mCreatedAt(aNow)
{
}

std::vector<CreditGrant>
UpstreamOwner::OnReport(std::string_view aVm,
                        const CreditReport& aReport,
                        const WorkReport& aWork,
                        Instant aNow)
{
  if (aWork.mTrouble) {
    ResetToCold();
  } else if (aWork.mCompleted > 0) {
    mWarmup.OnCompleted({ aWork.mCompleted, aWork.mSlow, mLedger.InUse() });
  }
  CollectKnownLimit(aReport.mKnownLimit);
  return WithLimit(mLedger.OnReport(aVm, aReport, Limit(), aNow));
}

std::vector<CreditGrant>
UpstreamOwner::OnLoad(const LoadObservation& aLoad, Instant aNow)
{
  mFailedLoadReports = 0;
  mAwaitsLoad = false;
  const bool isFirst = mIncarnation.empty();
  const bool restarted = !isFirst && aLoad.mIncarnation != mIncarnation;
  const bool overloaded = !isFirst && aLoad.mOverloads > mOverloads;
  if (restarted || overloaded) {
    ResetToCold();
  }
  mIncarnation = aLoad.mIncarnation;
  mOverloads = aLoad.mOverloads;
  mLedger.ObserveRunning({ aLoad.mRunning, aLoad.mSampledAt });
  return WithLimit(mLedger.GrantToWaiting(Limit(), aNow));
}

void
UpstreamOwner::OnLoadFailed()
{
  ++mFailedLoadReports;
  if (mFailedLoadReports == kFailuresUntilDown) {
    ResetToCold();
  }
}

std::vector<CreditGrant>
UpstreamOwner::OnConnectionLost(Instant aNow)
{
  ResetToCold();
  mAwaitsLoad = true;
  return WithLimit(mLedger.RevokeAll(aNow));
}

void
UpstreamOwner::SetDrained(bool aDrained)
{
  if (mDrained && !aDrained) {
    // The upstream got no new requests while drained. How long it was idle
    // isn't tracked, so it always counts as cold.
    ResetToCold();
  }
  mDrained = aDrained;
}

std::vector<CreditGrant>
UpstreamOwner::OnTick(Instant aNow)
{
  InheritLimit(aNow);
  return WithLimit(mLedger.GrantToWaiting(Limit(), aNow));
}

void
UpstreamOwner::CollectKnownLimit(const LimitStatement& aKnown)
{
  if (!mMayInherit || aKnown.mLimit == 0) {
    return;
  }
  const bool isFirst = mFormerLimit.mLimit == 0;
  if (!isFirst && aKnown.mIncarnation != mFormerLimit.mIncarnation) {
    mMayInherit = false; // The upstream restarted during the owner change.
    return;
  }
  mFormerLimit = { isFirst ? aKnown.mLimit
                           : std::min(mFormerLimit.mLimit, aKnown.mLimit),
                   aKnown.mIncarnation };
}

void
UpstreamOwner::InheritLimit(Instant aNow)
{
  const bool isCollected = aNow >= mCreatedAt + kInheritTime;
  if (!mMayInherit || !isCollected || mIncarnation.empty()) {
    return;
  }
  mMayInherit = false;
  if (mFormerLimit.mLimit > 0 &&
      mFormerLimit.mIncarnation == StableHash(mIncarnation)) {
    mWarmup.Inherit(mFormerLimit.mLimit);
  }
}

std::vector<CreditGrant>
UpstreamOwner::WithLimit(std::vector<CreditGrant> aGrants) const
{
  const bool isKnown = !mIncarnation.empty() && !mMayInherit;
  for (CreditGrant& grant : aGrants) {
    grant.mLimit = { isKnown ? Limit() : 0,
                     isKnown ? StableHash(mIncarnation) : 0 };
  }
  return aGrants;
}

std::uint32_t
UpstreamOwner::Limit() const
{
  return IsDown() || mDrained || mAwaitsLoad ? 0 : mWarmup.Limit();
}

void
UpstreamOwner::ResetToCold()
{
  mWarmup.OnTrouble();
  mMayInherit = false;
  ++mTimesCold;
}

} // namespace cactusgw
