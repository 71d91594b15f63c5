#ifndef CACTUSGW_CORE_SUSPECT_INDEX_HPP
#define CACTUSGW_CORE_SUSPECT_INDEX_HPP

/// The prompt parts of the suspects of crashes, numbered, so that an evaluation
/// of many crashes compares numbers instead of strings.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cactusgw {

/// IDs of prompt parts, sorted and without duplicates.
using PartSet = std::vector<std::string>;

/// Not thread-safe. Parts are numbered in the order of their IDs, crashes in
/// the order in which they were given.
class SuspectIndex
{
public:
  using Part = std::uint32_t;
  using Crash = std::uint32_t;
  /// Sorted numbers of the parts of one suspect.
  using Suspect = std::vector<Part>;

  /// @param aCrashes for each crash, the parts of each suspect
  static SuspectIndex Create(
    std::span<const std::vector<PartSet>* const> aCrashes);

  std::size_t PartCount() const { return mNames.size(); }
  const std::string& NameOf(Part aPart) const { return mNames[aPart]; }
  /// Crashes with a suspect that carries the part, in ascending order.
  std::span<const Crash> CrashesOf(Part aPart) const
  {
    return mCrashesOfParts[aPart];
  }
  /// The same by the part's ID; empty if no suspect carries it.
  std::span<const Crash> CrashesOf(const std::string& aId) const;
  /// Whether a suspect of the crash carries all of the parts.
  /// @param aParts in ascending order
  bool IsExplainedBy(Crash aCrash, std::span<const Part> aParts) const;
  /// Parts, in ascending order, that in each crash one suspect carries together
  /// with the given one, which is among them.
  Suspect PartsAlwaysWith(Part aPart, std::span<const Crash> aCrashes);

private:
  SuspectIndex() = default;

  std::vector<std::string> mNames;
  std::vector<std::vector<Crash>> mCrashesOfParts;
  std::vector<std::vector<Suspect>> mSuspectsOfCrashes;
  /// Zero between calls. Number of crashes, from the first on, in which a
  /// suspect carries the part.
  std::vector<std::uint32_t> mCounts;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_SUSPECT_INDEX_HPP
