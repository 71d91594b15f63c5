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

/// Limits the upstreams of one VM, so that no VM owns far more than an equal
/// share.
std::size_t
MaxUpstreamsPerVm(std::size_t aUpstreams, std::size_t aVms)
{
  return aUpstreams / aVms + 1;
}

std::size_t
CountOwned(const OwnershipPlan& aPlan, const VmIncarnation& aVm)
{
  return static_cast<std::size_t>(std::count_if(
    aPlan.mOwners.begin(),
    aPlan.mOwners.end(),
    [&](const OwnerAssignment& aOwner) { return aOwner.mOwner == aVm; }));
}

/// Returns the VM with the highest score that owns fewer than aMaxPerVm
/// upstreams; if there is none, the VM that owns the fewest.
const VmIncarnation&
SelectOwner(std::string_view aUpstream,
            std::span<const VmIncarnation> aAlive,
            const OwnershipPlan& aPlan,
            std::size_t aMaxPerVm)
{
  const VmIncarnation* best = nullptr;
  const VmIncarnation* least = &aAlive.front();
  std::uint64_t bestScore = 0;
  for (const VmIncarnation& vm : aAlive) {
    const std::size_t owned = CountOwned(aPlan, vm);
    const std::uint64_t score = RendezvousScore(aUpstream, vm.mVm);
    least = owned < CountOwned(aPlan, *least) ? &vm : least;
    const bool isBetter = best == nullptr || score > bestScore ||
                          (score == bestScore && vm.mVm < best->mVm);
    if (owned < aMaxPerVm && isBetter) {
      best = &vm;
      bestScore = score;
    }
  }
  return best != nullptr ? *best : *least;
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
  plan.mFencingToken = aCurrent.mFencingToken;
  plan.mLastEpoch = aCurrent.mLastEpoch;
  std::vector<std::string_view> open;
  for (const std::string& upstream : aUpstreams) {
    const OwnerAssignment* current = FindOwner(aCurrent, upstream);
    if (current != nullptr && Contains(aCandidates.mKeep, current->mOwner)) {
      plan.mOwners.push_back(*current);
    } else {
      open.push_back(upstream);
    }
  }
  const std::vector<VmIncarnation>& alive = aCandidates.mAlive;
  const std::size_t most =
    alive.empty() ? 0 : MaxUpstreamsPerVm(aUpstreams.size(), alive.size());
  for (const std::string_view upstream : open) {
    if (alive.empty()) {
      break;
    }
    const VmIncarnation owner = SelectOwner(upstream, alive, plan, most);
    ++plan.mLastEpoch;
    plan.mOwners.push_back({ std::string{ upstream }, owner, plan.mLastEpoch });
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
