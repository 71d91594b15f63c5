#ifndef CACTUSGW_GATEWAY_GATEWAY_CONFIG_HPP
#define CACTUSGW_GATEWAY_GATEWAY_CONFIG_HPP

/// The declared routes, services and workspaces that a gateway works by.

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
  /// An event stream that another upstream may continue.
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

/// One service that a route leads to, and its part of the requests.
struct RouteTarget
{
  std::string mService;
  std::uint32_t mWeight = 1;
};

struct GatewayRoute
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<RouteTarget> mTargets;
  /// Longest time until the final answer.
  Milliseconds mTimeout{ 0 };
  /// Time within which an answer, or a stream's first event, is on time.
  Milliseconds mLatencyObjective{ 0 };
  /// Zero is the most urgent.
  std::uint32_t mRank = 0;
  /// Upstreams that one request may be sent to.
  std::uint32_t mMaxAttempts = 1;
  /// Needs no key.
  bool mIsPublic = false;
  /// Regions whose upstreams may serve it; empty means all.
  std::vector<std::string> mRegions;
};

/// What a model engine's upstreams can hold and do.
struct EngineProfile
{
  std::uint32_t mSlots = 0;
  /// Memory for running requests and cached prompts, in tokens.
  std::uint64_t mMemoryTokens = 0;
  /// Memory of one token, and the rate at which upstreams exchange it.
  std::uint64_t mBytesPerToken = 0;
  double mLinkMbps = 0;
  /// Whether a running generation can be moved to another upstream.
  bool mCanMigrate = false;
};

struct GatewayService
{
  std::string mName;
  /// Connections that one upstream accepts from all callers together.
  std::uint32_t mMaxConnections = 0;
  /// Requests a second that a cold upstream bears.
  double mColdPerSecond = 0;
  std::optional<EngineProfile> mEngine;
};

/// Bounds on what callers may send.
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
  /// Goes before the route's rank.
  std::optional<std::uint32_t> mRank;
  std::vector<std::string> mRegions;
};

/// One version, whole.
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
