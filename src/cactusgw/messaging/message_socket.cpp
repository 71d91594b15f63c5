#include "cactusgw/messaging/message_socket.hpp"

#include <boost/asio/post.hpp>

#include <cstdint>
#include <utility>

namespace cactusgw {

namespace {

/// Messages queued per peer before new ones are dropped.
constexpr int kHighWaterMark = 2000;
/// Larger messages close their connection before they are held. Responses of
/// the store, which are passed on, have up to 8 MiB.
constexpr std::int64_t kMaxMessageBytes = std::int64_t{ 16 } * 1024 * 1024;
/// Silence on a connection after which ZeroMQ probes it, and then closes it.
constexpr int kHeartbeatIntervalMs = 2000;
constexpr int kHeartbeatTimeoutMs = 6000;
constexpr int kReconnectMaxMs = 2000;

std::string
ZmqAddress(std::string_view aAddress)
{
  return "tcp://" + std::string{ aAddress };
}

} // namespace

MessageSocket::MessageSocket(zmq::context_t& aZmq,
                             boost::asio::io_context& aContext,
                             zmq::socket_type aType,
                             MessageHandler aHandler)
  : mSocket(aZmq, aType)
  , mContext(aContext)
  , mDescriptor(aContext)
  , mIsRouter(aType == zmq::socket_type::router)
  , mHandler(std::move(aHandler))
  , mAlive(std::make_shared<bool>(true))
{
  mSocket.set(zmq::sockopt::linger, 0);
  mSocket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  mSocket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  mSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  mSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  mSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  mSocket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
}

Result<std::unique_ptr<MessageSocket>>
MessageSocket::Bind(zmq::context_t& aZmq,
                    boost::asio::io_context& aContext,
                    std::string_view aAddress,
                    MessageHandler aHandler)
{
  std::unique_ptr<MessageSocket> socket{ new MessageSocket{
    aZmq, aContext, zmq::socket_type::router, std::move(aHandler) } };
  try {
    socket->mSocket.bind(ZmqAddress(aAddress));
  } catch (const zmq::error_t& e) {
    return NotRun(FailureCode::InvalidInput,
                  "can't listen on " + std::string{ aAddress } + ": " +
                    e.what());
  }
  socket->WaitReadable();
  return socket;
}

Result<std::unique_ptr<MessageSocket>>
MessageSocket::Connect(zmq::context_t& aZmq,
                       boost::asio::io_context& aContext,
                       std::string_view aAddress,
                       MessageHandler aHandler)
{
  std::unique_ptr<MessageSocket> socket{ new MessageSocket{
    aZmq, aContext, zmq::socket_type::dealer, std::move(aHandler) } };
  try {
    socket->mSocket.connect(ZmqAddress(aAddress));
  } catch (const zmq::error_t& e) {
    return NotRun(FailureCode::InvalidInput,
                  "can't connect to " + std::string{ aAddress } + ": " +
                    e.what());
  }
  socket->WaitReadable();
  return socket;
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
  const zmq::send_result_t sent =
    mSocket.send(zmq::buffer(aPayload), zmq::send_flags::dontwait);
  ScheduleDrain();
  mDroppedSends += sent ? 0 : 1;
  return sent.has_value();
}

bool
MessageSocket::SendTo(std::string_view aIdentity, std::string_view aPayload)
{
  const zmq::send_flags more =
    zmq::send_flags::sndmore | zmq::send_flags::dontwait;
  bool sent = false;
  if (mSocket.send(zmq::buffer(aIdentity), more)) {
    sent = mSocket.send(zmq::buffer(aPayload), zmq::send_flags::dontwait)
             .has_value();
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
                           Drain();
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
  while (*alive && (mSocket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    zmq::message_t identity;
    if (mIsRouter &&
        !mSocket.recv(identity, zmq::recv_flags::dontwait).has_value()) {
      return;
    }
    zmq::message_t payload;
    if (!mSocket.recv(payload, zmq::recv_flags::dontwait).has_value()) {
      return;
    }
    mHandler(identity.to_string_view(), payload.to_string_view());
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
      Drain();
    }
  });
}

} // namespace cactusgw
