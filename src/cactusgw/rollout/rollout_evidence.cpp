#include "cactusgw/rollout/rollout_evidence.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace cactusgw {

namespace {

std::size_t
BucketOf(Milliseconds aTime)
{
  const double ms =
    static_cast<double>(std::max<std::int64_t>(1, aTime.count()));
  const std::size_t bucket = static_cast<std::size_t>(2 * std::log2(ms));
  return std::min(bucket, TimeHistogram{}.size() - 1);
}

void
RaiseTo(TimeHistogram& aCounts, const TimeHistogram& aOther)
{
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    aCounts[i] = std::max(aCounts[i], aOther[i]);
  }
}

void
AddTo(TimeHistogram& aSums, const TimeHistogram& aMore)
{
  for (std::size_t i = 0; i < aSums.size(); ++i) {
    aSums[i] += aMore[i];
  }
}

void
AddTo(RolloutCounts& aSums, const RolloutCounts& aMore)
{
  aSums.mSent += aMore.mSent;
  aSums.mAnswered += aMore.mAnswered;
  aSums.mFailed += aMore.mFailed;
  AddTo(aSums.mFirstEvents, aMore.mFirstEvents);
  AddTo(aSums.mGaps, aMore.mGaps);
}

} // namespace

std::uint64_t
RolloutTotals::SentToTarget() const
{
  std::uint64_t sum = 0;
  for (const auto& [name, route] : mRoutes) {
    sum += route.mTarget.mSent;
  }
  return sum;
}

std::uint64_t
RolloutTotals::Sent() const
{
  std::uint64_t sum = 0;
  for (const auto& [name, route] : mRoutes) {
    sum += route.mTarget.mSent + route.mOtherVersions.mSent;
  }
  return sum;
}

RolloutEvidence
RolloutEvidence::Create(std::uint64_t aSelf)
{
  return RolloutEvidence{ aSelf };
}

void
RolloutEvidence::Begin(const RolloutId& aRollout, Instant aNow)
{
  if (!mBegun.contains(aRollout) && mBegun.size() < kMaxRollouts) {
    mBegun.emplace(aRollout, aNow);
    ++mVersion;
  }
}

void
RolloutEvidence::Forget(const RolloutId& aRollout)
{
  if (mBegun.erase(aRollout) == 0) {
    return;
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    if (it->first.mRollout == aRollout) {
      mDigest -= DigestOf(it->first, it->second.mCounts);
      mByVersion.erase(it->second.mVersion);
      it = mEntries.erase(it);
    } else {
      ++it;
    }
  }
  ++mVersion;
}

bool
RolloutEvidence::HasRoomFor(const Key& aKey) const
{
  std::set<std::uint64_t> gateways{ aKey.mGateway };
  std::set<std::string_view> routes{ aKey.mRoute };
  for (const auto& [key, entry] : mEntries) {
    if (key.mRollout == aKey.mRollout) {
      gateways.insert(key.mGateway);
      routes.insert(key.mRoute);
    }
  }
  return gateways.size() <= kMaxGateways && routes.size() <= kMaxRoutes;
}

RolloutEvidence::Entry*
RolloutEvidence::FindOrAdd(Key aKey)
{
  const auto it = mEntries.find(aKey);
  if (it != mEntries.end()) {
    return &it->second;
  }
  if (!mBegun.contains(aKey.mRollout) || !HasRoomFor(aKey)) {
    return nullptr;
  }
  return &mEntries.emplace(std::move(aKey), Entry{}).first->second;
}

template<typename Change>
void
RolloutEvidence::Update(Key aKey, const Change& aChange)
{
  Entry* const entry = FindOrAdd(aKey);
  if (entry == nullptr) {
    return;
  }
  RolloutCounts changed = entry->mCounts;
  aChange(changed);
  if (changed == entry->mCounts) {
    return;
  }
  if (entry->mVersion != 0) {
    mDigest -= DigestOf(aKey, entry->mCounts);
    mByVersion.erase(entry->mVersion);
  }
  entry->mCounts = changed;
  entry->mVersion = ++mVersion;
  mDigest += DigestOf(aKey, changed);
  mByVersion.emplace(mVersion, std::move(aKey));
}

std::uint64_t
RolloutEvidence::DigestOf(const Key& aKey, const RolloutCounts& aCounts)
{
  const std::string gateway = std::to_string(aKey.mGateway);
  std::uint64_t times = 0;
  for (std::size_t i = 0; i < aCounts.mFirstEvents.size(); ++i) {
    times += aCounts.mFirstEvents[i] * (2 * i + 1);
    times += aCounts.mGaps[i] * (2 * i + 2);
  }
  const bool isOfTarget = aKey.mSide == RolloutSide::Target;
  return StableHash(
    aKey.mRollout.mService + "\n" + aKey.mRollout.mTarget + "\n" +
    std::to_string(aKey.mRollout.mOrder) + "\n" + gateway + "\n" + aKey.mRoute +
    (isOfTarget ? "\ntarget\n" : "\nothers\n") + std::to_string(aCounts.mSent) +
    "\n" + std::to_string(aCounts.mAnswered) + "\n" +
    std::to_string(aCounts.mFailed) + "\n" + std::to_string(times));
}

void
RolloutEvidence::OnSent(const RolloutId& aRollout,
                        std::string_view aRoute,
                        RolloutSide aSide)
{
  Update({ aRollout, mSelf, std::string{ aRoute }, aSide },
         [](RolloutCounts& aCounts) { ++aCounts.mSent; });
}

void
RolloutEvidence::OnFirstEvent(const RolloutId& aRollout,
                              std::string_view aRoute,
                              RolloutSide aSide,
                              Milliseconds aTime)
{
  Update({ aRollout, mSelf, std::string{ aRoute }, aSide },
         [&](RolloutCounts& aCounts) {
           ++aCounts.mAnswered;
           ++aCounts.mFirstEvents[BucketOf(aTime)];
         });
}

void
RolloutEvidence::OnFailed(const RolloutId& aRollout,
                          std::string_view aRoute,
                          RolloutSide aSide,
                          bool aHasBegun)
{
  Update({ aRollout, mSelf, std::string{ aRoute }, aSide },
         [&](RolloutCounts& aCounts) {
           aCounts.mAnswered += aHasBegun ? 0 : 1;
           ++aCounts.mFailed;
         });
}

void
RolloutEvidence::OnStreamEnded(const RolloutId& aRollout,
                               std::string_view aRoute,
                               RolloutSide aSide,
                               Milliseconds aMeanGap)
{
  Update({ aRollout, mSelf, std::string{ aRoute }, aSide },
         [&](RolloutCounts& aCounts) { ++aCounts.mGaps[BucketOf(aMeanGap)]; });
}

void
RolloutEvidence::Merge(const RolloutCountsEntry& aEntry)
{
  Update({ aEntry.mRollout, aEntry.mGateway, aEntry.mRoute, aEntry.mSide },
         [&](RolloutCounts& aCounts) {
           const RolloutCounts& other = aEntry.mCounts;
           aCounts.mSent = std::max(aCounts.mSent, other.mSent);
           aCounts.mAnswered = std::max(aCounts.mAnswered, other.mAnswered);
           aCounts.mFailed = std::max(aCounts.mFailed, other.mFailed);
           RaiseTo(aCounts.mFirstEvents, other.mFirstEvents);
           RaiseTo(aCounts.mGaps, other.mGaps);
         });
}

void
RolloutEvidence::MergeAge(const RolloutId& aRollout,
                          Milliseconds aAge,
                          Instant aNow)
{
  const auto it = mBegun.find(aRollout);
  if (it != mBegun.end()) {
    it->second = std::min(it->second, aNow - aAge);
  }
}

Milliseconds
RolloutEvidence::Age(const RolloutId& aRollout, Instant aNow) const
{
  const auto it = mBegun.find(aRollout);
  return it == mBegun.end()
           ? Milliseconds::zero()
           : std::chrono::duration_cast<Milliseconds>(aNow - it->second);
}

RolloutTotals
RolloutEvidence::Totals(const RolloutId& aRollout) const
{
  RolloutTotals totals;
  for (const auto& [key, entry] : mEntries) {
    if (key.mRollout == aRollout) {
      RolloutTotals::Route& route = totals.mRoutes[key.mRoute];
      AddTo(key.mSide == RolloutSide::Target ? route.mTarget
                                             : route.mOtherVersions,
            entry.mCounts);
    }
  }
  return totals;
}

std::vector<RolloutId>
RolloutEvidence::Rollouts() const
{
  std::vector<RolloutId> rollouts;
  for (const auto& [rollout, begun] : mBegun) {
    rollouts.push_back(rollout);
  }
  return rollouts;
}

std::pair<std::vector<RolloutCountsEntry>, std::uint64_t>
RolloutEvidence::ChangedSince(std::uint64_t aVersion, std::size_t aLimit) const
{
  std::vector<RolloutCountsEntry> changed;
  std::uint64_t completeTo = mVersion;
  for (auto it = mByVersion.upper_bound(aVersion); it != mByVersion.end();
       ++it) {
    if (changed.size() == aLimit) {
      completeTo = std::prev(it)->first;
      break;
    }
    const Key& key = it->second;
    changed.push_back({ key.mRollout,
                        key.mGateway,
                        key.mRoute,
                        key.mSide,
                        mEntries.at(key).mCounts });
  }
  return { std::move(changed), completeTo };
}

} // namespace cactusgw
