#include "cactusgw/core/static_share.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

/// Orders VMs by rendezvous score for this upstream. VMs with equal scores are
/// ordered by name, so that every VM computes the same order.
bool
ComesBefore(std::string_view aUpstream,
            std::string_view aLeft,
            std::string_view aRight)
{
  const std::uint64_t left = RendezvousScore(aUpstream, aLeft);
  const std::uint64_t right = RendezvousScore(aUpstream, aRight);
  return left != right ? left > right : aLeft < aRight;
}

} // namespace

std::uint32_t
StaticShare(std::string_view aUpstream,
            std::string_view aVm,
            std::span<const std::string> aVms,
            std::uint32_t aColdLimit)
{
  if (std::find(aVms.begin(), aVms.end(), aVm) == aVms.end()) {
    return 0;
  }
  const std::uint32_t rank = static_cast<std::uint32_t>(
    std::count_if(aVms.begin(), aVms.end(), [&](const std::string& aOther) {
      return ComesBefore(aUpstream, aOther, aVm);
    }));
  const std::uint32_t count = static_cast<std::uint32_t>(aVms.size());
  const std::uint32_t remainder = aColdLimit % count;
  return aColdLimit / count + (rank < remainder ? 1U : 0U);
}

} // namespace cactusgw
