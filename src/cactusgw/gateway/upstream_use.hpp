#ifndef CACTUSGW_GATEWAY_UPSTREAM_USE_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_USE_HPP

/// Load figures: the work in progress at each upstream.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cactusgw {

/// Work in progress at one upstream.
struct UpstreamUse
{
  std::uint32_t mRequests = 0;
  /// Memory, in tokens, that the requests occupy or will occupy.
  std::uint64_t mTokens = 0;
  /// Prompt tokens of requests that have not produced any output yet.
  std::uint64_t mPromptTokens = 0;
  /// Generations that could be migrated to another upstream.
  std::uint32_t mMovable = 0;

  UpstreamUse& operator+=(const UpstreamUse& aOther);
  /// Subtracts each figure, saturating at zero.
  UpstreamUse& operator-=(const UpstreamUse& aOther);
  bool operator==(const UpstreamUse&) const = default;
};

using UseByUpstream = std::map<std::string, UpstreamUse, std::less<>>;

/// Tokens and migratable generations at one upstream, summed over the gateways
/// that have at least one generation to migrate from it.
struct MoveTurn
{
  std::uint64_t mTokens = 0;
  std::uint32_t mMovable = 0;

  MoveTurn& operator+=(const MoveTurn& aOther);
  bool operator==(const MoveTurn&) const = default;
};

/// Load of several gateways at one upstream.
struct UseSum
{
  UpstreamUse mUse;
  MoveTurn mTurn;

  bool operator==(const UseSum&) const = default;
};

using UseSums = std::map<std::string, UseSum, std::less<>>;

/// Converts the load of one gateway to aggregated loads.
UseSums SumOf(const UseByUpstream& aUse);
/// Adds the second argument to the first, upstream by upstream.
void AddTo(UseSums& aSums, const UseSums& aMore);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_USE_HPP
