#ifndef CACTUSGW_NET_HTTP_CLIENT_HPP
#define CACTUSGW_NET_HTTP_CLIENT_HPP

/// HTTP requests whose errors carry a verdict on whether the request may have
/// run on the other side.

#include "cactusgw/net/http_connection.hpp"
#include "cactusgw/net/http_types.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace cactusgw {

struct HttpCallTimes
{
  Milliseconds mConnect{ 1000 };
  /// From sending the request to the end of the answer's header.
  Milliseconds mHeader{ 5000 };
  /// Longest silence within the answer's body.
  Milliseconds mSilence{ 5000 };
};

/// An answer whose body is read piece by piece. One connection per call.
class HttpExchangeClient
{
public:
  /// Connects, sends the request and reads the header of the answer.
  ///
  /// Errors: NotRun when no connection could be made; MayHaveRun for anything
  /// that goes wrong after sending began.
  static Task<Result<std::unique_ptr<HttpExchangeClient>>>
  Open(std::string_view aAddress, HttpRequest aRequest, HttpCallTimes aTimes);

  unsigned Status() const;
  std::string Header(std::string_view aName) const;

  /// Reads more of the body. An empty string is the regular end.
  Task<Result<std::string>> ReadSome();
  /// Reads the rest of the body, up to a limit in bytes.
  Task<Result<std::string>> ReadAll(std::size_t aLimit);
  /// Ends the call; a pending read returns with an error.
  void Close();

private:
  HttpExchangeClient(std::unique_ptr<HttpConnection> aConnection,
                     HttpCallTimes aTimes);

  std::unique_ptr<HttpConnection> mConnection;
  HttpCallTimes mTimes;
};

/// Connects and waits until the other side closes the connection.
/// @return false when no connection could be made
Task<bool> WaitForClose(std::string aAddress);

/// A whole exchange with a bounded answer.
Task<Result<HttpResponse>> FetchHttp(std::string_view aAddress,
                                     HttpRequest aRequest,
                                     HttpCallTimes aTimes,
                                     std::size_t aBodyLimit);

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_CLIENT_HPP
