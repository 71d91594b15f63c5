#include "cactusgw/gateway/peer_exchange.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <exception>
#include <iterator>

namespace cactusgw {

namespace {

/// Anyone can connect to the listening socket. It receives the load, the
/// suspicions and the small requests of other gateways, and sends the store's
/// content, one response at a time to each gateway.
MessageLimits
ListenerLimits()
{
  constexpr std::int64_t kMaxMessageBytes = std::int64_t{ 256 } * 1024;
  constexpr int kMaxReceived = 4;
  constexpr int kMaxUnsent = 4;
  return { kMaxMessageBytes, kMaxReceived, kMaxUnsent };
}

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context& aContext,
                           GatewayState& aState)
  : mContext(aContext)
  , mState(aState)
  , mZmq(1)
  , mCodec(aState.mSettings.mPlace.mVm,
           static_cast<std::uint64_t>(WallClockMs()),
           aState.mRecorder)
{
}

Result<std::unique_ptr<PeerExchange>>
PeerExchange::Listen(boost::asio::io_context& aContext, GatewayState& aState)
{
  std::unique_ptr<PeerExchange> exchange{ new PeerExchange{ aContext,
                                                            aState } };
  PeerExchange* const self = exchange.get();
  Result<std::unique_ptr<MessageSocket>> listener = MessageSocket::Bind(
    exchange->mZmq,
    aContext,
    aState.mSettings.mPeerListen,
    [self](std::string_view aIdentity, std::string_view aPayload) {
      self->OnMessage(aIdentity, aPayload);
    },
    ListenerLimits());
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
  Link& link = mPeers[aPeer.mName];
  if (link.mPeer.mAddress != aPeer.mAddress) {
    link.mSocket.reset();
    mState.mLog.Write(
      "peer-known",
      { { "peer", aPeer.mName }, { "address", aPeer.mAddress } },
      SteadyNow());
  }
  link.mPeer = aPeer;
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

std::uint32_t
PeerExchange::CountBefore(std::string_view aName) const
{
  return static_cast<std::uint32_t>(
    std::distance(mPeers.begin(), mPeers.lower_bound(aName)));
}

bool
PeerExchange::Connect(Link& aLink)
{
  Result<std::unique_ptr<MessageSocket>> socket = MessageSocket::Connect(
    mZmq,
    mContext,
    aLink.mPeer.mAddress,
    [this](std::string_view aIdentity, std::string_view aPayload) {
      OnMessage(aIdentity, aPayload);
    });
  if (!socket) {
    mState.mLog.Write(
      "peer-ignored",
      { { "peer", aLink.mPeer.mName }, { "reason", socket.error().mDetail } },
      SteadyNow());
    return false;
  }
  aLink.mSocket = std::move(socket.value());
  return true;
}

void
PeerExchange::SendTo(std::string_view aPeer, wire::Envelope& aEnvelope)
{
  const auto it = mPeers.find(aPeer);
  if (it == mPeers.end()) {
    return;
  }
  Link& link = it->second;
  if (link.mSocket || Connect(link)) {
    link.mSocket->Send(mCodec.Encode(aEnvelope));
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
    return; // The codec has logged the error.
  }
  try {
    mOnMessage(aIdentity, envelope.value());
  } catch (const std::exception& e) {
    mState.mLog.Write("peer-message-failed",
                      { { "peer", envelope.value().sender_vm() },
                        { "error", std::string{ e.what() } } },
                      SteadyNow());
  }
}

} // namespace cactusgw
