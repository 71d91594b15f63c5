#include "cactusgw/gateway/relay_selector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusgw {

RelaySelector
RelaySelector::Create(GatewayPeer aSelf)
{
  return RelaySelector{ std::move(aSelf) };
}

void
RelaySelector::SetPeer(const GatewayPeer& aPeer)
{
  if (aPeer.mName == mSelf.mName || aPeer.mDataCentre != mSelf.mDataCentre) {
    return;
  }
  // A gateway registers when it starts, so earlier failures and backoffs do
  // not apply any more.
  mPeers[aPeer.mName] = Peer{};
  mPeers[aPeer.mName].mCapacity = aPeer.mCapacity;
}

void
RelaySelector::RemovePeer(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    mPeers.erase(it);
  }
}

bool
RelaySelector::IsBeforeSelf(std::string_view aName, const Peer& aPeer) const
{
  return std::make_tuple(-aPeer.mCapacity, aName) <
         std::make_tuple(-mSelf.mCapacity, std::string_view{ mSelf.mName });
}

template<typename Condition>
std::optional<std::string>
RelaySelector::FirstEligible(const Condition& aIsEligible) const
{
  const std::string* best = nullptr;
  double bestCapacity = 0;
  for (const auto& [name, peer] : mPeers) {
    const bool isEligible = IsBeforeSelf(name, peer) && aIsEligible(peer);
    if (isEligible && (best == nullptr || peer.mCapacity > bestCapacity)) {
      best = &name;
      bestCapacity = peer.mCapacity;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return *best;
}

std::optional<std::string>
RelaySelector::Parent(Instant aNow) const
{
  return FirstEligible(
    [&](const Peer& aPeer) { return aPeer.mBackoffUntil <= aNow; });
}

std::optional<std::string>
RelaySelector::Relay(Instant aNow) const
{
  return FirstEligible([&](const Peer& aPeer) {
    return aPeer.mBackoffUntil <= aNow && aPeer.mStoreLostUntil <= aNow;
  });
}

bool
RelaySelector::ShouldRead(Instant aNow) const
{
  const bool hasRecentRequest =
    mRequestedAt && aNow - *mRequestedAt < kServeReadTime;
  const bool hasRecentResponse =
    mRespondedAt && aNow - *mRespondedAt < kMaxResponseAge;
  return hasRecentRequest || !hasRecentResponse || !Relay(aNow);
}

void
RelaySelector::OnResponse(std::string_view aName, Instant aNow)
{
  mRespondedAt = aNow;
  OnMessageFrom(aName);
}

void
RelaySelector::OnStoreLost(std::string_view aName, Instant aNow)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    it->second.mStoreLostUntil = aNow + kStoreLostBackoff;
  }
}

void
RelaySelector::OnTimeout(std::string_view aName, Instant aNow)
{
  const auto it = mPeers.find(aName);
  if (it == mPeers.end()) {
    return;
  }
  Peer& peer = it->second;
  peer.mBackoffUntil = aNow + peer.mNextBackoff;
  peer.mNextBackoff = std::min(kMaxBackoff, peer.mNextBackoff * 2);
  peer.mHasTimedOut = true;
}

void
RelaySelector::OnMessageFrom(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end() && it->second.mHasTimedOut) {
    it->second.mHasTimedOut = false;
    it->second.mNextBackoff = kFirstBackoff;
    it->second.mBackoffUntil = Instant{};
  }
}

} // namespace cactusgw
