#ifndef CACTUSGW_CORE_STATIC_SHARE_HPP
#define CACTUSGW_CORE_STATIC_SHARE_HPP

/// The part of an upstream's cold limit that each VM may use when no owner of
/// the upstream can be heard. The shares of all VMs add up to the cold limit.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cactusgw {

/// @param aUpstream the upstream whose limit is divided
/// @param aVm the VM whose share is asked for
/// @param aVms all VMs of the upstream's data centre, from the configuration
/// @param aColdLimit requests the upstream bears when cold
/// @return the VM's share; zero when the VM is not among aVms
std::uint32_t StaticShare(std::string_view aUpstream,
                          std::string_view aVm,
                          std::span<const std::string> aVms,
                          std::uint32_t aColdLimit);

} // namespace cactusgw

#endif // CACTUSGW_CORE_STATIC_SHARE_HPP
