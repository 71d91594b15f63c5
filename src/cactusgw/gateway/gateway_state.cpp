#include "cactusgw/gateway/gateway_state.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/gateway/store_relay.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Fraction of a shared limit that is used, so that small differences between
/// the counts of the two sides can't exceed the limit.
constexpr double kUsedFraction = 0.8;
/// Fraction of the maximum age of API keys and of regions up to which they are
/// accepted. The rest covers the time between the check and the send to the
/// upstream.
constexpr double kFreshnessFraction = 0.9;

Milliseconds
FreshnessLimit(Milliseconds aBound)
{
  return std::chrono::duration_cast<Milliseconds>(aBound * kFreshnessFraction);
}

ByteBudgetSizes
MemorySizes(const GatewaySettings& aSettings)
{
  constexpr double kBytesPerMb = 1024.0 * 1024.0;
  return ByteBudgetSizes::ForProcess(
    static_cast<std::size_t>(aSettings.mMemoryMb * kBytesPerMb));
}

double
TieBreakRank(const std::string& aVm, const std::string& aUpstream)
{
  constexpr double kHashes = 18446744073709551616.0; // 2 to the power of 64.
  return static_cast<double>(StableHash(aVm + aUpstream)) / kHashes;
}

bool
Contains(std::span<const std::string> aValues, std::string_view aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

} // namespace

GatewayState::GatewayState(GatewaySettings aSettings,
                           HeaderNames aNames,
                           StartQuestion aStartQuestion,
                           bool aRecordsVersions)
  : mSettings(std::move(aSettings))
  , mNames(std::move(aNames))
  , mDirectory(UpstreamDirectory::Create())
  , mStoreOutages(StoreOutages::Create())
  , mDrainNotices(DrainNotices::Create())
  , mLoads(LoadTable::Create())
  , mHealth(UpstreamHealth::Create())
  , mResponses(ResponseWindow::Create())
  , mCrashes(CrashEvidence::Create())
  , mRequestCrashes(RequestCrashes::Create())
  , mStatedLimits(StatedLimits::Create())
  , mLimitPacer(LimitPacer::Create())
  , mBrittle(BrittleUpstreams::Create({ kMinGateways, 0 }, SteadyNow()))
  , mRollouts(RolloutControl::Create(
      StableHash(mSettings.mPlace.mVm + " " + std::to_string(WallClockMs()))))
  , mPromptCaches(PromptCacheIndex::Create())
  , mColdStartLimiter(ColdStartLimiter::Create())
  , mPauses(UpstreamPauses::Create())
  , mPool(UpstreamConnectionPool::Create())
  , mWaitQueue(WaitQueue::Create())
  , mFreshness(
      StoreFreshness::Create(FreshnessLimit(mSettings.mBounds.mKeyFreshness)))
  , mStreamOrigins(StreamOrigins::Create())
  , mStreamVersions(StreamVersions::Create(aRecordsVersions))
  , mStartQuestion(std::move(aStartQuestion))
  , mMemory(ByteBudget::Create(MemorySizes(mSettings)))
  , mRecorder(mSettings.mPlace.mVm + "/gateway")
  , mLog("gateway")
{
  mFreshness.SetOutdatedLimit(FreshnessLimit(mSettings.mBounds.mHomeFreshness));
  mRollouts.SetSettings(SettingsOfRollouts());
  mRequestCrashes.SetPlace({ 0, 1, StableHash(mSettings.mPlace.mVm) });
  mCrashes.SetOneRequestCheck(
    [this](std::span<const UpstreamStart> aUpstreams) {
      return mRequestCrashes.HasSuspectOfAll(aUpstreams);
    });
}

void
GatewayState::Reload(const GatewaySettings& aSettings)
{
  mSettings.mBounds = aSettings.mBounds;
  mRollouts.SetSettings(SettingsOfRollouts());
  mSettings.mFeatures = aSettings.mFeatures;
  mSettings.mRegions = aSettings.mRegions;
  mSettings.mUnreadyTime = aSettings.mUnreadyTime;
  mSettings.mStopTime = aSettings.mStopTime;
  mSettings.mMemoryMb = aSettings.mMemoryMb;
  mMemory->Resize(MemorySizes(mSettings));
  mFreshness.SetLimit(FreshnessLimit(aSettings.mBounds.mKeyFreshness));
  mFreshness.SetOutdatedLimit(FreshnessLimit(mSettings.mBounds.mHomeFreshness));
}

SendGate
GatewayState::Gate(BootTime aNow) const
{
  return SendGate{ SendFacts{
    mTable.get(),
    mFreshness.IsUsable(),
    mFreshness.IsFresh(aNow),
    mFreshness.IsYoungerThan(FreshnessLimit(mSettings.mBounds.mHomeFreshness),
                             aNow),
    mDirectory,
    mSettings.mRegions,
    mPauses,
    mCrashes,
    mRequestCrashes,
    SteadyNow() } };
}

std::string
GatewayState::RegionOf(std::string_view aDataCentre) const
{
  const auto it = mSettings.mRegions.find(aDataCentre);
  return it == mSettings.mRegions.end() ? "unknown" : it->second;
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
  const auto undrained =
    mColdAfterUndrainUntil.find(aUpstream.mRecord.mDataCentre);
  const bool isRecentlyUndrained =
    undrained != mColdAfterUndrainUntil.end() && aNow < undrained->second;
  return isRecentlyUndrained || aNow < aUpstream.mColdUntil;
}

std::uint32_t
GatewayState::ColdStartShare(const GatewayService& aService) const
{
  const GatewayBounds& bounds = mSettings.mBounds;
  const double all =
    aService.mColdPerSecond * bounds.mColdFactor + bounds.mColdExtra;
  const double share = kUsedFraction * all / static_cast<double>(mGatewayCount);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share));
}

std::vector<Candidate>
GatewayState::Candidates(const GatewayService& aService,
                         const CandidateFilter& aFilter,
                         Instant aNow) const
{
  std::vector<Candidate> candidates;
  std::vector<Candidate> ejected;
  const bool isRestricted = mRollouts.Restricts(aService.mName, aNow);
  std::vector<VersionedUpstream> versions;
  std::set<std::string_view> admitted;
  if (isRestricted) {
    versions = VersionsOf(aService.mName, aNow);
    admitted =
      mRollouts.Admitted(aService.mName, aFilter.mSide, versions, aNow);
  }
  const PreferredUpstreams preferred =
    PreferredFor(aService, aFilter.mPromptPrefixes, aNow);
  std::map<std::string_view, bool> mayBegin;
  // Decides by regions that the caller has derived, whatever their age.
  const SendGate gate = Gate(BootNow());
  for (const KnownUpstream* const known : mDirectory.Serving(aService.mName)) {
    const UpstreamRecord& record = known->mRecord;
    const bool isAllowed = gate.IsWithin(aFilter.mRegions, record);
    const bool isLimited =
      aService.mColdPerSecond > 0 && IsCold(*known, aNow) &&
      !mColdStartLimiter.Allows(record.mId, ColdStartShare(aService), aNow);
    const bool isPaused =
      mPauses.PausedUntil(StartOf(record), aNow).has_value();
    const UpstreamLoad load = mLoads.Total(record.mId, aNow);
    const bool hasRate =
      mLimitPacer.Allows(record.mId, load.mRecent, aFilter.mIsWaiting, aNow);
    bool isUsableForStream = true;
    if (aFilter.mBeginsStream) {
      const auto [it, isNew] = mayBegin.try_emplace(record.mVersion, false);
      it->second =
        isNew ? mStreamVersions.MayBegin(aService.mName, record.mVersion, aNow)
              : it->second;
      isUsableForStream = it->second;
    }
    const bool isVersionAllowed =
      isUsableForStream && (!isRestricted || admitted.contains(record.mId)) &&
      (aFilter.mStreamVersion.empty() ||
       aFilter.mStreamVersion == record.mVersion);
    if (isAllowed && isVersionAllowed && !isLimited && !isPaused && hasRate &&
        HasSlot(aService, record, load, aNow) &&
        !Contains(aFilter.mExcluded, record.mId)) {
      const bool isEjected = IsEjected(aService, record.mId, aNow);
      (isEjected ? ejected : candidates)
        .push_back(
          { known,
            load,
            DistanceBetween(aFilter.mFromDataCentre, record.mDataCentre),
            mHealth.FailurePenalty(record.mId, aNow),
            TieBreakRank(mSettings.mPlace.mVm, record.mId),
            HeldTokens(aService, preferred, *known, load, aNow) });
    }
  }
  // An upstream that fails often is better than none.
  return candidates.empty() ? ejected : candidates;
}

PreferredUpstreams
GatewayState::PreferredFor(const GatewayService& aService,
                           std::span<const PromptPrefix> aPrefixes,
                           Instant aNow) const
{
  if (!aService.mEngine || aPrefixes.size() < 2) {
    return {};
  }
  // Distance costs more than a cache saves, so that the gateways of a region
  // agree on upstreams of that region.
  std::vector<std::string> near;
  std::size_t all = 0;
  for (const KnownUpstream* const known : mDirectory.Serving(aService.mName)) {
    ++all;
    if (DistanceBetween(mSettings.mPlace.mDataCentre,
                        known->mRecord.mDataCentre) != Distance::OtherRegion) {
      near.push_back(known->mRecord.mId);
    }
  }
  // Gateways are assumed to be spread over regions as upstreams are.
  const double gateways = all == 0 ? 0
                                   : static_cast<double>(mKnownGateways - 1) *
                                       static_cast<double>(near.size()) /
                                       static_cast<double>(all);
  return mPromptCaches.Preferred(aPrefixes, near, gateways, aNow);
}

double
GatewayState::HeldTokens(const GatewayService& aService,
                         const PreferredUpstreams& aPreferred,
                         const KnownUpstream& aUpstream,
                         const UpstreamLoad& aLoad,
                         Instant aNow) const
{
  if (aPreferred.mLevels.empty()) {
    return 0;
  }
  return mPromptCaches.HeldTokens(
    aPreferred,
    StartOf(aUpstream.mRecord),
    { aService.mEngine->mMemoryTokens, aLoad.mTokens },
    aNow);
}

std::uint64_t
GatewayState::OnPromptSent(const GatewayService& aService,
                           std::span<const PromptPrefix> aPrefixes,
                           const KnownUpstream& aUpstream,
                           const TokenNeed& aNeed,
                           Instant aNow)
{
  if (aPrefixes.empty()) {
    return 0;
  }
  const PreferredUpstreams preferred = PreferredFor(aService, aPrefixes, aNow);
  UpstreamLoad load = mLoads.Total(aUpstream.mRecord.mId, aNow);
  load -= { 1, aNeed.mTotal, aNeed.mPrompt, 0 };
  const std::uint64_t held = static_cast<std::uint64_t>(
    HeldTokens(aService, preferred, aUpstream, load, aNow));
  mMetrics.mPromptCacheHits.Add(held);
  mMetrics.mPromptCacheMisses.Add(aPrefixes.back().mTokens - held);
  mPromptCaches.OnSent(aPrefixes, aNow);
  return held;
}

bool
GatewayState::IsEjected(const GatewayService& aService,
                        const std::string& aUpstream,
                        Instant aNow) const
{
  const auto it = mOutliers.find(aService.mName);
  if (it == mOutliers.end()) {
    return false;
  }
  switch (it->second.StateOf(aUpstream)) {
    case OutlierDetector::State::Admitted:
      return false;
    case OutlierDetector::State::Ejected:
      return true;
    case OutlierDetector::State::Probing:
      return !MayProbe(aUpstream, aNow);
  }
  return false;
}

bool
GatewayState::MayProbe(const std::string& aUpstream, Instant aNow) const
{
  const auto it = mProbedAt.find(aUpstream);
  const std::int64_t last =
    it == mProbedAt.end()
      ? -1
      : std::chrono::duration_cast<Milliseconds>(aNow - it->second).count();
  return IsProbeTurn({ mGatewayRank, mGatewayCount, StableHash(aUpstream) },
                     WallClockMs(),
                     last);
}

void
GatewayState::OnResponse(const UpstreamStart& aUpstream,
                         bool aIsFailure,
                         Instant aNow)
{
  const KnownUpstream* const known = mDirectory.Find(aUpstream.mId);
  if (mSettings.mFeatures.contains(kSharedHealthFeature) && known != nullptr &&
      known->mRecord.mStartedMs == aUpstream.mStartedMs) {
    mResponses.OnResponse(aUpstream.mId, aIsFailure, mLoads, aNow);
  }
}

void
GatewayState::UpdateOutliers(Instant aNow)
{
  // Each response changes the counts; the detection need not follow each.
  constexpr Milliseconds kInterval{ 100 };
  mResponses.Expire(mLoads, aNow);
  if (!mSettings.mFeatures.contains(kSharedHealthFeature)) {
    mOutliers.clear();
    mMetrics.mOutlierUpstreams.Set(0);
    return;
  }
  if (!mTable || aNow - mOutliersAt < kInterval) {
    return;
  }
  mOutliersAt = aNow;
  std::size_t ejected = 0;
  for (const GatewayService& service : mTable->Config().mServices) {
    std::vector<ResponseCounts> counts;
    for (const KnownUpstream* const known : mDirectory.Serving(service.mName)) {
      const UpstreamLoad load = mLoads.Total(known->mRecord.mId, aNow);
      counts.push_back(
        { known->mRecord.mId, load.mRecentAnswers, load.mRecentFailures });
    }
    OutlierDetector& detector =
      mOutliers.try_emplace(service.mName, OutlierDetector::Create())
        .first->second;
    for (const OutlierDetector::Change& change :
         detector.Update(counts, aNow)) {
      if (change.mState == OutlierDetector::State::Probing) {
        continue;
      }
      const bool isOutlier = change.mState == OutlierDetector::State::Ejected;
      mLog.Write(isOutlier ? "upstream-outlier" : "upstream-recovered",
                 { { "upstream", change.mUpstream },
                   { "service", service.mName },
                   { "answers", static_cast<std::int64_t>(change.mAnswers) },
                   { "failures", static_cast<std::int64_t>(change.mFailures) },
                   { "windowMs", ResponseWindow::kWindow.count() } },
                 aNow);
    }
    ejected += detector.EjectedCount();
  }
  mMetrics.mOutlierUpstreams.Set(static_cast<double>(ejected));
}

void
GatewayState::UpdateStreamVersions(Instant aNow)
{
  if (!mTable) {
    return;
  }
  mStreamVersionsAt = aNow;
  mStreamOrigins.Expire(aNow);
  const std::vector<GatewayService>& services = mTable->Config().mServices;
  std::set<ServiceVersion> serving;
  for (const GatewayService& service : services) {
    for (const KnownUpstream* const known : mDirectory.Serving(service.mName)) {
      serving.emplace(service.mName, known->mRecord.mVersion);
    }
  }
  mStreamVersions.OnServing(serving, aNow);
  // While the store is out of reach, its records can't be read.
  const bool isStoreHeard =
    mFreshness.HasContact(StoreRelay::kMaxContactAge, BootNow());
  std::set<std::string, std::less<>> shared;
  for (const GatewayService& service : services) {
    const std::size_t versions =
      mStreamVersions
        .MayHaveBegun(service.mName, StreamOrigins::kLifetime, aNow)
        .size();
    if (!isStoreHeard || !mStreamVersions.IsListed() || versions != 1) {
      shared.insert(service.mName);
    }
  }
  mStreamOrigins.SetShared(std::move(shared));
}

void
GatewayState::UpdateStreamVersionsIfDue(Instant aNow)
{
  constexpr Milliseconds kInterval{ 500 };
  if (aNow - mStreamVersionsAt >= kInterval) {
    UpdateStreamVersions(aNow);
  }
}

bool
GatewayState::IsVersionServing(std::string_view aService,
                               std::string_view aVersion) const
{
  const std::vector<const KnownUpstream*> serving =
    mDirectory.Serving(aService);
  return std::any_of(
    serving.begin(), serving.end(), [&](const KnownUpstream* aUpstream) {
      return aUpstream->mRecord.mVersion == aVersion;
    });
}

std::vector<VersionedUpstream>
GatewayState::VersionsOf(std::string_view aService, Instant aNow) const
{
  std::vector<VersionedUpstream> versions;
  for (const KnownUpstream* const known : mDirectory.OfService(aService)) {
    const UpstreamRecord& record = known->mRecord;
    const std::uint32_t requests = mLoads.Total(record.mId, aNow).mRequests;
    if (!record.mIsDraining || requests > 0) {
      versions.push_back({ record.mId,
                           record.mVersion,
                           IsCold(*known, aNow),
                           record.mIsDraining,
                           requests });
    }
  }
  return versions;
}

RolloutSettings
GatewayState::SettingsOfRollouts() const
{
  return { mSettings.mBounds.mExposureShare,
           mSettings.mBounds.mExposureExtra,
           mGatewayCount };
}

bool
GatewayState::HasSlot(const GatewayService& aService,
                      const UpstreamRecord& aUpstream,
                      const UpstreamLoad& aLoad,
                      Instant aNow) const
{
  if (!mBrittle.IsBrittle(aService.mName)) {
    return true;
  }
  const auto own = mLoads.Own().find(aUpstream.mId);
  const SlotUse use{ SlotCount(aUpstream, aService),
                     own == mLoads.Own().end() ? 0 : own->second.mRequests,
                     aLoad.mRequests };
  return mBrittle.MayTake(
    aService.mName, StartOf(aUpstream), use, { aNow, WallClockMs() });
}

void
GatewayState::SetGateways(std::uint32_t aCount, std::uint32_t aRank)
{
  mGatewayRank = aRank;
  mBrittle.SetPlace({ std::max<std::uint32_t>(1, aCount), aRank }, SteadyNow());
  mGatewayCount = std::max(kMinGateways, aCount);
  mKnownGateways = std::max<std::uint32_t>(1, aCount);
  mRollouts.SetSettings(SettingsOfRollouts());
}

std::optional<Instant>
GatewayState::AllPausedUntil(const GatewayService& aService,
                             const AllowedRegions& aRegions,
                             Instant aNow) const
{
  std::optional<Instant> first;
  const SendGate gate = Gate(BootNow());
  for (const KnownUpstream* const known : mDirectory.Serving(aService.mName)) {
    if (!gate.IsWithin(aRegions, known->mRecord)) {
      continue;
    }
    const std::optional<Instant> end =
      mPauses.PausedUntil(StartOf(known->mRecord), aNow);
    if (!end) {
      return std::nullopt;
    }
    first = std::min(first.value_or(*end), *end);
  }
  return first;
}

SharedRetryBudget&
GatewayState::RetryBudgetFor(const std::string& aService)
{
  const auto it = mRetryBudgets.find(aService);
  if (it != mRetryBudgets.end()) {
    return it->second;
  }
  const GatewayBounds& bounds = mSettings.mBounds;
  const RetryBound bound{ kUsedFraction * bounds.mRetryRatio,
                          kUsedFraction * bounds.mRetryExtra,
                          bounds.mRetryWindow };
  return mRetryBudgets.emplace(aService, SharedRetryBudget::Create(bound))
    .first->second;
}

void
GatewayState::OnSent(const KnownUpstream& aUpstream, Instant aNow)
{
  mMetrics.mAttempts.Add();
  mPauses.OnSent(StartOf(aUpstream.mRecord), aNow);
  if (IsCold(aUpstream, aNow)) {
    mColdStartLimiter.OnSent(aUpstream.mRecord.mId, aNow);
  }
}

void
GatewayState::OnSelected(const std::string& aUpstream, Instant aNow)
{
  if (mSettings.mFeatures.contains(kSharedHealthFeature)) {
    mProbedAt[aUpstream] = aNow;
  }
  if (mLimitPacer.IsLimited(aUpstream)) {
    mLimitPacer.OnSent(aUpstream, aNow);
    mLoads.Add(aUpstream, { 0, 0, 0, 0, 1 });
  }
}

void
GatewayState::UpdateLimits(Instant aNow)
{
  mStatedLimits.Expire(
    [&](const UpstreamStart& aUpstream) {
      const KnownUpstream* const known = mDirectory.Find(aUpstream.mId);
      return known != nullptr &&
             known->mRecord.mStartedMs <= aUpstream.mStartedMs;
    },
    aNow);
  for (const auto& [upstream, limit] : mStatedLimits.All()) {
    if (limit.mPerSecond) {
      const std::uint32_t recent = mLoads.Total(upstream, aNow).mRecent;
      mLimitPacer.Refill(
        upstream,
        { *limit.mPerSecond, mGatewayCount, mGatewayRank, recent },
        aNow);
    }
  }
  for (const std::string& upstream : mLimitPacer.Limited()) {
    const std::uint32_t expired = mLimitPacer.TakeExpired(upstream, aNow);
    if (expired > 0) {
      mLoads.Subtract(upstream, { 0, 0, 0, 0, expired });
    }
    if (!mStatedLimits.PerSecond(upstream)) {
      mLoads.Subtract(upstream,
                      { 0, 0, 0, 0, mLimitPacer.RecentlySent(upstream) });
      mLimitPacer.Forget(upstream);
    }
  }
  mBrittle.Expire(aNow);
  mPauses.Expire(aNow);
  mMetrics.mPausedUpstreams.Set(static_cast<double>(mPauses.Size()));
  mMetrics.mLimitedUpstreams.Set(
    static_cast<double>(mLimitPacer.Limited().size()));
}

void
GatewayState::OnStoreAnswered(Instant aAt, std::string_view aFrom)
{
  const std::optional<Milliseconds> outage = mStoreOutages.OnAnswer(aAt);
  if (!outage) {
    return;
  }
  mDirectory.OnStoreReturned(aAt);
  mLog.WriteAlways(
    "store-returned",
    { { "from", aFrom },
      { "outageMs", outage->count() },
      { "ageMs",
        std::chrono::duration_cast<Milliseconds>(SteadyNow() - aAt)
          .count() } });
}

void
GatewayState::Forget(const std::string& aUpstream)
{
  mHealth.Forget(aUpstream);
  mResponses.Forget(aUpstream, mLoads);
  mProbedAt.erase(aUpstream);
  const KnownUpstream* const known = mDirectory.Find(aUpstream);
  const auto outliers = known == nullptr
                          ? mOutliers.end()
                          : mOutliers.find(known->mRecord.mService);
  if (outliers != mOutliers.end()) {
    outliers->second.OnRestart(aUpstream, SteadyNow());
  }
  mPromptCaches.Forget(aUpstream);
  mColdStartLimiter.Forget(aUpstream);
  mPool.Forget(aUpstream);
}

} // namespace cactusgw
