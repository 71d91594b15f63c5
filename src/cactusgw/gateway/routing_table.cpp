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
RoutingTable::Create(GatewayConfig aConfig)
{
  return RoutingTable{ std::move(aConfig) };
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

const Workspace*
RoutingTable::FindWorkspaceByName(std::string_view aName) const
{
  const auto it = mWorkspaces.find(std::string{ aName });
  return it == mWorkspaces.end() ? nullptr : it->second;
}

} // namespace cactusgw
