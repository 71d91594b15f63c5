#include "cactusgw/core/drain_table.hpp"

#include <algorithm>

namespace cactusgw {

DrainTable
DrainTable::Create()
{
  return DrainTable{};
}

bool
DrainTable::Merge(const DrainState& aState)
{
  DrainState& current = FindOrAdd(aState.mDataCentre);
  const bool isNewer = aState.mVersion > current.mVersion;
  const bool isSafer =
    aState.mVersion == current.mVersion && aState.mDrained && !current.mDrained;
  if (isNewer || isSafer) {
    current = aState;
    return true;
  }
  return false;
}

DrainState
DrainTable::SetDrained(std::string_view aDataCentre, bool aDrained)
{
  DrainState& current = FindOrAdd(aDataCentre);
  ++current.mVersion;
  current.mDrained = aDrained;
  return current;
}

bool
DrainTable::IsDrained(std::string_view aDataCentre) const
{
  return std::any_of(
    mStates.begin(), mStates.end(), [&](const DrainState& aState) {
      return aState.mDataCentre == aDataCentre && aState.mDrained;
    });
}

DrainState&
DrainTable::FindOrAdd(std::string_view aDataCentre)
{
  const auto it =
    std::find_if(mStates.begin(), mStates.end(), [&](const DrainState& aState) {
      return aState.mDataCentre == aDataCentre;
    });
  if (it != mStates.end()) {
    return *it;
  }
  mStates.push_back({ std::string{ aDataCentre }, 0, false });
  return mStates.back();
}

} // namespace cactusgw
