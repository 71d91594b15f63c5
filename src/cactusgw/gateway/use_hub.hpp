#ifndef CACTUSGW_GATEWAY_USE_HUB_HPP
#define CACTUSGW_GATEWAY_USE_HUB_HPP

/// Aggregates load along the relay tree. RelayChoice gives each gateway of a
/// data centre a parent: a gateway sends its parent the sum of its own load and
/// that of its children, and receives the load of all other gateways in return.
/// The root gateways of the data centres exchange their sums.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/upstream_use.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class UseHub
{
public:
  /// Received figures are discarded after this time.
  static constexpr Milliseconds kValidity{ 2000 };

  /// @param aSelf this gateway's name
  static UseHub Create(std::string aSelf, std::string aDataCentre);

  void SetOwn(UseSums aOwn) { mOwn = std::move(aOwn); }
  /// Replaces the load that a child reported for its subtree.
  void SetBelow(std::string_view aName, UseSums aUse, Instant aNow);
  /// Replaces the load that the root of another data centre reported.
  void SetBeside(std::string_view aName,
                 std::string_view aDataCentre,
                 UseSums aUse,
                 Instant aNow);
  /// Replaces the load that the parent reported: that of all gateways outside
  /// this subtree, and the migrations that come before those of this gateway.
  void SetAbove(UseSums aRest, Instant aNow);

  /// Discards figures older than kValidity.
  void Expire(Instant aNow);

  /// Names of the children.
  std::vector<std::string> Followers() const;
  bool IsFollowedBy(std::string_view aName) const
  {
    return mBelow.count(aName) != 0;
  }
  /// Load of this gateway and the subtrees of its children.
  UseSums Subtree() const;
  /// Load of all gateways except the subtree of the named one. Includes the
  /// pending migrations of gateways with smaller names and of data centres with
  /// smaller names, which come before those of the named gateway.
  UseSums RestFor(std::string_view aName) const;
  /// Load of all gateways except this one.
  UseSums RestForSelf() const { return RestFor(mSelf); }

private:
  struct Heard
  {
    UseSums mUse;
    Instant mAt;
    std::string mDataCentre;
  };

  UseHub(std::string aSelf, std::string aDataCentre);

  std::string mSelf;
  std::string mDataCentre;
  UseSums mOwn;
  std::map<std::string, Heard, std::less<>> mBelow;
  std::map<std::string, Heard, std::less<>> mBeside;
  Heard mAbove;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_USE_HUB_HPP
