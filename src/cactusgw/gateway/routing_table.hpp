#ifndef CACTUSGW_GATEWAY_ROUTING_TABLE_HPP
#define CACTUSGW_GATEWAY_ROUTING_TABLE_HPP

/// Indexes one version of the configuration for lookups.

#include "cactusgw/gateway/gateway_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusgw {

/// Immutable. Requests in progress keep the version that they started with.
class RoutingTable
{
public:
  static RoutingTable Create(GatewayConfig aConfig);

  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;
  RoutingTable(RoutingTable&&) = default;

  /// Returns the route of this host with the longest prefix that matches the
  /// path, or null.
  const GatewayRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;
  const GatewayService* FindService(std::string_view aName) const;
  /// Returns the workspace that the key belongs to, or null.
  const Workspace* FindWorkspace(std::string_view aKey) const;
  /// Returns the workspace of this name, or null.
  const Workspace* FindWorkspaceByName(std::string_view aName) const;
  /// Whether requests to routes that are not public need a key.
  bool NeedsKeys() const { return !mConfig.mWorkspaces.empty(); }

  const GatewayConfig& Config() const { return mConfig; }

private:
  explicit RoutingTable(GatewayConfig aConfig);

  GatewayConfig mConfig;
  /// Keyed by the host followed by the path prefix. This is unambiguous because
  /// a host contains no slash.
  std::unordered_map<std::string, const GatewayRoute*> mRoutes;
  std::unordered_map<std::string, const GatewayService*> mServices;
  std::unordered_map<std::string, const Workspace*> mKeys;
  std::unordered_map<std::string, const Workspace*> mWorkspaces;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_ROUTING_TABLE_HPP
