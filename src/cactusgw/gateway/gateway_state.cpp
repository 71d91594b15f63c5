#include "cactusgw/gateway/gateway_state.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Part of a shared bound that is used, so that small differences in what the
/// two sides count never break it.
constexpr double kUsedPart = 0.8;
/// Part of the bound on the age of keys up to which they are accepted. The
/// rest covers the time between the check and the send.
constexpr double kFreshnessPart = 0.9;

Milliseconds
FreshnessLimit(const GatewayBounds& aBounds)
{
  return std::chrono::duration_cast<Milliseconds>(aBounds.mKeyFreshness *
                                                  kFreshnessPart);
}

double
OwnOrder(const std::string& aVm, const std::string& aUpstream)
{
  constexpr double kHashes = 18446744073709551616.0; // 2 to the power of 64.
  return static_cast<double>(StableHash(aVm + aUpstream)) / kHashes;
}

bool
Holds(std::span<const std::string> aTexts, std::string_view aText)
{
  return std::find(aTexts.begin(), aTexts.end(), aText) != aTexts.end();
}

} // namespace

GatewayState::GatewayState(GatewaySettings aSettings, HeaderNames aNames)
  : mSettings(std::move(aSettings))
  , mNames(std::move(aNames))
  , mDirectory(UpstreamDirectory::Create())
  , mDrainNotices(DrainNotices::Create())
  , mLoads(LoadTable::Create())
  , mHealth(UpstreamHealth::Create())
  , mColdGate(ColdGate::Create())
  , mPool(UpstreamPool::Create())
  , mLine(WaitingLine::Create())
  , mFreshness(StoreFreshness::Create(FreshnessLimit(mSettings.mBounds)))
  , mRecorder(mSettings.mPlace.mVm + "/gateway")
  , mLog("gateway")
{
}

void
GatewayState::Reload(const GatewaySettings& aSettings)
{
  mSettings.mBounds = aSettings.mBounds;
  mSettings.mRegions = aSettings.mRegions;
  mSettings.mUnreadyTime = aSettings.mUnreadyTime;
  mSettings.mStopTime = aSettings.mStopTime;
  mFreshness.SetLimit(FreshnessLimit(aSettings.mBounds));
}

Distance
GatewayState::DistanceBetween(std::string_view aFrom,
                              std::string_view aTo) const
{
  if (aFrom == aTo) {
    return Distance::SameDataCentre;
  }
  const auto there = mSettings.mRegions.find(aTo);
  const auto here = mSettings.mRegions.find(aFrom);
  const bool same = there != mSettings.mRegions.end() &&
                    here != mSettings.mRegions.end() &&
                    there->second == here->second;
  return same ? Distance::SameRegion : Distance::OtherRegion;
}

bool
GatewayState::IsCold(const KnownUpstream& aUpstream, Instant aNow) const
{
  const auto back = mTakenBackUntil.find(aUpstream.mRecord.mDataCentre);
  const bool takenBack = back != mTakenBackUntil.end() && aNow < back->second;
  return takenBack || aNow < aUpstream.mColdUntil;
}

std::uint32_t
GatewayState::ColdShare(const GatewayService& aService) const
{
  const GatewayBounds& bounds = mSettings.mBounds;
  const double all = aService.mColdPerSecond * bounds.mColdFactor +
                     static_cast<double>(bounds.mColdExtra);
  const double share = kUsedPart * all / static_cast<double>(mGateways);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share));
}

std::vector<Candidate>
GatewayState::Candidates(const GatewayService& aService,
                         const CandidateFilter& aFilter,
                         Instant aNow) const
{
  std::vector<Candidate> candidates;
  for (const KnownUpstream* const known : mDirectory.Serving(aService.mName)) {
    const UpstreamRecord& record = known->mRecord;
    const auto region = mSettings.mRegions.find(record.mDataCentre);
    const bool isAllowed =
      aFilter.mRegions.empty() || (region != mSettings.mRegions.end() &&
                                   Holds(aFilter.mRegions, region->second));
    const bool isLimited =
      aService.mColdPerSecond > 0 && IsCold(*known, aNow) &&
      !mColdGate.Allows(record.mId, ColdShare(aService), aNow);
    if (isAllowed && !isLimited && !Holds(aFilter.mExcluded, record.mId)) {
      candidates.push_back(
        { known,
          mLoads.Total(record.mId, aNow),
          DistanceBetween(aFilter.mFromDataCentre, record.mDataCentre),
          mHealth.Badness(record.mId, aNow),
          OwnOrder(mSettings.mPlace.mVm, record.mId) });
    }
  }
  return candidates;
}

SharedRetryBudget&
GatewayState::RetriesTo(const std::string& aService)
{
  const auto it = mRetryBudgets.find(aService);
  if (it != mRetryBudgets.end()) {
    return it->second;
  }
  const GatewayBounds& bounds = mSettings.mBounds;
  const RetryBound bound{ kUsedPart * bounds.mRetryRatio,
                          kUsedPart * bounds.mRetryExtra,
                          bounds.mRetryWindow };
  return mRetryBudgets.emplace(aService, SharedRetryBudget::Create(bound))
    .first->second;
}

void
GatewayState::OnSent(const KnownUpstream& aUpstream, Instant aNow)
{
  mMetrics.mSends.Add();
  if (IsCold(aUpstream, aNow)) {
    mColdGate.OnSent(aUpstream.mRecord.mId, aNow);
  }
}

void
GatewayState::Forget(const std::string& aUpstream)
{
  mHealth.Forget(aUpstream);
  mColdGate.Forget(aUpstream);
  mPool.Forget(aUpstream);
}

} // namespace cactusgw
