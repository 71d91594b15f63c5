#include "cactusgw/messaging/message_socket.hpp"

#include "cactusgw/net/spawn.hpp"

#include <boost/asio/post.hpp>

#include <exception>
#include <utility>

namespace cactusgw {

namespace {

/// After this many messages other work of the event loop has its turn.
constexpr int kMessagesAtOnce = 64;
/// Silence on a connection after which ZeroMQ probes it, and then closes it.
constexpr int kHeartbeatIntervalMs = 2000;
constexpr int kHeartbeatTimeoutMs = 6000;
constexpr int kReconnectMaxMs = 2000;
/// An attempt to connect after which ZeroMQ makes a new one; includes one
/// retransmission. The system's own intervals grow with the time that a peer
/// can't be reached, up to a minute.
constexpr int kConnectTimeoutMs = 1500;

std::string
ZmqAddress(std::string_view aAddress)
{
  return "tcp://" + std::string{ aAddress };
}

} // namespace

MessageSocket::MessageSocket(zmq::context_t& aZmq,
                             boost::asio::io_context& aContext,
                             zmq::socket_type aType,
                             MessageHandler aHandler,
                             const MessageLimits& aLimits)
  : mSocket(aZmq, aType)
  , mContext(aContext)
  , mDescriptor(aContext)
  , mIsRouter(aType == zmq::socket_type::router)
  , mHandler(std::move(aHandler))
  , mAlive(std::make_shared<bool>(true))
{
  mSocket.set(zmq::sockopt::linger, 0);
  mSocket.set(zmq::sockopt::sndhwm, aLimits.mMaxUnsent);
  mSocket.set(zmq::sockopt::rcvhwm, aLimits.mMaxReceived);
  mSocket.set(zmq::sockopt::maxmsgsize, aLimits.mMaxMessageBytes);
  mSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  mSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  mSocket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  mSocket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
}

Result<std::unique_ptr<MessageSocket>>
MessageSocket::Bind(zmq::context_t& aZmq,
                    boost::asio::io_context& aContext,
                    std::string_view aAddress,
                    MessageHandler aHandler,
                    const MessageLimits& aLimits)
{
  try {
    std::unique_ptr<MessageSocket> socket{
      new MessageSocket{
        aZmq, aContext, zmq::socket_type::router, std::move(aHandler), aLimits }
    };
    socket->mSocket.bind(ZmqAddress(aAddress));
    socket->WaitReadable();
    return socket;
  } catch (const std::exception& e) { // No descriptor left, for example.
    return NotRun(FailureCode::InvalidInput,
                  "can't listen on " + std::string{ aAddress } + ": " +
                    e.what());
  }
}

Result<std::unique_ptr<MessageSocket>>
MessageSocket::Connect(zmq::context_t& aZmq,
                       boost::asio::io_context& aContext,
                       std::string_view aAddress,
                       MessageHandler aHandler,
                       const MessageLimits& aLimits)
{
  try {
    std::unique_ptr<MessageSocket> socket{
      new MessageSocket{
        aZmq, aContext, zmq::socket_type::dealer, std::move(aHandler), aLimits }
    };
    socket->mSocket.connect(ZmqAddress(aAddress));
    socket->WaitReadable();
    return socket;
  } catch (const std::exception& e) { // No descriptor left, for example.
    return NotRun(FailureCode::InvalidInput,
                  "can't connect to " + std::string{ aAddress } + ": " +
                    e.what());
  }
}

MessageSocket::~MessageSocket()
{
  *mAlive = false;
  if (mDescriptor.is_open()) {
    mDescriptor.release(); // The descriptor belongs to ZeroMQ.
  }
}

bool
MessageSocket::Send(std::string_view aPayload)
{
  return TrySend({}, aPayload);
}

bool
MessageSocket::SendTo(std::string_view aIdentity, std::string_view aPayload)
{
  return TrySend(aIdentity, aPayload);
}

bool
MessageSocket::TrySend(std::string_view aIdentity, std::string_view aPayload)
{
  const zmq::send_flags more =
    zmq::send_flags::sndmore | zmq::send_flags::dontwait;
  bool sent = false;
  try {
    if (!mIsRouter || mSocket.send(zmq::buffer(aIdentity), more)) {
      sent = mSocket.send(zmq::buffer(aPayload), zmq::send_flags::dontwait)
               .has_value();
    }
  } catch (const zmq::error_t&) {
    sent = false; // Counted as dropped, like a message to a full queue.
  }
  ScheduleDrain();
  mDroppedSends += sent ? 0 : 1;
  return sent;
}

void
MessageSocket::WaitReadable()
{
  if (!mDescriptor.is_open()) {
    mDescriptor.assign(mSocket.get(zmq::sockopt::fd));
  }
  const std::shared_ptr<bool> alive = mAlive;
  mDescriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this, alive](const boost::system::error_code& ec) {
                           if (ec || !*alive) {
                             return;
                           }
                           RunGuarded("peer-socket", [this] { Drain(); });
                           if (*alive) {
                             WaitReadable();
                           }
                         });
  ScheduleDrain();
}

void
MessageSocket::Drain()
{
  const std::shared_ptr<bool> alive = mAlive;
  for (int i = 0; *alive && i < kMessagesAtOnce; ++i) {
    zmq::message_t identity;
    zmq::message_t payload;
    if (!Receive(identity, payload)) {
      return;
    }
    // The socket reports new messages only: those after one whose handler
    // throws would wait for the next.
    RunGuarded("peer-message", [&] {
      mHandler(identity.to_string_view(), payload.to_string_view());
    });
  }
  if (*alive) {
    ScheduleDrain();
  }
}

bool
MessageSocket::Receive(zmq::message_t& aIdentity, zmq::message_t& aPayload)
{
  try {
    return (mSocket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0 &&
           (!mIsRouter ||
            mSocket.recv(aIdentity, zmq::recv_flags::dontwait).has_value()) &&
           mSocket.recv(aPayload, zmq::recv_flags::dontwait).has_value();
  } catch (const zmq::error_t&) {
    ScheduleDrain(); // A signal interrupted the call, for example.
    return false;
  }
}

void
MessageSocket::ScheduleDrain()
{
  if (mDrainScheduled) {
    return;
  }
  mDrainScheduled = true;
  const std::shared_ptr<bool> alive = mAlive;
  boost::asio::post(mContext, [this, alive] {
    if (*alive) {
      mDrainScheduled = false;
      RunGuarded("peer-socket", [this] { Drain(); });
    }
  });
}

} // namespace cactusgw
