#ifndef CACTUSGW_GATEWAY_UPSTREAM_USE_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_USE_HPP

/// Figures of the work that upstreams have in progress.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cactusgw {

/// Work in progress at one upstream.
struct UpstreamUse
{
  std::uint32_t mRequests = 0;
  /// Memory that the requests hold or will hold.
  std::uint64_t mTokens = 0;
  /// Prompt tokens of requests that have not produced anything yet.
  std::uint64_t mPromptTokens = 0;
  /// Generations that could be moved to another upstream.
  std::uint32_t mMovable = 0;

  UpstreamUse& operator+=(const UpstreamUse& aOther);
  /// Stops at zero.
  UpstreamUse& operator-=(const UpstreamUse& aOther);
  bool operator==(const UpstreamUse&) const = default;
};

using UseByUpstream = std::map<std::string, UpstreamUse, std::less<>>;

/// What gateways with something to move have at one upstream.
struct MoveTurn
{
  std::uint64_t mTokens = 0;
  std::uint32_t mMovable = 0;

  MoveTurn& operator+=(const MoveTurn& aOther);
  bool operator==(const MoveTurn&) const = default;
};

/// The work of several gateways at one upstream.
struct UseSum
{
  UpstreamUse mUse;
  MoveTurn mTurn;

  bool operator==(const UseSum&) const = default;
};

using UseSums = std::map<std::string, UseSum, std::less<>>;

/// The use of one gateway as a sum.
UseSums SumOf(const UseByUpstream& aUse);
void AddTo(UseSums& aSums, const UseSums& aMore);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_USE_HPP
