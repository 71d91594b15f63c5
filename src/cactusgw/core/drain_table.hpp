#ifndef CACTUSGW_CORE_DRAIN_TABLE_HPP
#define CACTUSGW_CORE_DRAIN_TABLE_HPP

/// Which data centres are drained, that is, taken out of service. Each state
/// carries a version per data centre, so that tables converge whatever the
/// order and the path in which states are merged.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

struct DrainState
{
  std::string mDataCentre;
  /// Incremented by each operator's order for this data centre.
  std::uint64_t mVersion = 0;
  bool mDrained = false;

  bool operator==(const DrainState&) const = default;
};

/// Not thread-safe.
class DrainTable
{
public:
  static DrainTable Create();

  /// Merges a state received from the platform or a peer. The higher version
  /// wins. If the versions are equal, drained wins, because it is the safer
  /// state.
  /// @return whether the table changed
  bool Merge(const DrainState& aState);

  /// Applies an operator's order and increments the version.
  /// @return the state to send to the peers
  DrainState SetDrained(std::string_view aDataCentre, bool aDrained);

  bool IsDrained(std::string_view aDataCentre) const;
  const std::vector<DrainState>& States() const { return mStates; }

private:
  DrainTable() = default;
  DrainState& FindOrAdd(std::string_view aDataCentre);

  std::vector<DrainState> mStates;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_DRAIN_TABLE_HPP
