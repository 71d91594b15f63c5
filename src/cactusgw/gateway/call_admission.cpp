#include "cactusgw/gateway/call_admission.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/gateway/message_headers.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cactusgw {

namespace {

/// Assumed length of an output when the client gives no estimate.
constexpr std::uint64_t kDefaultOutputTokens = 256;
/// Retry-After of a request that may be served in no region: operators have to
/// change the configuration, which then takes effect within seconds.
constexpr Milliseconds kHomesRetryAfter{ 5000 };

/// Keys may have been taken away, and routes been given regions, since the
/// configuration was last confirmed.
Result<void>
CheckFreshness(const StoreFreshness& aFreshness, BootTime aNow)
{
  if (aFreshness.IsFresh(aNow)) {
    return boost::outcome_v2::success();
  }
  return NotRun(FailureCode::StoreUnavailable,
                "the configuration is too old: " +
                  std::to_string(aFreshness.Age(aNow).count()) + " ms");
}

Result<void>
Authenticate(const RoutingTable& aTable, AdmittedRequest& aRequest)
{
  if (aRequest.mRoute->mIsPublic || !aTable.NeedsKeys()) {
    return boost::outcome_v2::success();
  }
  aRequest.mWorkspace = aTable.FindWorkspace(aRequest.mOrigin.mKey);
  if (aRequest.mWorkspace == nullptr) {
    return NotRun(FailureCode::Unauthorized, "the key is unknown");
  }
  aRequest.mRank = aRequest.mWorkspace->mRank.value_or(aRequest.mRank);
  return boost::outcome_v2::success();
}

/// While the gateway is stopping, refuses a request that may take longer than
/// the gateway runs: the client can still go elsewhere, and no length of
/// earlier requests bounds this one.
Result<void>
CheckStop(const GatewayState& aState, Instant aDeadline, Instant aNow)
{
  if (!aState.mStop || aState.mStop->Covers(aDeadline)) {
    return boost::outcome_v2::success();
  }
  return NotRun(
    FailureCode::Stopping,
    "the gateway stops before the request's deadline in " +
      std::to_string(
        std::chrono::duration_cast<Milliseconds>(aDeadline - aNow).count()) +
      " ms");
}

/// Parses the time that the client waits.
std::optional<Milliseconds>
ClientTime(std::string_view aText)
{
  // Longer than any request, and far from the range of the clock.
  constexpr Milliseconds kLongest = std::chrono::hours{ 24 * 365 };
  const std::optional<std::uint64_t> ms = ParseNumber(aText);
  if (!ms) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMax = kLongest.count();
  return Milliseconds{ static_cast<std::int64_t>(std::min(*ms, kMax)) };
}

RequestOrigin
OriginOf(const RoutingTable& aTable,
         const AdmittedRequest& aRequest,
         const HttpExchange& aExchange,
         const HeaderNames& aNames)
{
  RequestOrigin origin;
  origin.mHost = aExchange.Header("Host");
  origin.mPath = aExchange.Path();
  origin.mKey = BearerKey(aExchange.Header("Authorization"));
  origin.mRoutePrefix = aRequest.mRoute->mPathPrefix;
  origin.mRouteRegions = aRequest.mRoute->mRegions;
  if (aRequest.mService != nullptr) {
    origin.mService = aRequest.mService->mName;
  }
  // A key binds its workspace's regions also on routes that need none.
  const Workspace* const workspace = aTable.FindWorkspace(origin.mKey);
  if (workspace != nullptr) {
    origin.mWorkspace = workspace->mName;
    origin.mWorkspaceRegions = workspace->mRegions;
  }
  origin.mSharedParts = ParseSharedParts(aExchange.Header(aNames.mPromptParts));
  const beast::string_view method = aExchange.Request().method_string();
  const beast::string_view target = aExchange.Request().target();
  origin.mFingerprint = FingerprintOf({ { method.data(), method.size() },
                                        origin.mHost,
                                        { target.data(), target.size() },
                                        origin.mWorkspace,
                                        aExchange.Request().body() });
  return origin;
}

TokenNeed
EstimateTokens(const HttpExchange& aExchange, const HeaderNames& aNames)
{
  const std::optional<TokenCounts> counts =
    ParseTokenCounts(aExchange.Header(aNames.mTokenCounts));
  if (!counts) {
    return {};
  }
  const std::optional<std::uint64_t> hint =
    ParseNumber(aExchange.Header(aNames.mLengthHint));
  const std::uint64_t output =
    std::min(counts->mMaxOutput, hint.value_or(kDefaultOutputTokens));
  return { counts->mPrompt, counts->mPrompt + output };
}

/// Selects by a hash of the request id, so that all attempts of a request go to
/// the same service.
const GatewayService*
SelectService(const RoutingTable& aTable,
              const GatewayRoute& aRoute,
              std::string_view aRequestId)
{
  constexpr double kHashes = 18446744073709551616.0; // 2 to the power of 64.
  double total = 0;
  const RouteTarget* last = nullptr;
  for (const RouteTarget& target : aRoute.mTargets) {
    total += target.mWeight;
    last = target.mWeight > 0 ? &target : last;
  }
  double offset = static_cast<double>(StableHash(aRequestId)) / kHashes * total;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (offset < target.mWeight) {
      return aTable.FindService(target.mService);
    }
    offset -= target.mWeight;
  }
  // Rounding may leave an offset of the whole sum.
  return last == nullptr ? nullptr : aTable.FindService(last->mService);
}

} // namespace

Result<void>
CheckHomes(const GatewayState& aState, const RequestOrigin& aOrigin)
{
  const SendGate gate = aState.Gate(BootNow());
  const Result<AllowedRegions> regions = gate.TrustedRegionsFor(aOrigin);
  if (!regions) {
    return regions.error();
  }
  if (gate.HasDataCentre(regions.value())) {
    return boost::outcome_v2::success();
  }
  return NotRun(FailureCode::OutsideHomeRegions,
                "no data centre is in the allowed regions: " +
                  regions.value().Text(),
                kHomesRetryAfter);
}

Result<AdmittedRequest>
AdmitRequest(const GatewayState& aState,
             const RoutingTable* aTable,
             const HttpExchange& aExchange,
             Instant aStart)
{
  if (aTable == nullptr) {
    return NotRun(FailureCode::StoreUnavailable, "no configuration yet");
  }
  // Before anything is denied: what this configuration lacks may be in force.
  const Result<void> fresh = CheckFreshness(aState.mFreshness, BootNow());
  if (!fresh) {
    return fresh.error();
  }
  AdmittedRequest request;
  request.mRoute =
    aTable->FindRoute(aExchange.Header("Host"), aExchange.Path());
  if (request.mRoute == nullptr) {
    return NotRun(FailureCode::NotFound, "no route for this host and path");
  }
  const HeaderNames& names = aState.mNames;
  const std::string id = aExchange.Header(names.mRequestId);
  if (id.empty()) {
    return NotRun(FailureCode::InvalidInput, "the request's id is missing");
  }
  request.mRank = request.mRoute->mRank;
  request.mService = SelectService(*aTable, *request.mRoute, id);
  request.mOrigin = OriginOf(*aTable, request, aExchange, names);
  const Result<void> key = Authenticate(*aTable, request);
  if (!key) {
    return key.error();
  }
  const Result<void> homes = CheckHomes(aState, request.mOrigin);
  if (!homes) {
    return homes.error();
  }
  request.mTokenNeed = EstimateTokens(aExchange, names);
  if (request.mService != nullptr && request.mService->mEngine) {
    request.mPromptPrefixes =
      PromptPrefixes(request.mService->mName,
                     ParsePromptParts(aExchange.Header(names.mPromptParts)));
  }
  const Milliseconds clientTime =
    ClientTime(aExchange.Header(names.mRemainingTime))
      .value_or(request.mRoute->mTimeout);
  request.mClientDeadline = aStart + clientTime;
  request.mDeadline = aStart + std::min(clientTime, request.mRoute->mTimeout);
  const Result<void> stop = CheckStop(aState, request.mDeadline, aStart);
  if (!stop) {
    return stop.error();
  }
  return request;
}

} // namespace cactusgw
