#include "cactusgw/gateway/use_exchange.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

UseSums
Decode(const wire::GatewayUse& aMessage)
{
  UseSums sums;
  for (const wire::UpstreamUseEntry& entry : aMessage.entries()) {
    sums[entry.upstream()] =
      UseSum{ { entry.requests(),
                entry.tokens(),
                entry.prompt_tokens(),
                entry.movable() },
              { entry.turn_tokens(), entry.turn_movable() } };
  }
  return sums;
}

void
Encode(const UseSums& aSums, wire::GatewayUse& aMessage)
{
  for (const auto& [upstream, sum] : aSums) {
    if (sum == UseSum{}) {
      continue;
    }
    wire::UpstreamUseEntry* const entry = aMessage.add_entries();
    entry->set_upstream(upstream);
    entry->set_requests(sum.mUse.mRequests);
    entry->set_tokens(sum.mUse.mTokens);
    entry->set_prompt_tokens(sum.mUse.mPromptTokens);
    entry->set_movable(sum.mUse.mMovable);
    entry->set_turn_tokens(sum.mTurn.mTokens);
    entry->set_turn_movable(sum.mTurn.mMovable);
  }
}

} // namespace

UseExchange::UseExchange(GatewayState& aState,
                         PeerExchange& aPeers,
                         LeavingHandler aOnLeaving)
  : mState(aState)
  , mPeers(aPeers)
  , mOnLeaving(std::move(aOnLeaving))
  , mHub(UseHub::Create(aState.mSettings.mPlace.mVm,
                        aState.mSettings.mPlace.mDataCentre))
  , mTops(TopFinder::Create(aState.mSettings.mPlace.mDataCentre))
{
}

std::uint64_t
UseExchange::Version() const
{
  return mState.mLoads.OwnVersion() + mState.mLeavingNews.Version() +
         mHeardVersion;
}

void
UseExchange::Tick(const std::optional<std::string>& aAbove, Instant aNow)
{
  if (mAbove != aAbove) {
    mAbove = aAbove;
    // The new parent reports the same work again: don't count it twice.
    mHub.SetAbove({}, aNow);
  }
  mHub.Expire(aNow);
  if (mAppliedVersion != Version()) {
    mAppliedVersion = Version();
    mHub.SetOwn(SumOf(mState.mLoads.Own()));
    mState.mLoads.SetOthers(mHub.RestForSelf(), aNow);
  }
  if (mAbove) {
    SendUp(*mAbove, aNow);
  } else {
    SendBeside(aNow);
  }
  SendDown(aNow);
}

bool
UseExchange::TakeTurn(const std::string& aPeer,
                      Milliseconds aInterval,
                      Instant aNow)
{
  Sent& sent = mSent[aPeer];
  const bool isDue = sent.mVersion != Version()
                       ? aNow - sent.mAt >= aInterval
                       : aNow - sent.mAt >= kRepeatInterval;
  if (isDue) {
    sent = Sent{ aNow, Version() };
  }
  return isDue;
}

void
UseExchange::SendUp(const std::string& aAbove, Instant aNow)
{
  if (TakeTurn(aAbove, kInterval, aNow)) {
    Send(aAbove, mHub.Subtree(), wire::GatewayUse::UP);
  }
}

void
UseExchange::SendBeside(Instant aNow)
{
  const GatewaySettings& settings = mState.mSettings;
  for (const TopFinder::Top& top : mTops.Tops(aNow)) {
    const bool isFar =
      mState.DistanceBetween(settings.mPlace.mDataCentre, top.mDataCentre) ==
      Distance::OtherRegion;
    if (TakeTurn(top.mName, isFar ? kFarInterval : kInterval, aNow)) {
      Send(top.mName, mHub.Subtree(), wire::GatewayUse::BESIDE);
    }
  }
}

void
UseExchange::SendDown(Instant aNow)
{
  const std::vector<std::string> followers = mHub.Followers();
  const Milliseconds interval = IntervalDown(followers.size());
  for (const std::string& name : followers) {
    if (TakeTurn(name, interval, aNow)) {
      mBytesDown = Send(name, mHub.RestFor(name), wire::GatewayUse::DOWN);
    }
  }
}

Milliseconds
UseExchange::IntervalDown(std::size_t aFollowers) const
{
  constexpr double kBytesPerMsAndMbps = 125;
  const double bytes = static_cast<double>(aFollowers * mBytesDown);
  const double bytesPerMs =
    kLinkPart * mState.mSettings.mLinkMbps * kBytesPerMsAndMbps;
  return std::max(
    kInterval, Milliseconds{ static_cast<std::int64_t>(bytes / bytesPerMs) });
}

std::size_t
UseExchange::Send(const std::string& aPeer,
                  const UseSums& aSums,
                  wire::GatewayUse::Direction aDirection)
{
  wire::Envelope envelope;
  wire::GatewayUse* const message = envelope.mutable_gateway_use();
  message->set_direction(aDirection);
  message->set_data_centre(mState.mSettings.mPlace.mDataCentre);
  Encode(aSums, *message);
  for (const LeavingUpstream& upstream :
       mState.mLeavingNews.Recent(SteadyNow())) {
    wire::LeavingUpstream* const entry = message->add_leaving();
    entry->set_upstream(upstream.mId);
    entry->set_started_ms(upstream.mStartedMs);
  }
  mPeers.SendTo(aPeer, envelope);
  return envelope.ByteSizeLong();
}

void
UseExchange::OnMessage(const wire::Envelope& aEnvelope)
{
  if (!aEnvelope.has_gateway_use()) {
    return;
  }
  OnUse(aEnvelope.sender_vm(), aEnvelope.gateway_use());
  for (const wire::LeavingUpstream& entry : aEnvelope.gateway_use().leaving()) {
    mOnLeaving({ entry.upstream(), entry.started_ms() });
  }
  mState.mLine.WakeFirst();
}

void
UseExchange::OnUse(const std::string& aSender, const wire::GatewayUse& aUse)
{
  const Instant now = SteadyNow();
  ++mHeardVersion;
  switch (aUse.direction()) {
    case wire::GatewayUse::UP:
      mHub.SetBelow(aSender, Decode(aUse), now);
      break;
    case wire::GatewayUse::BESIDE:
      mTops.OnHeard(aSender, aUse.data_centre(), now);
      mHub.SetBeside(aSender, aUse.data_centre(), Decode(aUse), now);
      break;
    case wire::GatewayUse::DOWN:
      if (mAbove == aSender) {
        mHub.SetAbove(Decode(aUse), now);
      }
      break;
    default:
      break; // A direction that a later version has added.
  }
}

} // namespace cactusgw
