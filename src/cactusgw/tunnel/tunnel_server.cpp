#include "cactusgw/tunnel/tunnel_server.hpp"

#include "cactusgw/net/address.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/tunnel/tunnel_protocol.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <deque>
#include <set>
#include <utility>

namespace cactusgw {

using net::ip::tcp;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 2 * 1024;
/// From the first byte of a connection to the end of its header. Gateways send
/// it at once.
constexpr Milliseconds kHeaderTime{ 1000 };
/// As for a gateway's own connections to upstreams.
constexpr Milliseconds kConnectTime{ 500 };
constexpr Milliseconds kReplyTime{ 1000 };
/// Time that sent data may stay unacknowledged, as for a gateway's own
/// connections.
constexpr Milliseconds kDeadPeerTime{ 10'000 };
/// Bytes of one direction of a tunnel that this process holds.
constexpr std::size_t kCopyBytes = std::size_t{ 16 } * 1024;
/// The same of the system. What is sent faster than the other side reads stays
/// at its sender.
constexpr int kSocketBytes = 64 * 1024;
/// Two descriptors each: a quarter of what the smallest VMs have, 4,100.
constexpr std::size_t kMaxTunnels = 512;
/// Ended tunnels that can be asked for. The question comes at once.
constexpr std::size_t kMaxEnds = 1024;
constexpr Milliseconds kEndTime{ 10'000 };

using EmptyParser = http::request_parser<http::empty_body>;

/// An open tunnel, or one that is being opened.
struct Tunnel
{
  explicit Tunnel(tcp::socket aSocket)
    : mAsker(std::move(aSocket))
    , mUpstream(mAsker.get_executor())
  {
  }

  void Close()
  {
    mAsker.close();
    mUpstream.close();
  }
  /// Closes both sides with a reset, so that a response that is cut doesn't
  /// look as if it had ended.
  void Reset()
  {
    for (TcpStream* const stream : { &mAsker, &mUpstream }) {
      beast::error_code ec;
      stream->socket().set_option(net::socket_base::linger{ true, 0 }, ec);
      stream->close();
    }
  }

  TcpStream mAsker;
  TcpStream mUpstream;
  TunnelEnd mEnd = TunnelEnd::Unknown;
};

struct EndedTunnel
{
  std::string mFrom;
  std::string mToken;
  TunnelEnd mEnd = TunnelEnd::Unknown;
  Instant mAt;
};

void
SetSocketBytes(tcp::socket& aSocket)
{
  beast::error_code ec;
  aSocket.set_option(net::socket_base::receive_buffer_size{ kSocketBytes }, ec);
  aSocket.set_option(net::socket_base::send_buffer_size{ kSocketBytes }, ec);
}

/// Copies until one side ends. Returns whether it was the reading side.
Task<beast::error_code>
Copy(TcpStream& aFrom, TcpStream& aTo, bool& aHasReadEnded)
{
  std::array<char, kCopyBytes> buf;
  beast::error_code ec;
  while (true) {
    const std::size_t n = co_await aFrom.async_read_some(
      net::buffer(buf), net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      aHasReadEnded = true;
      co_return ec;
    }
    co_await net::async_write(aTo,
                              net::buffer(buf.data(), n),
                              net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return ec;
    }
  }
}

} // namespace

class TunnelServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(net::io_context& aContext,
       TunnelAccess aAccess,
       std::shared_ptr<ByteBudget> aMemory)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mAccess(std::move(aAccess))
    , mMemory(std::move(aMemory))
  {
  }

  Result<void> Listen(std::string_view aAddress)
  {
    const Result<tcp::endpoint> endpoint = ParseEndpoint(aAddress);
    if (!endpoint) {
      return endpoint.error();
    }
    beast::error_code ec;
    mAcceptor.open(endpoint.value().protocol(), ec);
    mAcceptor.set_option(net::socket_base::reuse_address(true), ec);
    mAcceptor.set_option(net::socket_base::receive_buffer_size{ kSocketBytes },
                         ec);
    mAcceptor.bind(endpoint.value(), ec);
    if (!ec) {
      mAcceptor.listen(net::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return NotRun(FailureCode::InvalidInput,
                    "can't listen on " + std::string{ aAddress } + ": " +
                      ec.message());
    }
    SpawnLoop(mContext.get_executor(),
              "tunnel-accept",
              [self = shared_from_this()] { return self->AcceptLoop(self); });
    return boost::outcome_v2::success();
  }

  void Drain() { mIsDraining = true; }
  std::size_t OpenTunnels() const { return mOpen; }

  void Stop()
  {
    mIsStopped = true;
    mIsDraining = true;
    beast::error_code ec;
    mAcceptor.close(ec);
    for (Tunnel* const tunnel : mTunnels) {
      tunnel->Close();
    }
  }

private:
  /// @param aSelf keeps this object while the task runs
  static Task<void> AcceptLoop(std::shared_ptr<Impl> aSelf)
  {
    while (!aSelf->mIsStopped) {
      beast::error_code ec;
      tcp::socket socket = co_await aSelf->mAcceptor.async_accept(
        net::redirect_error(net::use_awaitable, ec));
      if (!ec) {
        SpawnTask(aSelf->mContext.get_executor(),
                  "tunnel",
                  Serve(aSelf, std::move(socket)));
      }
    }
  }

  static Task<void> Serve(std::shared_ptr<Impl> aSelf, tcp::socket aSocket)
  {
    Tunnel tunnel{ std::move(aSocket) };
    aSelf->mTunnels.insert(&tunnel);
    co_await aSelf->Handle(tunnel);
    aSelf->mTunnels.erase(&tunnel);
  }

  Task<void> Handle(Tunnel& aTunnel)
  {
    beast::flat_buffer buf{ kMaxHeaderBytes };
    EmptyParser parser;
    parser.header_limit(kMaxHeaderBytes);
    beast::error_code ec;
    const tcp::endpoint from = aTunnel.mAsker.socket().remote_endpoint(ec);
    aTunnel.mAsker.expires_after(kHeaderTime);
    co_await http::async_read_header(
      aTunnel.mAsker, buf, parser, net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    const TunnelHeader& header = parser.get();
    const std::optional<TunnelCall> call = CallOf(header);
    const std::optional<TunnelRequest> request = ReadTunnelRequest(header);
    if (!call || !request || buf.size() > 0) {
      co_await Reply(aTunnel, http::status::bad_request, "");
    } else if (!mAccess.mIsPeer(request->mFrom, from.address())) {
      co_await Reply(aTunnel, http::status::forbidden, "");
    } else if (*call == TunnelCall::AskForEnd) {
      co_await Reply(
        aTunnel,
        http::status::ok,
        TextOf(EndOf(request->mFrom, request->mToken, SteadyNow())));
    } else {
      co_await Open(aTunnel, *request);
    }
  }

  Task<void> Open(Tunnel& aTunnel, const TunnelRequest& aRequest)
  {
    const std::optional<std::string> address = mAccess.mFindUpstream(
      aRequest.mUpstream.mId, aRequest.mUpstream.mStartedMs);
    ByteReservation memory{ mMemory };
    std::optional<TunnelFailure> failure;
    if (mIsDraining || mOpen >= kMaxTunnels || !mAccess.mHasLinks() ||
        !memory.TryGrowTo(2 * kCopyBytes)) {
      failure = TunnelFailure::CarrierRefused;
    } else if (!address) {
      failure = TunnelFailure::UpstreamUnknown;
    } else if (!co_await Connect(aTunnel.mUpstream, *address)) {
      failure = TunnelFailure::UpstreamUnreachable;
    }
    if (failure) {
      co_await Reply(aTunnel, StatusOf(*failure), "");
      co_return;
    }
    ++mOpen;
    co_await Carry(aTunnel, aRequest);
    --mOpen;
  }

  static Task<bool> Connect(TcpStream& aStream, const std::string& aAddress)
  {
    const Result<tcp::endpoint> endpoint = ParseEndpoint(aAddress);
    if (!endpoint) {
      co_return false;
    }
    beast::error_code ec;
    aStream.socket().open(endpoint.value().protocol(), ec);
    SetSocketBytes(aStream.socket());
    aStream.expires_after(kConnectTime);
    co_await aStream.async_connect(endpoint.value(),
                                   net::redirect_error(net::use_awaitable, ec));
    co_return !ec;
  }

  Task<void> Carry(Tunnel& aTunnel, const TunnelRequest& aRequest)
  {
    using namespace net::experimental::awaitable_operators;
    http::response<http::empty_body> accepted{
      http::status::switching_protocols, 11
    };
    accepted.set(http::field::connection, "Upgrade");
    beast::error_code ec;
    aTunnel.mAsker.expires_after(kReplyTime);
    co_await http::async_write(
      aTunnel.mAsker, accepted, net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    for (TcpStream* const stream : { &aTunnel.mAsker, &aTunnel.mUpstream }) {
      SetDeadPeerTimeout(stream->socket(), kDeadPeerTime);
      stream->expires_never();
    }
    co_await (CopyRequests(aTunnel) && CopyResponses(aTunnel, aRequest));
    if (mIsStopped) {
      aTunnel.mEnd = TunnelEnd::ClosedByCarrier;
    }
    Remember(aTunnel, aRequest);
  }

  /// An asker that closes its connection has cancelled its request.
  static Task<void> CopyRequests(Tunnel& aTunnel)
  {
    bool hasReadEnded = false;
    const beast::error_code ec =
      co_await Copy(aTunnel.mAsker, aTunnel.mUpstream, hasReadEnded);
    if (hasReadEnded && ec == net::error::eof) {
      aTunnel.Close();
      co_return;
    }
    // The upstream may have responded before it closed its connection. The
    // other direction sees that end, too, after what it sent.
    if (hasReadEnded) {
      aTunnel.Reset();
    }
  }

  Task<void> CopyResponses(Tunnel& aTunnel, const TunnelRequest& aRequest)
  {
    bool hasReadEnded = false;
    beast::error_code ec =
      co_await Copy(aTunnel.mUpstream, aTunnel.mAsker, hasReadEnded);
    if (!hasReadEnded || ec == net::error::operation_aborted) {
      aTunnel.Close();
      co_return;
    }
    aTunnel.mEnd = ec == net::error::timed_out ? TunnelEnd::ClosedByCarrier
                                               : TunnelEnd::ClosedByUpstream;
    // The asker may ask as soon as it sees the end.
    Remember(aTunnel, aRequest);
    if (ec == net::error::eof) {
      // The asker closes its side once it has read all of the response.
      aTunnel.mAsker.socket().shutdown(tcp::socket::shutdown_send, ec);
    } else {
      aTunnel.Reset();
    }
  }

  Task<void> Reply(Tunnel& aTunnel,
                   http::status aStatus,
                   std::string_view aText)
  {
    HttpResponse response{ aStatus, 11 };
    response.keep_alive(false);
    response.body() = aText;
    response.prepare_payload();
    beast::error_code ec;
    aTunnel.mAsker.expires_after(kReplyTime);
    co_await http::async_write(
      aTunnel.mAsker, response, net::redirect_error(net::use_awaitable, ec));
    // A failure concerns the asker, which has left.
    aTunnel.mAsker.socket().shutdown(tcp::socket::shutdown_send, ec);
  }

  void Remember(const Tunnel& aTunnel, const TunnelRequest& aRequest)
  {
    const Instant now = SteadyNow();
    while (!mEnds.empty() &&
           (mEnds.size() >= kMaxEnds || now - mEnds.front().mAt > kEndTime)) {
      mEnds.pop_front();
    }
    if (EndOf(aRequest.mFrom, aRequest.mToken, now) == TunnelEnd::Unknown) {
      mEnds.push_back({ aRequest.mFrom, aRequest.mToken, aTunnel.mEnd, now });
    }
  }

  TunnelEnd EndOf(std::string_view aFrom,
                  std::string_view aToken,
                  Instant aNow) const
  {
    for (const EndedTunnel& ended : mEnds) {
      if (ended.mFrom == aFrom && ended.mToken == aToken &&
          aNow - ended.mAt <= kEndTime) {
        return ended.mEnd;
      }
    }
    return TunnelEnd::Unknown;
  }

  net::io_context& mContext;
  tcp::acceptor mAcceptor;
  TunnelAccess mAccess;
  std::shared_ptr<ByteBudget> mMemory;
  bool mIsDraining = false;
  bool mIsStopped = false;
  std::size_t mOpen = 0;
  /// Connections that are being served, also without an open tunnel.
  std::set<Tunnel*> mTunnels;
  /// In the order of their ends.
  std::deque<EndedTunnel> mEnds;
};

TunnelServer::TunnelServer(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

TunnelServer::~TunnelServer()
{
  mImpl->Stop();
}

Result<std::unique_ptr<TunnelServer>>
TunnelServer::Listen(net::io_context& aContext,
                     std::string_view aAddress,
                     TunnelAccess aAccess,
                     std::shared_ptr<ByteBudget> aMemory)
{
  std::unique_ptr<TunnelServer> server{ new TunnelServer{
    std::make_shared<Impl>(
      aContext, std::move(aAccess), std::move(aMemory)) } };
  const Result<void> listening = server->mImpl->Listen(aAddress);
  if (!listening) {
    return listening.error();
  }
  return server;
}

void
TunnelServer::Drain()
{
  mImpl->Drain();
}

std::size_t
TunnelServer::OpenTunnels() const
{
  return mImpl->OpenTunnels();
}

} // namespace cactusgw
