#include "cactusgw/gateway/upstream_directory.hpp"

#include <utility>

namespace cactusgw {

UpstreamStart
StartOf(const UpstreamRecord& aUpstream)
{
  return { aUpstream.mId, aUpstream.mStartedMs };
}

DirectoryChange
UpstreamDirectory::Put(UpstreamRecord aRecord, Instant aNow)
{
  mFirstChangesAt = mFirstChangesAt.value_or(aNow);
  const UpstreamStart start = StartOf(aRecord);
  const bool isNewlyStated =
    aRecord.mIsDraining && RememberDraining(start, aRecord.mAddress);
  aRecord.mIsDraining = aRecord.mIsDraining || IsOfDrainingStart(aRecord);
  const auto it = mUpstreams.find(aRecord.mId);
  const Instant coldUntil = aNow + aRecord.mColdTime;
  if (it == mUpstreams.end()) {
    const bool isDraining = aRecord.mIsDraining;
    std::string id = aRecord.mId;
    const KnownUpstream& added =
      mUpstreams
        .emplace(
          std::move(id),
          KnownUpstream{ std::move(aRecord), coldUntil, false, {}, aNow })
        .first->second;
    mByAddress.emplace(added.mRecord.mAddress, &added);
    return isDraining ? DirectoryChange::DrainingOrRemoved
                      : DirectoryChange::Added;
  }
  KnownUpstream& known = it->second;
  const bool hasRestarted = known.mRecord.mStartedMs != aRecord.mStartedMs ||
                            known.mRecord.mAddress != aRecord.mAddress ||
                            known.mRecord.mDataCentre != aRecord.mDataCentre;
  const bool startsDraining =
    isNewlyStated || (aRecord.mIsDraining && !known.mRecord.mIsDraining);
  RemoveFromAddress(known);
  known.mRecord = std::move(aRecord);
  mByAddress.emplace(known.mRecord.mAddress, &known);
  known.mColdUntil = coldUntil;
  known.mIsMissing = false;
  known.mReadAt = aNow;
  if (hasRestarted && !known.mRecord.mIsDraining) {
    return DirectoryChange::Added;
  }
  return startsDraining ? DirectoryChange::DrainingOrRemoved
                        : DirectoryChange::Updated;
}

DirectoryChange
UpstreamDirectory::Remove(std::string_view aId, Instant aNow)
{
  mFirstChangesAt = mFirstChangesAt.value_or(aNow);
  const auto it = mUpstreams.find(aId);
  if (it == mUpstreams.end()) {
    return DirectoryChange::None;
  }
  if (MayHaveExpired(it->second, aNow)) {
    if (!it->second.mIsMissing) {
      it->second.mIsMissing = true;
      it->second.mMissingSince = aNow;
    }
    return DirectoryChange::Updated;
  }
  Erase(it);
  return DirectoryChange::DrainingOrRemoved;
}

bool
UpstreamDirectory::MayHaveExpired(const KnownUpstream& aUpstream,
                                  Instant aNow) const
{
  // The first changes after an outage also tell of writes from before it. Later
  // ones show that the upstream has reached the store again.
  const bool isWrittenSince = aUpstream.mReadAt > *mFirstChangesAt;
  return aNow < mGraceUntil && !aUpstream.mRecord.mIsDraining &&
         !isWrittenSince;
}

void
UpstreamDirectory::OnStoreReturned(Instant aAt)
{
  mGraceUntil = aAt + kReregistrationGrace;
  mFirstChangesAt.reset();
}

bool
UpstreamDirectory::MarkDraining(std::string_view aId,
                                std::int64_t aStartedMs,
                                DrainEvidence aEvidence)
{
  const UpstreamStart start{ std::string{ aId }, aStartedMs };
  const auto it = mUpstreams.find(aId);
  const bool isRegistered =
    it != mUpstreams.end() && it->second.mRecord.mStartedMs == aStartedMs;
  const bool isNewlyStated =
    aEvidence == DrainEvidence::Stated &&
    RememberDraining(
      start, isRegistered ? it->second.mRecord.mAddress : std::string{});
  if (!isRegistered) {
    return false;
  }
  const bool wasDraining = std::exchange(it->second.mRecord.mIsDraining, true);
  return isNewlyStated || !wasDraining;
}

bool
UpstreamDirectory::RememberDraining(const UpstreamStart& aUpstream,
                                    const std::string& aAddress)
{
  const auto [known, isNew] = mDrainingStarts.try_emplace(
    aUpstream, DrainingStart{ aAddress, mNextOrder });
  if (!aAddress.empty()) {
    known->second.mAddress = aAddress;
  }
  if (!isNew) {
    return false;
  }
  ++mNextOrder;
  if (mDrainingStarts.size() > kMaxDrainingStarts) {
    ForgetOldestUnregistered();
  }
  return true;
}

void
UpstreamDirectory::ForgetOldestUnregistered()
{
  auto oldest = mDrainingStarts.end();
  for (auto it = mDrainingStarts.begin(); it != mDrainingStarts.end(); ++it) {
    const bool isOlder = oldest == mDrainingStarts.end() ||
                         it->second.mOrder < oldest->second.mOrder;
    if (isOlder && !IsRegistered(it->first)) {
      oldest = it;
    }
  }
  if (oldest != mDrainingStarts.end()) {
    mDrainingStarts.erase(oldest);
  }
}

bool
UpstreamDirectory::IsOfDrainingStart(const UpstreamRecord& aRecord) const
{
  const auto it = mDrainingStarts.find(StartOf(aRecord));
  if (it == mDrainingStarts.end()) {
    return false;
  }
  // Without a start time, only another address shows that the upstream has
  // restarted.
  return aRecord.mStartedMs != 0 || it->second.mAddress.empty() ||
         it->second.mAddress == aRecord.mAddress;
}

bool
UpstreamDirectory::IsRegistered(const UpstreamStart& aUpstream) const
{
  const KnownUpstream* const known = Find(aUpstream.mId);
  return known != nullptr && known->mRecord.mStartedMs == aUpstream.mStartedMs;
}

std::vector<std::string>
UpstreamDirectory::RemoveExpired(Instant aNow)
{
  std::vector<std::string> removed;
  if (aNow < mGraceUntil) {
    return removed;
  }
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    if (it->second.mIsMissing) {
      removed.push_back(it->first);
      it = Erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

void
UpstreamDirectory::SetDrained(const std::string& aDataCentre, bool aIsDrained)
{
  if (aIsDrained) {
    mDrained.insert(aDataCentre);
  } else {
    mDrained.erase(aDataCentre);
  }
}

const KnownUpstream*
UpstreamDirectory::Find(std::string_view aId) const
{
  const auto it = mUpstreams.find(aId);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

std::vector<const KnownUpstream*>
UpstreamDirectory::AtAddress(std::string_view aAddress) const
{
  std::vector<const KnownUpstream*> holders;
  const auto range = mByAddress.equal_range(std::string{ aAddress });
  for (auto it = range.first; it != range.second; ++it) {
    holders.push_back(it->second);
  }
  return holders;
}

UpstreamDirectory::Upstreams::iterator
UpstreamDirectory::Erase(Upstreams::iterator aAt)
{
  RemoveFromAddress(aAt->second);
  return mUpstreams.erase(aAt);
}

void
UpstreamDirectory::RemoveFromAddress(const KnownUpstream& aUpstream)
{
  const auto range = mByAddress.equal_range(aUpstream.mRecord.mAddress);
  for (auto it = range.first; it != range.second; ++it) {
    if (it->second == &aUpstream) {
      mByAddress.erase(it);
      return;
    }
  }
}

std::vector<const KnownUpstream*>
UpstreamDirectory::OfService(std::string_view aService) const
{
  std::vector<const KnownUpstream*> found;
  for (const auto& [id, upstream] : mUpstreams) {
    if (upstream.mRecord.mService == aService) {
      found.push_back(&upstream);
    }
  }
  return found;
}

std::vector<const KnownUpstream*>
UpstreamDirectory::Serving(std::string_view aService) const
{
  std::vector<const KnownUpstream*> serving;
  for (const auto& [id, known] : mUpstreams) {
    if (known.mRecord.mService == aService && !known.mRecord.mIsDraining &&
        !IsDrained(known.mRecord.mDataCentre)) {
      serving.push_back(&known);
    }
  }
  return serving;
}

} // namespace cactusgw
