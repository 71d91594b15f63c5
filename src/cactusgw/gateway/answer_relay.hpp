#ifndef CACTUSGW_GATEWAY_ANSWER_RELAY_HPP
#define CACTUSGW_GATEWAY_ANSWER_RELAY_HPP

/// Passes an upstream's answer on to the caller: a short one once it is whole,
/// a long one or a stream as it arrives.

#include "cactusgw/gateway/gateway_config.hpp"
#include "cactusgw/gateway/gateway_metrics.hpp"
#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/net/http_connection.hpp"
#include "cactusgw/net/http_server.hpp"

#include <functional>
#include <string>

namespace cactusgw {

/// Whether an answer with this status is a success.
bool IsSuccess(unsigned aStatus);

/// Whether an answer with this status says that the upstream failed.
bool IsServerError(unsigned aStatus);

/// Whether what arrived is the upstream's answer to a request that ran.
/// Errors: NotRun when the upstream says that it did not run the request,
/// MayHaveRun when it is no answer.
Result<void> CheckAnswer(const HttpConnection& aConnection,
                         const HeaderNames& aNames);

/// How far a stream has been passed on, over all sends of a request.
struct StreamProgress
{
  /// Of the last whole event that was passed on.
  std::string mLastEventId;
  Instant mLastEventAt;
};

/// What the relay asks of and tells its call. All functions must be set.
struct RelayEvents
{
  std::function<void()> mOnFirstEvent;
  /// The stream broke off: whether its generation was stopped to be moved.
  std::function<Task<bool>()> mWasStopped;
  /// The upstream's answer is whole.
  std::function<void()> mOnWhole;
};

/// What an answer's route allows.
struct RelayRules
{
  RouteKind mKind = RouteKind::NonIdempotent;
  /// Whether a failure of the upstream will be replaced by another send.
  bool mReplacesFailures = false;
};

/// Not thread-safe; one instance per send. Errors of the upstream carry a
/// verdict; ClientDisconnected and Timeout concern the caller.
class AnswerRelay
{
public:
  AnswerRelay(HttpExchange& aExchange,
              HttpConnection& aConnection,
              GatewayMetrics& aMetrics,
              StreamProgress& aProgress,
              RelayEvents aEvents);

  /// Passes on the answer whose header the connection has read.
  Task<Result<void>> Pass(RelayRules aRules, Instant aUntil);

private:
  Task<Result<void>> PassWhole(RelayRules aRules, Instant aUntil);
  Task<Result<void>> PassPieces(std::string aBegin, Instant aUntil);
  Task<Result<void>> PassStream(Instant aUntil);
  Task<Result<void>> PassEvents(std::string aEvents);
  Result<void> CheckWhole(RelayRules aRules) const;

  HttpExchange& mExchange;
  HttpConnection& mConnection;
  GatewayMetrics& mMetrics;
  StreamProgress& mProgress;
  RelayEvents mEvents;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_ANSWER_RELAY_HPP
