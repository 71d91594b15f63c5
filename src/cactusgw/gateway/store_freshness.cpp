#include "cactusgw/gateway/store_freshness.hpp"

#include <algorithm>
#include <ctime>

namespace cactusgw {

BootTime
BootNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds{ now.tv_sec } +
         std::chrono::nanoseconds{ now.tv_nsec };
}

void
StoreFreshness::OnConfirmed(BootTime aAsOf)
{
  if (!mIsUsable || IsStoreBehind()) {
    return;
  }
  mAsOf = mIsKnown ? std::max(mAsOf, aAsOf) : aAsOf;
  mIsKnown = true;
}

void
StoreFreshness::OnRead(std::uint64_t aVersion)
{
  mReadVersion = aVersion;
  OnApplied(aVersion);
}

void
StoreFreshness::OnApplied(std::uint64_t aVersion)
{
  mNewestVersion = std::max(mNewestVersion, aVersion);
}

void
StoreFreshness::OnOwnVersion(std::uint64_t aVersion)
{
  mOwnVersion = std::max(mOwnVersion, aVersion);
  OnApplied(aVersion);
}

bool
StoreFreshness::IsYoungerThan(Milliseconds aLimit, BootTime aNow) const
{
  return mIsKnown && (aLimit == Milliseconds::zero() || aNow - mAsOf < aLimit);
}

bool
StoreFreshness::HasContact(Milliseconds aMaxAge, BootTime aNow) const
{
  if (mContactAsOf && aNow - *mContactAsOf < aMaxAge) {
    return true;
  }
  return mIsKnown ? aNow - mAsOf < aMaxAge
                  : mMissingAsOf && aNow - *mMissingAsOf < aMaxAge;
}

Milliseconds
StoreFreshness::Age(BootTime aNow) const
{
  return std::chrono::duration_cast<Milliseconds>(aNow - mAsOf);
}

} // namespace cactusgw
