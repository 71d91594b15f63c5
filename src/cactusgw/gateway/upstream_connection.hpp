#ifndef CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_HPP

/// A connection to one start of an upstream, on which every request needs a
/// clearance.

#include "cactusgw/core/send_clearance.hpp"
#include "cactusgw/gateway/response_attribution.hpp"
#include "cactusgw/net/http_connection.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cactusgw {

/// Not thread-safe. Errors after sending began carry MayHaveRun.
class UpstreamConnection
{
public:
  /// Errors: NotRun when the connection could not be established in time.
  static Task<Result<std::unique_ptr<UpstreamConnection>>> Connect(
    UpstreamTarget aTarget,
    Milliseconds aTime);

  const UpstreamTarget& Target() const { return mTarget; }

  /// Sends a request and reads the response header. Errors: also NotRun when
  /// the clearance is for another upstream.
  template<typename Request>
  Task<Result<void>> Exchange(SendClearance aClearance,
                              Request& aRequest,
                              Instant aDeadline)
  {
    if (aClearance.Target() != mTarget) {
      co_return NotRun(FailureCode::Internal,
                       "the clearance is for upstream " +
                         aClearance.Target().mId);
    }
    co_return co_await mConnection->Exchange(aRequest, aDeadline);
  }

  /// Header of the current response.
  const HttpConnection& Response() const { return *mConnection; }
  Task<Result<void>> SkipResponse(Instant aDeadline)
  {
    return mConnection->SkipResponse(aDeadline);
  }
  Task<Result<std::string>> ReadSome(Instant aDeadline)
  {
    return mConnection->ReadSome(aDeadline);
  }

  ResponseAttribution& Attribution() { return mAttribution; }

  bool IsIdle() { return mConnection->IsIdle(); }
  void Close() { mConnection->Close(); }

private:
  UpstreamConnection(UpstreamTarget aTarget,
                     std::unique_ptr<HttpConnection> aConnection)
    : mTarget(std::move(aTarget))
    , mConnection(std::move(aConnection))
  {
  }

  UpstreamTarget mTarget;
  std::unique_ptr<HttpConnection> mConnection;
  ResponseAttribution mAttribution;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_HPP
