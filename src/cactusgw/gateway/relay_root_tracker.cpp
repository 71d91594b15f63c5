#include "cactusgw/gateway/relay_root_tracker.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusgw {

RelayRootTracker
RelayRootTracker::Create(std::string aOwn)
{
  return RelayRootTracker{ std::move(aOwn) };
}

void
RelayRootTracker::SetPeer(const GatewayPeer& aPeer)
{
  RemovePeer(aPeer.mName);
  if (aPeer.mDataCentre == mOwnDataCentre) {
    return;
  }
  std::vector<GatewayPeer>& peers = mDataCentres[aPeer.mDataCentre].mPeers;
  peers.push_back(aPeer);
  std::sort(peers.begin(),
            peers.end(),
            [](const GatewayPeer& aLeft, const GatewayPeer& aRight) {
              return std::tie(aRight.mCapacity, aLeft.mName) <
                     std::tie(aLeft.mCapacity, aRight.mName);
            });
}

void
RelayRootTracker::RemovePeer(std::string_view aName)
{
  for (auto& [name, dataCentre] : mDataCentres) {
    std::erase_if(dataCentre.mPeers, [&](const GatewayPeer& aPeer) {
      return aPeer.mName == aName;
    });
    if (dataCentre.mRoot == aName) {
      dataCentre.mRoot.clear();
    }
  }
}

void
RelayRootTracker::OnRootMessage(std::string_view aName,
                                std::string_view aDataCentre,
                                Instant aNow)
{
  const auto it = mDataCentres.find(aDataCentre);
  if (it != mDataCentres.end()) {
    it->second.mRoot = std::string{ aName };
    it->second.mRootHeardAt = aNow;
    it->second.mProbes = 0;
  }
}

bool
RelayRootTracker::IsFirst(Instant aNow) const
{
  return std::none_of(
    mDataCentres.begin(), mDataCentres.end(), [&](const auto& aEntry) {
      return aEntry.first < mOwnDataCentre &&
             aEntry.second.mRootHeardAt != Instant{} &&
             aNow - aEntry.second.mRootHeardAt < kValidity;
    });
}

std::vector<RelayRootTracker::RelayRoot>
RelayRootTracker::RelayRoots(Instant aNow)
{
  std::vector<RelayRoot> roots;
  for (auto& [name, dataCentre] : mDataCentres) {
    const std::vector<GatewayPeer>& peers = dataCentre.mPeers;
    if (!dataCentre.mRoot.empty() &&
        aNow - dataCentre.mRootHeardAt < kValidity) {
      roots.push_back({ dataCentre.mRoot, name });
      continue;
    }
    if (peers.empty()) {
      continue;
    }
    if (aNow - dataCentre.mProbedAt >= kProbeTime) {
      dataCentre.mProbedAt = aNow;
      ++dataCentre.mProbes;
    }
    roots.push_back(
      { peers[(dataCentre.mProbes - 1) % peers.size()].mName, name });
  }
  return roots;
}

} // namespace cactusgw
