#ifndef CACTUSGW_CONFIG_UPSTREAM_SUBSET_HPP
#define CACTUSGW_CONFIG_UPSTREAM_SUBSET_HPP

/// Which VMs may send to which upstreams. Each VM uses a bounded number of
/// upstreams of a service, so that the cost of credits per VM does not grow
/// with the fleet. All VMs that hold one configuration agree on the subsets.

#include "cactusgw/config/deployment.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Upstreams of one service and data centre that a VM uses at most.
inline constexpr std::size_t kUpstreamsPerVm = 16;

/// Whether requests of one data centre may go to an upstream at all, by the
/// overflow scope of its service.
bool IsWithinScope(const Deployment& aDeployment,
                   const DataCentreConfig& aFrom,
                   const UpstreamConfig& aUpstream);

/// How far an upstream is: 0 in the same data centre, 1 in the same region, 2
/// in another.
std::uint32_t DistanceTo(const Deployment& aDeployment,
                         std::string_view aDataCentre,
                         const UpstreamConfig& aUpstream);

/// Names of a data centre's VMs, in the order of the configuration.
std::vector<std::string> VmNames(const DataCentreConfig& aDataCentre);

/// The VM's static share of an upstream's cold limit.
std::uint32_t StaticShareOf(const Deployment& aDeployment,
                            const UpstreamConfig& aUpstream,
                            std::string_view aVm);

/// Names of the upstreams that a VM may send to, in the order of the
/// configuration. The views live as long as the deployment.
std::vector<std::string_view> UpstreamsOfVm(const Deployment& aDeployment,
                                            const DataCentreConfig& aFrom,
                                            std::string_view aVm);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_UPSTREAM_SUBSET_HPP
