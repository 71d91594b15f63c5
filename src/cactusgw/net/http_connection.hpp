#ifndef CACTUSGW_NET_HTTP_CONNECTION_HPP
#define CACTUSGW_NET_HTTP_CONNECTION_HPP

/// The client's end of a connection that may carry several requests, one
/// after the other.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Errors after sending began carry MayHaveRun.
class HttpConnection
{
public:
  /// Errors: NotRun when no connection could be made in time.
  static Task<Result<std::unique_ptr<HttpConnection>>> Connect(
    std::string_view aAddress,
    Milliseconds aTime);

  /// Sends a request and reads the header of the answer.
  Task<Result<void>> Exchange(HttpRequest& aRequest, Instant aDeadline);
  /// Skips the rest of this answer and reads the header of the next one.
  Task<Result<void>> SkipResponse(Instant aDeadline);

  unsigned Status() const;
  std::string_view Header(std::string_view aName) const;
  const http::fields& Fields() const;

  /// Reads more of the body. An empty string is the regular end.
  Task<Result<std::string>> ReadSome(Instant aDeadline);

  /// Whether only the end of the connection ends the answer, so that a broken
  /// one may look whole.
  bool IsCloseDelimited() const;
  /// Whether the last exchange left the connection fit for another one: both
  /// messages whole, nothing received beyond them, and not about to close.
  bool IsReusable() const;
  /// Whether nothing has arrived and the other side has not closed.
  bool IsIdle();
  /// How long the other side said that it keeps an idle connection.
  std::optional<Milliseconds> KeepAliveTimeout() const;
  /// Ends the connection; a pending read returns with an error.
  void Close();

private:
  explicit HttpConnection(const net::any_io_executor& aExecutor);
  void ResetParser();
  Task<beast::error_code> ReadHeader(Instant aDeadline);

  TcpStream mStream;
  beast::flat_buffer mBuffer;
  std::optional<http::response_parser<http::buffer_body>> mParser;
  bool mIsHead = false;
  bool mIsRequestSent = false;
};

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_CONNECTION_HPP
