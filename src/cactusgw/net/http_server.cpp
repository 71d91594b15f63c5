#include "cactusgw/net/http_server.hpp"

#include "cactusgw/net/address.hpp"
#include "cactusgw/net/counted_body.hpp"
#include "cactusgw/net/message_framing.hpp"
#include "cactusgw/net/problem.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <string>
#include <utility>
#include <variant>

namespace cactusgw {

using net::ip::tcp;

namespace {

/// Received bytes that are held beyond a header until they can be parsed.
constexpr std::size_t kReadAheadBytes = std::size_t{ 16 } * 1024;
/// Buffer that a connection keeps while it waits for a request.
constexpr std::size_t kIdleBufferBytes = std::size_t{ 4 } * 1024;
/// Pause after a connection could not be accepted.
constexpr Milliseconds kAcceptPause{ 50 };

/// Received bytes of one connection that the system holds for this process.
constexpr int kReceiveBufferBytes = 128 * 1024;
/// How long the rest of a refused request is read and dropped.
constexpr Milliseconds kDiscardTime{ 1000 };
/// Time after which a body that did not fit may fit.
constexpr Milliseconds kMemoryRetryAfter{ 1000 };

/// Result of reading the header or body of a request.
enum class ReadOutcome
{
  Done,
  Closed,
  /// The server no longer waits for the rest.
  Cancelled,
  TimedOut,
  HeaderTooLarge,
  BodyTooLarge,
  OutOfMemory,
  Malformed,
  /// The end of the body can't be told.
  UnknownLength,
  /// The body has a transfer coding other than chunked.
  UnsupportedCoding,
};

ReadOutcome
Classify(const beast::error_code& aError)
{
  if (!aError) {
    return ReadOutcome::Done;
  }
  if (aError == http::error::header_limit) {
    return ReadOutcome::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return ReadOutcome::BodyTooLarge;
  }
  if (aError == net::error::operation_aborted) {
    return ReadOutcome::Cancelled;
  }
  if (aError == net::error::no_memory) {
    return ReadOutcome::OutOfMemory;
  }
  const bool isHttp = aError.category() ==
                      http::make_error_code(http::error::bad_method).category();
  const bool isCut = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message;
  return isHttp && !isCut ? ReadOutcome::Malformed : ReadOutcome::Closed;
}

/// Runs a read with a timeout. Unlike the stream's own timeout, this one keeps
/// the connection open, so that the client gets an error response.
template<typename StartRead>
Task<ReadOutcome>
ReadWithin(Milliseconds aTime, StartRead aStart)
{
  using namespace net::experimental::awaitable_operators;
  net::steady_timer timer{ co_await net::this_coro::executor };
  timer.expires_after(aTime);
  beast::error_code readError;
  beast::error_code timerError;
  const std::variant<std::size_t, std::monostate> first = co_await (
    aStart(readError) ||
    timer.async_wait(net::redirect_error(net::use_awaitable, timerError)));
  co_return first.index() == 1 ? ReadOutcome::TimedOut : Classify(readError);
}

/// Waits until the socket is readable, without reading from it.
Task<std::size_t>
WaitReadable(TcpStream& aStream, beast::error_code& aError)
{
  co_await aStream.socket().async_wait(
    tcp::socket::wait_read, net::redirect_error(net::use_awaitable, aError));
  co_return 0;
}

/// Whether bytes have arrived that were not read.
bool
HasInput(TcpStream& aStream)
{
  beast::error_code ec;
  return aStream.socket().available(ec) > 0 && !ec;
}

/// Shuts down the sending side and discards input for a limited time. Closing
/// a socket with unread input resets the connection, and the client may lose
/// the response.
Task<void>
DiscardInput(TcpStream& aStream, Milliseconds aLongest)
{
  constexpr std::size_t kReadBytes = 4096;
  beast::error_code ec;
  aStream.socket().shutdown(tcp::socket::shutdown_send, ec);
  std::array<char, kReadBytes> buf;
  aStream.expires_after(aLongest);
  while (!ec) {
    co_await aStream.async_read_some(
      net::buffer(buf), net::redirect_error(net::use_awaitable, ec));
  }
}

Task<ReadOutcome>
ReadHeader(TcpStream& aStream,
           beast::flat_buffer& aBuffer,
           RequestParser& aParser,
           Milliseconds aTime)
{
  FoldingDetector folding;
  FoldingDetectorBuffer<beast::flat_buffer> buffer{ aBuffer, folding };
  const ReadOutcome outcome =
    co_await ReadWithin(aTime, [&](beast::error_code& ec) {
      return http::async_read_header(
        aStream, buffer, aParser, net::redirect_error(net::use_awaitable, ec));
    });
  if (outcome != ReadOutcome::Done) {
    co_return outcome;
  }
  if (folding.HasFolding()) {
    co_return ReadOutcome::Malformed;
  }
  switch (FramingOf(aParser, aParser.get())) {
    case MessageFraming::Invalid:
      co_return ReadOutcome::UnknownLength;
    case MessageFraming::UnsupportedCoding:
      co_return ReadOutcome::UnsupportedCoding;
    default:
      co_return ReadOutcome::Done;
  }
}

Task<ReadOutcome>
ReadBody(TcpStream& aStream,
         beast::flat_buffer& aBuffer,
         RequestParser& aParser,
         HttpServerLimits aLimits,
         ByteReservation& aReservation)
{
  co_return co_await ReadWithin(
    aLimits.mReadBodyTime, [&](beast::error_code& ec) {
      return ReadCountedBody(
        aStream, aBuffer, aParser, aLimits.mMaxBodyBytes, aReservation, ec);
    });
}

http::status
StatusOf(ReadOutcome aOutcome)
{
  switch (aOutcome) {
    case ReadOutcome::TimedOut:
      return http::status::request_timeout;
    case ReadOutcome::HeaderTooLarge:
      return http::status::request_header_fields_too_large;
    case ReadOutcome::BodyTooLarge:
      return http::status::payload_too_large;
    case ReadOutcome::UnsupportedCoding:
      return http::status::not_implemented;
    default:
      return http::status::bad_request;
  }
}

HttpResponse
UnreadableResponse(http::status aStatus)
{
  return ProblemResponse(
    NotRun(FailureCode::InvalidInput, "the request could not be read"),
    aStatus);
}

HttpResponse
StoppingResponse()
{
  return ProblemResponse(
    NotRun(FailureCode::Stopping,
           "the process stops before the request is whole"),
    http::status::service_unavailable);
}
/// The value of a field as a client sent it, for a log line.
std::string
LoggedValue(const http::fields& aFields, http::field aName)
{
  constexpr std::size_t kMaxBytes = 64;
  std::string text;
  const auto range = aFields.equal_range(aName);
  for (auto it = range.first; it != range.second; ++it) {
    text += text.empty() ? "" : ", ";
    text += std::string_view{ it->value().data(), it->value().size() };
  }
  text.resize(std::min(text.size(), kMaxBytes));
  std::replace_if(
    text.begin(),
    text.end(),
    [](unsigned char aChar) {
      return aChar < ' ' || aChar > '~' || aChar == '"';
    },
    '?');
  return "\"" + text + "\"";
}

Failure
SecondResponse()
{
  return MayHaveRun(FailureCode::Internal, "the response has already begun");
}

} // namespace

HttpExchange::HttpExchange(TcpStream& aStream,
                           HttpRequest aRequest,
                           ByteReservation aReservation,
                           HttpServerLimits aLimits,
                           const bool& aIsDraining)
  : mStream(aStream)
  , mRequest(std::move(aRequest))
  , mReservation(std::move(aReservation))
  , mLimits(aLimits)
  , mIsDraining(aIsDraining)
  , mKeepAlive(mRequest.keep_alive())
{
}

std::string
HttpExchange::Header(std::string_view aName) const
{
  const beast::string_view value =
    mRequest[beast::string_view{ aName.data(), aName.size() }];
  return std::string{ value };
}

std::string_view
HttpExchange::Path() const
{
  const beast::string_view target = mRequest.target();
  const std::string_view text{ target.data(), target.size() };
  return text.substr(0, text.find('?'));
}

Task<Result<void>>
HttpExchange::WriteResult(const beast::error_code& aError)
{
  if (!aError) {
    co_return boost::outcome_v2::success();
  }
  mKeepAlive = false;
  const bool late = aError == beast::error::timeout;
  co_return MayHaveRun(late ? FailureCode::Timeout
                            : FailureCode::ClientDisconnected,
                       aError.message());
}

Task<Result<void>>
HttpExchange::Send(HttpResponse aResponse)
{
  if (std::exchange(mBegun, true)) {
    Abort();
    co_return SecondResponse();
  }
  mKeepAlive = mKeepAlive && !mIsDraining;
  aResponse.version(mRequest.version());
  aResponse.keep_alive(mKeepAlive);
  aResponse.prepare_payload();
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTime);
  co_await http::async_write(
    mStream, aResponse, net::redirect_error(net::use_awaitable, ec));
  co_return co_await WriteResult(ec);
}

Task<void>
HttpExchange::Reply(HttpResponse aResponse)
{
  static_cast<void>(co_await Send(std::move(aResponse)));
}

Task<Result<void>>
HttpExchange::Begin(HttpResponse aHeader)
{
  if (std::exchange(mBegun, true)) {
    Abort();
    co_return SecondResponse();
  }
  mKeepAlive = mKeepAlive && !mIsDraining;
  http::response<http::empty_body> header{ std::move(aHeader.base()) };
  header.version(mRequest.version());
  header.keep_alive(mKeepAlive);
  header.chunked(true);
  http::response_serializer<http::empty_body> serializer{ header };
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTime);
  co_await http::async_write_header(
    mStream, serializer, net::redirect_error(net::use_awaitable, ec));
  co_return co_await WriteResult(ec);
}

Task<Result<void>>
HttpExchange::Write(std::string_view aChunk)
{
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTime);
  co_await net::async_write(
    mStream,
    http::make_chunk(net::const_buffer(aChunk.data(), aChunk.size())),
    net::redirect_error(net::use_awaitable, ec));
  co_return co_await WriteResult(ec);
}

Task<Result<void>>
HttpExchange::Finish()
{
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTime);
  co_await net::async_write(mStream,
                            http::make_chunk_last(),
                            net::redirect_error(net::use_awaitable, ec));
  co_return co_await WriteResult(ec);
}

void
HttpExchange::Abort()
{
  mKeepAlive = false;
  mStream.close();
}

ClientWatch
HttpExchange::WatchClient(std::function<void()> aOnDisconnect)
{
  return ClientWatch::Start(mStream, std::move(aOnDisconnect));
}

Result<std::unique_ptr<HttpServer>>
HttpServer::Listen(net::io_context& aContext,
                   std::string_view aAddress,
                   HttpLimitsSource aLimits,
                   HttpHandler aHandler,
                   HttpServerMemory aMemory)
{
  const Result<tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return endpoint.error();
  }
  std::unique_ptr<HttpServer> server{ new HttpServer{
    aContext, std::move(aLimits), std::move(aHandler), std::move(aMemory) } };
  beast::error_code ec;
  tcp::acceptor& acceptor = server->mAcceptor;
  acceptor.open(endpoint.value().protocol(), ec);
  acceptor.set_option(net::socket_base::reuse_address(true), ec);
  // Inherited by accepted sockets, whose window is set as they are connected.
  acceptor.set_option(
    net::socket_base::receive_buffer_size{ kReceiveBufferBytes }, ec);
  acceptor.bind(endpoint.value(), ec);
  if (!ec) {
    acceptor.listen(net::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return NotRun(FailureCode::InvalidInput,
                  "can't listen on " + std::string{ aAddress } + ": " +
                    ec.message());
  }
  SpawnLoop(aContext.get_executor(), "accept", [self = server.get()] {
    return self->AcceptLoop();
  });
  return server;
}

HttpServer::HttpServer(net::io_context& aContext,
                       HttpLimitsSource aLimits,
                       HttpHandler aHandler,
                       HttpServerMemory aMemory)
  : mContext(aContext)
  , mAcceptor(aContext)
  , mLimits(std::move(aLimits))
  , mHandler(std::move(aHandler))
  , mMemory(std::move(aMemory))
{
  if (!mMemory.mBudget) {
    mMemory.mBudget = ByteBudget::Unlimited();
  }
}

void
HttpServer::StopAccepting()
{
  mStopping = true;
  AcceptBacklog();
  beast::error_code ec;
  mAcceptor.close(ec);
  for (TcpStream* const stream : mIdle) {
    stream->cancel();
  }
}

void
HttpServer::AcceptBacklog()
{
  beast::error_code ec;
  mAcceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket{ mContext };
    mAcceptor.accept(socket, ec);
    if (!ec) {
      SpawnTask(
        mContext.get_executor(), "connection", Serve(std::move(socket)));
    }
  }
}

void
HttpServer::RefuseUnread()
{
  for (TcpStream* const stream : mReading) {
    stream->cancel();
  }
}

Task<void>
HttpServer::AcceptLoop()
{
  net::steady_timer pause{ mContext };
  while (!mStopping) {
    beast::error_code ec;
    tcp::socket socket = co_await mAcceptor.async_accept(
      net::redirect_error(net::use_awaitable, ec));
    if (ec == net::error::operation_aborted) {
      co_return;
    }
    if (!ec) {
      SpawnTask(
        mContext.get_executor(), "connection", Serve(std::move(socket)));
    } else if (ec != net::error::connection_aborted) {
      // Without descriptors or memory, the next accept fails at once too.
      mAcceptFailures.Report(
        "event=accept-failed error=\"" + ec.message() +
          "\" openConnections=" + std::to_string(mOpenConnections),
        SteadyNow());
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
  }
}

Task<void>
HttpServer::Serve(tcp::socket aSocket)
{
  constexpr Milliseconds kDeadClientTimeout{ 30'000 };
  SetDeadPeerTimeout(aSocket, kDeadClientTimeout);
  // A small send buffer applies backpressure: data that a client does not read
  // stays at the upstream instead of in this process.
  constexpr int kSendBufferBytes = 64 * 1024;
  beast::error_code ignored;
  aSocket.set_option(net::socket_base::send_buffer_size{ kSendBufferBytes },
                     ignored);
  TcpStream stream{ std::move(aSocket) };
  beast::flat_buffer buffer;
  ++mOpenConnections;
  bool keepsAlive = true;
  try {
    while (keepsAlive) {
      keepsAlive = co_await ServeOne(stream, buffer);
    }
  } catch (...) {
    ReportTaskFailure("connection", std::current_exception());
  }
  mIdle.erase(&stream);
  --mOpenConnections;
  beast::error_code ec;
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

Task<bool>
HttpServer::WaitForRequest(TcpStream& aStream,
                           const beast::flat_buffer& aBuffer,
                           Milliseconds aTime)
{
  if (aBuffer.size() > 0) {
    co_return true;
  }
  if (mStopping) {
    co_return HasInput(aStream);
  }
  mIdle.insert(&aStream);
  const ReadOutcome outcome = co_await ReadWithin(
    aTime, [&](beast::error_code& ec) { return WaitReadable(aStream, ec); });
  mIdle.erase(&aStream);
  co_return outcome == ReadOutcome::Done || (mStopping && HasInput(aStream));
}

Task<bool>
HttpServer::ServeOne(TcpStream& aStream, beast::flat_buffer& aBuffer)
{
  const HttpServerLimits limits = mLimits();
  // The parser bounds neither the size lines of chunks nor trailers.
  aBuffer.max_size(
    std::max<std::size_t>(limits.mMaxHeaderBytes, aBuffer.size()) +
    kReadAheadBytes);
  aStream.expires_never();
  if (aBuffer.size() == 0 && aBuffer.capacity() > kIdleBufferBytes) {
    aBuffer.shrink_to_fit();
  }
  if (!co_await WaitForRequest(aStream, aBuffer, limits.mIdleTime)) {
    co_return false;
  }
  ++mOpenRequests;
  bool keepsAlive = false;
  try {
    keepsAlive = co_await ReadAndServe(aStream, aBuffer, limits);
  } catch (...) {
    ReportTaskFailure("request", std::current_exception());
  }
  mReading.erase(&aStream);
  --mOpenRequests;
  co_return keepsAlive;
}

Task<bool>
HttpServer::ReadAndServe(TcpStream& aStream,
                         beast::flat_buffer& aBuffer,
                         HttpServerLimits aLimits)
{
  RequestParser parser;
  parser.header_limit(aLimits.mMaxHeaderBytes);
  parser.body_limit(aLimits.mMaxBodyBytes);
  mReading.insert(&aStream);
  ReadOutcome outcome =
    co_await ReadHeader(aStream, aBuffer, parser, aLimits.mReadHeaderTime);
  const bool hasLeft = outcome == ReadOutcome::Closed;
  ByteReservation reservation{ mMemory.mBudget };
  if (outcome == ReadOutcome::UnknownLength ||
      outcome == ReadOutcome::UnsupportedCoding) {
    ReportFraming(parser.get());
  }
  if (outcome == ReadOutcome::Done) {
    outcome = co_await ReadBody(aStream, aBuffer, parser, aLimits, reservation);
  }
  mReading.erase(&aStream);
  if (hasLeft) {
    co_return false;
  }
  if (outcome != ReadOutcome::Done) {
    const HttpRequest header{ parser.release().base() };
    reservation.Release();
    if (outcome == ReadOutcome::OutOfMemory) {
      co_await RefuseForMemory(aStream, header, aLimits);
    } else if (outcome == ReadOutcome::Cancelled) {
      co_await Refuse(aStream, StoppingResponse(), kDiscardTime);
    } else {
      co_await Refuse(
        aStream, UnreadableResponse(StatusOf(outcome)), kDiscardTime);
    }
    co_return false;
  }
  HttpExchange exchange{
    aStream, parser.release(), std::move(reservation), aLimits, mDraining
  };
  ++mOpenExchanges;
  std::string error;
  try {
    co_await mHandler(exchange);
  } catch (const std::exception& e) {
    error = e.what(); // Nothing can be awaited here.
  } catch (...) {
    error = "unknown";
  }
  if (!error.empty()) {
    try {
      co_await FailExchange(exchange, std::move(error));
    } catch (...) {
      ReportTaskFailure("exchange", std::current_exception());
      exchange.Abort();
    }
  }
  --mOpenExchanges;
  co_return exchange.KeepsAlive();
}

void
HttpServer::ReportFraming(const HttpRequest& aHeader)
{
  mFramingRefusals.Report(
    "event=framing-refused version=" + std::to_string(aHeader.version()) +
      " transferEncoding=" +
      LoggedValue(aHeader, http::field::transfer_encoding) +
      " contentLength=" + LoggedValue(aHeader, http::field::content_length),
    SteadyNow());
}

Task<void>
HttpServer::FailExchange(HttpExchange& aExchange, std::string aError)
{
  PartLog{ "http" }.Error("event=handler-failed error=\"" + aError + "\"");
  if (aExchange.HasBegun()) {
    aExchange.Abort();
  } else {
    co_await aExchange.Reply(
      ProblemResponse(MayHaveRun(FailureCode::Internal, "internal error")));
  }
}

Task<void>
HttpServer::RefuseForMemory(TcpStream& aStream,
                            const HttpRequest& aHeader,
                            HttpServerLimits aLimits)
{
  const Failure failure = NotRun(FailureCode::OutOfMemory,
                                 "the memory for requests is used up",
                                 kMemoryRetryAfter);
  if (mMemory.mOnRefused) {
    mMemory.mOnRefused(aHeader, failure);
  }
  // The client may read the response only once it has sent its whole body.
  co_await Refuse(aStream, ProblemResponse(failure), aLimits.mReadBodyTime);
}

Task<void>
HttpServer::Refuse(TcpStream& aStream,
                   HttpResponse aResponse,
                   Milliseconds aDiscardTime)
{
  aResponse.keep_alive(false);
  aResponse.prepare_payload();
  beast::error_code ec;
  aStream.expires_after(Milliseconds{ 1000 });
  co_await http::async_write(
    aStream, aResponse, net::redirect_error(net::use_awaitable, ec));
  if (!ec) {
    co_await DiscardInput(aStream, aDiscardTime);
  }
}

} // namespace cactusgw
