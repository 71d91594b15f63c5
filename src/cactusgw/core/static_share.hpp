#ifndef CACTUSGW_CORE_STATIC_SHARE_HPP
#define CACTUSGW_CORE_STATIC_SHARE_HPP

/// The part of an upstream's cold limit that a VM may use without a grant when
/// the owner of the upstream can't be reached. The shares of all VMs add up to
/// the cold limit.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cactusgw {

/// @param aUpstream the upstream whose limit is divided
/// @param aVm the VM whose share is returned
/// @param aVms all VMs of the upstream's data centre, from the configuration
/// @param aColdLimit requests that the upstream can run at once when cold
/// @return the VM's share; zero when the VM is not among aVms
std::uint32_t StaticShare(std::string_view aUpstream,
                          std::string_view aVm,
                          std::span<const std::string> aVms,
                          std::uint32_t aColdLimit);

} // namespace cactusgw

#endif // CACTUSGW_CORE_STATIC_SHARE_HPP
