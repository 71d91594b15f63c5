#ifndef CACTUSGW_CORE_DRAIN_TABLE_HPP
#define CACTUSGW_CORE_DRAIN_TABLE_HPP

/// Which data centres are taken out of service. Orders carry a version per
/// data centre, so that tables merge in any order and on any path.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

struct DrainState
{
  std::string mDataCentre;
  /// Rises with each order for this data centre.
  std::uint64_t mVersion = 0;
  bool mDrained = false;

  bool operator==(const DrainState&) const = default;
};

/// Not thread-safe.
class DrainTable
{
public:
  static DrainTable Create();

  /// Takes a state heard from the platform or a peer. The higher version wins;
  /// of two orders with one version, taking out wins, as the safer one.
  /// @return whether the table changed
  bool Merge(const DrainState& aState);

  /// An operator's order here: the state to spread.
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
