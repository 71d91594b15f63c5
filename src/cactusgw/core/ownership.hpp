#ifndef CACTUSGW_CORE_OWNERSHIP_HPP
#define CACTUSGW_CORE_OWNERSHIP_HPP

/// Assigns the admission control of each upstream of a data centre to one
/// owner VM. The holder of the data centre's lease makes the plan and writes it
/// only if it has changed.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// A VM, together with the incarnation of its agent: a restarted agent is a
/// different incarnation.
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
  /// Increases with each change of this upstream's owner.
  std::uint64_t mEpoch = 0;

  bool operator==(const OwnerAssignment&) const = default;
};

/// The ownership document of one data centre.
struct OwnershipPlan
{
  /// Version of the object on the platform; zero if it was never read.
  std::uint64_t mVersion = 0;
  /// Fencing token of the lease under which the plan was written.
  std::uint64_t mFencingToken = 0;
  std::uint64_t mLastEpoch = 0;
  /// Sorted by upstream.
  std::vector<OwnerAssignment> mOwners;
};

const OwnerAssignment* FindOwner(const OwnershipPlan& aPlan,
                                 std::string_view aUpstream);

/// The VMs that a plan may assign.
struct OwnerCandidates
{
  /// VMs that keep the upstreams they own: VMs that are alive, and VMs without
  /// recent heartbeats that may still act as owner.
  std::vector<VmIncarnation> mKeep;
  /// VMs that may get further upstreams.
  std::vector<VmIncarnation> mAlive;
};

/// Computes the next plan. Every upstream keeps its owner if that VM is in
/// mKeep. Otherwise it gets the VM with the highest rendezvous score among the
/// alive VMs that own less than their share. Upstreams that are no longer
/// configured are removed.
///
/// @param aUpstreams upstreams of the data centre, in any order
OwnershipPlan PlanOwnership(const OwnershipPlan& aCurrent,
                            std::span<const std::string> aUpstreams,
                            const OwnerCandidates& aCandidates);

/// Whether two plans assign the same owners, whatever their versions.
bool SameOwners(const OwnershipPlan& aLeft, const OwnershipPlan& aRight);

} // namespace cactusgw

#endif // CACTUSGW_CORE_OWNERSHIP_HPP
