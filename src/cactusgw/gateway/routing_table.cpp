#include "cactusgw/gateway/routing_table.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cactusgw {

namespace {

/// Returns the host in lower case and without the port.
std::string
NormalizedHost(std::string_view aHost)
{
  std::string name{ aHost.substr(0, aHost.find(':')) };
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return name;
}

} // namespace

RoutingTable
RoutingTable::Create(GatewayConfig aConfig,
                     const RoutingTable* aBefore,
                     Instant aNow)
{
  RoutingTable table{ std::move(aConfig) };
  if (aBefore != nullptr) {
    table.mFormerRoutes =
      Remember(aBefore->mFormerRoutes, aBefore->mRoutes, table.mRoutes, aNow);
    table.mFormerWorkspaces = Remember(aBefore->mFormerWorkspaces,
                                       aBefore->mWorkspaces,
                                       table.mWorkspaces,
                                       aNow);
  }
  return table;
}

template<typename T>
RoutingTable::Former
RoutingTable::Remember(const Former& aFormer,
                       const std::unordered_map<std::string, const T*>& aBefore,
                       const std::unordered_map<std::string, const T*>& aAfter,
                       Instant aNow)
{
  Former former;
  const auto remember = [&](const std::string& aKey,
                            const FormerRegions& aRegions) {
    if (aAfter.count(aKey) == 0 && former.size() < kMaxFormer &&
        aNow - aRegions.mRemovedAt < kFormerTime) {
      former.emplace(aKey, aRegions);
    }
  };
  for (const auto& [key, item] : aBefore) {
    remember(key, { item->mRegions, aNow });
  }
  for (const auto& [key, regions] : aFormer) {
    remember(key, regions);
  }
  return former;
}

RoutingTable::RoutingTable(GatewayConfig aConfig)
  : mConfig(std::move(aConfig))
{
  for (const GatewayRoute& route : mConfig.mRoutes) {
    mRoutes.emplace(NormalizedHost(route.mHost) + route.mPathPrefix, &route);
  }
  for (const GatewayService& service : mConfig.mServices) {
    mServices.emplace(service.mName, &service);
  }
  for (const Workspace& workspace : mConfig.mWorkspaces) {
    mWorkspaces.emplace(workspace.mName, &workspace);
    for (const std::string& key : workspace.mKeys) {
      mKeys.emplace(key, &workspace);
    }
  }
}

const GatewayRoute*
RoutingTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  std::string key = NormalizedHost(aHost);
  const std::size_t hostLength = key.size();
  key += aPath;
  // Every prefix ends with a slash. Try them from the longest to the shortest.
  std::size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= hostLength) {
    key.resize(slash + 1);
    const auto it = mRoutes.find(key);
    if (it != mRoutes.end()) {
      return it->second;
    }
    slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1);
  }
  return nullptr;
}

const GatewayService*
RoutingTable::FindService(std::string_view aName) const
{
  const auto it = mServices.find(std::string{ aName });
  return it == mServices.end() ? nullptr : it->second;
}

const Workspace*
RoutingTable::FindWorkspace(std::string_view aKey) const
{
  const auto it = mKeys.find(std::string{ aKey });
  return it == mKeys.end() ? nullptr : it->second;
}

const AllowedRegions*
RoutingTable::FormerRouteRegions(std::string_view aHost,
                                 std::string_view aPrefix) const
{
  const auto it =
    mFormerRoutes.find(NormalizedHost(aHost) + std::string{ aPrefix });
  return it == mFormerRoutes.end() ? nullptr : &it->second.mRegions;
}

const AllowedRegions*
RoutingTable::FormerWorkspaceRegions(std::string_view aName) const
{
  const auto it = mFormerWorkspaces.find(std::string{ aName });
  return it == mFormerWorkspaces.end() ? nullptr : &it->second.mRegions;
}

const Workspace*
RoutingTable::FindWorkspaceByName(std::string_view aName) const
{
  const auto it = mWorkspaces.find(std::string{ aName });
  return it == mWorkspaces.end() ? nullptr : it->second;
}

} // namespace cactusgw
