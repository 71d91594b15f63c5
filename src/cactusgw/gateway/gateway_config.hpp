#ifndef CACTUSGW_GATEWAY_GATEWAY_CONFIG_HPP
#define CACTUSGW_GATEWAY_GATEWAY_CONFIG_HPP

/// The configuration of a gateway: its routes, services and workspaces.

#include "cactusgw/core/allowed_regions.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw {

enum class RouteKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// An event stream, which runs at most once.
  Stream,
  /// An event stream that can be resumed on another upstream.
  ResumableStream,
};

inline bool
IsRetryable(RouteKind aKind)
{
  return aKind == RouteKind::Idempotent || aKind == RouteKind::ResumableStream;
}

inline bool
IsStream(RouteKind aKind)
{
  return aKind == RouteKind::Stream || aKind == RouteKind::ResumableStream;
}

/// A service that receives requests of a route, and its weight among the
/// targets of that route.
struct RouteTarget
{
  std::string mService;
  double mWeight = 1;
};

struct GatewayRoute
{
  std::string mName;
  std::string mHost;
  /// Starts and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<RouteTarget> mTargets;
  /// Time limit for the complete response.
  Milliseconds mTimeout{ 0 };
  /// Latency objective for the response or, for a stream, its first event.
  Milliseconds mLatencyObjective{ 0 };
  /// Priority; zero is the most urgent.
  std::uint32_t mRank = 0;
  /// Maximum number of attempts that may have run a retryable request; refused
  /// attempts and failed connections don't count.
  std::uint32_t mMaxAttempts = 1;
  /// Whether requests need no API key.
  bool mIsPublic = false;
  /// Regions whose upstreams may serve the route.
  AllowedRegions mRegions = AllowedRegions::Everywhere();
};

/// Capacity and features of the upstreams that run a model engine.
struct EngineProfile
{
  std::uint32_t mSlots = 0;
  /// Memory for running requests and cached prompts, in tokens.
  std::uint64_t mMemoryTokens = 0;
  /// Memory of one token, and the bandwidth at which upstreams transfer it to
  /// each other.
  std::uint64_t mBytesPerToken = 0;
  double mLinkMbps = 0;
  /// Whether a running generation can be migrated to another upstream.
  bool mCanMigrate = false;
  /// Whether a running generation's memory can be replicated as it grows.
  bool mCanBackUp = false;
};

struct GatewayService
{
  std::string mName;
  /// Connections that one upstream accepts from all of its clients together.
  std::uint32_t mMaxConnections = 0;
  /// Requests per second that a cold upstream can handle.
  double mColdPerSecond = 0;
  /// Absent for a plain service, which runs no model engine.
  std::optional<EngineProfile> mEngine;
};

/// Limits on what clients may send.
struct ClientLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint32_t mMaxBodyBytes = 1024 * 1024;
  Milliseconds mHeaderTimeout{ 3000 };
  Milliseconds mIdleTime{ 15'000 };
};

struct Workspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  /// Overrides the priority of the route.
  std::optional<std::uint32_t> mRank;
  /// Regions whose upstreams may serve the workspace's requests.
  AllowedRegions mRegions = AllowedRegions::Everywhere();
};

/// One complete version of the configuration.
struct GatewayConfig
{
  std::uint64_t mVersion = 0;
  std::vector<GatewayRoute> mRoutes;
  std::vector<GatewayService> mServices;
  std::vector<Workspace> mWorkspaces;
  ClientLimits mLimits;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_CONFIG_HPP
