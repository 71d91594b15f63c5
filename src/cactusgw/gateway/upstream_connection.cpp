#include "cactusgw/gateway/upstream_connection.hpp"

namespace cactusgw {

Task<Result<std::unique_ptr<UpstreamConnection>>>
UpstreamConnection::Connect(UpstreamTarget aTarget, Milliseconds aTime)
{
  Result<std::unique_ptr<HttpConnection>> connected =
    co_await HttpConnection::Connect(aTarget.mAddress, aTime);
  if (!connected) {
    co_return connected.error();
  }
  co_return std::unique_ptr<UpstreamConnection>{ new UpstreamConnection{
    std::move(aTarget), std::move(connected.value()) } };
}

Task<Result<void>>
UpstreamConnection::Exchange(SendClearance aClearance,
                             HttpRequest& aRequest,
                             Instant aDeadline)
{
  if (aClearance.Target() != mTarget) {
    co_return NotRun(FailureCode::Internal,
                     "the clearance is for upstream " +
                       aClearance.Target().mId);
  }
  co_return co_await mConnection->Exchange(aRequest, aDeadline);
}

} // namespace cactusgw
