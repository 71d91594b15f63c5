#ifndef CACTUSGW_MESSAGING_MESSAGE_SOCKET_HPP
#define CACTUSGW_MESSAGING_MESSAGE_SOCKET_HPP

/// ZeroMQ sockets driven by an Asio event loop. Sending never blocks: when a
/// peer can't take a message it is dropped and counted.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusgw {

/// Called with the sender's routing identity (empty on a connecting socket)
/// and the message.
using MessageHandler =
  std::function<void(std::string_view aIdentity, std::string_view aPayload)>;

/// What a socket holds for each connection. The memory that a peer can take is
/// about the largest message times the queue of received ones.
struct MessageLimits
{
  /// Larger messages close their connection before they are held. Responses of
  /// the store, which are passed on, have up to 8 MiB.
  std::int64_t mMaxMessageBytes = std::int64_t{ 16 } * 1024 * 1024;
  /// Received messages that wait; beyond that the peer has to wait.
  int mMaxReceived = 2000;
  /// Messages to be sent; beyond that new ones are dropped.
  int mMaxUnsent = 2000;
};

/// Not thread-safe; lives on one io_context.
class MessageSocket
{
public:
  /// A socket that others connect to. Errors: InvalidInput.
  static Result<std::unique_ptr<MessageSocket>> Bind(
    zmq::context_t& aZmq,
    boost::asio::io_context& aContext,
    std::string_view aAddress,
    MessageHandler aHandler,
    const MessageLimits& aLimits = {});

  /// A socket connected to one address; reconnects by itself.
  static Result<std::unique_ptr<MessageSocket>> Connect(
    zmq::context_t& aZmq,
    boost::asio::io_context& aContext,
    std::string_view aAddress,
    MessageHandler aHandler,
    const MessageLimits& aLimits = {});

  ~MessageSocket();
  MessageSocket(const MessageSocket&) = delete;
  MessageSocket& operator=(const MessageSocket&) = delete;

  /// Sends on a connecting socket.
  bool Send(std::string_view aPayload);
  /// Sends to a peer of a bound socket.
  bool SendTo(std::string_view aIdentity, std::string_view aPayload);

  std::uint64_t DroppedSends() const { return mDroppedSends; }

private:
  MessageSocket(zmq::context_t& aZmq,
                boost::asio::io_context& aContext,
                zmq::socket_type aType,
                MessageHandler aHandler,
                const MessageLimits& aLimits);
  void WaitReadable();
  /// Passes on what has arrived, a bounded number of messages at a time.
  void Drain();
  /// @param aIdentity is ignored on a connecting socket
  bool TrySend(std::string_view aIdentity, std::string_view aPayload);
  bool Receive(zmq::message_t& aIdentity, zmq::message_t& aPayload);
  /// ZeroMQ signals edges, and a send may consume one: look again later.
  void ScheduleDrain();

  zmq::socket_t mSocket;
  boost::asio::io_context& mContext;
  boost::asio::posix::stream_descriptor mDescriptor;
  bool mIsRouter;
  MessageHandler mHandler;
  std::uint64_t mDroppedSends = 0;
  bool mDrainScheduled = false;
  std::shared_ptr<bool> mAlive;
};

} // namespace cactusgw

#endif // CACTUSGW_MESSAGING_MESSAGE_SOCKET_HPP
