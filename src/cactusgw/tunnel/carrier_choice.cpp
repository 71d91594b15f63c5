#include "cactusgw/tunnel/carrier_choice.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusgw {

namespace {

/// Doubt about a carrier that failed.
constexpr int kFailed = 2;

} // namespace

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

std::string_view
CarrierChoice::RegionOf(std::string_view aDataCentre) const
{
  const auto it = mRegions.find(aDataCentre);
  return it == mRegions.end() ? std::string_view{} : it->second;
}

int
CarrierChoice::DistanceTo(std::string_view aDataCentre,
                          const Failures& aFailures) const
{
  const auto failures = aFailures.find(aDataCentre);
  if (failures != aFailures.end() && failures->second >= kMaxRefusals) {
    return 3;
  }
  if (RegionOf(aDataCentre) != RegionOf(mSelf.mDataCentre)) {
    return 2;
  }
  return aDataCentre == mSelf.mDataCentre ? 0 : 1;
}

int
CarrierChoice::DoubtOf(const Peer& aPeer, bool aOthersFail, Instant aNow)
{
  if (IsWithin(aPeer.mFailedAt, kDoubtTime, aNow) ||
      (aPeer.mFailedAt && aOthersFail)) {
    return kFailed;
  }
  // While carriers fail, those that don't are worth more than unknown ones.
  return aOthersFail && !IsWithin(aPeer.mOpenedAt, kDoubtTime, aNow) ? 1 : 0;
}

std::vector<Carrier>
CarrierChoice::Order(const AllowedRegions& aRegions,
                     Instant aNow,
                     std::span<const Carrier> aTried) const
{
  const auto isTried = [&](const Peer& aPeer) {
    return std::find(aTried.begin(), aTried.end(), aPeer.mCarrier) !=
           aTried.end();
  };
  Failures failures;
  for (const auto& [name, peer] : mPeers) {
    const bool hasFailed =
      isTried(peer) || IsWithin(peer.mFailedAt, kDoubtTime, aNow);
    failures[peer.mCarrier.mDataCentre] += hasFailed ? 1 : 0;
  }
  // Distance and doubt. Those that failed follow in the order of their
  // failures, so that all are asked in turn, the others in the gateway's own
  // order.
  using Place = std::tuple<int, int, Instant, std::uint64_t, const Peer*>;
  std::vector<Place> places;
  for (const auto& [name, peer] : mPeers) {
    const std::string& dataCentre = peer.mCarrier.mDataCentre;
    const std::string_view region = RegionOf(dataCentre);
    const bool isAllowed =
      !aRegions.IsRestricted() || (!region.empty() && aRegions.Allows(region));
    if (isAllowed && !isTried(peer) &&
        !IsWithin(peer.mFailedAt, kAvoidTime, aNow)) {
      const int doubt =
        DoubtOf(peer, failures[dataCentre] >= kMaxRefusals, aNow);
      places.emplace_back(DistanceTo(dataCentre, failures),
                          doubt,
                          doubt == kFailed ? *peer.mFailedAt : Instant{},
                          peer.mRank,
                          &peer);
    }
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
        return std::get<0>(aPlace) != std::get<0>(*first) ||
               std::get<1>(aPlace) != std::get<1>(*first);
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
CarrierChoice::OnOpened(std::string_view aName, Instant aNow)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    ++it->second.mTunnels;
    it->second.mOpenedAt = aNow;
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
