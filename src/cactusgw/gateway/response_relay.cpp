#include "cactusgw/gateway/response_relay.hpp"

#include "cactusgw/gateway/event_splitter.hpp"
#include "cactusgw/gateway/message_headers.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <utility>

namespace cactusgw {

namespace {

/// Responses up to this size are buffered until complete, so that the request
/// can be retried when the response is truncated.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } * 1024;

/// Statuses that a client takes as proof that its request did not run.
bool
ImpliesNotRun(unsigned aStatus)
{
  switch (static_cast<http::status>(aStatus)) {
    case http::status::request_timeout:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
      return true;
    default:
      return false;
  }
}

/// Checks the header of a response that is to continue a stream. Anything but a
/// stream would end up inside the client's response.
Result<void>
CheckContinuation(const HttpConnection& aResponse)
{
  constexpr beast::string_view kStreamType = "text/event-stream";
  if (aResponse.Status() != static_cast<unsigned>(http::status::ok)) {
    return MayHaveRun(FailureCode::UpstreamBroke,
                      "status " + std::to_string(aResponse.Status()) +
                        " doesn't continue a stream");
  }
  const std::string_view type = aResponse.Header("Content-Type");
  const std::string_view begin = type.substr(0, kStreamType.size());
  if (!type.empty() &&
      !beast::iequals({ begin.data(), begin.size() }, kStreamType)) {
    return MayHaveRun(FailureCode::UpstreamBroke,
                      "type " + std::string{ type } +
                        " doesn't continue a stream");
  }
  return boost::outcome_v2::success();
}

} // namespace

bool
IsSuccess(unsigned aStatus)
{
  return http::to_status_class(aStatus) == http::status_class::successful;
}

bool
IsServerError(unsigned aStatus)
{
  return http::to_status_class(aStatus) == http::status_class::server_error;
}

Result<void>
CheckResponse(const HttpConnection& aConnection, const HeaderNames& aNames)
{
  const unsigned status = aConnection.Status();
  const bool isMisdirected =
    status == static_cast<unsigned>(http::status::misdirected_request);
  if (isMisdirected || !aConnection.Header(aNames.mNotRun).empty()) {
    return NotRun(FailureCode::UpstreamRefused,
                  "the upstream refused with status " + std::to_string(status));
  }
  if (!aConnection.Header("Content-Encoding").empty()) {
    return MayHaveRun(FailureCode::UpstreamBroke, "the answer is encoded");
  }
  if (IsSuccess(status) && aConnection.Header(aNames.mSeal).empty()) {
    return MayHaveRun(FailureCode::UpstreamBroke,
                      "the answer is not the upstream's");
  }
  return boost::outcome_v2::success();
}

ResponseRelay::ResponseRelay(HttpExchange& aExchange,
                             UpstreamConnection& aConnection,
                             GatewayMetrics& aMetrics,
                             std::shared_ptr<ByteBudget> aMemory,
                             StreamProgress& aProgress,
                             ResponseRelayEvents aEvents)
  : mExchange(aExchange)
  , mConnection(aConnection)
  , mMetrics(aMetrics)
  , mHeld(std::move(aMemory))
  , mProgress(aProgress)
  , mEvents(std::move(aEvents))
{
}

Task<Result<void>>
ResponseRelay::Relay(ResponseRelayRules aRules, Instant aUntil)
{
  if (mExchange.HasBegun()) {
    const Result<void> usable = CheckContinuation(mConnection.Response());
    if (!usable) {
      co_return usable;
    }
  }
  if (IsSuccess(mConnection.Response().Status()) && IsStream(aRules.mKind)) {
    co_return co_await RelayStream(aUntil);
  }
  co_return co_await RelayBuffered(aRules, aUntil);
}

Task<Result<void>>
ResponseRelay::RelayBuffered(ResponseRelayRules aRules, Instant aUntil)
{
  std::string body;
  while (true) {
    Result<std::string> piece = co_await mConnection.ReadSome(aUntil);
    if (!piece) {
      co_return piece.error();
    }
    if (piece.value().empty()) {
      break;
    }
    body += piece.value();
    const bool fits = body.size() <= kMaxBufferedBytes;
    if (!fits || !mHeld.TryGrowTo(body.size())) {
      const Result<void> usable = CheckBuffered(aRules);
      if (!usable) {
        co_return usable;
      }
      co_return co_await RelayUnbuffered(std::move(body), aUntil);
    }
  }
  const Result<void> usable = CheckBuffered(aRules);
  if (!usable) {
    co_return usable;
  }
  HttpResponse response = ForwardedHeader(mConnection.Response().Status(),
                                          mConnection.Response().Fields());
  response.body() = std::move(body);
  mEvents.mOnComplete();
  co_return co_await mExchange.Send(std::move(response));
}

Result<void>
ResponseRelay::CheckBuffered(ResponseRelayRules aRules) const
{
  const unsigned status = mConnection.Response().Status();
  if (IsServerError(status) && aRules.mReportsServerErrors) {
    return MayHaveRun(FailureCode::UpstreamBroke,
                      "the upstream failed with status " +
                        std::to_string(status));
  }
  if (ImpliesNotRun(status) && !IsRetryable(aRules.mKind)) {
    return MayHaveRun(FailureCode::UpstreamBroke,
                      "the upstream's status " + std::to_string(status) +
                        " does not say that the request did not run");
  }
  return boost::outcome_v2::success();
}

Task<Result<void>>
ResponseRelay::RelayUnbuffered(std::string aBegin, Instant aUntil)
{
  Result<void> passed = co_await mExchange.Begin(ForwardedHeader(
    mConnection.Response().Status(), mConnection.Response().Fields()));
  std::string piece = std::move(aBegin);
  while (passed && !piece.empty()) {
    passed = co_await mExchange.Write(piece);
    piece = {};
    mHeld.Release();
    Result<std::string> next = co_await mConnection.ReadSome(aUntil);
    if (!next) {
      co_return next.error();
    }
    piece = std::move(next.value());
  }
  if (passed) {
    mEvents.mOnComplete();
    passed = co_await mExchange.Finish();
  }
  co_return passed;
}

Task<Result<void>>
ResponseRelay::RelayStream(Instant aUntil)
{
  const std::string resumedAfter = mProgress.mLastEventId;
  EventSplitter splitter;
  while (true) {
    Result<std::string> piece = co_await mConnection.ReadSome(aUntil);
    if (!piece) {
      // Stopping a generation truncates its stream. A stream that reached its
      // end is complete, regardless of the response to the stop order.
      if (co_await mEvents.mWasGenerationStopped()) {
        co_return MayHaveRun(FailureCode::UpstreamBroke,
                             "the generation was migrated");
      }
      co_return piece.error();
    }
    if (piece.value().empty()) {
      break;
    }
    std::string events = splitter.Feed(piece.value());
    if (splitter.Remainder().size() > EventSplitter::kMaxEventBytes) {
      co_return MayHaveRun(FailureCode::UpstreamBroke,
                           "an event exceeds " +
                             std::to_string(EventSplitter::kMaxEventBytes) +
                             " bytes");
    }
    // Neither part of an event can be passed on nor a stream be refused.
    mHeld.GrowTo(splitter.Remainder().size());
    if (events.empty()) {
      continue;
    }
    if (!MayFollow(resumedAfter, splitter.FirstId())) {
      co_return MayHaveRun(FailureCode::UpstreamBroke,
                           "event " + splitter.FirstId() +
                             " doesn't continue the stream after event " +
                             resumedAfter);
    }
    const Result<void> passed = co_await WriteEvents(std::move(events));
    if (!passed) {
      co_return passed;
    }
    if (!splitter.LastId().empty()) {
      mProgress.mLastEventId = splitter.LastId();
    }
    mEvents.mOnEventsRelayed();
    if (splitter.Remainder().empty()) {
      mHeld.Release();
    }
  }
  // The framing of such a stream doesn't tell that its upstream has crashed.
  const bool isEmpty =
    mConnection.Response().IsCloseDelimited() && splitter.LastId().empty();
  if (!splitter.Remainder().empty() || isEmpty) {
    co_return MayHaveRun(FailureCode::UpstreamClosed,
                         isEmpty ? "the stream ended before its first event"
                                 : "the stream ended inside an event");
  }
  const Result<void> begun = co_await WriteEvents({});
  if (!begun) {
    co_return begun;
  }
  mEvents.mOnComplete();
  co_return co_await mExchange.Finish();
}

Task<Result<void>>
ResponseRelay::WriteEvents(std::string aEvents)
{
  const Instant now = SteadyNow();
  if (!mExchange.HasBegun()) {
    const Result<void> begun = co_await mExchange.Begin(ForwardedHeader(
      mConnection.Response().Status(), mConnection.Response().Fields()));
    if (!begun) {
      co_return begun;
    }
  } else if (mProgress.mLastEventAt != Instant{}) {
    mMetrics.mEventGap.Record(now - mProgress.mLastEventAt);
  }
  mProgress.mLastEventAt = now;
  if (aEvents.empty()) {
    co_return boost::outcome_v2::success();
  }
  co_return co_await mExchange.Write(aEvents);
}

} // namespace cactusgw
