#ifndef CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_HPP

/// A connection to one start of an upstream, on which every request needs a
/// clearance.

#include "cactusgw/core/send_clearance.hpp"
#include "cactusgw/gateway/response_attribution.hpp"
#include "cactusgw/net/http_connection.hpp"
#include "cactusgw/tunnel/tunnel_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cactusgw {

/// Not thread-safe. Errors after sending began carry MayHaveRun.
class UpstreamConnection
{
public:
  /// @param aTunnel the tunnel that the connection goes through, if any
  static std::unique_ptr<UpstreamConnection> Adopt(
    UpstreamTarget aTarget,
    std::unique_ptr<HttpConnection> aConnection,
    std::optional<TunnelUse> aTunnel);

  const UpstreamTarget& Target() const { return mTarget; }
  /// Null if the connection is direct.
  const TunnelUse* Tunnel() const { return mTunnel ? &*mTunnel : nullptr; }

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

  /// Asks the upstream about itself. Returns the body of its response; an empty
  /// one if it doesn't tell. Errors: UpstreamUnreachable when there is no
  /// response, or the connection can carry no request after it.
  Task<Result<std::string>> Ask(HttpRequest aRequest, Instant aDeadline);

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
                     std::unique_ptr<HttpConnection> aConnection,
                     std::optional<TunnelUse> aTunnel)
    : mTarget(std::move(aTarget))
    , mTunnel(std::move(aTunnel))
    , mConnection(std::move(aConnection))
  {
  }

  UpstreamTarget mTarget;
  std::optional<TunnelUse> mTunnel;
  std::unique_ptr<HttpConnection> mConnection;
  ResponseAttribution mAttribution;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_HPP
