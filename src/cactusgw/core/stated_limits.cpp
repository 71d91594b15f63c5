#include "cactusgw/core/stated_limits.hpp"

#include <utility>

namespace cactusgw {

bool
StatedLimits::OnResponse(const UpstreamStart& aUpstream,
                         std::optional<double> aPerSecond,
                         Instant aSentAt,
                         Instant aNow)
{
  const auto it = mLimits.find(aUpstream.mId);
  const bool isKnown = it != mLimits.end() && it->second.mUpstream == aUpstream;
  if (!aPerSecond && (!isKnown || aSentAt < it->second.mStatedAt)) {
    return false;
  }
  return Merge({ aUpstream, aPerSecond, aNow });
}

bool
StatedLimits::Merge(const StatedLimit& aLimit)
{
  const auto it = mLimits.find(aLimit.mUpstream.mId);
  if (it == mLimits.end()) {
    mLimits.emplace(aLimit.mUpstream.mId, aLimit);
    ++mVersion;
    return true;
  }
  StatedLimit& known = it->second;
  const bool isOlder =
    aLimit.mUpstream == known.mUpstream
      ? aLimit.mStatedAt <= known.mStatedAt
      : aLimit.mUpstream.mStartedMs < known.mUpstream.mStartedMs;
  if (isOlder) {
    return false;
  }
  const bool hasChanged = known.mPerSecond != aLimit.mPerSecond;
  known = aLimit;
  mVersion += hasChanged ? 1 : 0;
  return hasChanged;
}

std::optional<double>
StatedLimits::PerSecond(std::string_view aUpstream) const
{
  const auto it = mLimits.find(aUpstream);
  return it == mLimits.end() ? std::nullopt : it->second.mPerSecond;
}

void
StatedLimits::Expire(const std::function<bool(const UpstreamStart&)>& aIsKnown,
                     Instant aNow)
{
  std::erase_if(mLimits, [&](const auto& aEntry) {
    return aNow - aEntry.second.mStatedAt >= kMaxAge ||
           !aIsKnown(aEntry.second.mUpstream);
  });
}

} // namespace cactusgw
