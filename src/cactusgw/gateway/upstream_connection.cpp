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

} // namespace cactusgw
