#include "cactusgw/tunnel/carried_tunnel.hpp"

#include "cactusgw/net/address.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cactusgw {

using net::ip::tcp;

namespace {

/// As for a gateway's own connections to upstreams.
constexpr Milliseconds kConnectTime{ 500 };
/// Time that data sent to an upstream may stay unacknowledged, or unread by a
/// peer whose buffers are full; as for a gateway's own connections.
constexpr Milliseconds kDeadUpstreamTime{ 10'000 };
/// The same of the asker, which reads no faster than its own client. Longer
/// than the 30 s that a gateway lets a client stop reading.
constexpr Milliseconds kDeadAskerTime{ 40'000 };

/// Other errors come from this gateway's side of the connection: what it sent
/// wasn't acknowledged in time, or its network has no way.
bool
IsByPeer(const beast::error_code& aError)
{
  return aError == net::error::eof || aError == net::error::connection_reset ||
         aError == net::error::broken_pipe;
}

void
SetSocketBytes(tcp::socket& aSocket)
{
  constexpr int kBytes = CarriedTunnel::kSocketBytes;
  beast::error_code ec;
  aSocket.set_option(net::socket_base::receive_buffer_size{ kBytes }, ec);
  aSocket.set_option(net::socket_base::send_buffer_size{ kBytes }, ec);
}

} // namespace

CarriedTunnel::CarriedTunnel(tcp::socket aAsker)
  : mAsker(std::move(aAsker))
  , mUpstream(mAsker.get_executor())
  , mLastBytes(mAsker.get_executor())
{
  SetSocketBytes(mAsker.socket());
}

CarriedTunnel::~CarriedTunnel()
{
  // A socket's own destructor ends the connection in an orderly way.
  Close();
}

void
CarriedTunnel::Close()
{
  mIsClosed = true;
  mAsker.close();
  mUpstream.close();
  mLastBytes.cancel();
}

void
CarriedTunnel::SetResetOnClose(bool aResets)
{
  beast::error_code ec;
  mAsker.socket().set_option(net::socket_base::linger{ aResets, 0 }, ec);
}

Task<std::optional<TunnelFailure>>
CarriedTunnel::Connect(std::string aAddress)
{
  const Result<tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return TunnelFailure::UpstreamUnreachable;
  }
  beast::error_code ec;
  tcp::socket& socket = mUpstream.socket();
  socket.open(endpoint.value().protocol(), ec);
  if (ec) {
    // This gateway has no descriptors: nothing is known of the upstream.
    co_return TunnelFailure::CarrierRefused;
  }
  SetSocketBytes(socket);
  mUpstream.expires_after(kConnectTime);
  co_await mUpstream.async_connect(endpoint.value(),
                                   net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return TunnelFailure::UpstreamUnreachable;
  }
  co_return std::nullopt;
}

Task<void>
CarriedTunnel::Carry(Milliseconds aLastBytesTime, OnEnd aOnEnd)
{
  using namespace net::experimental::awaitable_operators;
  SetDeadPeerTimeout(mAsker.socket(), kDeadAskerTime);
  SetDeadPeerTimeout(mUpstream.socket(), kDeadUpstreamTime);
  mAsker.expires_never();
  mUpstream.expires_never();
  // However the tunnel ends, also with this process, a response that is cut
  // must not look complete. Only the upstream's own end is orderly.
  SetResetOnClose(true);
  co_await (CopyRequests(aOnEnd) && CopyResponses(aLastBytesTime, aOnEnd));
}

Task<void>
CarriedTunnel::CopyRequests(const OnEnd& aOnEnd)
{
  std::array<char, kCopyBytes> buf;
  while (!mIsClosed) {
    beast::error_code ec;
    const std::size_t n = co_await mAsker.async_read_some(
      net::buffer(buf), net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      // An asker that closes its connection has cancelled its request.
      Close();
      co_return;
    }
    if (!mWriteError) {
      co_await net::async_write(
        mUpstream,
        net::buffer(buf.data(), n),
        net::redirect_error(net::use_awaitable, mWriteError));
    }
    // What an upstream responded before it closed is still passed on. The rest
    // of the request is read meanwhile, as bytes that are left unread would
    // reset the connection.
    if (mWriteError && !IsByPeer(mWriteError) && !mIsClosed) {
      aOnEnd(TunnelEnd::ClosedByCarrier);
      Close();
    }
  }
}

Task<void>
CarriedTunnel::CopyResponses(Milliseconds aLastBytesTime, const OnEnd& aOnEnd)
{
  std::array<char, kCopyBytes> buf;
  beast::error_code ec;
  while (!ec && !mIsClosed) {
    const std::size_t n = co_await mUpstream.async_read_some(
      net::buffer(buf), net::redirect_error(net::use_awaitable, ec));
    if (ec || mIsClosed) {
      break;
    }
    co_await net::async_write(mAsker,
                              net::buffer(buf.data(), n),
                              net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      Close();
    }
  }
  if (mIsClosed) {
    co_return;
  }
  aOnEnd(IsByPeer(ec) ? TunnelEnd::ClosedByUpstream
                      : TunnelEnd::ClosedByCarrier);
  // A write that fails takes the error of the connection, and the read sees an
  // orderly end.
  if (ec != net::error::eof || mWriteError == net::error::connection_reset) {
    Close();
    co_return;
  }
  SetResetOnClose(false);
  mAsker.socket().shutdown(tcp::socket::shutdown_send, ec);
  mLastBytes.expires_after(aLastBytesTime);
  co_await mLastBytes.async_wait(net::redirect_error(net::use_awaitable, ec));
  Close();
}

} // namespace cactusgw
