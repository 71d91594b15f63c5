#ifndef CACTUSGW_NET_HTTP_CLIENT_HPP
#define CACTUSGW_NET_HTTP_CLIENT_HPP

/// HTTP client whose errors carry a verdict on whether the server may have
/// executed the request.

#include "cactusgw/core/checked_address.hpp"
#include "cactusgw/net/http_connection.hpp"
#include "cactusgw/net/http_types.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace cactusgw {

struct HttpCallTimes
{
  Milliseconds mConnect{ 1000 };
  /// From sending the request to the end of the response header.
  Milliseconds mHeader{ 5000 };
  /// Maximum time that a read of the response body may wait for data.
  Milliseconds mSilence{ 5000 };
};

/// A request whose response body is read incrementally. Uses a new connection
/// for each request.
class HttpExchangeClient
{
public:
  /// Connects, sends the request and reads the response header.
  ///
  /// Errors: NotRun when the connection could not be established; MayHaveRun
  /// for any error after sending began.
  static Task<Result<std::unique_ptr<HttpExchangeClient>>>
  Open(std::string_view aAddress, HttpRequest aRequest, HttpCallTimes aTimes);
  /// The same. Errors: also those of the check, which is made when the
  /// connection is established.
  static Task<Result<std::unique_ptr<HttpExchangeClient>>>
  Open(CheckedAddress aAddress, HttpRequest aRequest, HttpCallTimes aTimes);

  unsigned Status() const;
  std::string Header(std::string_view aName) const;

  /// Reads the next part of the body. An empty string means that the body is
  /// complete.
  Task<Result<std::string>> ReadSome();
  /// Reads the rest of the body. Errors: TooLarge when it exceeds the limit in
  /// bytes.
  Task<Result<std::string>> ReadAll(std::size_t aLimit);
  /// Closes the connection; a pending read returns an error.
  void Close();

private:
  HttpExchangeClient(std::unique_ptr<HttpConnection> aConnection,
                     HttpCallTimes aTimes);

  std::unique_ptr<HttpConnection> mConnection;
  HttpCallTimes mTimes;
};

/// Connects and waits until the connection becomes readable: the peer closed
/// it, or it failed. The peer is expected to send nothing.
/// @return false when the connection could not be established
Task<bool> WaitForClose(std::string aAddress);

/// Sends a request and reads the complete response, with a limit on its body.
Task<Result<HttpResponse>> FetchHttp(std::string_view aAddress,
                                     HttpRequest aRequest,
                                     HttpCallTimes aTimes,
                                     std::size_t aBodyLimit);
/// The same. Errors: also those of the check.
Task<Result<HttpResponse>> FetchHttp(CheckedAddress aAddress,
                                     HttpRequest aRequest,
                                     HttpCallTimes aTimes,
                                     std::size_t aBodyLimit);

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_CLIENT_HPP
