#include "cactusgw/gateway/peer_exchange.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

PeerExchange::PeerExchange(boost::asio::io_context& aContext,
                           GatewayState& aState,
                           LeavingHandler aOnLeaving)
  : mContext(aContext)
  , mState(aState)
  , mOnLeaving(std::move(aOnLeaving))
  , mZmq(1)
  , mCodec(aState.mSettings.mPlace.mVm,
           static_cast<std::uint64_t>(WallClockMs()),
           aState.mRecorder)
{
}

Result<std::unique_ptr<PeerExchange>>
PeerExchange::Listen(boost::asio::io_context& aContext,
                     GatewayState& aState,
                     LeavingHandler aOnLeaving)
{
  std::unique_ptr<PeerExchange> exchange{ new PeerExchange{
    aContext, aState, std::move(aOnLeaving) } };
  PeerExchange* const self = exchange.get();
  Result<std::unique_ptr<MessageSocket>> listener = MessageSocket::Bind(
    exchange->mZmq,
    aContext,
    aState.mSettings.mPeerListen,
    [self](std::string_view aIdentity, std::string_view aPayload) {
      self->OnMessage(aIdentity, aPayload);
    });
  if (!listener) {
    return listener.error();
  }
  exchange->mListener = std::move(listener.value());
  return exchange;
}

void
PeerExchange::SetPeer(const GatewayPeer& aPeer)
{
  if (aPeer.mName == mState.mSettings.mPlace.mVm) {
    return;
  }
  const auto known = mPeers.find(aPeer.mName);
  if (known != mPeers.end() && known->second.mPeer.mAddress == aPeer.mAddress) {
    return;
  }
  Result<std::unique_ptr<MessageSocket>> socket = MessageSocket::Connect(
    mZmq,
    mContext,
    aPeer.mAddress,
    [this](std::string_view aIdentity, std::string_view aPayload) {
      OnMessage(aIdentity, aPayload);
    });
  if (!socket) {
    mState.mLog.Write(
      "peer-ignored",
      { { "peer", aPeer.mName }, { "reason", socket.error().mDetail } },
      SteadyNow());
    return;
  }
  Link link;
  link.mPeer = aPeer;
  link.mSocket = std::move(socket.value());
  mPeers[aPeer.mName] = std::move(link);
  mState.mLog.Write("peer-known",
                    { { "peer", aPeer.mName }, { "address", aPeer.mAddress } },
                    SteadyNow());
}

void
PeerExchange::RemovePeer(std::string_view aName)
{
  const auto it = mPeers.find(aName);
  if (it != mPeers.end()) {
    mPeers.erase(it);
    mState.mLog.Write("peer-gone", { { "peer", aName } }, SteadyNow());
  }
}

Milliseconds
PeerExchange::IntervalTo(const GatewayPeer& aPeer) const
{
  constexpr std::int64_t kMsPerSecond = 1000;
  const bool isFar =
    mState.DistanceBetween(mState.mSettings.mPlace.mDataCentre,
                           aPeer.mDataCentre) == Distance::OtherRegion;
  const std::int64_t peers = static_cast<std::int64_t>(mPeers.size());
  const Milliseconds bound{ peers * kMsPerSecond / kMessagesPerSecond };
  return std::max(isFar ? kFarInterval : kNearInterval, bound);
}

bool
PeerExchange::IsDue(const Link& aLink, Instant aNow) const
{
  const Milliseconds since =
    std::chrono::duration_cast<Milliseconds>(aNow - aLink.mSentAt);
  const bool isNew = aLink.mSentVersion !=
                     mState.mLoads.OwnVersion() + mState.mLeavingNews.Version();
  if (isNew && since >= IntervalTo(aLink.mPeer)) {
    return true;
  }
  const bool hasNews =
    !mState.mLoads.Own().empty() || !mState.mLeavingNews.Recent(aNow).empty();
  return since >= kRepeatInterval && hasNews;
}

void
PeerExchange::Send(Instant aNow)
{
  std::string payload;
  for (auto& [name, link] : mPeers) {
    if (!IsDue(link, aNow)) {
      continue;
    }
    if (payload.empty()) {
      payload = EncodeUse();
    }
    if (link.mSocket->Send(payload)) {
      link.mSentVersion =
        mState.mLoads.OwnVersion() + mState.mLeavingNews.Version();
    }
    link.mSentAt = aNow;
  }
}

std::string
PeerExchange::EncodeUse()
{
  wire::Envelope envelope;
  wire::GatewayUse* const message = envelope.mutable_gateway_use();
  for (const auto& [upstream, use] : mState.mLoads.Own()) {
    wire::UpstreamUseEntry* const entry = message->add_entries();
    entry->set_upstream(upstream);
    entry->set_requests(use.mRequests);
    entry->set_tokens(use.mTokens);
    entry->set_prompt_tokens(use.mPromptTokens);
    entry->set_movable(use.mMovable);
  }
  for (const LeavingUpstream& upstream :
       mState.mLeavingNews.Recent(SteadyNow())) {
    wire::LeavingUpstream* const entry = message->add_leaving();
    entry->set_upstream(upstream.mId);
    entry->set_started_ms(upstream.mStartedMs);
  }
  return mCodec.Encode(envelope);
}

void
PeerExchange::SendTo(std::string_view aPeer, wire::Envelope& aEnvelope)
{
  const auto it = mPeers.find(aPeer);
  if (it != mPeers.end()) {
    it->second.mSocket->Send(mCodec.Encode(aEnvelope));
  }
}

void
PeerExchange::Reply(std::string_view aIdentity, wire::Envelope& aEnvelope)
{
  mListener->SendTo(aIdentity, mCodec.Encode(aEnvelope));
}

void
PeerExchange::OnMessage(std::string_view aIdentity, std::string_view aPayload)
{
  const Result<wire::Envelope> envelope = mCodec.Decode(aPayload);
  if (!envelope) {
    return; // The codec has logged why.
  }
  if (envelope.value().has_gateway_use()) {
    OnUse(envelope.value());
  }
  if (mOnMessage) {
    mOnMessage(aIdentity, envelope.value());
  }
}

void
PeerExchange::OnUse(const wire::Envelope& aEnvelope)
{
  UseByUpstream uses;
  for (const wire::UpstreamUseEntry& entry :
       aEnvelope.gateway_use().entries()) {
    uses[entry.upstream()] = UpstreamUse{
      entry.requests(), entry.tokens(), entry.prompt_tokens(), entry.movable()
    };
  }
  mState.mLoads.SetPeer(aEnvelope.sender_vm(), std::move(uses), SteadyNow());
  for (const wire::LeavingUpstream& entry : aEnvelope.gateway_use().leaving()) {
    mOnLeaving({ entry.upstream(), entry.started_ms() });
  }
  mState.mLine.WakeFirst();
}

} // namespace cactusgw
