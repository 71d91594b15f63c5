#include "cactusgw/config/upstream_subset.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/core/static_share.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace cactusgw {

namespace {

/// An upstream with its score for the VM in question.
struct ScoredUpstream
{
  const UpstreamConfig* mUpstream = nullptr;
  std::uint64_t mScore = 0;
};

/// Keeps the upstreams of highest score.
void
KeepBest(std::vector<ScoredUpstream>& aUpstreams)
{
  std::sort(aUpstreams.begin(),
            aUpstreams.end(),
            [](const ScoredUpstream& aLeft, const ScoredUpstream& aRight) {
              return aLeft.mScore > aRight.mScore;
            });
  if (aUpstreams.size() > kUpstreamsPerVm) {
    aUpstreams.resize(kUpstreamsPerVm);
  }
}

} // namespace

bool
IsWithinScope(const Deployment& aDeployment,
              const DataCentreConfig& aFrom,
              const UpstreamConfig& aUpstream)
{
  const DataCentreConfig* home =
    aDeployment.FindDataCentre(aUpstream.mDataCentre);
  const ServiceConfig* service = aDeployment.FindService(aUpstream.mService);
  if (home == nullptr || service == nullptr) {
    return false;
  }
  switch (service->mOverflow) {
    case OverflowScope::None:
      return aFrom.mName == home->mName;
    case OverflowScope::Region:
      return aFrom.mRegion == home->mRegion;
    case OverflowScope::Any:
      return true;
  }
  return false;
}

std::uint32_t
DistanceTo(const Deployment& aDeployment,
           std::string_view aDataCentre,
           const UpstreamConfig& aUpstream)
{
  constexpr std::uint32_t kSameRegion = 1;
  constexpr std::uint32_t kOtherRegion = 2;
  if (aUpstream.mDataCentre == aDataCentre) {
    return 0;
  }
  const DataCentreConfig* own = aDeployment.FindDataCentre(aDataCentre);
  const DataCentreConfig* theirs =
    aDeployment.FindDataCentre(aUpstream.mDataCentre);
  const bool isSame =
    own != nullptr && theirs != nullptr && own->mRegion == theirs->mRegion;
  return isSame ? kSameRegion : kOtherRegion;
}

std::vector<std::string>
VmNames(const DataCentreConfig& aDataCentre)
{
  std::vector<std::string> names;
  for (const VmConfig& vm : aDataCentre.mVms) {
    names.push_back(vm.mName);
  }
  return names;
}

std::uint32_t
StaticShareOf(const Deployment& aDeployment,
              const UpstreamConfig& aUpstream,
              std::string_view aVm)
{
  const DataCentreConfig* home =
    aDeployment.FindDataCentre(aUpstream.mDataCentre);
  return home == nullptr
           ? 0
           : StaticShare(
               aUpstream.mName, aVm, VmNames(*home), aUpstream.mLimits.mCold);
}

std::vector<std::string_view>
UpstreamsOfVm(const Deployment& aDeployment,
              const DataCentreConfig& aFrom,
              std::string_view aVm)
{
  using Group = std::pair<std::string_view, std::string_view>;
  std::map<Group, std::vector<ScoredUpstream>> groups;
  for (const UpstreamConfig& upstream : aDeployment.mUpstreams) {
    if (IsWithinScope(aDeployment, aFrom, upstream)) {
      // The same score orders the static shares, so that VMs have shares
      // mostly of upstreams that they use.
      groups[{ upstream.mService, upstream.mDataCentre }].push_back(
        { &upstream, RendezvousScore(upstream.mName, aVm) });
    }
  }
  std::vector<std::string_view> names;
  for (auto& [group, upstreams] : groups) {
    KeepBest(upstreams);
    for (const ScoredUpstream& it : upstreams) {
      names.push_back(it.mUpstream->mName);
    }
  }
  return names;
}

} // namespace cactusgw
