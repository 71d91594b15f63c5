#include "cactusgw/brittle/brittle_upstreams.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

/// The slots of one upstream are dealt in an order of the gateways that differs
/// from upstream to upstream.
std::uint32_t
ShareAt(const FleetPlace& aPlace,
        std::string_view aUpstream,
        std::uint32_t aSlots)
{
  const std::uint64_t place =
    (aPlace.mRank + StableHash(aUpstream)) % aPlace.mGateways;
  return aSlots / aPlace.mGateways + (place < aSlots % aPlace.mGateways);
}

/// Slots of others that one gateway may use at a time. Each costs at most one
/// refusal, and two gateways have their turns in the time that is counted.
std::uint32_t
MostBorrowed(std::uint32_t aBearable)
{
  return aBearable / 2;
}

} // namespace

BrittleUpstreams::BrittleUpstreams(const FleetPlace& aPlace, Instant aNow)
  : mPlace(aPlace)
  , mPlaceBefore(aPlace)
  , mPlacedAt(aNow)
{
}

BrittleUpstreams
BrittleUpstreams::Create(const FleetPlace& aPlace, Instant aNow)
{
  return BrittleUpstreams{ aPlace, aNow };
}

void
BrittleUpstreams::SetPlace(const FleetPlace& aPlace, Instant aNow)
{
  if (aPlace == mPlace) {
    return;
  }
  // Of several changes in short order, the largest fleet counts.
  const bool isSettled = aNow - mPlacedAt >= kSettleTime;
  if (isSettled || mPlace.mGateways >= mPlaceBefore.mGateways) {
    mPlaceBefore = mPlace;
  }
  mPlace = aPlace;
  mPlacedAt = aNow;
}

bool
BrittleUpstreams::OnResponse(std::string_view aService,
                             std::optional<std::uint32_t> aBearable,
                             Instant aSentAt,
                             Instant aNow)
{
  const auto it = mServices.find(aService);
  if (aBearable) {
    const Statement statement{ *aBearable, aNow };
    if (it == mServices.end()) {
      mServices.emplace(aService, statement);
      return true;
    }
    const bool hasChanged = it->second.mBearable != *aBearable;
    it->second = statement;
    return hasChanged;
  }
  if (it == mServices.end() || aSentAt < it->second.mAt) {
    return false;
  }
  mServices.erase(it);
  return true;
}

void
BrittleUpstreams::OnTurnedAway(const UpstreamStart& aUpstream, Instant aNow)
{
  mTurnedAway.insert_or_assign(aUpstream, aNow);
}

bool
BrittleUpstreams::HasTurnedAway(const UpstreamStart& aUpstream,
                                Instant aNow) const
{
  const auto it = mTurnedAway.find(aUpstream);
  return it != mTurnedAway.end() && aNow - it->second < kCountedTime;
}

bool
BrittleUpstreams::MayTake(std::string_view aService,
                          const UpstreamStart& aUpstream,
                          const SlotUse& aUse,
                          const TurnTime& aTime) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return true;
  }
  if (aUse.mAll >= aUse.mSlots || HasTurnedAway(aUpstream, aTime.mNow)) {
    return false;
  }
  const std::uint32_t share = Share(aUpstream.mId, aUse.mSlots, aTime.mNow);
  if (aUse.mOwn < share) {
    return true;
  }
  return aUse.mOwn - share < MostBorrowed(it->second.mBearable) &&
         IsTurn(aUpstream.mId, aTime.mWallMs);
}

std::uint32_t
BrittleUpstreams::Share(std::string_view aUpstream,
                        std::uint32_t aSlots,
                        Instant aNow) const
{
  const std::uint32_t share = ShareAt(mPlace, aUpstream, aSlots);
  return aNow - mPlacedAt < kSettleTime
           ? std::min(share, ShareAt(mPlaceBefore, aUpstream, aSlots))
           : share;
}

bool
BrittleUpstreams::IsTurn(std::string_view aUpstream, std::int64_t aWallMs) const
{
  const std::uint64_t turn =
    static_cast<std::uint64_t>(aWallMs / kTurn.count());
  return (turn + mPlace.mRank + StableHash(aUpstream)) % mPlace.mGateways ==
           0 &&
         aWallMs % kTurn.count() < (kTurn - kTurnPause).count();
}

void
BrittleUpstreams::Expire(Instant aNow)
{
  std::erase_if(mServices, [&](const auto& aEntry) {
    return aNow - aEntry.second.mAt >= kMaxAge;
  });
  std::erase_if(mTurnedAway, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kCountedTime;
  });
}

} // namespace cactusgw
