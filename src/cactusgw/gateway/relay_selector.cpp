#include "cactusgw/gateway/relay_selector.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

namespace cactusgw {

RelaySelector
RelaySelector::Create(GatewayPeer aSelf, const std::set<std::string>& aRegion)
{
  std::set<std::string> before;
  if (aRegion.size() >= kMinDataCentresPerReader) {
    before.insert(aRegion.begin(), aRegion.lower_bound(aSelf.mDataCentre));
  }
  return RelaySelector{ std::move(aSelf), std::move(before) };
}

void
RelaySelector::SetPeer(const GatewayPeer& aPeer)
{
  const bool isBefore = mDataCentresBefore.contains(aPeer.mDataCentre);
  if (aPeer.mName == mSelf.mName ||
      (aPeer.mDataCentre != mSelf.mDataCentre && !isBefore)) {
    return;
  }
  // A gateway registers when it starts, so earlier failures and backoffs do
  // not apply any more.
  Peer peer;
  peer.mCapacity = aPeer.mCapacity;
  peer.mDataCentre = aPeer.mDataCentre;
  (isBefore ? mPeersBefore : mPeers)[aPeer.mName] = std::move(peer);
}

RelaySelector::Peer*
RelaySelector::Find(std::string_view aName)
{
  auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    return &it->second;
  }
  it = mPeersBefore.find(aName);
  return it == mPeersBefore.end() ? nullptr : &it->second;
}

void
RelaySelector::RemovePeer(std::string_view aName)
{
  for (Peers* const peers : { &mPeers, &mPeersBefore }) {
    const auto it = peers->find(aName);
    if (it != peers->end()) {
      peers->erase(it);
    }
  }
}

bool
RelaySelector::IsBeforeSelf(std::string_view aName, const Peer& aPeer) const
{
  return std::make_tuple(-aPeer.mCapacity, aName) <
         std::make_tuple(-mSelf.mCapacity, std::string_view{ mSelf.mName });
}

std::size_t
RelaySelector::ChildrenOfRoot(std::size_t aGateways)
{
  if (aGateways <= kMaxDirectChildren + 1) {
    return kMaxDirectChildren;
  }
  std::size_t count = 1;
  while (count * count < aGateways) {
    count *= 2;
  }
  return count;
}

template<typename Condition>
std::optional<std::string>
RelaySelector::Select(const Condition& aIsEligible) const
{
  std::vector<std::pair<double, std::string_view>> before;
  for (const auto& [name, peer] : mPeers) {
    if (IsBeforeSelf(name, peer) && aIsEligible(peer)) {
      before.emplace_back(-peer.mCapacity, name);
    }
  }
  if (before.empty()) {
    return std::nullopt;
  }
  const std::size_t children = ChildrenOfRoot(mPeers.size() + 1);
  if (before.size() <= children) {
    return std::string{
      std::min_element(before.begin(), before.end())->second
    };
  }
  std::partial_sort(before.begin(),
                    before.begin() + static_cast<std::ptrdiff_t>(children) + 1,
                    before.end());
  // The gateway with the highest hash: when one joins or leaves, only the
  // gateways that select it change their parent.
  std::string_view best;
  std::uint64_t bestHash = 0;
  for (std::size_t i = 1; i <= children; ++i) {
    const std::string_view name = before[i].second;
    const std::uint64_t hash = StableHash(mSelf.mName + std::string{ name });
    if (best.empty() || hash > bestHash) {
      best = name;
      bestHash = hash;
    }
  }
  return std::string{ best };
}

std::optional<std::string>
RelaySelector::Parent(Instant aNow) const
{
  return Select([&](const Peer& aPeer) { return aPeer.mBackoffUntil <= aNow; });
}

std::optional<std::string>
RelaySelector::Relay(Instant aNow) const
{
  const std::optional<std::string> relay = SelectInDataCentre(aNow);
  return relay ? relay : SelectInRegion(aNow);
}

std::optional<std::string>
RelaySelector::SelectInDataCentre(Instant aNow) const
{
  return Select([&](const Peer& aPeer) {
    return aPeer.mBackoffUntil <= aNow && aPeer.mStoreLostUntil <= aNow;
  });
}

std::optional<std::string>
RelaySelector::SelectInRegion(Instant aNow) const
{
  std::optional<std::tuple<std::string_view, double, std::string_view>> first;
  for (const auto& [name, peer] : mPeersBefore) {
    const std::tuple<std::string_view, double, std::string_view> place{
      peer.mDataCentre, -peer.mCapacity, name
    };
    if (peer.mBackoffUntil <= aNow && peer.mStoreLostUntil <= aNow &&
        (!first || place < *first)) {
      first = place;
    }
  }
  return first ? std::optional{ std::string{ std::get<2>(*first) } }
               : std::nullopt;
}

std::size_t
RelaySelector::Rank() const
{
  return static_cast<std::size_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
      return IsBeforeSelf(aEntry.first, aEntry.second);
    }));
}

void
RelaySelector::OnPeersListed(Instant aNow)
{
  mPeersListedAt = mPeersListedAt.value_or(aNow);
}

bool
RelaySelector::IsStarting(Instant aNow) const
{
  if (!mStartedAt || mRespondedAt) {
    return false;
  }
  if (!mPeersListedAt) {
    return aNow - *mStartedAt < kMaxDiscoveryTime;
  }
  // The reader of the region may have started at the same time, and a data
  // centre that waits for it refuses requests meanwhile.
  const Milliseconds wait = SelectInDataCentre(aNow) ? kFirstResponseTime
                            : mPeers.empty() ? kSettleTime + kSecondListTime
                                             : Milliseconds::zero();
  return aNow - *mPeersListedAt < wait;
}

bool
RelaySelector::ShouldRead(Instant aNow) const
{
  if (IsStarting(aNow)) {
    return false;
  }
  const bool hasRecentResponse =
    mRespondedAt && aNow - *mRespondedAt < kMaxResponseAge;
  return !hasRecentResponse || !Relay(aNow);
}

bool
RelaySelector::ShouldReadPeers(Instant aNow) const
{
  const bool isSettled =
    mPeersListedAt && mPeers.empty() && aNow - *mPeersListedAt >= kSettleTime;
  return !mPeersListedAt || isSettled || ShouldRead(aNow);
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
  Peer* const peer = Find(aName);
  if (peer != nullptr) {
    peer->mStoreLostUntil = aNow + kStoreLostBackoff;
  }
}

void
RelaySelector::OnTimeout(std::string_view aName, Instant aNow)
{
  Peer* const peer = Find(aName);
  if (peer == nullptr) {
    return;
  }
  peer->mBackoffUntil = aNow + peer->mNextBackoff;
  peer->mNextBackoff = std::min(kMaxBackoff, peer->mNextBackoff * 2);
  peer->mHasTimedOut = true;
}

void
RelaySelector::OnMessageFrom(std::string_view aName)
{
  Peer* const peer = Find(aName);
  if (peer != nullptr && peer->mHasTimedOut) {
    peer->mHasTimedOut = false;
    peer->mNextBackoff = kFirstBackoff;
    peer->mBackoffUntil = Instant{};
  }
}

} // namespace cactusgw
