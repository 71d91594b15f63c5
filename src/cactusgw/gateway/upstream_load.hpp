#ifndef CACTUSGW_GATEWAY_UPSTREAM_LOAD_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_LOAD_HPP

/// Load figures: the work in progress at each upstream.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cactusgw {

/// Work in progress at one upstream.
struct UpstreamLoad
{
  std::uint32_t mRequests = 0;
  /// Memory, in tokens, that the requests occupy or will occupy.
  std::uint64_t mTokens = 0;
  /// Prompt tokens of requests that have not produced any output yet.
  std::uint64_t mPromptTokens = 0;
  /// Generations that could be migrated to another upstream.
  std::uint32_t mMigratable = 0;
  /// Requests sent within LimitPacer::kWindow; only counted for upstreams that
  /// state a limit.
  std::uint32_t mRecent = 0;
  /// Responses within ResponseWindow::kWindow, and those that are failures of
  /// the upstream; only counted where gateways share them.
  std::uint32_t mRecentAnswers = 0;
  std::uint32_t mRecentFailures = 0;

  UpstreamLoad& operator+=(const UpstreamLoad& aOther);
  /// Subtracts each figure, saturating at zero.
  UpstreamLoad& operator-=(const UpstreamLoad& aOther);
  bool operator==(const UpstreamLoad&) const = default;
};

using LoadByUpstream = std::map<std::string, UpstreamLoad, std::less<>>;

/// Load at one upstream of the gateways that have at least one generation to
/// migrate from it.
struct PendingMigrations
{
  /// All tokens of these gateways at the upstream, also those of generations
  /// that can't be migrated.
  std::uint64_t mTokens = 0;
  std::uint32_t mMigratable = 0;

  PendingMigrations& operator+=(const PendingMigrations& aOther);
  bool operator==(const PendingMigrations&) const = default;
};

/// Load of several gateways at one upstream.
struct AggregatedLoad
{
  UpstreamLoad mLoad;
  PendingMigrations mMigrations;

  bool operator==(const AggregatedLoad&) const = default;
};

using AggregatedLoads = std::map<std::string, AggregatedLoad, std::less<>>;

/// Converts the load of one gateway to aggregated loads.
AggregatedLoads Aggregate(const LoadByUpstream& aLoads);
/// Adds the second argument to the first, upstream by upstream.
void AddTo(AggregatedLoads& aSums, const AggregatedLoads& aMore);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_LOAD_HPP
