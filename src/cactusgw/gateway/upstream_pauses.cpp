#include "cactusgw/gateway/upstream_pauses.hpp"

#include <algorithm>

namespace cactusgw {

bool
UpstreamPauses::OnRefusal(const UpstreamStart& aUpstream,
                          Milliseconds aTime,
                          Instant aNow)
{
  if (aTime <= Milliseconds::zero()) {
    return false;
  }
  Expire(aNow);
  const Instant end = aNow + std::min(aTime, kMaxPause);
  const auto [known, isNew] = mPauses.try_emplace(aUpstream, Pause{ end, 0 });
  if (!isNew && end <= known->second.mEnd) {
    return false;
  }
  // The count goes on, as the time of the earlier statement does.
  known->second.mEnd = end;
  if (mPauses.size() > kMaxPauses) {
    mPauses.erase(std::min_element(
      mPauses.begin(), mPauses.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.second.mEnd < aOther.second.mEnd;
      }));
  }
  return true;
}

void
UpstreamPauses::OnSent(const UpstreamStart& aUpstream, Instant aNow)
{
  const auto it = mPauses.find(aUpstream);
  if (it != mPauses.end() && aNow < it->second.mEnd) {
    ++it->second.mSent;
  }
}

std::optional<Instant>
UpstreamPauses::PausedUntil(const UpstreamStart& aUpstream, Instant aNow) const
{
  const Pause* const pause = Find(aUpstream, aNow);
  return pause == nullptr ? std::nullopt : std::optional{ pause->mEnd };
}

bool
UpstreamPauses::AllowsContinuation(const UpstreamStart& aUpstream,
                                   Instant aNow) const
{
  const Pause* const pause = Find(aUpstream, aNow);
  return pause == nullptr || pause->mSent < kMaxContinuations;
}

void
UpstreamPauses::Expire(Instant aNow)
{
  std::erase_if(mPauses,
                [&](const auto& aEntry) { return aNow >= aEntry.second.mEnd; });
}

const UpstreamPauses::Pause*
UpstreamPauses::Find(const UpstreamStart& aUpstream, Instant aNow) const
{
  const auto it = mPauses.find(aUpstream);
  return it == mPauses.end() || aNow >= it->second.mEnd ? nullptr : &it->second;
}

} // namespace cactusgw
