#include "cactusgw/net/http_client.hpp"

#include "cactusgw/net/address.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <utility>

namespace cactusgw {

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
/// Data unacknowledged for this long means that the peer is gone.
constexpr Milliseconds kDeadPeerTime{ 10'000 };

Failure
BrokenAnswer(const beast::error_code& aError)
{
  const bool silent = aError == beast::error::timeout;
  return MayHaveRun(silent ? FailureCode::UpstreamSilent
                           : FailureCode::UpstreamBroke,
                    aError.message());
}

} // namespace

HttpExchangeClient::HttpExchangeClient(const net::any_io_executor& aExecutor,
                                       HttpCallTimes aTimes)
  : mStream(aExecutor)
  , mTimes(aTimes)
{
  mParser.body_limit(boost::none);
}

Task<Result<std::unique_ptr<HttpExchangeClient>>>
HttpExchangeClient::Open(std::string_view aAddress,
                         HttpRequest aRequest,
                         HttpCallTimes aTimes)
{
  const net::any_io_executor executor = co_await net::this_coro::executor;
  std::unique_ptr<HttpExchangeClient> client{ new HttpExchangeClient{
    executor, aTimes } };
  const Result<void> connected = co_await client->Connect(aAddress);
  if (!connected) {
    co_return connected.error();
  }
  aRequest.set(http::field::host, aAddress);
  aRequest.prepare_payload();
  const Result<void> sent = co_await client->SendAndReadHeader(aRequest);
  if (!sent) {
    co_return sent.error();
  }
  co_return std::move(client);
}

Task<Result<void>>
HttpExchangeClient::Connect(std::string_view aAddress)
{
  const Result<net::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return endpoint.error();
  }
  beast::error_code ec;
  mStream.expires_after(mTimes.mConnect);
  co_await mStream.async_connect(endpoint.value(),
                                 net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return NotRun(FailureCode::UpstreamUnreachable, ec.message());
  }
  SetDeadPeerTimeout(mStream.socket(), kDeadPeerTime);
  co_return boost::outcome_v2::success();
}

Task<Result<void>>
HttpExchangeClient::SendAndReadHeader(HttpRequest& aRequest)
{
  beast::error_code ec;
  mStream.expires_after(mTimes.mHeader);
  co_await http::async_write(
    mStream, aRequest, net::redirect_error(net::use_awaitable, ec));
  if (!ec) {
    co_await http::async_read_header(
      mStream, mBuffer, mParser, net::redirect_error(net::use_awaitable, ec));
  }
  if (ec) {
    co_return BrokenAnswer(ec);
  }
  co_return boost::outcome_v2::success();
}

unsigned
HttpExchangeClient::Status() const
{
  return mParser.get().result_int();
}

std::string
HttpExchangeClient::Header(std::string_view aName) const
{
  const beast::string_view value =
    mParser.get()[beast::string_view{ aName.data(), aName.size() }];
  return std::string{ value };
}

Task<Result<std::string>>
HttpExchangeClient::ReadSome()
{
  std::array<char, kReadBytes> buf;
  while (!mParser.is_done()) {
    mParser.get().body().data = buf.data();
    mParser.get().body().size = buf.size();
    beast::error_code ec;
    mStream.expires_after(mTimes.mSilence);
    co_await http::async_read_some(
      mStream, mBuffer, mParser, net::redirect_error(net::use_awaitable, ec));
    if (ec && ec != http::error::need_buffer) {
      co_return BrokenAnswer(ec);
    }
    const std::size_t n = buf.size() - mParser.get().body().size;
    if (n > 0) {
      co_return std::string{ buf.data(), n };
    }
  }
  co_return std::string{};
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
  mStream.close();
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
  Result<std::unique_ptr<HttpExchangeClient>> opened =
    co_await HttpExchangeClient::Open(aAddress, std::move(aRequest), aTimes);
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
