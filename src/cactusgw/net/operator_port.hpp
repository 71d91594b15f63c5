#ifndef CACTUSGW_NET_OPERATOR_PORT_HPP
#define CACTUSGW_NET_OPERATOR_PORT_HPP

/// HTTP endpoints for operators, common to all programs: health, metrics,
/// events and status.

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

/// Whether the request carries the operator token. An empty token, possible
/// only in the gateway's settings, disables authentication.
bool IsOperator(const HttpExchange& aExchange, std::string_view aToken);

/// Serves /healthz and /readyz without authentication; /metrics, /events and
/// /status require the operator token.
Task<void> ServeOperatorPage(HttpExchange& aExchange,
                             std::string aToken,
                             OperatorPages aPages);

Task<void> SendUnauthorized(HttpExchange& aExchange);

Task<void> SendBadRequest(HttpExchange& aExchange, std::string aDetail);

Task<void> SendJson(HttpExchange& aExchange, const boost::json::value& aBody);

} // namespace cactusgw

#endif // CACTUSGW_NET_OPERATOR_PORT_HPP
