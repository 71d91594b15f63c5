#include "cactusgw/net/client_watch.hpp"

#include "cactusgw/net/spawn.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace cactusgw {

using net::ip::tcp;

/// Shared with the completion handler of the wait, which may still be queued
/// when the watch has ended.
struct ClientWatch::Wait
{
  /// Null once the watch has ended.
  tcp::socket* mSocket = nullptr;
  std::function<void()> mOnDisconnect;
  net::cancellation_signal mCancel;
};

namespace {

/// Whether the peer has closed a connection that became readable.
bool
IsClosed(tcp::socket& aSocket)
{
  char c = 0;
  beast::error_code ec;
  aSocket.non_blocking(true, ec);
  aSocket.receive(net::buffer(&c, 1), tcp::socket::message_peek, ec);
  return ec && ec != net::error::would_block && ec != net::error::try_again;
}

} // namespace

ClientWatch::ClientWatch(std::shared_ptr<Wait> aWait)
  : mWait(std::move(aWait))
{
}

ClientWatch&
ClientWatch::operator=(ClientWatch&& aOther) noexcept
{
  if (this != &aOther) {
    End();
    mWait = std::move(aOther.mWait);
  }
  return *this;
}

ClientWatch::~ClientWatch()
{
  End();
}

void
ClientWatch::End()
{
  if (mWait) {
    // A completion that is queued already can't be cancelled, so that it also
    // finds the socket and the callback gone.
    mWait->mSocket = nullptr;
    mWait->mOnDisconnect = nullptr;
    mWait->mCancel.emit(net::cancellation_type::terminal);
    mWait.reset();
  }
}

ClientWatch
ClientWatch::Start(TcpStream& aStream, std::function<void()> aOnDisconnect)
{
  const std::shared_ptr<Wait> wait = std::make_shared<Wait>();
  wait->mSocket = &aStream.socket();
  wait->mOnDisconnect = std::move(aOnDisconnect);
  aStream.socket().async_wait(
    tcp::socket::wait_read,
    net::bind_cancellation_slot(
      wait->mCancel.slot(), [wait](const beast::error_code& ec) {
        if (ec || wait->mSocket == nullptr || !IsClosed(*wait->mSocket)) {
          return;
        }
        const std::function<void()> onDisconnect =
          std::exchange(wait->mOnDisconnect, nullptr);
        RunGuarded("client-watch", onDisconnect);
      }));
  return ClientWatch{ wait };
}

} // namespace cactusgw
