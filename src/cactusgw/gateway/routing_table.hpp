#ifndef CACTUSGW_GATEWAY_ROUTING_TABLE_HPP
#define CACTUSGW_GATEWAY_ROUTING_TABLE_HPP

/// Lookups in one version of the configuration.

#include "cactusgw/gateway/gateway_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusgw {

/// Immutable; calls in progress keep the version that they began with.
class RoutingTable
{
public:
  static RoutingTable Create(GatewayConfig aConfig);

  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;
  RoutingTable(RoutingTable&&) = default;

  /// The route with the longest prefix of the path on this host, or null.
  const GatewayRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;
  const GatewayService* FindService(std::string_view aName) const;
  /// The workspace that holds the key, or null.
  const Workspace* FindWorkspace(std::string_view aKey) const;
  /// Whether requests need a key, unless their route is public.
  bool NeedsKeys() const { return !mConfig.mWorkspaces.empty(); }

  const GatewayConfig& Config() const { return mConfig; }

private:
  explicit RoutingTable(GatewayConfig aConfig);

  GatewayConfig mConfig;
  /// By host and prefix, joined; the host holds no slash.
  std::unordered_map<std::string, const GatewayRoute*> mRoutes;
  std::unordered_map<std::string, const GatewayService*> mServices;
  std::unordered_map<std::string, const Workspace*> mKeys;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_ROUTING_TABLE_HPP
