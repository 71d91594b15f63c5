#include "cactusgw/gateway/call_admission.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/gateway/message_headers.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cactusgw {

namespace {

/// Assumed of an output whose length nobody estimated.
constexpr std::uint64_t kUnknownOutputTokens = 256;

/// Regions open to both; two empty lists mean all. Errors: UpstreamUnreachable
/// when there is none.
Result<std::vector<std::string>>
CommonRegions(std::vector<std::string> aRegions,
              const std::vector<std::string>& aOthers)
{
  if (aRegions.empty() || aOthers.empty()) {
    return aRegions.empty() ? aOthers : aRegions;
  }
  std::erase_if(aRegions, [&](const std::string& aRegion) {
    return std::find(aOthers.begin(), aOthers.end(), aRegion) == aOthers.end();
  });
  if (aRegions.empty()) {
    return NotRun(FailureCode::UpstreamUnreachable,
                  "no region is open to both route and workspace");
  }
  return aRegions;
}

Result<void>
AdmitKey(const GatewayState& aState,
         const RoutingTable& aTable,
         const HttpExchange& aExchange,
         AdmittedRequest& aRequest)
{
  if (aRequest.mRoute->mIsPublic || !aTable.NeedsKeys()) {
    return boost::outcome_v2::success();
  }
  const BootTime now = BootNow();
  if (!aState.mFreshness.IsFresh(now)) {
    return NotRun(FailureCode::StoreUnavailable,
                  "the keys are too old: " +
                    std::to_string(aState.mFreshness.Age(now).count()) + " ms");
  }
  const std::string authorization = aExchange.Header("Authorization");
  aRequest.mWorkspace = aTable.FindWorkspace(BearerKey(authorization));
  if (aRequest.mWorkspace == nullptr) {
    return NotRun(FailureCode::Unauthorized, "the key is unknown");
  }
  aRequest.mRank = aRequest.mWorkspace->mRank.value_or(aRequest.mRank);
  Result<std::vector<std::string>> regions =
    CommonRegions(aRequest.mRegions, aRequest.mWorkspace->mRegions);
  if (!regions) {
    return regions.error();
  }
  aRequest.mRegions = std::move(regions.value());
  return boost::outcome_v2::success();
}

TokenNeed
NeedOf(const HttpExchange& aExchange, const HeaderNames& aNames)
{
  const std::optional<TokenCounts> counts =
    ParseTokenCounts(aExchange.Header(aNames.mTokenCounts));
  if (!counts) {
    return {};
  }
  const std::optional<std::uint64_t> hint =
    ParseNumber(aExchange.Header(aNames.mLengthHint));
  const std::uint64_t output =
    std::min(counts->mMaxOutput, hint.value_or(kUnknownOutputTokens));
  return { counts->mPrompt, counts->mPrompt + output };
}

/// The id decides, so that all sends of a request go to one service.
const GatewayService*
ServiceOf(const RoutingTable& aTable,
          const GatewayRoute& aRoute,
          std::string_view aRequestId)
{
  std::uint64_t total = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    total += target.mWeight;
  }
  std::uint64_t at = total == 0 ? 0 : StableHash(aRequestId) % total;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (at < target.mWeight) {
      return aTable.FindService(target.mService);
    }
    at -= target.mWeight;
  }
  return nullptr;
}

} // namespace

Result<AdmittedRequest>
AdmitRequest(const GatewayState& aState,
             const RoutingTable* aTable,
             const HttpExchange& aExchange,
             Instant aStart)
{
  if (aTable == nullptr) {
    return NotRun(FailureCode::StoreUnavailable, "no configuration yet");
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
  request.mRegions = request.mRoute->mRegions;
  const Result<void> key = AdmitKey(aState, *aTable, aExchange, request);
  if (!key) {
    return key.error();
  }
  request.mService = ServiceOf(*aTable, *request.mRoute, id);
  request.mNeed = NeedOf(aExchange, names);
  const std::optional<std::uint64_t> timeLeft =
    ParseNumber(aExchange.Header(names.mRemainingTime));
  const Milliseconds callerTime =
    timeLeft ? Milliseconds{ *timeLeft } : request.mRoute->mTimeout;
  request.mCallerEnd = aStart + callerTime;
  request.mEnd = aStart + std::min(callerTime, request.mRoute->mTimeout);
  return request;
}

} // namespace cactusgw
