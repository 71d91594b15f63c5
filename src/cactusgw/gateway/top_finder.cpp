#include "cactusgw/gateway/top_finder.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusgw {

TopFinder
TopFinder::Create(std::string aOwn)
{
  return TopFinder{ std::move(aOwn) };
}

void
TopFinder::SetPeer(const GatewayPeer& aPeer)
{
  RemovePeer(aPeer.mName);
  if (aPeer.mDataCentre == mOwn) {
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
TopFinder::RemovePeer(std::string_view aName)
{
  for (auto& [name, dataCentre] : mDataCentres) {
    std::erase_if(dataCentre.mPeers, [&](const GatewayPeer& aPeer) {
      return aPeer.mName == aName;
    });
    if (dataCentre.mHeard == aName) {
      dataCentre.mHeard.clear();
    }
  }
}

void
TopFinder::OnHeard(std::string_view aName,
                   std::string_view aDataCentre,
                   Instant aNow)
{
  const auto it = mDataCentres.find(aDataCentre);
  if (it != mDataCentres.end()) {
    it->second.mHeard = std::string{ aName };
    it->second.mHeardAt = aNow;
    it->second.mTried = 0;
  }
}

std::vector<TopFinder::Top>
TopFinder::Tops(Instant aNow)
{
  std::vector<Top> tops;
  for (auto& [name, dataCentre] : mDataCentres) {
    const std::vector<GatewayPeer>& peers = dataCentre.mPeers;
    if (!dataCentre.mHeard.empty() && aNow - dataCentre.mHeardAt < kValidity) {
      tops.push_back({ dataCentre.mHeard, name });
      continue;
    }
    if (peers.empty()) {
      continue;
    }
    if (aNow - dataCentre.mTriedAt >= kTryTime) {
      dataCentre.mTriedAt = aNow;
      ++dataCentre.mTried;
    }
    tops.push_back(
      { peers[(dataCentre.mTried - 1) % peers.size()].mName, name });
  }
  return tops;
}

} // namespace cactusgw
