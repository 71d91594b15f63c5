#ifndef CACTUSGW_GATEWAY_PEER_EXCHANGE_HPP
#define CACTUSGW_GATEWAY_PEER_EXCHANGE_HPP

/// Tells the other gateways what this one has in progress at each upstream,
/// and hears the same from them. What is lost is replaced by the next message.

#include "cactusgw/gateway/gateway_peer.hpp"
#include "cactusgw/gateway/leaving_news.hpp"
#include "cactusgw/gateway/load_table.hpp"
#include "cactusgw/messaging/envelope.hpp"
#include "cactusgw/messaging/message_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cactusgw {

class GatewayState;

/// Not thread-safe; lives on one io_context.
class PeerExchange
{
public:
  /// Time between two messages to a peer of the same region while the figures
  /// change. Links between regions are narrow and paid for: peers there hear
  /// less often.
  static constexpr Milliseconds kNearInterval{ 50 };
  static constexpr Milliseconds kFarInterval{ 400 };
  /// Messages a second that this gateway sends at most, whatever the number of
  /// peers: with more of them each hears less often.
  static constexpr std::int64_t kMessagesPerSecond = 100;
  /// Unchanged figures are repeated this often.
  static constexpr Milliseconds kRepeatInterval{ 1000 };

  /// Called when a peer says that an upstream leaves.
  using LeavingHandler = std::function<void(const LeavingUpstream&)>;

  /// Called with each message, and where an answer to it would go.
  using MessageHandler =
    std::function<void(std::string_view aIdentity, const wire::Envelope&)>;

  /// Errors: InvalidInput when the address can't be bound.
  static Result<std::unique_ptr<PeerExchange>> Listen(
    boost::asio::io_context& aContext,
    GatewayState& aState,
    LeavingHandler aOnLeaving);

  /// Peers as they registered. This gateway itself may be among them.
  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);
  std::size_t PeerCount() const { return mPeers.size(); }

  /// Sends what is due.
  void Send(Instant aNow);

  /// Who takes the messages that are not of this class's own kind; must be set
  /// before the first one.
  void SetHandler(MessageHandler aHandler) { mOnMessage = std::move(aHandler); }
  /// A message that can't be sent is lost.
  void SendTo(std::string_view aPeer, wire::Envelope& aEnvelope);
  void Reply(std::string_view aIdentity, wire::Envelope& aEnvelope);

private:
  struct Link
  {
    GatewayPeer mPeer;
    std::unique_ptr<MessageSocket> mSocket;
    Instant mSentAt;
    std::uint64_t mSentVersion = 0;
  };

  PeerExchange(boost::asio::io_context& aContext,
               GatewayState& aState,
               LeavingHandler aOnLeaving);
  void OnMessage(std::string_view aIdentity, std::string_view aPayload);
  void OnUse(const wire::Envelope& aEnvelope);
  Milliseconds IntervalTo(const GatewayPeer& aPeer) const;
  bool IsDue(const Link& aLink, Instant aNow) const;
  std::string EncodeUse();

  boost::asio::io_context& mContext;
  GatewayState& mState;
  LeavingHandler mOnLeaving;
  MessageHandler mOnMessage;
  zmq::context_t mZmq;
  EnvelopeCodec mCodec;
  std::unique_ptr<MessageSocket> mListener;
  std::map<std::string, Link, std::less<>> mPeers;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_PEER_EXCHANGE_HPP
