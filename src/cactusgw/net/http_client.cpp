#include "cactusgw/net/http_client.hpp"

#include "cactusgw/net/address.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cactusgw {

namespace {

/// Time that sent data may stay unacknowledged before the peer is considered
/// dead.
constexpr Milliseconds kDeadPeerTime{ 10'000 };

Instant
After(Milliseconds aTime)
{
  return std::chrono::steady_clock::now() + aTime;
}

/// An address to which everything may be sent.
CheckedAddress
Unrestricted(std::string_view aAddress)
{
  return { std::string{ aAddress },
           []() -> Result<void> { return boost::outcome_v2::success(); } };
}

} // namespace

HttpExchangeClient::HttpExchangeClient(
  std::unique_ptr<HttpConnection> aConnection,
  HttpCallTimes aTimes)
  : mConnection(std::move(aConnection))
  , mTimes(aTimes)
{
}

Task<Result<std::unique_ptr<HttpExchangeClient>>>
HttpExchangeClient::Open(std::string_view aAddress,
                         HttpRequest aRequest,
                         HttpCallTimes aTimes)
{
  CheckedAddress address = Unrestricted(aAddress);
  co_return co_await Open(std::move(address), std::move(aRequest), aTimes);
}

Task<Result<std::unique_ptr<HttpExchangeClient>>>
HttpExchangeClient::Open(CheckedAddress aAddress,
                         HttpRequest aRequest,
                         HttpCallTimes aTimes)
{
  Result<std::unique_ptr<HttpConnection>> connected =
    co_await HttpConnection::Connect(aAddress.WithoutCheck(), aTimes.mConnect);
  if (!connected) {
    co_return connected.error();
  }
  aRequest.set(http::field::host, aAddress.WithoutCheck());
  aRequest.prepare_payload();
  const Result<void> allowed = aAddress.Check();
  if (!allowed) {
    co_return allowed.error();
  }
  const Result<void> sent =
    co_await connected.value()->Exchange(aRequest, After(aTimes.mHeader));
  if (!sent) {
    co_return sent.error();
  }
  co_return std::unique_ptr<HttpExchangeClient>{ new HttpExchangeClient{
    std::move(connected.value()), aTimes } };
}

unsigned
HttpExchangeClient::Status() const
{
  return mConnection->Status();
}

std::string
HttpExchangeClient::Header(std::string_view aName) const
{
  return std::string{ mConnection->Header(aName) };
}

Task<Result<std::string>>
HttpExchangeClient::ReadSome()
{
  co_return co_await mConnection->ReadSome(After(mTimes.mSilence));
}

Task<Result<std::string>>
HttpExchangeClient::ReadAll(std::size_t aLimit)
{
  std::string body;
  while (true) {
    Result<std::string> piece = co_await ReadSome();
    if (!piece) {
      co_return piece.error();
    }
    if (piece.value().empty()) {
      co_return body;
    }
    body += piece.value();
    if (body.size() > aLimit) {
      co_return MayHaveRun(FailureCode::TooLarge, "answer too large");
    }
  }
}

void
HttpExchangeClient::Close()
{
  mConnection->Close();
}

Task<bool>
WaitForClose(std::string aAddress)
{
  constexpr Milliseconds kConnectTime{ 1000 };
  const Result<net::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return false;
  }
  TcpStream stream{ co_await net::this_coro::executor };
  beast::error_code ec;
  stream.expires_after(kConnectTime);
  co_await stream.async_connect(endpoint.value(),
                                net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return false;
  }
  SetDeadPeerTimeout(stream.socket(), kDeadPeerTime);
  stream.expires_never();
  co_await stream.socket().async_wait(
    net::ip::tcp::socket::wait_read,
    net::redirect_error(net::use_awaitable, ec));
  co_return true;
}

Task<Result<HttpResponse>>
FetchHttp(std::string_view aAddress,
          HttpRequest aRequest,
          HttpCallTimes aTimes,
          std::size_t aBodyLimit)
{
  CheckedAddress address = Unrestricted(aAddress);
  co_return co_await FetchHttp(
    std::move(address), std::move(aRequest), aTimes, aBodyLimit);
}

Task<Result<HttpResponse>>
FetchHttp(CheckedAddress aAddress,
          HttpRequest aRequest,
          HttpCallTimes aTimes,
          std::size_t aBodyLimit)
{
  Result<std::unique_ptr<HttpExchangeClient>> opened =
    co_await HttpExchangeClient::Open(
      std::move(aAddress), std::move(aRequest), aTimes);
  if (!opened) {
    co_return opened.error();
  }
  HttpExchangeClient& client = *opened.value();
  Result<std::string> body = co_await client.ReadAll(aBodyLimit);
  if (!body) {
    co_return body.error();
  }
  HttpResponse response;
  response.result(client.Status());
  const std::string type = client.Header("Content-Type");
  if (!type.empty()) {
    response.set(http::field::content_type, type);
  }
  response.body() = std::move(body.value());
  co_return response;
}

} // namespace cactusgw
