#include "cactusgw/gateway/load_table.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

template<typename Number>
void
SubtractDownToZero(Number& aFrom, Number aWhat)
{
  aFrom -= std::min(aFrom, aWhat);
}

} // namespace

UpstreamUse&
UpstreamUse::operator+=(const UpstreamUse& aOther)
{
  mRequests += aOther.mRequests;
  mTokens += aOther.mTokens;
  mPromptTokens += aOther.mPromptTokens;
  mMovable += aOther.mMovable;
  return *this;
}

UpstreamUse&
UpstreamUse::operator-=(const UpstreamUse& aOther)
{
  SubtractDownToZero(mRequests, aOther.mRequests);
  SubtractDownToZero(mTokens, aOther.mTokens);
  SubtractDownToZero(mPromptTokens, aOther.mPromptTokens);
  SubtractDownToZero(mMovable, aOther.mMovable);
  return *this;
}

void
LoadTable::Add(std::string_view aUpstream, const UpstreamUse& aUse)
{
  mOwn[std::string{ aUpstream }] += aUse;
  ++mOwnVersion;
}

void
LoadTable::Subtract(std::string_view aUpstream, const UpstreamUse& aUse)
{
  const auto it = mOwn.find(aUpstream);
  if (it == mOwn.end()) {
    return;
  }
  it->second -= aUse;
  ++mOwnVersion;
  if (it->second == UpstreamUse{}) {
    mOwn.erase(it);
  }
}

void
LoadTable::SetPeer(std::string_view aPeer, UseByUpstream aUse, Instant aNow)
{
  mPeers[std::string{ aPeer }] = PeerUse{ std::move(aUse), aNow };
}

UpstreamUse
LoadTable::Total(std::string_view aUpstream, Instant aNow) const
{
  UpstreamUse total;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    total += own->second;
  }
  for (const auto& [name, peer] : mPeers) {
    const auto it = peer.mUse.find(aUpstream);
    if (it != peer.mUse.end() && aNow - peer.mHeard < kPeerValidity) {
      total += it->second;
    }
  }
  return total;
}

UpstreamUse
LoadTable::MovableBefore(std::string_view aUpstream,
                         std::string_view aName,
                         Instant aNow) const
{
  UpstreamUse total;
  for (const auto& [name, peer] : mPeers) {
    const auto it = peer.mUse.find(aUpstream);
    const bool counts = name < aName && it != peer.mUse.end() &&
                        it->second.mMovable > 0 &&
                        aNow - peer.mHeard < kPeerValidity;
    if (counts) {
      total += it->second;
    }
  }
  return total;
}

} // namespace cactusgw
