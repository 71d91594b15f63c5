#include "cactusgw/tunnel/tunnel_server.hpp"

#include "cactusgw/net/address.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/telemetry/counted_warning.hpp"
#include "cactusgw/tunnel/carried_tunnel.hpp"
#include "cactusgw/tunnel/tunnel_ends.hpp"
#include "cactusgw/tunnel/tunnel_protocol.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <set>
#include <utility>

namespace cactusgw {

using net::ip::tcp;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 2 * 1024;
constexpr Milliseconds kReplyTime{ 1000 };
/// Without descriptors or memory, the next accept fails at once too.
constexpr Milliseconds kAcceptPause{ 50 };

using EmptyParser = http::request_parser<http::empty_body>;

/// Counts while it exists.
class Counted
{
public:
  explicit Counted(std::size_t& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~Counted() { --mCount; }
  Counted(const Counted&) = delete;
  Counted& operator=(const Counted&) = delete;

private:
  std::size_t& mCount;
};

} // namespace

class TunnelServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(net::io_context& aContext,
       TunnelAccess aAccess,
       std::shared_ptr<ByteBudget> aMemory,
       TunnelLimits aLimits)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mAccess(std::move(aAccess))
    , mMemory(std::move(aMemory))
    , mLimits(aLimits)
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
    mAcceptor.set_option(
      net::socket_base::receive_buffer_size{ CarriedTunnel::kSocketBytes }, ec);
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
    for (CarriedTunnel* const tunnel : mTunnels) {
      tunnel->Close();
    }
  }

private:
  /// @param aSelf keeps this object while the task runs
  static Task<void> AcceptLoop(std::shared_ptr<Impl> aSelf)
  {
    net::steady_timer pause{ aSelf->mContext };
    while (!aSelf->mIsStopped) {
      beast::error_code ec;
      tcp::socket socket = co_await aSelf->mAcceptor.async_accept(
        net::redirect_error(net::use_awaitable, ec));
      if (aSelf->mIsStopped) {
        co_return;
      }
      if (ec) {
        aSelf->mWarnings.Report("event=tunnel-accept-failed error=\"" +
                                  ec.message() + "\"",
                                SteadyNow());
        pause.expires_after(kAcceptPause);
        co_await pause.async_wait(net::redirect_error(net::use_awaitable, ec));
      } else if (aSelf->mUnidentified >= aSelf->mLimits.mUnidentified) {
        aSelf->mWarnings.Report("event=tunnel-refused reason=many-connections",
                                SteadyNow());
      } else {
        SpawnTask(aSelf->mContext.get_executor(),
                  "tunnel",
                  Serve(aSelf,
                        std::make_unique<CarriedTunnel>(std::move(socket)),
                        std::make_unique<Counted>(aSelf->mUnidentified)));
      }
    }
  }

  static Task<void> Serve(std::shared_ptr<Impl> aSelf,
                          std::unique_ptr<CarriedTunnel> aTunnel,
                          std::unique_ptr<Counted> aUnidentified)
  {
    if (aSelf->mIsStopped) {
      co_return;
    }
    const auto forget = [&aSelf](CarriedTunnel* aEnded) {
      aSelf->mTunnels.erase(aEnded);
    };
    const std::unique_ptr<CarriedTunnel, decltype(forget)> entry{ aTunnel.get(),
                                                                  forget };
    aSelf->mTunnels.insert(aTunnel.get());
    co_await aSelf->Handle(*aTunnel, std::move(aUnidentified));
  }

  Task<void> Handle(CarriedTunnel& aTunnel,
                    std::unique_ptr<Counted> aUnidentified)
  {
    beast::flat_buffer buf{ kMaxHeaderBytes };
    EmptyParser parser;
    parser.header_limit(kMaxHeaderBytes);
    beast::error_code ec;
    const tcp::endpoint from = aTunnel.Asker().socket().remote_endpoint(ec);
    aTunnel.Asker().expires_after(mLimits.mHeaderTime);
    co_await http::async_read_header(
      aTunnel.Asker(),
      buf,
      parser,
      net::redirect_error(net::use_awaitable, ec));
    // What the functions of mAccess refer to may be gone after Stop().
    if (mIsStopped) {
      co_return;
    }
    if (ec) {
      // The asker has left, or doesn't speak the protocol.
      co_return;
    }
    const TunnelHeader& header = parser.get();
    const std::optional<TunnelCall> call = CallOf(header);
    const std::optional<TunnelRequest> request = ReadTunnelRequest(header);
    const bool isWhole = parser.is_done() && buf.size() == 0;
    aUnidentified.reset();
    if (!call || !request || !isWhole) {
      co_await Reply(aTunnel, http::status::bad_request, "");
    } else if (!mAccess.mIsPeer(request->mFrom, from.address())) {
      mWarnings.Report("event=tunnel-refused reason=stranger address=" +
                         from.address().to_string(),
                       SteadyNow());
      co_await Reply(aTunnel, http::status::forbidden, "");
    } else if (*call == TunnelCall::AskForEnd) {
      // A connection that a network reset says nothing of the upstream.
      const TunnelEnd end = mAccess.mHasLinks()
                              ? mEnds.EndOf(*request, SteadyNow())
                              : TunnelEnd::Unknown;
      co_await Reply(aTunnel, http::status::ok, TextOf(end));
    } else {
      co_await Open(aTunnel, *request);
    }
  }

  Task<void> Open(CarriedTunnel& aTunnel, const TunnelRequest& aRequest)
  {
    const std::optional<std::string> address = mAccess.mFindUpstream(
      aRequest.mUpstream.mId, aRequest.mUpstream.mStartedMs);
    ByteReservation memory{ mMemory };
    std::optional<TunnelFailure> failure;
    if (mIsDraining || mOpen >= mLimits.mTunnels || !mAccess.mHasLinks() ||
        !memory.TryGrowTo(2 * CarriedTunnel::kCopyBytes)) {
      failure = TunnelFailure::CarrierRefused;
    } else if (!address) {
      failure = TunnelFailure::UpstreamUnknown;
    }
    if (failure) {
      co_await Reply(aTunnel, StatusOf(*failure), "");
      co_return;
    }
    const Counted open{ mOpen };
    failure = co_await aTunnel.Connect(*address);
    if (mIsStopped) {
      co_return;
    }
    if (failure) {
      // Links that were lost meanwhile say nothing of the upstream.
      const bool hasLinks = mAccess.mHasLinks();
      co_await Reply(
        aTunnel,
        StatusOf(hasLinks ? *failure : TunnelFailure::CarrierRefused),
        "");
    } else if (co_await Accept(aTunnel)) {
      co_await aTunnel.Carry(mLimits.mLastBytesTime, [&](TunnelEnd aEnd) {
        mEnds.Remember(aRequest, aEnd, SteadyNow());
      });
    }
  }

  static Task<bool> Accept(CarriedTunnel& aTunnel)
  {
    http::response<http::empty_body> accepted{
      http::status::switching_protocols, 11
    };
    accepted.set(http::field::connection, "Upgrade");
    beast::error_code ec;
    aTunnel.Asker().expires_after(kReplyTime);
    co_await http::async_write(
      aTunnel.Asker(), accepted, net::redirect_error(net::use_awaitable, ec));
    co_return !ec;
  }

  static Task<void> Reply(CarriedTunnel& aTunnel,
                          http::status aStatus,
                          std::string_view aText)
  {
    HttpResponse response{ aStatus, 11 };
    response.keep_alive(false);
    response.body() = aText;
    response.prepare_payload();
    beast::error_code ec;
    aTunnel.Asker().expires_after(kReplyTime);
    co_await http::async_write(
      aTunnel.Asker(), response, net::redirect_error(net::use_awaitable, ec));
    // A failure concerns the asker, which has left.
    aTunnel.Asker().socket().shutdown(tcp::socket::shutdown_send, ec);
  }

  net::io_context& mContext;
  tcp::acceptor mAcceptor;
  TunnelAccess mAccess;
  std::shared_ptr<ByteBudget> mMemory;
  TunnelLimits mLimits;
  CountedWarning mWarnings{ "tunnel" };
  TunnelEnds mEnds = TunnelEnds::Create();
  bool mIsDraining = false;
  bool mIsStopped = false;
  /// Tunnels that are open or being opened.
  std::size_t mOpen = 0;
  /// Connections whose header is not read yet.
  std::size_t mUnidentified = 0;
  /// Connections that are being served, also without an open tunnel.
  std::set<CarriedTunnel*> mTunnels;
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
                     std::shared_ptr<ByteBudget> aMemory,
                     TunnelLimits aLimits)
{
  std::unique_ptr<TunnelServer> server{ new TunnelServer{
    std::make_shared<Impl>(
      aContext, std::move(aAccess), std::move(aMemory), aLimits) } };
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
