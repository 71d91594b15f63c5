#include "cactusgw/core/request_trial.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

/// Longest time that a trial is waited for. Upstreams that crash do so within a
/// second of the send; the gateway that runs the trial may be gone.
constexpr Milliseconds kMaxTrialTime{ 2000 };
/// A turn lasts longer than the news of a trial takes to all gateways.
constexpr Milliseconds kTurnTime{ 200 };
/// With more gateways several share a turn, so that a sound suspect is sent by
/// every gateway again after a few seconds.
constexpr std::uint32_t kMaxTurns = 32;

} // namespace

bool
KnownTrial::Merge(const KnownTrial& aOther)
{
  if (aOther.mTrial <= mTrial) {
    return false;
  }
  *this = aOther;
  return true;
}

bool
KnownTrial::IsRunning(Instant aNow) const
{
  return mTrial.mNumber > 0 && !mTrial.mIsEnded &&
         aNow - mSentAt < kMaxTrialTime;
}

Milliseconds
GatewayPlace::TurnDelay(RequestFingerprint aRequest) const
{
  const std::uint32_t count = std::max(mCount, 1U);
  // Each request has another gateway begin.
  const std::uint64_t place = (mRank + aRequest.mValue % count) % count;
  return kTurnTime * static_cast<std::int64_t>(place % kMaxTurns);
}

} // namespace cactusgw
