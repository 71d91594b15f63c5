#include "cactusgw/tunnel/carrier_choice.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusgw {

void
CarrierChoice::SetPeer(const Carrier& aCarrier, double aCapacity)
{
  if (aCarrier.mAddress.empty() || aCarrier.mName == mSelf.mVm) {
    RemovePeer(aCarrier.mName);
    return;
  }
  Peer& peer = mPeers[aCarrier.mName];
  if (peer.mCarrier != aCarrier) {
    peer.mFailedAt.reset();
  }
  peer.mCarrier = aCarrier;
  peer.mCapacity = aCapacity > 0 ? aCapacity : 1;
  peer.mRank = RendezvousScore(mSelf.mVm, aCarrier.mName);
}

void
CarrierChoice::RemovePeer(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    mPeers.erase(it);
  }
}

bool
CarrierChoice::IsAvoided(const Peer& aPeer, Instant aNow)
{
  return aPeer.mFailedAt && aNow - *aPeer.mFailedAt < kAvoidTime;
}

std::string_view
CarrierChoice::RegionOf(std::string_view aDataCentre) const
{
  const auto it = mRegions.find(aDataCentre);
  return it == mRegions.end() ? std::string_view{} : it->second;
}

std::vector<Carrier>
CarrierChoice::Order(const AllowedRegions& aRegions, Instant aNow) const
{
  std::map<std::string_view, std::size_t> refusals;
  for (const auto& [name, peer] : mPeers) {
    refusals[peer.mCarrier.mDataCentre] += IsAvoided(peer, aNow) ? 1 : 0;
  }
  // Distance, then the gateway's own order.
  using Place = std::tuple<int, std::uint64_t, const Peer*>;
  std::vector<Place> places;
  for (const auto& [name, peer] : mPeers) {
    const std::string& dataCentre = peer.mCarrier.mDataCentre;
    const std::string_view region = RegionOf(dataCentre);
    const bool isAllowed =
      !aRegions.IsRestricted() || (!region.empty() && aRegions.Allows(region));
    if (!isAllowed || IsAvoided(peer, aNow)) {
      continue;
    }
    int distance = 2;
    if (region == RegionOf(mSelf.mDataCentre)) {
      const bool isNear = dataCentre == mSelf.mDataCentre;
      distance = isNear && refusals[dataCentre] < kMaxRefusals ? 0 : 1;
    }
    places.emplace_back(distance, peer.mRank, &peer);
  }
  std::sort(places.begin(), places.end());
  if (!places.empty()) {
    const auto load = [](const Place& aPlace) {
      const Peer& peer = *std::get<const Peer*>(aPlace);
      return static_cast<double>(peer.mTunnels) / peer.mCapacity;
    };
    const auto first = places.begin();
    const auto end =
      std::find_if(first, places.end(), [&](const Place& aPlace) {
        return std::get<int>(aPlace) != std::get<int>(*first);
      });
    const auto spreadEnd =
      first + std::min<std::ptrdiff_t>(kSpread, std::distance(first, end));
    std::stable_sort(
      first, spreadEnd, [&](const Place& aOne, const Place& aOther) {
        return load(aOne) < load(aOther);
      });
  }
  std::vector<Carrier> carriers;
  for (const Place& place : places) {
    carriers.push_back(std::get<const Peer*>(place)->mCarrier);
  }
  return carriers;
}

void
CarrierChoice::OnOpened(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    ++it->second.mTunnels;
    it->second.mFailedAt.reset();
  }
}

void
CarrierChoice::OnClosed(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end() && it->second.mTunnels > 0) {
    --it->second.mTunnels;
  }
}

void
CarrierChoice::OnFailed(std::string_view aName, Instant aNow)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    it->second.mFailedAt = aNow;
  }
}

} // namespace cactusgw
