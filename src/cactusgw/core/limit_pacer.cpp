#include "cactusgw/core/limit_pacer.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cactusgw {

namespace {

/// Requests that all gateways together may send within the window without
/// turns, if they come new: such requests come to gateways at different times.
double
LimitWithoutTurns(double aWindowLimit)
{
  constexpr double kFraction = 0.75;
  constexpr double kAtLeast = 2;
  return std::max(kAtLeast, kFraction * aWindowLimit);
}

/// Requests that all gateways together may send within the window; at least
/// one, or a low limit would allow none.
double
WindowLimit(double aPerSecond)
{
  constexpr std::chrono::duration<double> kSeconds = LimitPacer::kWindow;
  return std::max(1.0, std::ceil(aPerSecond * kSeconds.count()));
}

} // namespace

void
LimitPacer::Refill(const std::string& aUpstream,
                   const LimitUse& aUse,
                   Instant aNow)
{
  const auto [it, isNew] = mShares.try_emplace(aUpstream);
  Share& share = it->second;
  const std::uint32_t gateways = std::max<std::uint32_t>(1, aUse.mGateways);
  // The order of the gateways differs from upstream to upstream.
  const std::uint32_t place =
    static_cast<std::uint32_t>((aUse.mRank + StableHash(aUpstream)) % gateways);
  share.mPerSecond = std::max(kMinPerSecond, aUse.mPerSecond);
  // Half of the window's requests in one turn: those of the turn before may not
  // be reported yet.
  const std::uint32_t perTurn = std::max<std::uint32_t>(
    1, static_cast<std::uint32_t>(WindowLimit(share.mPerSecond) / 2));
  share.mTurns = (gateways + perTurn - 1) / perTurn;
  share.mTurn = place % share.mTurns;
  if (isNew) {
    // Gateways begin at different points of the time for one token, so that
    // their requests are spread over it.
    share.mTokens = static_cast<double>(place) / gateways;
    share.mRefilledAt = aNow;
    return;
  }
  const double used = std::max(1.0, static_cast<double>(aUse.mRecent)) /
                      WindowLimit(share.mPerSecond);
  const double boost = std::clamp(1 / used, 1.0, kMaxBoost);
  const double perSecond = boost * share.mPerSecond / gateways;
  const std::chrono::duration<double> passed = aNow - share.mRefilledAt;
  share.mTokens = std::min(std::max(1.0, perSecond),
                           share.mTokens + perSecond * passed.count());
  share.mRefilledAt = aNow;
}

void
LimitPacer::Forget(std::string_view aUpstream)
{
  const auto it = mShares.find(aUpstream);
  if (it != mShares.end()) {
    mShares.erase(it);
  }
}

bool
LimitPacer::Allows(std::string_view aUpstream,
                   std::uint32_t aRecent,
                   bool aIsWaiting,
                   Instant aNow) const
{
  const auto it = mShares.find(aUpstream);
  if (it == mShares.end()) {
    return true;
  }
  const Share& share = it->second;
  const double limit = WindowLimit(share.mPerSecond);
  if (share.mTokens < 1 || aRecent + 1 > limit) {
    return false;
  }
  const std::uint64_t turn =
    static_cast<std::uint64_t>(aNow.time_since_epoch() / kTurn);
  const bool needsTurn = aIsWaiting || aRecent + 1 > LimitWithoutTurns(limit);
  return !needsTurn || turn % share.mTurns == share.mTurn;
}

void
LimitPacer::OnSent(std::string_view aUpstream, Instant aNow)
{
  const auto it = mShares.find(aUpstream);
  if (it == mShares.end()) {
    return;
  }
  it->second.mTokens = std::max(-kMaxDebt, it->second.mTokens - 1);
  it->second.mSent.push_back(aNow);
}

std::uint32_t
LimitPacer::TakeExpired(std::string_view aUpstream, Instant aNow)
{
  const auto it = mShares.find(aUpstream);
  std::uint32_t expired = 0;
  while (it != mShares.end() && !it->second.mSent.empty() &&
         aNow - it->second.mSent.front() >= kWindow) {
    it->second.mSent.pop_front();
    ++expired;
  }
  return expired;
}

std::uint32_t
LimitPacer::RecentlySent(std::string_view aUpstream) const
{
  const auto it = mShares.find(aUpstream);
  return it == mShares.end()
           ? 0
           : static_cast<std::uint32_t>(it->second.mSent.size());
}

std::vector<std::string>
LimitPacer::Limited() const
{
  std::vector<std::string> upstreams;
  upstreams.reserve(mShares.size());
  for (const auto& [upstream, share] : mShares) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

} // namespace cactusgw
