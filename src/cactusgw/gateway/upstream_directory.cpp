#include "cactusgw/gateway/upstream_directory.hpp"

#include <utility>

namespace cactusgw {

DirectoryChange
UpstreamDirectory::Put(UpstreamRecord aRecord, Instant aNow)
{
  const auto it = mUpstreams.find(aRecord.mId);
  const Instant coldUntil = aNow + aRecord.mColdTime;
  if (it == mUpstreams.end()) {
    const bool leaving = aRecord.mIsLeaving;
    std::string id = aRecord.mId;
    mUpstreams.emplace(
      std::move(id), KnownUpstream{ std::move(aRecord), coldUntil, false, {} });
    return leaving ? DirectoryChange::Leaving : DirectoryChange::Added;
  }
  KnownUpstream& known = it->second;
  const bool restarted = known.mRecord.mStartedMs != aRecord.mStartedMs ||
                         known.mRecord.mAddress != aRecord.mAddress;
  const bool leaves = aRecord.mIsLeaving && !known.mRecord.mIsLeaving;
  known.mRecord = std::move(aRecord);
  known.mColdUntil = coldUntil;
  known.mIsMissing = false;
  if (restarted && !known.mRecord.mIsLeaving) {
    return DirectoryChange::Added;
  }
  return leaves ? DirectoryChange::Leaving : DirectoryChange::Updated;
}

DirectoryChange
UpstreamDirectory::Remove(std::string_view aId, Instant aNow)
{
  const auto it = mUpstreams.find(aId);
  if (it == mUpstreams.end()) {
    return DirectoryChange::None;
  }
  if (aNow < mLapsesUntil && !it->second.mRecord.mIsLeaving) {
    if (!it->second.mIsMissing) {
      it->second.mIsMissing = true;
      it->second.mMissingSince = aNow;
    }
    return DirectoryChange::Updated;
  }
  mUpstreams.erase(it);
  return DirectoryChange::Leaving;
}

bool
UpstreamDirectory::MarkLeaving(std::string_view aId, std::int64_t aStartedMs)
{
  const auto it = mUpstreams.find(aId);
  if (it == mUpstreams.end() || it->second.mRecord.mIsLeaving ||
      it->second.mRecord.mStartedMs != aStartedMs) {
    return false;
  }
  it->second.mRecord.mIsLeaving = true;
  return true;
}

std::vector<std::string>
UpstreamDirectory::DropLapsed(Instant aNow)
{
  std::vector<std::string> gone;
  if (aNow < mLapsesUntil) {
    return gone;
  }
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    if (it->second.mIsMissing) {
      gone.push_back(it->first);
      it = mUpstreams.erase(it);
    } else {
      ++it;
    }
  }
  return gone;
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
UpstreamDirectory::Serving(std::string_view aService) const
{
  std::vector<const KnownUpstream*> serving;
  for (const auto& [id, known] : mUpstreams) {
    if (known.mRecord.mService == aService && !known.mRecord.mIsLeaving &&
        !IsDrained(known.mRecord.mDataCentre)) {
      serving.push_back(&known);
    }
  }
  return serving;
}

} // namespace cactusgw
