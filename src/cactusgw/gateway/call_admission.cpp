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

/// Returns the regions that both lists allow; an empty list allows all. Errors:
/// UpstreamUnreachable when the intersection is empty.
Result<std::vector<std::string>>
IntersectRegions(std::vector<std::string> aRegions,
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
Authenticate(const GatewayState& aState,
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
    IntersectRegions(aRequest.mRegions, aRequest.mWorkspace->mRegions);
  if (!regions) {
    return regions.error();
  }
  aRequest.mRegions = std::move(regions.value());
  return boost::outcome_v2::success();
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
  std::uint64_t total = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    total += target.mWeight;
  }
  std::uint64_t offset = total == 0 ? 0 : StableHash(aRequestId) % total;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (offset < target.mWeight) {
      return aTable.FindService(target.mService);
    }
    offset -= target.mWeight;
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
  const Result<void> key = Authenticate(aState, *aTable, aExchange, request);
  if (!key) {
    return key.error();
  }
  request.mService = SelectService(*aTable, *request.mRoute, id);
  request.mTokenNeed = EstimateTokens(aExchange, names);
  request.mSharedParts = ParseSharedParts(aExchange.Header(names.mPromptParts));
  const std::optional<std::uint64_t> timeLeft =
    ParseNumber(aExchange.Header(names.mRemainingTime));
  const Milliseconds clientTime =
    timeLeft ? Milliseconds{ *timeLeft } : request.mRoute->mTimeout;
  request.mClientDeadline = aStart + clientTime;
  request.mDeadline = aStart + std::min(clientTime, request.mRoute->mTimeout);
  return request;
}

} // namespace cactusgw
