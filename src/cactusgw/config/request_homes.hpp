#ifndef CACTUSGW_CONFIG_REQUEST_HOMES_HPP
#define CACTUSGW_CONFIG_REQUEST_HOMES_HPP

/// What the regions of a request are derived from, and whether an upstream is
/// within them. A request may wait while its service, its workspace and the
/// upstreams change, so the regions are derived anew for each decision.

#include "cactusgw/config/deployment.hpp"
#include "cactusgw/core/allowed_regions.hpp"
#include "cactusgw/core/verdict.hpp"

#include <string>
#include <string_view>

namespace cactusgw {

class RequestHomes
{
public:
  /// No restriction, whatever the deployment says.
  RequestHomes() = default;

  /// The homes of a request that is admitted under this deployment.
  static RequestHomes Of(const Deployment& aDeployment,
                         std::string_view aService,
                         std::string_view aWorkspace);

  /// Regions in which a deployment allows the request: those that both its
  /// service and its workspace allow. A restriction at admission stays in force
  /// when the deployment does not contain the service or the workspace.
  AllowedRegions RegionsIn(const Deployment& aDeployment) const;

private:
  std::string mService;
  std::string mWorkspace;
  AllowedRegions mServiceRegions = AllowedRegions::Everywhere();
  AllowedRegions mWorkspaceRegions = AllowedRegions::Everywhere();
};

/// Whether the upstream's data centre is in these regions.
bool IsWithin(const Deployment& aDeployment,
              const AllowedRegions& aRegions,
              const UpstreamConfig& aUpstream);

/// Whether a deployment allows a send to an upstream at an address. When the
/// deployment doesn't have the upstream at that address, its region is unknown
/// and outside all homes. Errors: NotRun with OutsideHomeRegions.
Result<void> CheckSend(const Deployment& aDeployment,
                       const RequestHomes& aHomes,
                       std::string_view aUpstream,
                       std::string_view aAddress);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_REQUEST_HOMES_HPP
