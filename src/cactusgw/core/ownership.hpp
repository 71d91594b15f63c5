#ifndef CACTUSGW_CORE_OWNERSHIP_HPP
#define CACTUSGW_CORE_OWNERSHIP_HPP

/// Which VM owns the admission of which upstream of a data centre. The holder
/// of the data centre's lease plans it; the plan is written only on change.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// A VM as one start of its agent knows it.
struct VmIncarnation
{
  std::string mVm;
  std::uint64_t mIncarnation = 0;

  bool operator==(const VmIncarnation&) const = default;
};

struct OwnerAssignment
{
  std::string mUpstream;
  VmIncarnation mOwner;
  /// Rises with each change of owner of this upstream.
  std::uint64_t mEpoch = 0;

  bool operator==(const OwnerAssignment&) const = default;
};

/// The ownership document of one data centre.
struct OwnershipPlan
{
  /// Version of the platform's object; zero when never read.
  std::uint64_t mVersion = 0;
  /// Fencing number of the lease under which the plan was written.
  std::uint64_t mFencingToken = 0;
  std::uint64_t mLastEpoch = 0;
  /// Sorted by upstream.
  std::vector<OwnerAssignment> mOwners;
};

const OwnerAssignment* FindOwner(const OwnershipPlan& aPlan,
                                 std::string_view aUpstream);

/// The VMs a plan may name.
struct OwnerCandidates
{
  /// VMs that keep what they own: alive ones, and silent ones that may still
  /// believe in their ownership.
  std::vector<VmIncarnation> mKeep;
  /// VMs that may be given more.
  std::vector<VmIncarnation> mAlive;
};

/// Makes the next plan: every upstream keeps its owner where that is allowed,
/// and gets the alive VM of highest rendezvous score that does not own its part
/// already. Upstreams that are no longer configured are left out.
///
/// @param aUpstreams upstreams of the data centre, in any order
OwnershipPlan PlanOwnership(const OwnershipPlan& aCurrent,
                            std::span<const std::string> aUpstreams,
                            const OwnerCandidates& aCandidates);

/// Whether two plans name the same owners, versions aside.
bool SameOwners(const OwnershipPlan& aLeft, const OwnershipPlan& aRight);

} // namespace cactusgw

#endif // CACTUSGW_CORE_OWNERSHIP_HPP
