#ifndef CACTUSGW_GATEWAY_PEER_EXCHANGE_HPP
#define CACTUSGW_GATEWAY_PEER_EXCHANGE_HPP

/// Sends and receives messages between gateways. Connections are opened on the
/// first message to a peer; messages that can't be sent are dropped.

#include "cactusgw/gateway/gateway_peer.hpp"
#include "cactusgw/messaging/envelope.hpp"
#include "cactusgw/messaging/message_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include <cstddef>
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
  /// Called with each message and the socket identity for Reply().
  using MessageHandler =
    std::function<void(std::string_view aIdentity, const wire::Envelope&)>;

  /// Binds the listening socket.
  /// Errors: InvalidInput if the address can't be bound.
  static Result<std::unique_ptr<PeerExchange>> Listen(
    boost::asio::io_context& aContext,
    GatewayState& aState);

  /// Must be set before the first message.
  void SetHandler(MessageHandler aHandler) { mOnMessage = std::move(aHandler); }

  /// Adds or updates a registered peer. Ignores this gateway itself.
  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);
  std::size_t PeerCount() const { return mPeers.size(); }
  /// Number of peers whose names come before the given one.
  std::uint32_t CountBefore(std::string_view aName) const;

  void SendTo(std::string_view aPeer, wire::Envelope& aEnvelope);
  void Reply(std::string_view aIdentity, wire::Envelope& aEnvelope);

private:
  struct Link
  {
    GatewayPeer mPeer;
    /// Null before the first message.
    std::unique_ptr<MessageSocket> mSocket;
  };

  PeerExchange(boost::asio::io_context& aContext, GatewayState& aState);
  void OnMessage(std::string_view aIdentity, std::string_view aPayload);
  bool Connect(Link& aLink);

  boost::asio::io_context& mContext;
  GatewayState& mState;
  MessageHandler mOnMessage;
  zmq::context_t mZmq;
  EnvelopeCodec mCodec;
  std::unique_ptr<MessageSocket> mListener;
  std::map<std::string, Link, std::less<>> mPeers;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_PEER_EXCHANGE_HPP
