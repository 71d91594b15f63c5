#ifndef CACTUSGW_GATEWAY_USE_HUB_HPP
#define CACTUSGW_GATEWAY_USE_HUB_HPP

/// Adds up what gateways have in progress. The gateways of a data centre form
/// a tree along whom they follow (see RelayChoice): each tells the one above
/// it the sum of its own use and of those below it, and is told the rest. The
/// ones at the top of the data centres tell each other their sums.

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
  /// Figures count for this long after they were heard.
  static constexpr Milliseconds kValidity{ 2000 };

  /// @param aSelf this gateway's name
  static UseHub Create(std::string aSelf, std::string aDataCentre);

  void SetOwn(UseSums aOwn) { mOwn = std::move(aOwn); }
  /// A gateway that follows this one.
  void SetBelow(std::string_view aName, UseSums aUse, Instant aNow);
  /// The top of another data centre.
  void SetBeside(std::string_view aName,
                 std::string_view aDataCentre,
                 UseSums aUse,
                 Instant aNow);
  /// What the gateway that this one follows said: the rest, and what goes
  /// before this gateway.
  void SetAbove(UseSums aRest, Instant aNow);

  /// Drops what is too old.
  void Expire(Instant aNow);

  /// Who follows this gateway.
  std::vector<std::string> Followers() const;
  bool IsFollowedBy(std::string_view aName) const
  {
    return mBelow.count(aName) != 0;
  }
  /// This gateway and those below it.
  UseSums Subtree() const;
  /// All but one gateway below; its turns are those of the gateways with
  /// smaller names and of the data centres with smaller names.
  UseSums RestFor(std::string_view aName) const;
  /// All but this gateway.
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
