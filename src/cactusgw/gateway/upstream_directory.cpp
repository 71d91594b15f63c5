#include "cactusgw/gateway/upstream_directory.hpp"

#include <utility>

namespace cactusgw {

DirectoryChange
UpstreamDirectory::Put(UpstreamRecord aRecord, Instant aNow)
{
  const auto it = mUpstreams.find(aRecord.mId);
  const Instant coldUntil = aNow + aRecord.mColdTime;
  if (it == mUpstreams.end()) {
    const bool isDraining = aRecord.mIsDraining;
    std::string id = aRecord.mId;
    const KnownUpstream& added =
      mUpstreams
        .emplace(std::move(id),
                 KnownUpstream{ std::move(aRecord), coldUntil, false, {} })
        .first->second;
    mByAddress.emplace(added.mRecord.mAddress, &added);
    return isDraining ? DirectoryChange::DrainingOrRemoved
                      : DirectoryChange::Added;
  }
  KnownUpstream& known = it->second;
  const bool hasRestarted = known.mRecord.mStartedMs != aRecord.mStartedMs ||
                            known.mRecord.mAddress != aRecord.mAddress ||
                            known.mRecord.mDataCentre != aRecord.mDataCentre;
  const bool startsDraining = aRecord.mIsDraining && !known.mRecord.mIsDraining;
  RemoveFromAddress(known);
  known.mRecord = std::move(aRecord);
  mByAddress.emplace(known.mRecord.mAddress, &known);
  known.mColdUntil = coldUntil;
  known.mIsMissing = false;
  if (hasRestarted && !known.mRecord.mIsDraining) {
    return DirectoryChange::Added;
  }
  return startsDraining ? DirectoryChange::DrainingOrRemoved
                        : DirectoryChange::Updated;
}

DirectoryChange
UpstreamDirectory::Remove(std::string_view aId, Instant aNow)
{
  const auto it = mUpstreams.find(aId);
  if (it == mUpstreams.end()) {
    return DirectoryChange::None;
  }
  if (aNow < mGraceUntil && !it->second.mRecord.mIsDraining) {
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
UpstreamDirectory::MarkDraining(std::string_view aId, std::int64_t aStartedMs)
{
  const auto it = mUpstreams.find(aId);
  if (it == mUpstreams.end() || it->second.mRecord.mIsDraining ||
      it->second.mRecord.mStartedMs != aStartedMs) {
    return false;
  }
  it->second.mRecord.mIsDraining = true;
  return true;
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
