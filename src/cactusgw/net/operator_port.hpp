#ifndef CACTUSGW_NET_OPERATOR_PORT_HPP
#define CACTUSGW_NET_OPERATOR_PORT_HPP

/// The pages every binary serves to operators.

#include "cactusgw/net/http_server.hpp"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace cactusgw {

struct OperatorPages
{
  bool mReady = false;
  std::function<std::string()> mMetrics;
  std::function<std::string()> mEvents;
  std::function<std::string()> mStatus;
};

/// Whether the request carries the operators' token. An empty token, which
/// only the gateway's settings imply, lets everybody in.
bool IsOperator(const HttpExchange& aExchange, std::string_view aToken);

/// Serves /healthz and /readyz to all; /metrics, /events and /status to those
/// who have the token.
Task<void> ServeOperatorPage(HttpExchange& aExchange,
                             std::string aToken,
                             OperatorPages aPages);

Task<void> SendUnauthorized(HttpExchange& aExchange);

Task<void> SendBadRequest(HttpExchange& aExchange, std::string aDetail);

Task<void> SendJson(HttpExchange& aExchange, const boost::json::value& aBody);

} // namespace cactusgw

#endif // CACTUSGW_NET_OPERATOR_PORT_HPP
