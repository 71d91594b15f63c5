#include "cactusgw/gateway/relay_choice.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusgw {

RelayChoice
RelayChoice::Create(GatewayPeer aSelf)
{
  return RelayChoice{ std::move(aSelf) };
}

void
RelayChoice::SetPeer(const GatewayPeer& aPeer)
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
RelayChoice::RemovePeer(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    mPeers.erase(it);
  }
}

bool
RelayChoice::IsBeforeSelf(std::string_view aName, const Peer& aPeer) const
{
  return std::make_tuple(-aPeer.mCapacity, aName) <
         std::make_tuple(-mSelf.mCapacity, std::string_view{ mSelf.mName });
}

template<typename Condition>
std::optional<std::string>
RelayChoice::FirstBefore(const Condition& aIsOpen) const
{
  const std::string* best = nullptr;
  double bestCapacity = 0;
  for (const auto& [name, peer] : mPeers) {
    const bool isOpen = IsBeforeSelf(name, peer) && aIsOpen(peer);
    if (isOpen && (best == nullptr || peer.mCapacity > bestCapacity)) {
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
RelayChoice::Above(Instant aNow) const
{
  return FirstBefore(
    [&](const Peer& aPeer) { return aPeer.mSilentUntil <= aNow; });
}

std::optional<std::string>
RelayChoice::Relay(Instant aNow) const
{
  return FirstBefore([&](const Peer& aPeer) {
    return aPeer.mSilentUntil <= aNow && aPeer.mNoContactUntil <= aNow;
  });
}

bool
RelayChoice::ShouldRead(Instant aNow) const
{
  const bool isAsked = mAskedAt && aNow - *mAskedAt < kServeTime;
  const bool isAnswered = mAnsweredAt && aNow - *mAnsweredAt < kPatience;
  return isAsked || !isAnswered || !Relay(aNow);
}

void
RelayChoice::OnAnswered(std::string_view aName, Instant aNow)
{
  mAnsweredAt = aNow;
  OnHeard(aName);
}

void
RelayChoice::OnNoContact(std::string_view aName, Instant aNow)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    it->second.mNoContactUntil = aNow + kNoContactTime;
  }
}

void
RelayChoice::OnUnanswered(std::string_view aName, Instant aNow)
{
  const auto it = mPeers.find(aName);
  if (it == mPeers.end()) {
    return;
  }
  Peer& peer = it->second;
  peer.mSilentUntil = aNow + peer.mDoubt;
  peer.mDoubt = std::min(kLastDoubt, peer.mDoubt * 2);
  peer.mIsUnanswered = true;
}

void
RelayChoice::OnHeard(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end() && it->second.mIsUnanswered) {
    it->second.mIsUnanswered = false;
    it->second.mDoubt = kFirstDoubt;
    it->second.mSilentUntil = Instant{};
  }
}

} // namespace cactusgw
