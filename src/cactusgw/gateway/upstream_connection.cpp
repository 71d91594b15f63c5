#include "cactusgw/gateway/upstream_connection.hpp"

namespace cactusgw {

std::unique_ptr<UpstreamConnection>
UpstreamConnection::Adopt(UpstreamTarget aTarget,
                          std::unique_ptr<HttpConnection> aConnection,
                          std::optional<TunnelUse> aTunnel)
{
  return std::unique_ptr<UpstreamConnection>{ new UpstreamConnection{
    std::move(aTarget), std::move(aConnection), std::move(aTunnel) } };
}

} // namespace cactusgw
