#include "cactusgw/core/ownership.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

bool
Contains(std::span<const VmIncarnation> aVms, const VmIncarnation& aVm)
{
  return std::find(aVms.begin(), aVms.end(), aVm) != aVms.end();
}

const VmIncarnation&
BestOwner(std::string_view aUpstream, std::span<const VmIncarnation> aAlive)
{
  return *std::max_element(
    aAlive.begin(),
    aAlive.end(),
    [&](const VmIncarnation& aLeft, const VmIncarnation& aRight) {
      const std::uint64_t left = RendezvousScore(aUpstream, aLeft.mVm);
      const std::uint64_t right = RendezvousScore(aUpstream, aRight.mVm);
      return left != right ? left < right : aLeft.mVm > aRight.mVm;
    });
}

} // namespace

const OwnerAssignment*
FindOwner(const OwnershipPlan& aPlan, std::string_view aUpstream)
{
  const auto it =
    std::lower_bound(aPlan.mOwners.begin(),
                     aPlan.mOwners.end(),
                     aUpstream,
                     [](const OwnerAssignment& aOwner, std::string_view aName) {
                       return aOwner.mUpstream < aName;
                     });
  const bool found = it != aPlan.mOwners.end() && it->mUpstream == aUpstream;
  return found ? &*it : nullptr;
}

OwnershipPlan
PlanOwnership(const OwnershipPlan& aCurrent,
              std::span<const std::string> aUpstreams,
              const OwnerCandidates& aCandidates)
{
  OwnershipPlan plan;
  plan.mVersion = aCurrent.mVersion;
  plan.mFence = aCurrent.mFence;
  plan.mLastEpoch = aCurrent.mLastEpoch;
  for (const std::string& upstream : aUpstreams) {
    const OwnerAssignment* current = FindOwner(aCurrent, upstream);
    if (current != nullptr && Contains(aCandidates.mKeep, current->mOwner)) {
      plan.mOwners.push_back(*current);
      continue;
    }
    if (aCandidates.mAlive.empty()) {
      continue;
    }
    ++plan.mLastEpoch;
    plan.mOwners.push_back(
      { upstream, BestOwner(upstream, aCandidates.mAlive), plan.mLastEpoch });
  }
  std::sort(plan.mOwners.begin(),
            plan.mOwners.end(),
            [](const OwnerAssignment& aLeft, const OwnerAssignment& aRight) {
              return aLeft.mUpstream < aRight.mUpstream;
            });
  return plan;
}

bool
SameOwners(const OwnershipPlan& aLeft, const OwnershipPlan& aRight)
{
  return aLeft.mOwners == aRight.mOwners;
}

} // namespace cactusgw
