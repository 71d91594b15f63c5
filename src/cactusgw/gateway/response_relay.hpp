#ifndef CACTUSGW_GATEWAY_RESPONSE_RELAY_HPP
#define CACTUSGW_GATEWAY_RESPONSE_RELAY_HPP

/// Relays an upstream's response to the client. Short responses are buffered
/// until complete; long responses and streams are relayed as they arrive.

#include "cactusgw/core/byte_budget.hpp"
#include "cactusgw/gateway/gateway_config.hpp"
#include "cactusgw/gateway/gateway_metrics.hpp"
#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/gateway/upstream_connection.hpp"
#include "cactusgw/net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cactusgw {

/// Whether this is a 2xx status.
bool IsSuccess(unsigned aStatus);

/// Whether this is a 5xx status.
bool IsServerError(unsigned aStatus);

/// Checks that the response comes from the upstream and that the request ran.
/// Errors: NotRun when the upstream declares that it did not run the request,
/// MayHaveRun when the response is not valid.
Result<void> CheckResponse(const HttpConnection& aConnection,
                           const HeaderNames& aNames);

/// How much of a stream has been relayed, over all attempts of a request.
struct StreamProgress
{
  /// Id of the last complete event that was relayed.
  std::string mLastEventId;
  Instant mLastEventAt;
};

/// Callbacks from the relay to its call. All functions must be set.
struct ResponseRelayEvents
{
  /// Called each time that events of a stream have been relayed.
  std::function<void()> mOnEventsRelayed;
  /// Called when the stream ended early; returns whether its generation was
  /// stopped for a migration.
  std::function<Task<bool>()> mWasGenerationStopped;
  /// Called when the upstream's response is complete.
  std::function<void()> mOnComplete;
};

/// How the route of the request restricts the relay.
struct ResponseRelayRules
{
  RouteKind mKind = RouteKind::NonIdempotent;
  /// Whether a server error is reported as a failure, for a retry, instead of
  /// being relayed.
  bool mReportsServerErrors = false;
};

/// Not thread-safe; one instance per attempt. Errors of the upstream carry a
/// verdict; ClientDisconnected and Timeout refer to the client's connection.
/// Upstream timeouts have other codes, such as UpstreamSilent.
class ResponseRelay
{
public:
  ResponseRelay(HttpExchange& aExchange,
                UpstreamConnection& aConnection,
                GatewayMetrics& aMetrics,
                std::shared_ptr<ByteBudget> aMemory,
                StreamProgress& aProgress,
                ResponseRelayEvents aEvents);

  /// Relays the response whose header the connection has already read.
  Task<Result<void>> Relay(ResponseRelayRules aRules, Instant aUntil);

private:
  Task<Result<void>> RelayBuffered(ResponseRelayRules aRules, Instant aUntil);
  Task<Result<void>> RelayUnbuffered(std::string aBegin, Instant aUntil);
  Task<Result<void>> RelayStream(Instant aUntil);
  Task<Result<void>> WriteEvents(std::string aEvents);
  Result<void> CheckBuffered(ResponseRelayRules aRules) const;

  HttpExchange& mExchange;
  UpstreamConnection& mConnection;
  GatewayMetrics& mMetrics;
  /// Memory of what is held of the response.
  ByteReservation mHeld;
  StreamProgress& mProgress;
  ResponseRelayEvents mEvents;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RESPONSE_RELAY_HPP
