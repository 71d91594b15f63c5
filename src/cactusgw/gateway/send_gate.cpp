#include "cactusgw/gateway/send_gate.hpp"

#include "cactusgw/gateway/message_headers.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace cactusgw {

namespace {

const Workspace*
FindWorkspace(const RoutingTable& aTable, const RequestOrigin& aOrigin)
{
  // A workspace keeps its requests when their key is taken away.
  return aOrigin.mWorkspace.empty()
           ? aTable.FindWorkspace(aOrigin.mKey)
           : aTable.FindWorkspaceByName(aOrigin.mWorkspace);
}

} // namespace

UpstreamTarget
TargetOf(const UpstreamRecord& aUpstream)
{
  return { aUpstream.mId, aUpstream.mAddress, aUpstream.mStartedMs };
}

AllowedRegions
SendGate::RegionsFor(const RequestOrigin& aOrigin) const
{
  if (mFacts.mTable == nullptr || !mFacts.mIsTableNewest) {
    return AllowedRegions::Unreadable();
  }
  return RouteRegionsFor(aOrigin).Intersect(WorkspaceRegionsFor(aOrigin));
}

AllowedRegions
SendGate::RouteRegionsFor(const RequestOrigin& aOrigin) const
{
  const RoutingTable& table = *mFacts.mTable;
  const GatewayRoute* const route =
    table.FindRoute(aOrigin.mHost, aOrigin.mPath);
  if (route != nullptr && IsRouteOf(*route, aOrigin)) {
    return route->mRegions;
  }
  const AllowedRegions* const former =
    table.FormerRouteRegions(aOrigin.mHost, aOrigin.mRoutePrefix);
  const AllowedRegions& last =
    former == nullptr ? aOrigin.mRouteRegions : *former;
  return route == nullptr ? last : route->mRegions.Intersect(last);
}

AllowedRegions
SendGate::WorkspaceRegionsFor(const RequestOrigin& aOrigin) const
{
  const Workspace* const workspace = FindWorkspace(*mFacts.mTable, aOrigin);
  if (workspace != nullptr) {
    return workspace->mRegions;
  }
  const AllowedRegions* const former =
    mFacts.mTable->FormerWorkspaceRegions(aOrigin.mWorkspace);
  return former == nullptr ? aOrigin.mWorkspaceRegions : *former;
}

Result<AllowedRegions>
SendGate::TrustedRegionsFor(const RequestOrigin& aOrigin) const
{
  AllowedRegions regions = RegionsFor(aOrigin);
  if (regions.IsRestricted() && !mFacts.mAreRegionsFresh) {
    return NotRun(FailureCode::StoreUnavailable,
                  "the configuration is too old to trust its regions: " +
                    regions.Text());
  }
  return regions;
}

bool
SendGate::HasDataCentre(const AllowedRegions& aRegions) const
{
  return std::any_of(
    mFacts.mRegions.begin(), mFacts.mRegions.end(), [&](const auto& aEntry) {
      return aRegions.Allows(aEntry.second);
    });
}

bool
SendGate::IsWithin(const AllowedRegions& aRegions,
                   const UpstreamRecord& aUpstream) const
{
  if (!aRegions.IsRestricted()) {
    return true;
  }
  const std::vector<const KnownUpstream*> holders =
    mFacts.mDirectory.AtAddress(aUpstream.mAddress);
  const auto isAllowed = [&](std::string_view aDataCentre) {
    const auto region = mFacts.mRegions.find(aDataCentre);
    return region != mFacts.mRegions.end() && aRegions.Allows(region->second);
  };
  return isAllowed(aUpstream.mDataCentre) &&
         std::all_of(
           holders.begin(), holders.end(), [&](const KnownUpstream* aHolder) {
             return isAllowed(aHolder->mRecord.mDataCentre);
           });
}

bool
SendGate::IsRouteOf(const GatewayRoute& aRoute, const RequestOrigin& aOrigin)
{
  return aRoute.mPathPrefix == aOrigin.mRoutePrefix &&
         std::any_of(aRoute.mTargets.begin(),
                     aRoute.mTargets.end(),
                     [&](const RouteTarget& aTarget) {
                       return aTarget.mService == aOrigin.mService;
                     });
}

Result<void>
SendGate::CheckQuarantine(const RequestOrigin& aOrigin) const
{
  /// Quarantines of prompt parts last for minutes.
  constexpr Milliseconds kPartsRetryAfter{ 60'000 };
  const Quarantine* const parts = mFacts.mCrashes.Find(aOrigin.mSharedParts);
  if (parts != nullptr) {
    return NotRun(FailureCode::Quarantined,
                  "upstreams crash on prompt parts " + JoinParts(parts->mParts),
                  kPartsRetryAfter);
  }
  const RequestCrashes& crashes = mFacts.mRequestCrashes;
  return crashes.IsQuarantined(aOrigin.mFingerprint)
           ? HeldBack(aOrigin)
           : boost::outcome_v2::success();
}

Result<void>
SendGate::CheckSuspicion(const RequestOrigin& aOrigin) const
{
  const Result<void> allowed = CheckQuarantine(aOrigin);
  return allowed ? HeldBack(aOrigin) : allowed;
}

Result<void>
SendGate::CheckCrashes(const RequestOrigin& aOrigin, SendPurpose aPurpose) const
{
  return aPurpose == SendPurpose::Request ? CheckSuspicion(aOrigin)
                                          : CheckQuarantine(aOrigin);
}

Result<void>
SendGate::HeldBack(const RequestOrigin& aOrigin) const
{
  const RequestCrashes& crashes = mFacts.mRequestCrashes;
  const std::optional<Milliseconds> heldFor =
    crashes.HeldFor(aOrigin.mFingerprint, mFacts.mNow, aOrigin.mOwnCrashes);
  if (!heldFor) {
    return boost::outcome_v2::success();
  }
  return NotRun(
    FailureCode::Quarantined,
    "upstreams crash on requests with fingerprint " +
      ToString(aOrigin.mFingerprint) + " (" +
      std::to_string(crashes.CountOf(aOrigin.mFingerprint).mCrashes) +
      " crashes known)",
    *heldFor);
}

Result<SendClearance>
SendGate::Clear(const RequestOrigin& aOrigin,
                const UpstreamTarget& aTarget,
                SendPurpose aPurpose,
                std::string_view aCarrierDataCentre) const
{
  const KnownUpstream* const known = mFacts.mDirectory.Find(aTarget.mId);
  if (known == nullptr || TargetOf(known->mRecord) != aTarget) {
    return NotRun(FailureCode::UpstreamUnreachable,
                  "upstream " + aTarget.mId + " has left, restarted or moved");
  }
  if (!aOrigin.mStreamVersion.empty() &&
      known->mRecord.mVersion != aOrigin.mStreamVersion) {
    return NotRun(FailureCode::UpstreamUnreachable,
                  "upstream " + aTarget.mId + " runs version " +
                    known->mRecord.mVersion + ", the stream began at version " +
                    aOrigin.mStreamVersion);
  }
  const Result<void> isSafe = CheckCrashes(aOrigin, aPurpose);
  if (!isSafe) {
    return isSafe.error();
  }
  const UpstreamRecord& record = known->mRecord;
  const bool acceptsWork =
    !record.mIsDraining && !mFacts.mDirectory.IsDrained(record.mDataCentre);
  if (aPurpose == SendPurpose::Request && !mFacts.mIsTableFresh) {
    return NotRun(FailureCode::StoreUnavailable,
                  "the configuration is too old");
  }
  if (aPurpose != SendPurpose::Continuation && !acceptsWork) {
    return NotRun(FailureCode::UpstreamUnreachable,
                  "upstream " + aTarget.mId + " accepts no new requests");
  }
  if (IsPausedFor(record, aPurpose)) {
    return NotRun(FailureCode::UpstreamUnreachable,
                  "upstream " + aTarget.mId + " asked for a pause");
  }
  const Result<AllowedRegions> regions = TrustedRegionsFor(aOrigin);
  if (!regions) {
    return regions.error();
  }
  if (!IsWithin(regions.value(), record)) {
    return NotRun(
      FailureCode::OutsideHomeRegions,
      "upstream " + aTarget.mId + " in region " + RegionOf(record.mDataCentre) +
        " is outside the allowed regions: " + regions.value().Text());
  }
  if (!aCarrierDataCentre.empty() &&
      !MayCarry(regions.value(), aCarrierDataCentre)) {
    return NotRun(
      FailureCode::OutsideHomeRegions,
      "the carrier in data centre " + std::string{ aCarrierDataCentre } +
        " is outside the allowed regions: " + regions.value().Text());
  }
  return SendClearance{ aTarget };
}

bool
SendGate::MayCarry(const AllowedRegions& aRegions,
                   std::string_view aDataCentre) const
{
  const auto region = mFacts.mRegions.find(aDataCentre);
  return !aRegions.IsRestricted() ||
         (region != mFacts.mRegions.end() && aRegions.Allows(region->second));
}

bool
SendGate::IsPausedFor(const UpstreamRecord& aUpstream,
                      SendPurpose aPurpose) const
{
  const UpstreamStart start = StartOf(aUpstream);
  return aPurpose == SendPurpose::Continuation
           ? !mFacts.mPauses.AllowsContinuation(start, mFacts.mNow)
           : mFacts.mPauses.PausedUntil(start, mFacts.mNow).has_value();
}

std::string
SendGate::RegionOf(std::string_view aDataCentre) const
{
  const auto it = mFacts.mRegions.find(aDataCentre);
  return it == mFacts.mRegions.end() ? "unknown" : it->second;
}

} // namespace cactusgw
