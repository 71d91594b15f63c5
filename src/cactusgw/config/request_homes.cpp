#include "cactusgw/config/request_homes.hpp"

namespace cactusgw {

RequestHomes
RequestHomes::Of(const Deployment& aDeployment,
                 std::string_view aService,
                 std::string_view aWorkspace)
{
  RequestHomes homes;
  homes.mService = aService;
  homes.mWorkspace = aWorkspace;
  const ServiceConfig* const service = aDeployment.FindService(aService);
  if (service != nullptr) {
    homes.mServiceRegions = service->mRegions;
  }
  const WorkspaceConfig* const workspace =
    aDeployment.FindWorkspace(aWorkspace);
  if (workspace != nullptr) {
    homes.mWorkspaceRegions = workspace->mRegions;
  }
  return homes;
}

AllowedRegions
RequestHomes::RegionsIn(const Deployment& aDeployment) const
{
  const ServiceConfig* const service = aDeployment.FindService(mService);
  const WorkspaceConfig* const workspace =
    aDeployment.FindWorkspace(mWorkspace);
  const AllowedRegions& ofService =
    service == nullptr ? mServiceRegions : service->mRegions;
  const AllowedRegions& ofWorkspace =
    workspace == nullptr ? mWorkspaceRegions : workspace->mRegions;
  return ofService.Intersect(ofWorkspace);
}

bool
IsWithin(const Deployment& aDeployment,
         const AllowedRegions& aRegions,
         const UpstreamConfig& aUpstream)
{
  if (!aRegions.IsRestricted()) {
    return true;
  }
  const DataCentreConfig* const dataCentre =
    aDeployment.FindDataCentre(aUpstream.mDataCentre);
  return dataCentre != nullptr && aRegions.Allows(dataCentre->mRegion);
}

Result<void>
CheckSend(const Deployment& aDeployment,
          const RequestHomes& aHomes,
          std::string_view aUpstream,
          std::string_view aAddress)
{
  const AllowedRegions regions = aHomes.RegionsIn(aDeployment);
  if (!regions.IsRestricted()) {
    return boost::outcome_v2::success();
  }
  const UpstreamConfig* const upstream = aDeployment.FindUpstream(aUpstream);
  const bool isKnown = upstream != nullptr && upstream->mAddress == aAddress;
  const DataCentreConfig* const dataCentre =
    isKnown ? aDeployment.FindDataCentre(upstream->mDataCentre) : nullptr;
  if (dataCentre != nullptr && regions.Allows(dataCentre->mRegion)) {
    return boost::outcome_v2::success();
  }
  return NotRun(FailureCode::OutsideHomeRegions,
                "upstream " + std::string{ aUpstream } + " in region " +
                  (dataCentre == nullptr ? "unknown" : dataCentre->mRegion) +
                  " is outside the allowed regions: " + regions.Text());
}

} // namespace cactusgw
