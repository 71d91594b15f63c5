#ifndef CACTUSGW_GATEWAY_LOAD_AGGREGATOR_HPP
#define CACTUSGW_GATEWAY_LOAD_AGGREGATOR_HPP

/// Aggregates load along the relay tree. RelaySelector gives each gateway of a
/// data centre a parent: a gateway sends its parent the sum of its own load and
/// that of its children, and receives the load of all other gateways in return.
/// Children may have children themselves. The root gateways of the data centres
/// exchange their sums.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/upstream_load.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class LoadAggregator
{
public:
  /// Received figures are discarded after this time: twice the interval at
  /// which unchanged figures are repeated (LoadExchange::kRepeatInterval).
  static constexpr Milliseconds kValidity{ 2000 };

  /// @param aSelf this gateway's name
  static LoadAggregator Create(std::string aSelf, std::string aDataCentre);

  void SetOwn(AggregatedLoads aOwn);
  /// Replaces the load that a child reported for its subtree.
  void SetChild(std::string_view aName, AggregatedLoads aLoads, Instant aNow);
  /// Replaces the load that the root of another data centre reported.
  void SetRemoteRoot(std::string_view aName,
                     std::string_view aDataCentre,
                     AggregatedLoads aLoads,
                     Instant aNow);
  /// Replaces the load that the parent reported: that of all gateways outside
  /// this subtree, and the migrations that come before those of this gateway.
  void SetFromParent(AggregatedLoads aRest, Instant aNow);

  /// Discards figures older than kValidity.
  void Expire(Instant aNow);

  /// Names of the children.
  std::vector<std::string> Children() const;
  bool HasChild(std::string_view aName) const
  {
    return mChildren.count(aName) != 0;
  }
  /// Load of this gateway and the subtrees of its children.
  AggregatedLoads Subtree() const;
  /// Load of all gateways except the subtree of the named one. Includes the
  /// pending migrations of gateways with smaller names and of data centres with
  /// smaller names, which come before those of the named gateway.
  AggregatedLoads LoadExcluding(std::string_view aName) const;
  /// Load of all gateways except this one.
  AggregatedLoads LoadExcludingSelf() const { return LoadExcluding(mSelf); }

private:
  struct Report
  {
    AggregatedLoads mLoads;
    Instant mReceivedAt;
    std::string mDataCentre;
  };

  LoadAggregator(std::string aSelf, std::string aDataCentre);

  std::string mSelf;
  std::string mDataCentre;
  /// Adds the pending migrations that come before those of the named gateway.
  void AddMigrationsBefore(std::string_view aName,
                           AggregatedLoads& aLoads) const;
  const AggregatedLoads& Total() const;

  AggregatedLoads mOwn;
  std::map<std::string, Report, std::less<>> mChildren;
  std::map<std::string, Report, std::less<>> mRemoteRoots;
  Report mFromParent;
  /// Load of all gateways, without migrations. Computed when it is needed.
  mutable AggregatedLoads mTotal;
  mutable bool mIsTotalValid = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LOAD_AGGREGATOR_HPP
