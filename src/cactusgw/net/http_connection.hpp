#ifndef CACTUSGW_NET_HTTP_CONNECTION_HPP
#define CACTUSGW_NET_HTTP_CONNECTION_HPP

/// Client side of a persistent HTTP connection, which carries several requests
/// in sequence.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// A request that does not own its body.
using SharedBodyRequest = http::request<http::span_body<const char>>;

/// Not thread-safe. Errors after sending began carry MayHaveRun.
class HttpConnection
{
public:
  /// Errors: NotRun when the connection could not be established in time.
  static Task<Result<std::unique_ptr<HttpConnection>>> Connect(
    std::string_view aAddress,
    Milliseconds aTime);

  /// Takes over a connected stream that has no unread bytes.
  static std::unique_ptr<HttpConnection> Adopt(TcpStream aStream);
  /// Opens the socket of a stream with the buffer sizes of a connection, before
  /// it is connected.
  static void Prepare(TcpStream& aStream, const net::ip::tcp& aProtocol);

  /// Sends a request and reads the response header.
  Task<Result<void>> Exchange(HttpRequest& aRequest, Instant aDeadline);
  /// The body must stay until the call has returned.
  Task<Result<void>> Exchange(SharedBodyRequest& aRequest, Instant aDeadline);
  /// Discards the rest of the current response and reads the header of the
  /// next one.
  Task<Result<void>> SkipResponse(Instant aDeadline);

  unsigned Status() const;
  std::string_view Header(std::string_view aName) const;
  const http::fields& Fields() const;

  /// Reads the next part of the body. An empty string means that the body is
  /// complete.
  Task<Result<std::string>> ReadSome(Instant aDeadline);

  /// Whether the response body ends only when the connection closes. A
  /// truncated body can't be told from a complete one then.
  bool IsCloseDelimited() const;
  /// Whether the connection can carry another request: the last request and
  /// response are complete, no further bytes were received, and the server
  /// keeps the connection open.
  bool IsReusable() const;
  /// Whether no data is waiting to be read and the peer has not closed the
  /// connection.
  bool IsIdle();
  /// Idle timeout that the server announced in the Keep-Alive header, if any.
  std::optional<Milliseconds> KeepAliveTimeout() const;
  /// Closes the connection; a pending read returns an error.
  void Close();

private:
  explicit HttpConnection(TcpStream aStream);
  template<typename Request>
  Task<Result<void>> SendAndReadHeader(Request& aRequest, Instant aDeadline);
  void ResetParser();
  Task<beast::error_code> ReadHeader(Instant aDeadline);

  TcpStream mStream;
  beast::flat_buffer mBuffer;
  std::optional<http::response_parser<http::buffer_body>> mParser;
  /// Bytes of the current response's body so far.
  std::size_t mBodyBytes = 0;
  bool mIsHead = false;
  bool mIsRequestSent = false;
};

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_CONNECTION_HPP
