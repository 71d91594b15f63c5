#include "cactusgw/core/suspect_index.hpp"

#include <algorithm>
#include <unordered_map>

namespace cactusgw {

SuspectIndex
SuspectIndex::Create(std::span<const std::vector<PartSet>* const> aCrashes)
{
  std::unordered_map<std::string_view, Part> numbers;
  for (const std::vector<PartSet>* const suspects : aCrashes) {
    for (const PartSet& suspect : *suspects) {
      for (const std::string& name : suspect) {
        numbers.emplace(name, 0);
      }
    }
  }
  SuspectIndex index;
  index.mNames.reserve(numbers.size());
  for (const auto& [name, part] : numbers) {
    index.mNames.emplace_back(name);
  }
  std::sort(index.mNames.begin(), index.mNames.end());
  for (Part part = 0; part < index.mNames.size(); ++part) {
    numbers.find(index.mNames[part])->second = part;
  }
  index.mCounts.resize(index.mNames.size());
  index.mCrashesOfParts.resize(index.mNames.size());
  for (Crash crash = 0; crash < aCrashes.size(); ++crash) {
    std::vector<Suspect>& suspects = index.mSuspectsOfCrashes.emplace_back();
    for (const PartSet& names : *aCrashes[crash]) {
      Suspect& suspect = suspects.emplace_back();
      suspect.reserve(names.size());
      for (const std::string& name : names) {
        const Part part = numbers.find(name)->second;
        suspect.push_back(part);
        std::vector<Crash>& crashes = index.mCrashesOfParts[part];
        if (crashes.empty() || crashes.back() != crash) {
          crashes.push_back(crash);
        }
      }
    }
  }
  return index;
}

std::span<const SuspectIndex::Crash>
SuspectIndex::CrashesOf(const std::string& aId) const
{
  const auto it = std::lower_bound(mNames.begin(), mNames.end(), aId);
  if (it == mNames.end() || *it != aId) {
    return {};
  }
  return CrashesOf(static_cast<Part>(it - mNames.begin()));
}

bool
SuspectIndex::IsExplainedBy(Crash aCrash, std::span<const Part> aParts) const
{
  const std::vector<Suspect>& suspects = mSuspectsOfCrashes[aCrash];
  return std::any_of(
    suspects.begin(), suspects.end(), [&](const Suspect& aSuspect) {
      return std::includes(
        aSuspect.begin(), aSuspect.end(), aParts.begin(), aParts.end());
    });
}

SuspectIndex::Suspect
SuspectIndex::PartsAlwaysWith(Part aPart, std::span<const Crash> aCrashes)
{
  Suspect carried;
  std::uint32_t seen = 0;
  for (const Crash crash : aCrashes) {
    for (const Suspect& suspect : mSuspectsOfCrashes[crash]) {
      if (!std::binary_search(suspect.begin(), suspect.end(), aPart)) {
        continue;
      }
      for (const Part part : suspect) {
        if (seen == 0 && mCounts[part] == 0) {
          carried.push_back(part);
        }
        mCounts[part] = mCounts[part] == seen ? seen + 1 : mCounts[part];
      }
    }
    ++seen;
  }
  Suspect common;
  for (const Part part : carried) {
    if (mCounts[part] == seen) {
      common.push_back(part);
    }
    mCounts[part] = 0;
  }
  std::sort(common.begin(), common.end());
  const bool holdsEverywhere =
    std::all_of(aCrashes.begin(), aCrashes.end(), [&](Crash aCrash) {
      return IsExplainedBy(aCrash, common);
    });
  return holdsEverywhere && !common.empty() ? common : Suspect{ aPart };
}

} // namespace cactusgw
