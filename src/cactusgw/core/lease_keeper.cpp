#include "cactusgw/core/lease_keeper.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

LeaseKeeper
LeaseKeeper::Create(std::string aVm,
                    std::uint64_t aIncarnation,
                    LeaseSettings aSettings)
{
  return LeaseKeeper{ std::move(aVm), aIncarnation, aSettings };
}

LeaseKeeper::LeaseKeeper(std::string aVm,
                         std::uint64_t aIncarnation,
                         LeaseSettings aSettings)
  : mVm(std::move(aVm))
  , mIncarnation(aIncarnation)
  , mSettings(aSettings)
{
}

LeaseStep
LeaseKeeper::Next(Instant aNow, std::uint64_t aNonce)
{
  if (!mHasRead || mPendingUnknown) {
    return { LeaseAction::Read, 0, {} };
  }
  if (IsOurs(mSeen)) {
    const bool isDue = aNow >= mRenewedAt + mSettings.mRenewInterval;
    return isDue || mResigning ? StartWrite(aNow, aNonce) : LeaseStep{};
  }
  if (mResigning) {
    return {};
  }
  if (HasExpired(aNow)) {
    return StartWrite(aNow, aNonce);
  }
  return { LeaseAction::Read, 0, {} };
}

void
LeaseKeeper::OnRead(std::uint64_t aVersion,
                    const std::optional<LeaseRecord>& aRecord,
                    Instant aNow)
{
  if (mHasRead && aVersion < mSeenVersion && aRecord) {
    // A lower version is stale. A missing object is always accepted.
    return;
  }
  const bool isNew = !mHasRead || aVersion != mSeenVersion;
  mHasRead = true;
  mSeenVersion = aVersion;
  mSeen = aRecord.value_or(LeaseRecord{});
  if (isNew) {
    mSeenSince = aNow;
  }
  if (!mPendingUnknown) {
    return;
  }
  mPendingUnknown = false;
  if (mSeen == mPending && !mSeen.mHolder.empty()) {
    OnWritten(aVersion);
  }
}

void
LeaseKeeper::OnReadFailed()
{
  // The state is unknown, so nothing changes: a held lease expires by itself.
}

void
LeaseKeeper::OnWritten(std::uint64_t aVersion)
{
  mPendingUnknown = false;
  if (mResigning) {
    mValidUntil = Instant{};
    mFencingToken = 0;
  } else {
    mValidUntil = mPendingSentAt + mSettings.mDuration - mSettings.mGuard;
    mRenewedAt = mPendingSentAt;
    if (!IsOurs(mSeen) || mFencingToken == 0) {
      mFencingToken = aVersion;
    }
  }
  mSeen = mPending;
  mSeenVersion = aVersion;
  mSeenSince = mPendingSentAt;
}

void
LeaseKeeper::OnConflict()
{
  // Another VM wrote the object. Treat the lease as lost until a read shows
  // the current holder.
  mPendingUnknown = false;
  mHasRead = false;
  mValidUntil = Instant{};
  mExtendedUntil = Instant{};
  mFencingToken = 0;
}

void
LeaseKeeper::OnWriteUnknown()
{
  mPendingUnknown = true;
}

void
LeaseKeeper::SetGroup(std::vector<std::string> aGroup)
{
  mGroup = std::move(aGroup);
}

void
LeaseKeeper::ExtendUntil(Instant aUntil)
{
  const Instant bound = mValidUntil + mSettings.mMaxExtension;
  mExtendedUntil = std::min(aUntil - mSettings.mGuard, bound);
}

void
LeaseKeeper::Promise(Instant aUntil)
{
  mPromisedUntil = std::max(mPromisedUntil, aUntil);
}

void
LeaseKeeper::Resign()
{
  mResigning = true;
  mValidUntil = Instant{};
  mExtendedUntil = Instant{};
}

bool
LeaseKeeper::IsHeld(Instant aNow) const
{
  return mFencingToken != 0 && aNow < ValidUntil();
}

Instant
LeaseKeeper::ValidUntil() const
{
  return mResigning ? Instant{} : std::max(mValidUntil, mExtendedUntil);
}

bool
LeaseKeeper::IsExtended(Instant aNow) const
{
  return IsHeld(aNow) && aNow >= mValidUntil;
}

bool
LeaseKeeper::IsOurs(const LeaseRecord& aRecord) const
{
  return aRecord.mHolder == mVm && aRecord.mIncarnation == mIncarnation;
}

bool
LeaseKeeper::HasExpired(Instant aNow) const
{
  if (aNow < mPromisedUntil) {
    return false;
  }
  if (mSeen.mHolder.empty()) {
    return true;
  }
  Instant expiry = mSeenSince + mSeen.mDuration + mSettings.mGuard;
  const std::vector<std::string>& group = mSeen.mGroup;
  const bool isOutsider =
    std::find(group.begin(), group.end(), mVm) == group.end();
  if (isOutsider && !group.empty()) {
    // The group's promises may extend the lease without this VM knowing.
    expiry += mSettings.mMaxExtension;
  }
  return aNow >= expiry;
}

LeaseStep
LeaseKeeper::StartWrite(Instant aNow, std::uint64_t aNonce)
{
  mPending.mHolder = mResigning ? std::string{} : mVm;
  mPending.mIncarnation = mResigning ? 0 : mIncarnation;
  mPending.mNonce = aNonce;
  mPending.mDuration = mSettings.mDuration;
  mPending.mGroup = mGroup;
  mPendingSentAt = aNow;
  return { LeaseAction::Write, mSeenVersion, mPending };
}

} // namespace cactusgw
