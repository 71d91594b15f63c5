#include "cactusgw/net/http_connection.hpp"

#include "cactusgw/net/address.hpp"
#include "cactusgw/net/message_framing.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <utility>
#include <variant>

namespace cactusgw {

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
/// Bytes that are held until they can be parsed. The parser bounds headers
/// itself, but neither the size lines of chunks nor trailers.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 128 } * 1024;
/// Bytes of one connection that the system holds for this process. What an
/// upstream sends faster than the client reads stays at the upstream.
constexpr int kReceiveBufferBytes = 128 * 1024;
constexpr int kSendBufferBytes = 256 * 1024;
/// Interim (1xx) responses that are skipped before the final one.
constexpr int kMaxInterimResponses = 8;
/// Time that sent data may stay unacknowledged before the peer is considered
/// dead.
constexpr Milliseconds kDeadPeerTime{ 10'000 };

FailureCode
CodeOf(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return FailureCode::UpstreamSilent;
  }
  const bool isClosed = aError == http::error::end_of_stream ||
                        aError == http::error::partial_message ||
                        aError == net::error::eof ||
                        aError == net::error::connection_reset ||
                        aError == net::error::connection_aborted ||
                        aError == net::error::broken_pipe;
  return isClosed ? FailureCode::UpstreamClosed : FailureCode::UpstreamBroke;
}

/// Whether HTTP defines the class of the status (RFC 9110, section 15). The
/// parser takes any three digits.
bool
IsValidStatus(unsigned aStatus)
{
  return http::to_status_class(aStatus) != http::status_class::unknown;
}

/// Whether a response may come before the final one. One with content, or that
/// switches to a protocol that no request asked for, is a broken final one.
bool
IsValidInterim(const http::response_header<>& aHeader)
{
  return aHeader.result() != http::status::switching_protocols &&
         aHeader.count(http::field::content_length) == 0 &&
         aHeader.count(http::field::transfer_encoding) == 0;
}

Failure
ResponseFailure(const beast::error_code& aError)
{
  return MayHaveRun(CodeOf(aError), aError.message());
}

} // namespace

HttpConnection::HttpConnection(TcpStream aStream)
  : mStream(std::move(aStream))
  , mBuffer(kMaxUnparsedBytes)
{
}

Task<Result<std::unique_ptr<HttpConnection>>>
HttpConnection::Connect(std::string_view aAddress, Milliseconds aTime)
{
  const Result<net::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return endpoint.error();
  }
  TcpStream stream{ co_await net::this_coro::executor };
  Prepare(stream, endpoint.value().protocol());
  beast::error_code ec;
  stream.expires_after(aTime);
  co_await stream.async_connect(endpoint.value(),
                                net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return NotRun(FailureCode::UpstreamUnreachable, ec.message());
  }
  co_return Adopt(std::move(stream));
}

std::unique_ptr<HttpConnection>
HttpConnection::Adopt(TcpStream aStream)
{
  SetDeadPeerTimeout(aStream.socket(), kDeadPeerTime);
  return std::unique_ptr<HttpConnection>{ new HttpConnection{
    std::move(aStream) } };
}

void
HttpConnection::Prepare(TcpStream& aStream, const net::ip::tcp& aProtocol)
{
  beast::error_code ec;
  net::ip::tcp::socket& socket = aStream.socket();
  // The window is set as the connection is established.
  socket.open(aProtocol, ec);
  socket.set_option(
    net::socket_base::receive_buffer_size{ kReceiveBufferBytes }, ec);
  socket.set_option(net::socket_base::send_buffer_size{ kSendBufferBytes }, ec);
}

Task<Result<void>>
HttpConnection::Exchange(HttpRequest& aRequest, Instant aDeadline)
{
  return SendAndReadHeader(aRequest, aDeadline);
}

Task<Result<void>>
HttpConnection::Exchange(SharedBodyRequest& aRequest, Instant aDeadline)
{
  return SendAndReadHeader(aRequest, aDeadline);
}

template<typename Request>
Task<Result<void>>
HttpConnection::SendAndReadHeader(Request& aRequest, Instant aDeadline)
{
  using namespace net::experimental::awaitable_operators;
  mIsHead = aRequest.method() == http::verb::head;
  ResetParser();
  beast::error_code writeError;
  mStream.expires_at(aDeadline);
  // The server may respond before it has read the whole request.
  const std::variant<std::size_t, beast::error_code> first = co_await (
    http::async_write(
      mStream, aRequest, net::redirect_error(net::use_awaitable, writeError)) ||
    ReadHeader(aDeadline));
  mIsRequestSent = first.index() == 0 && !writeError;
  const beast::error_code ec =
    first.index() == 1 ? std::get<1>(first) : co_await ReadHeader(aDeadline);
  if (ec) {
    co_return ResponseFailure(ec);
  }
  co_return boost::outcome_v2::success();
}

void
HttpConnection::ResetParser()
{
  mParser.emplace();
  mBodyBytes = 0;
  mParser->body_limit(boost::none);
  mParser->header_limit(kMaxResponseHeaderBytes);
  mParser->skip(mIsHead);
}

Task<beast::error_code>
HttpConnection::ReadHeader(Instant aDeadline)
{
  mStream.expires_at(aDeadline);
  for (int n = 0; n <= kMaxInterimResponses; ++n) {
    beast::error_code ec;
    co_await http::async_read_header(
      mStream, mBuffer, *mParser, net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return ec;
    }
    const bool isInterim =
      http::to_status_class(Status()) == http::status_class::informational;
    if (!IsValidStatus(Status()) ||
        (isInterim && !IsValidInterim(mParser->get()))) {
      Close();
      co_return make_error_code(http::error::bad_status);
    }
    if (!IsReadable(FramingOf(*mParser, mParser->get(), mIsHead))) {
      Close();
      co_return make_error_code(http::error::bad_transfer_encoding);
    }
    if (!isInterim) {
      co_return beast::error_code{};
    }
    ResetParser();
  }
  co_return make_error_code(http::error::bad_status);
}

Task<Result<void>>
HttpConnection::SkipResponse(Instant aDeadline)
{
  while (!mParser->is_done()) {
    const Result<std::string> piece = co_await ReadSome(aDeadline);
    if (!piece) {
      co_return piece.error();
    }
  }
  ResetParser();
  const beast::error_code ec = co_await ReadHeader(aDeadline);
  if (ec) {
    co_return ResponseFailure(ec);
  }
  co_return boost::outcome_v2::success();
}

unsigned
HttpConnection::Status() const
{
  return mParser->get().result_int();
}

std::string_view
HttpConnection::Header(std::string_view aName) const
{
  const beast::string_view value =
    mParser->get()[beast::string_view{ aName.data(), aName.size() }];
  return { value.data(), value.size() };
}

const http::fields&
HttpConnection::Fields() const
{
  return mParser->get().base();
}

Task<Result<std::string>>
HttpConnection::ReadSome(Instant aDeadline)
{
  std::array<char, kReadBytes> buf;
  // A read takes as many bytes as the buffer has room for, at first 512.
  if (mBodyBytes > kReadBytes ||
      mParser->content_length_remaining().value_or(0) > kReadBytes) {
    mBuffer.reserve(kReadBytes);
  }
  while (!mParser->is_done()) {
    mParser->get().body().data = buf.data();
    mParser->get().body().size = buf.size();
    beast::error_code ec;
    mStream.expires_at(aDeadline);
    co_await http::async_read_some(
      mStream, mBuffer, *mParser, net::redirect_error(net::use_awaitable, ec));
    const std::size_t n = buf.size() - mParser->get().body().size;
    mBodyBytes += n;
    if (n > 0) {
      co_return std::string{ buf.data(), n };
    }
    if (ec && ec != http::error::need_buffer) {
      co_return ResponseFailure(ec);
    }
  }
  co_return std::string{};
}

bool
HttpConnection::IsCloseDelimited() const
{
  return mParser->need_eof();
}

bool
HttpConnection::IsReusable() const
{
  return mStream.socket().is_open() && mIsRequestSent && mParser &&
         mParser->is_done() && mParser->keep_alive() && !mParser->need_eof() &&
         mBuffer.size() == 0;
}

bool
HttpConnection::IsIdle()
{
  char c = 0;
  beast::error_code ec;
  net::ip::tcp::socket& socket = mStream.socket();
  socket.non_blocking(true, ec);
  socket.receive(net::buffer(&c, 1), net::ip::tcp::socket::message_peek, ec);
  return ec == net::error::would_block || ec == net::error::try_again;
}

std::optional<Milliseconds>
HttpConnection::KeepAliveTimeout() const
{
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = Header("Keep-Alive");
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(at + kName.size());
  int seconds = 0;
  const std::from_chars_result read =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds{ seconds };
}

void
HttpConnection::Close()
{
  mStream.close();
}

} // namespace cactusgw
