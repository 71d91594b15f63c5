#include "cactusgw/tunnel/tunnel_client.hpp"

#include "cactusgw/net/address.hpp"
#include "cactusgw/tunnel/tunnel_protocol.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace cactusgw {

namespace {

/// A carrier's responses are smaller.
constexpr std::uint32_t kMaxResponseBytes = 4 * 1024;

/// Connects to the carrier and sends the header. Returns whether it was sent.
Task<bool>
Send(TcpStream& aStream,
     const Carrier& aCarrier,
     TunnelHeader aHeader,
     Instant aUntil)
{
  const Result<net::ip::tcp::endpoint> endpoint =
    ParseEndpoint(aCarrier.mAddress);
  if (!endpoint) {
    co_return false;
  }
  HttpConnection::Prepare(aStream, endpoint.value().protocol());
  beast::error_code ec;
  aStream.expires_at(aUntil);
  co_await aStream.async_connect(endpoint.value(),
                                 net::redirect_error(net::use_awaitable, ec));
  if (!ec) {
    co_await http::async_write(
      aStream, aHeader, net::redirect_error(net::use_awaitable, ec));
  }
  co_return !ec;
}

} // namespace

Task<TunnelResult<std::unique_ptr<HttpConnection>>>
OpenTunnel(Carrier aCarrier, TunnelRequest aRequest, Milliseconds aTime)
{
  const Instant until = std::chrono::steady_clock::now() + aTime;
  TcpStream stream{ co_await net::this_coro::executor };
  TunnelHeader header = MakeTunnelHeader(TunnelCall::Open, aRequest);
  if (!co_await Send(stream, aCarrier, std::move(header), until)) {
    co_return TunnelFailure::CarrierUnreachable;
  }
  beast::flat_buffer buf{ kMaxResponseBytes };
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  beast::error_code ec;
  co_await http::async_read_header(
    stream, buf, parser, net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return TunnelFailure::CarrierUnreachable;
  }
  if (parser.get().result() != http::status::switching_protocols) {
    co_return FailureOf(parser.get().result());
  }
  // An upstream sends nothing before it has a request.
  if (buf.size() > 0) {
    co_return TunnelFailure::CarrierUnreachable;
  }
  stream.expires_never();
  co_return HttpConnection::Adopt(std::move(stream));
}

Task<TunnelEnd>
AskForTunnelEnd(Carrier aCarrier, TunnelRequest aRequest, Milliseconds aTime)
{
  const Instant until = std::chrono::steady_clock::now() + aTime;
  TcpStream stream{ co_await net::this_coro::executor };
  TunnelHeader header = MakeTunnelHeader(TunnelCall::AskForEnd, aRequest);
  if (!co_await Send(stream, aCarrier, std::move(header), until)) {
    co_return TunnelEnd::Unknown;
  }
  beast::flat_buffer buf{ kMaxResponseBytes };
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  beast::error_code ec;
  co_await http::async_read(
    stream, buf, parser, net::redirect_error(net::use_awaitable, ec));
  if (ec || parser.get().result() != http::status::ok) {
    co_return TunnelEnd::Unknown;
  }
  co_return ReadTunnelEnd(parser.get().body());
}

} // namespace cactusgw
