#ifndef CACTUSGW_GATEWAY_ROUTING_TABLE_HPP
#define CACTUSGW_GATEWAY_ROUTING_TABLE_HPP

/// Indexes one version of the configuration for lookups.

#include "cactusgw/gateway/gateway_config.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusgw {

/// Immutable. Requests in progress keep the version that they started with.
class RoutingTable
{
public:
  /// Limits on the restrictions that are remembered of routes, and of
  /// workspaces, that a version no longer contains. No request takes longer.
  static constexpr std::chrono::minutes kFormerTime{ 10 };
  static constexpr std::size_t kMaxFormer = 4096;

  /// @param aBefore the version in force until now, if any
  static RoutingTable Create(GatewayConfig aConfig,
                             const RoutingTable* aBefore = nullptr,
                             Instant aNow = {});

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
  /// Returns the regions that a route, or a workspace, was last restricted to
  /// before it was removed; null if that is not known.
  const AllowedRegions* FormerRouteRegions(std::string_view aHost,
                                           std::string_view aPrefix) const;
  const AllowedRegions* FormerWorkspaceRegions(std::string_view aName) const;
  /// Whether requests to routes that are not public need a key.
  bool NeedsKeys() const { return !mConfig.mWorkspaces.empty(); }

  const GatewayConfig& Config() const { return mConfig; }

private:
  struct FormerRegions
  {
    AllowedRegions mRegions = AllowedRegions::Everywhere();
    Instant mRemovedAt;
  };
  using Former = std::unordered_map<std::string, FormerRegions>;

  explicit RoutingTable(GatewayConfig aConfig);
  /// Copies what is still remembered, and adds what this version removes.
  template<typename T>
  static Former Remember(
    const Former& aFormer,
    const std::unordered_map<std::string, const T*>& aBefore,
    const std::unordered_map<std::string, const T*>& aAfter,
    Instant aNow);

  GatewayConfig mConfig;
  /// Keyed by the host followed by the path prefix. This is unambiguous because
  /// a host contains no slash.
  std::unordered_map<std::string, const GatewayRoute*> mRoutes;
  std::unordered_map<std::string, const GatewayService*> mServices;
  std::unordered_map<std::string, const Workspace*> mKeys;
  std::unordered_map<std::string, const Workspace*> mWorkspaces;
  /// Keyed like mRoutes and mWorkspaces.
  Former mFormerRoutes;
  Former mFormerWorkspaces;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_ROUTING_TABLE_HPP
