#ifndef CACTUSGW_GATEWAY_CLIENT_MEMORY_HPP
#define CACTUSGW_GATEWAY_CLIENT_MEMORY_HPP

/// The memory of requests in progress: its bound, its refusals, its metrics.

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/http_server.hpp"

namespace cactusgw {

/// Bounds a server of clients by the state's budget. The state must outlive the
/// server.
HttpServerMemory ClientMemory(GatewayState& aState);

/// Copies the use of the budget to the metrics.
void SetMemoryMetrics(GatewayState& aState);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_CLIENT_MEMORY_HPP
