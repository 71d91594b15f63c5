#include "cactusgw/core/hybrid_clock.hpp"

#include <algorithm>

namespace cactusgw {

HybridClock
HybridClock::Create()
{
  return HybridClock{};
}

EventStamp
HybridClock::Tick(std::int64_t aWallMs)
{
  if (aWallMs > mLast.mPhysicalMs) {
    mLast = { aWallMs, 0 };
  } else {
    ++mLast.mLogical;
  }
  return mLast;
}

bool
HybridClock::Observe(EventStamp aRemote, std::int64_t aWallMs)
{
  if (aRemote.mPhysicalMs > aWallMs + kMaxSkewMs) {
    return false;
  }
  mLast = std::max(mLast, aRemote);
  Tick(aWallMs);
  return true;
}

} // namespace cactusgw
