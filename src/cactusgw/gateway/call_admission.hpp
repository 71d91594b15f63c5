#ifndef CACTUSGW_GATEWAY_CALL_ADMISSION_HPP
#define CACTUSGW_GATEWAY_CALL_ADMISSION_HPP

/// Admits client requests: resolves route, workspace, service, rank and
/// deadline from the configuration.

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/http_server.hpp"

namespace cactusgw {

/// Pointers stay valid as long as the routing table.
struct AdmittedRequest
{
  const GatewayRoute* mRoute = nullptr;
  /// Null on routes that need no key.
  const Workspace* mWorkspace = nullptr;
  /// Null when the configuration does not hold the route's service.
  const GatewayService* mService = nullptr;
  RequestOrigin mOrigin;
  /// Zero is the most urgent.
  std::uint32_t mRank = 0;
  TokenNeed mTokenNeed;
  /// Prefixes of the prompt; empty for plain services.
  std::vector<PromptPrefix> mPromptPrefixes;
  /// The versions that a roll-out leaves to the next attempt; empty for any.
  std::optional<RolloutSide> mSide;
  /// Deadline of the final response: the earlier of the client's deadline and
  /// the route's timeout.
  Instant mDeadline;
  /// When the client stops waiting.
  Instant mClientDeadline;
};

/// Refuses a request that the newest configuration allows in no data centre, or
/// restricts but is too old to be trusted. Errors: NotRun with
/// OutsideHomeRegions or StoreUnavailable.
Result<void> CheckHomes(const GatewayState& aState,
                        const RequestOrigin& aOrigin);

/// Errors: NotRun with StoreUnavailable, NotFound, InvalidInput, Unauthorized
/// or OutsideHomeRegions.
/// @param aTable null before the first configuration
Result<AdmittedRequest> AdmitRequest(const GatewayState& aState,
                                     const RoutingTable* aTable,
                                     const HttpExchange& aExchange,
                                     Instant aStart);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_CALL_ADMISSION_HPP
