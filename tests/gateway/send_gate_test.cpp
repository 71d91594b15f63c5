#include "cactusgw/gateway/send_gate.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw::test {

namespace {

/// The outcome of a request for clearance.
enum class Outcome
{
  Cleared,
  Outside,
  Unreachable,
  TooOld,
};

std::ostream&
operator<<(std::ostream& aOut, Outcome aOutcome)
{
  constexpr std::array<const char*, 4> kNames{
    "cleared", "outside", "unreachable", "too old"
  };
  return aOut << kNames[static_cast<std::size_t>(aOutcome)];
}

Outcome
OutcomeOf(const Result<SendClearance>& aClearance)
{
  if (aClearance) {
    return Outcome::Cleared;
  }
  EXPECT_EQ(aClearance.error().mVerdict, Verdict::NotRun);
  if (aClearance.error().mCode == FailureCode::OutsideHomeRegions) {
    return Outcome::Outside;
  }
  if (aClearance.error().mCode == FailureCode::StoreUnavailable) {
    return Outcome::TooOld;
  }
  EXPECT_EQ(aClearance.error().mCode, FailureCode::UpstreamUnreachable);
  return Outcome::Unreachable;
}

Instant
At(int aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

GatewayRoute
MakeRoute(const std::string& aPrefix, AllowedRegions aRegions)
{
  GatewayRoute route;
  route.mName = aPrefix;
  route.mHost = "host.test";
  route.mPathPrefix = aPrefix;
  route.mTargets = { { "app", 1 } };
  route.mRegions = std::move(aRegions);
  return route;
}

Workspace
MakeWorkspace(const std::string& aName,
              std::vector<std::string> aKeys,
              AllowedRegions aRegions)
{
  Workspace workspace;
  workspace.mName = aName;
  workspace.mKeys = std::move(aKeys);
  workspace.mRegions = std::move(aRegions);
  return workspace;
}

/// What the gate decides by, held by value.
struct GateState
{
  void Configure(GatewayConfig aConfig)
  {
    mTable.emplace(RoutingTable::Create(std::move(aConfig)));
  }
  /// Applies a new version that differs in one respect.
  void Edit(const std::function<void(GatewayConfig&)>& aEdit)
  {
    GatewayConfig config = mTable->Config();
    ++config.mVersion;
    aEdit(config);
    Configure(std::move(config));
  }
  void EditUpstream(const std::string& aId,
                    const std::function<void(UpstreamRecord&)>& aEdit)
  {
    UpstreamRecord record = mDirectory.Find(aId)->mRecord;
    aEdit(record);
    mDirectory.Put(record, At(0));
  }
  SendGate Gate() const
  {
    return SendGate{ SendFacts{ .mTable = mTable ? &*mTable : nullptr,
                                .mIsTableNewest = mIsNewest,
                                .mIsTableFresh = mIsFresh,
                                .mAreRegionsFresh = mAreRegionsFresh,
                                .mDirectory = mDirectory,
                                .mRegions = mRegions,
                                .mPauses = mPauses,
                                .mCrashes = mCrashes,
                                .mRequestCrashes = mRequestCrashes,
                                .mNow = At(0) } };
  }

  CrashEvidence mCrashes = CrashEvidence::Create();
  RequestCrashes mRequestCrashes = RequestCrashes::Create();
  std::optional<RoutingTable> mTable;
  bool mIsNewest = true;
  bool mIsFresh = true;
  bool mAreRegionsFresh = true;
  UpstreamDirectory mDirectory = UpstreamDirectory::Create();
  RegionMap mRegions;
  UpstreamPauses mPauses = UpstreamPauses::Create();
};

/// The origin of a request that is admitted now.
RequestOrigin
Admit(const GateState& aState,
      std::string_view aHost,
      std::string_view aPath,
      std::string_view aKey)
{
  RequestOrigin origin;
  origin.mHost = aHost;
  origin.mPath = aPath;
  origin.mKey = aKey;
  const GatewayRoute& route = *aState.mTable->FindRoute(aHost, aPath);
  origin.mRoutePrefix = route.mPathPrefix;
  origin.mService = route.mTargets[0].mService;
  origin.mRouteRegions = route.mRegions;
  const Workspace* const workspace = aState.mTable->FindWorkspace(aKey);
  if (workspace != nullptr) {
    origin.mWorkspace = workspace->mName;
    origin.mWorkspaceRegions = workspace->mRegions;
  }
  return origin;
}

UpstreamRecord
MakeUpstream(const std::string& aId,
             const std::string& aAddress,
             const std::string& aDataCentre)
{
  UpstreamRecord record;
  record.mId = aId;
  record.mService = "app";
  record.mAddress = aAddress;
  record.mDataCentre = aDataCentre;
  record.mStartedMs = 1;
  return record;
}

AllowedRegions
North()
{
  return AllowedRegions::Only({ "north" });
}

AllowedRegions
South()
{
  return AllowedRegions::Only({ "south" });
}

constexpr const char* kNorthPath = "/north/x/y";
constexpr const char* kFreePath = "/free/x/y";

/// A change after the admission of a request, and where the request may then
/// go.
struct GateCase
{
  const char* mName;
  /// Of the admitted request.
  const char* mPath;
  const char* mKey;
  std::function<void(GateState&)> mChange;
  Outcome mToNorth;
  Outcome mToSouth;
};

std::ostream&
operator<<(std::ostream& aOut, const GateCase& aCase)
{
  return aOut << aCase.mName;
}

constexpr Outcome kYes = Outcome::Cleared;
constexpr Outcome kOutside = Outcome::Outside;
constexpr Outcome kGone = Outcome::Unreachable;
constexpr Outcome kOld = Outcome::TooOld;

void
NoChange(GateState& /*aState*/)
{
}

std::vector<GateCase>
ConfigurationCases()
{
  return {
    { "NoHomes", kFreePath, "key", &NoChange, kYes, kYes },
    { "HomesOfTheRoute", kNorthPath, "key", &NoChange, kYes, kOutside },
    { "HomesOfTheWorkspace", kFreePath, "south", &NoChange, kOutside, kYes },
    { "HomesOfBoth", kNorthPath, "south", &NoChange, kOutside, kOutside },
    { "UnknownKey", kFreePath, "unknown", &NoChange, kYes, kYes },
    { "NoKey", kNorthPath, "", &NoChange, kYes, kOutside },
    { "NoTable",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mTable.reset(); },
      kOutside,
      kOutside },
    { "NewestVersionIsUnreadable",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mIsNewest = false; },
      kOutside,
      kOutside },
    { "HomesOfTheRouteAreUnreadable",
      kFreePath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes[1].mRegions = AllowedRegions::Unreadable();
        });
      },
      kOutside,
      kOutside },
    { "HomesOfTheWorkspaceAreUnreadable",
      kFreePath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mWorkspaces[0].mRegions = AllowedRegions::Unreadable();
        });
      },
      kOutside,
      kOutside },
    { "HomesOfTheRouteMoved",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes[0].mRegions = South();
        });
      },
      kOutside,
      kYes },
    { "RouteIsGone",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) { aConfig.mRoutes.clear(); });
      },
      kYes,
      kOutside },
    { "RouteIsReplacedByALongerPrefix",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes.push_back(MakeRoute("/north/x/", South()));
        });
      },
      kOutside,
      kOutside },
    { "RouteIsReplacedByAShorterPrefix",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes = { MakeRoute("/", South()) };
        });
      },
      kOutside,
      kOutside },
    { "RouteIsReplacedByAShorterPrefixWithoutHomes",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes = { MakeRoute("/", AllowedRegions::Everywhere()) };
        });
      },
      kYes,
      kOutside },
    { "RouteLeadsToAnotherService",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes[0].mTargets = { { "other", 1 } };
          aConfig.mRoutes[0].mRegions = South();
        });
      },
      kOutside,
      kOutside },
    { "RegionsAreTooOld",
      kNorthPath,
      "key",
      [](GateState& aState) { aState.mAreRegionsFresh = false; },
      kOld,
      kOld },
    { "RegionsAreTooOldWithoutHomes",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mAreRegionsFresh = false; },
      kYes,
      kYes },
    { "TheConfigurationIsTooOldWithoutHomes",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mIsFresh = false; },
      kOld,
      kOld },
    { "RouteOfAnotherHost",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes.push_back(MakeRoute("/north/x/", South()));
          aConfig.mRoutes.back().mHost = "other.test";
        });
      },
      kYes,
      kOutside },
    { "HostOfTheRouteInUpperCase",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mRoutes[0].mHost = "HOST.Test";
          aConfig.mRoutes[0].mRegions = South();
        });
      },
      kOutside,
      kYes },
    { "WorkspaceIsGone",
      kFreePath,
      "south",
      [](GateState& aState) {
        aState.Edit(
          [](GatewayConfig& aConfig) { aConfig.mWorkspaces.clear(); });
      },
      kOutside,
      kYes },
    { "KeyMovedToAnotherWorkspace",
      kFreePath,
      "south",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mWorkspaces[0].mKeys = { "key", "south" };
          aConfig.mWorkspaces[1].mKeys.clear();
        });
      },
      kOutside,
      kYes },
    { "HomesOfAWorkspaceWithoutItsKeyMoved",
      kFreePath,
      "south",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mWorkspaces[1].mKeys.clear();
          aConfig.mWorkspaces[1].mRegions = North();
        });
      },
      kYes,
      kOutside },
    { "AnUnknownKeyBecameAWorkspaces",
      kFreePath,
      "unknown",
      [](GateState& aState) {
        aState.Edit([](GatewayConfig& aConfig) {
          aConfig.mWorkspaces[1].mKeys = { "south", "unknown" };
        });
      },
      kOutside,
      kYes },
    { "AKeyOnAPublicRoute",
      kFreePath,
      "south",
      [](GateState& aState) {
        aState.Edit(
          [](GatewayConfig& aConfig) { aConfig.mRoutes[1].mIsPublic = true; });
      },
      kOutside,
      kYes },
  };
}

/// Changes of upstreams, data centres and regions.
std::vector<GateCase>
UpstreamCases()
{
  return {
    { "Restarted",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.EditUpstream(
          "n", [](UpstreamRecord& aRecord) { aRecord.mStartedMs = 2; });
      },
      kGone,
      kOutside },
    { "MovedToAnotherAddress",
      kFreePath,
      "key",
      [](GateState& aState) {
        aState.EditUpstream("n", [](UpstreamRecord& aRecord) {
          aRecord.mAddress = "10.0.0.9:80";
        });
      },
      kGone,
      kYes },
    { "MovedToAnotherDataCentre",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.EditUpstream(
          "n", [](UpstreamRecord& aRecord) { aRecord.mDataCentre = "dc-s"; });
        aState.EditUpstream(
          "s", [](UpstreamRecord& aRecord) { aRecord.mDataCentre = "dc-n"; });
      },
      kOutside,
      kYes },
    { "Draining",
      kFreePath,
      "key",
      [](GateState& aState) {
        aState.EditUpstream(
          "n", [](UpstreamRecord& aRecord) { aRecord.mIsDraining = true; });
      },
      kGone,
      kYes },
    { "DrainNotice",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mDirectory.MarkDraining("n", 1); },
      kGone,
      kYes },
    { "DrainedDataCentre",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mDirectory.SetDrained("dc-n", true); },
      kGone,
      kYes },
    { "MissingAfterAnOutageOfTheStore",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.OnStoreReturned(At(0));
        aState.mDirectory.Remove("n", At(1));
      },
      kYes,
      kOutside },
    { "Removed",
      kNorthPath,
      "key",
      [](GateState& aState) { aState.mDirectory.Remove("n", At(1)); },
      kGone,
      kOutside },
    { "UnknownRegions",
      kNorthPath,
      "key",
      [](GateState& aState) { aState.mRegions.clear(); },
      kOutside,
      kOutside },
    { "UnknownRegionsWithoutHomes",
      kFreePath,
      "key",
      [](GateState& aState) { aState.mRegions.clear(); },
      kYes,
      kYes },
    { "DataCentreNamedLikeARegion",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.EditUpstream(
          "s", [](UpstreamRecord& aRecord) { aRecord.mDataCentre = "north"; });
      },
      kYes,
      kOutside },
    { "ReloadedRegions",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mRegions = { { "dc-n", "south" }, { "dc-s", "north" } };
      },
      kOutside,
      kYes },
    { "AddressAlsoRegisteredInTheOtherRegion",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.Put(MakeUpstream("z", "10.0.0.1:80", "dc-s"), At(0));
      },
      kOutside,
      kOutside },
    { "AddressAlsoRegisteredInAnUnknownRegion",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.Put(MakeUpstream("a", "10.0.0.1:80", "dc-x"), At(0));
      },
      kOutside,
      kOutside },
    { "AddressAlsoRegisteredInTheSameRegion",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.Put(MakeUpstream("z", "10.0.0.1:80", "dc-n"), At(0));
      },
      kYes,
      kOutside },
    { "AddressAlsoRegisteredByOneThatIsMissing",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.Put(MakeUpstream("z", "10.0.0.1:80", "dc-s"), At(0));
        aState.mDirectory.OnStoreReturned(At(0));
        aState.mDirectory.Remove("z", At(1));
      },
      kOutside,
      kOutside },
    { "AddressAlsoRegisteredByOneThatIsDraining",
      kNorthPath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.Put(MakeUpstream("z", "10.0.0.1:80", "dc-s"), At(0));
        aState.mDirectory.MarkDraining("z", 1);
      },
      kOutside,
      kOutside },
    { "AddressAlsoRegisteredElsewhereWithoutHomes",
      kFreePath,
      "key",
      [](GateState& aState) {
        aState.mDirectory.Put(MakeUpstream("z", "10.0.0.1:80", "dc-s"), At(0));
      },
      kYes,
      kYes },
  };
}

} // namespace

class SendGateTest : public ::testing::TestWithParam<GateCase>
{
protected:
  SendGateTest()
  {
    GatewayConfig config;
    config.mVersion = 1;
    config.mRoutes = { MakeRoute("/north/", North()),
                       MakeRoute("/free/", AllowedRegions::Everywhere()) };
    config.mWorkspaces = { MakeWorkspace(
                             "free", { "key" }, AllowedRegions::Everywhere()),
                           MakeWorkspace("south", { "south" }, South()) };
    mState.Configure(std::move(config));
    mState.mRegions = { { "dc-n", "north" }, { "dc-s", "south" } };
    for (const UpstreamRecord& record : { mNorth, mSouth }) {
      mState.mDirectory.Put(record, At(0));
    }
  }

  const UpstreamRecord mNorth = MakeUpstream("n", "10.0.0.1:80", "dc-n");
  const UpstreamRecord mSouth = MakeUpstream("s", "10.0.0.2:80", "dc-s");
  GateState mState;
};

INSTANTIATE_TEST_SUITE_P(Configuration,
                         SendGateTest,
                         ::testing::ValuesIn(ConfigurationCases()),
                         [](const ::testing::TestParamInfo<GateCase>& aInfo) {
                           return std::string{ aInfo.param.mName };
                         });
INSTANTIATE_TEST_SUITE_P(Upstreams,
                         SendGateTest,
                         ::testing::ValuesIn(UpstreamCases()),
                         [](const ::testing::TestParamInfo<GateCase>& aInfo) {
                           return std::string{ aInfo.param.mName };
                         });

// A request was cleared by what held at its admission, after a change.
TEST_P(SendGateTest, ClearsByTheStateAfterTheChange)
{
  const GateCase& expected = GetParam();
  for (const char* host : { "host.test", "HOST.test", "host.test:8080" }) {
    SCOPED_TRACE(host);
    GateState state;
    state.Configure(mState.mTable->Config());
    state.mRegions = mState.mRegions;
    for (const UpstreamRecord& record : { mNorth, mSouth }) {
      state.mDirectory.Put(record, At(0));
    }
    const RequestOrigin origin =
      Admit(state, host, expected.mPath, expected.mKey);
    expected.mChange(state);
    const SendGate gate = state.Gate();
    EXPECT_EQ(
      OutcomeOf(gate.Clear(origin, TargetOf(mNorth), SendPurpose::Request)),
      expected.mToNorth);
    EXPECT_EQ(
      OutcomeOf(gate.Clear(origin, TargetOf(mSouth), SendPurpose::Request)),
      expected.mToSouth);
  }
}

class SendGateCarrierTest : public SendGateTest
{};

// A restricted request could pass through a gateway outside its regions.
TEST_F(SendGateCarrierTest, CarriersLieInTheRegionsOfTheRequest)
{
  const RequestOrigin north = Admit(mState, "host.test", kNorthPath, "key");
  const RequestOrigin free = Admit(mState, "host.test", kFreePath, "key");
  const SendGate gate = mState.Gate();
  const auto through = [&](const RequestOrigin& aOrigin,
                           std::string_view aCarrier) {
    return OutcomeOf(
      gate.Clear(aOrigin, TargetOf(mNorth), SendPurpose::Request, aCarrier));
  };
  EXPECT_EQ(through(north, ""), Outcome::Cleared);
  EXPECT_EQ(through(north, "dc-n"), Outcome::Cleared);
  EXPECT_EQ(through(north, "dc-s"), Outcome::Outside);
  EXPECT_EQ(through(north, "dc-unknown"), Outcome::Outside);
  EXPECT_EQ(through(free, "dc-s"), Outcome::Cleared);
}

class SendGateContinuationTest : public SendGateTest
{};

// A generation could not continue at its draining upstream, or continued there
// outside its regions.
TEST_F(SendGateContinuationTest, ContinuesAtADrainingUpstreamWithinItsRegions)
{
  const RequestOrigin north = Admit(mState, "host.test", kNorthPath, "key");
  mState.mDirectory.MarkDraining("n", 1);
  mState.mDirectory.MarkDraining("s", 1);
  mState.mDirectory.SetDrained("dc-n", true);
  const SendGate gate = mState.Gate();
  EXPECT_EQ(
    OutcomeOf(gate.Clear(north, TargetOf(mNorth), SendPurpose::Continuation)),
    Outcome::Cleared);
  EXPECT_EQ(
    OutcomeOf(gate.Clear(north, TargetOf(mSouth), SendPurpose::Continuation)),
    Outcome::Outside);
  mState.mDirectory.Remove("n", At(1));
  EXPECT_EQ(
    OutcomeOf(gate.Clear(north, TargetOf(mNorth), SendPurpose::Continuation)),
    Outcome::Unreachable);
}

// A retry, a copy or a continuation could reach an upstream after the evidence
// against its request had arrived.
TEST_F(SendGateContinuationTest, AQuarantinedRequestPassesForNoPurpose)
{
  RequestOrigin deadly = Admit(mState, "host.test", kFreePath, "key");
  RequestOrigin sound = deadly;
  deadly.mFingerprint = RequestFingerprint{ 1 };
  sound.mFingerprint = RequestFingerprint{ 2 };
  for (const int at : { 0, 1000, 2000 }) {
    mState.mRequestCrashes.OnCrash(
      deadly.mFingerprint, { "u", at }, At(at), At(at));
  }
  const SendGate gate = mState.Gate();
  for (const SendPurpose purpose :
       { SendPurpose::Request, SendPurpose::Copy, SendPurpose::Continuation }) {
    const Result<SendClearance> refused =
      gate.Clear(deadly, TargetOf(mNorth), purpose);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().mCode, FailureCode::Quarantined);
    EXPECT_EQ(refused.error().mVerdict, Verdict::NotRun);
    EXPECT_GT(refused.error().mRetryAfter, Milliseconds::zero());
    EXPECT_EQ(OutcomeOf(gate.Clear(sound, TargetOf(mNorth), purpose)),
              Outcome::Cleared);
  }
}

namespace {

/// A restriction of the model: absent for none.
struct ModelHomes
{
  bool mIsRestricted = false;
  bool mIsReadable = true;
  std::set<std::string> mRegions;

  bool Allows(const std::optional<std::string>& aRegion) const
  {
    return !mIsRestricted ||
           (mIsReadable && aRegion && mRegions.count(*aRegion) != 0);
  }
  AllowedRegions ToAllowedRegions() const
  {
    if (!mIsRestricted) {
      return AllowedRegions::Everywhere();
    }
    return mIsReadable
             ? AllowedRegions::Only({ mRegions.begin(), mRegions.end() })
             : AllowedRegions::Unreadable();
  }
};

struct ModelWorkspace
{
  std::set<std::string> mKeys;
  ModelHomes mHomes;
};

struct ModelConfig
{
  /// By prefix.
  std::map<std::string, ModelHomes> mRoutes;
  std::map<std::string, ModelWorkspace> mWorkspaces;

  using Route = std::pair<const std::string, ModelHomes>;

  const Route* RouteOf(const std::string& aPath) const
  {
    const Route* longest = nullptr;
    for (const Route& route : mRoutes) {
      const std::string& prefix = route.first;
      if (aPath.starts_with(prefix) &&
          (longest == nullptr || prefix.size() >= longest->first.size())) {
        longest = &route;
      }
    }
    return longest;
  }
  std::optional<std::string> HolderOf(const std::string& aKey) const
  {
    for (const auto& [name, workspace] : mWorkspaces) {
      if (workspace.mKeys.count(aKey) != 0) {
        return name;
      }
    }
    return std::nullopt;
  }
};

struct ModelUpstream
{
  UpstreamRecord mRecord;
  bool mIsMissing = false;
};

/// An admitted request, with the homes at its admission.
struct ModelRequest
{
  std::string mPath;
  std::string mKey;
  std::optional<std::string> mWorkspace;
  std::string mRoutePrefix;
  ModelHomes mRouteHomes;
  ModelHomes mWorkspaceHomes;
  RequestOrigin mOrigin;
};

/// Applies random changes to the state of a gate and to a model of it.
class GateModel
{
public:
  explicit GateModel(std::uint32_t aSeed)
    : mEngine(aSeed)
  {
    ChangeConfig();
    ChangeRegions();
  }

  void Step()
  {
    mNow += static_cast<int>(mEngine() % 1500);
    switch (mEngine() % 14) {
      case 0:
      case 1:
        ChangeConfig();
        break;
      case 2:
        mHasNewest = mEngine() % 3 != 0;
        mState.mIsNewest = mHasNewest;
        break;
      case 3:
        ChangeRegions();
        break;
      case 4:
        ChangeDrained();
        break;
      case 5:
        Remove();
        break;
      case 6:
        mGraceEnd = mNow + 2000;
        mState.mDirectory.OnStoreReturned(At(mNow));
        break;
      case 7:
        Expire();
        break;
      case 8:
        DrainByNotice();
        break;
      case 9:
        mState.mIsFresh = mEngine() % 3 != 0;
        mState.mAreRegionsFresh = mEngine() % 3 != 0;
        break;
      default:
        Register();
        break;
    }
    AdmitRequest();
  }

  /// Invariant: the gate clears a send exactly when the target is the current
  /// registration, accepts the purpose, and lies, like all that share its
  /// address, where route and workspace of the newest configuration allow, and
  /// when that configuration is young enough.
  void Check()
  {
    const SendGate gate = mState.Gate();
    for (const ModelRequest& request : mRequests) {
      for (const UpstreamTarget& target : Targets()) {
        for (const SendPurpose purpose : { SendPurpose::Request,
                                           SendPurpose::Copy,
                                           SendPurpose::Continuation }) {
          const Result<SendClearance> cleared =
            gate.Clear(request.mOrigin, target, purpose);
          EXPECT_EQ(OutcomeOf(cleared), Expected(request, target, purpose))
            << request.mPath << " key " << request.mKey << " to " << target.mId;
          if (cleared) {
            EXPECT_EQ(cleared.value().Target(), target);
            ++mClearances;
          }
        }
      }
      CheckRegions(gate, request);
    }
  }

  int Clearances() const { return mClearances; }

private:
  static constexpr std::array<const char*, 4> kPrefixes{ "/",
                                                         "/a/",
                                                         "/a/b/",
                                                         "/c/" };
  static constexpr std::array<const char*, 6> kPaths{ "/",      "/a/x",
                                                      "/a/b/x", "/a/bb/x",
                                                      "/c/",    "/z" };
  static constexpr std::array<const char*, 3> kWorkspaces{ "u", "v", "w" };
  static constexpr std::array<const char*, 4> kKeys{ "", "k", "l", "m" };
  static constexpr std::array<const char*, 3> kRegionNames{ "east",
                                                            "north",
                                                            "south" };
  static constexpr std::array<const char*, 4> kDataCentres{ "dc-1",
                                                            "dc-2",
                                                            "dc-3",
                                                            "dc-4" };
  static constexpr std::array<const char*, 5> kIds{ "a", "b", "c", "d", "e" };
  static constexpr std::array<const char*, 4> kAddresses{ "10.0.0.1:80",
                                                          "10.0.0.2:80",
                                                          "10.0.0.3:80",
                                                          "10.0.0.4:80" };
  static constexpr std::array<const char*, 3> kHosts{ "host.test",
                                                      "Host.Test",
                                                      "host.test:443" };

  template<std::size_t N>
  std::string Any(const std::array<const char*, N>& aNames)
  {
    return aNames[mEngine() % N];
  }

  ModelHomes AnyHomes()
  {
    ModelHomes homes;
    const std::uint32_t form = mEngine() % 8;
    homes.mIsRestricted = form > 2;
    homes.mIsReadable = form != 7;
    for (const char* region : kRegionNames) {
      if (homes.mIsRestricted && homes.mIsReadable && mEngine() % 2 == 0) {
        homes.mRegions.insert(region);
      }
    }
    return homes;
  }

  void ChangeConfig()
  {
    ModelConfig config;
    GatewayConfig real;
    real.mVersion = ++mVersion;
    for (const char* prefix : kPrefixes) {
      if (mEngine() % 3 != 0) {
        const ModelHomes homes = AnyHomes();
        config.mRoutes[prefix] = homes;
        real.mRoutes.push_back(MakeRoute(prefix, homes.ToAllowedRegions()));
      }
    }
    for (const char* name : kWorkspaces) {
      if (mEngine() % 3 != 0) {
        config.mWorkspaces[name].mHomes = AnyHomes();
      }
    }
    for (const char* key : { "k", "l", "m" }) {
      const auto it = config.mWorkspaces.find(Any(kWorkspaces));
      if (it != config.mWorkspaces.end()) {
        it->second.mKeys.insert(key);
      }
    }
    for (const auto& [name, workspace] : config.mWorkspaces) {
      real.mWorkspaces.push_back(
        MakeWorkspace(name,
                      { workspace.mKeys.begin(), workspace.mKeys.end() },
                      workspace.mHomes.ToAllowedRegions()));
    }
    mConfig = std::move(config);
    mState.Configure(std::move(real));
  }

  void ChangeRegions()
  {
    mState.mRegions.clear();
    mRegions.clear();
    for (const char* dataCentre : kDataCentres) {
      if (mEngine() % 5 != 0) {
        mRegions[dataCentre] = Any(kRegionNames);
        mState.mRegions[dataCentre] = mRegions[dataCentre];
      }
    }
  }

  void ChangeDrained()
  {
    const std::string dataCentre = Any(kDataCentres);
    const bool isDrained = mDrained.erase(dataCentre) == 0;
    if (isDrained) {
      mDrained.insert(dataCentre);
    }
    mState.mDirectory.SetDrained(dataCentre, isDrained);
  }

  void Register()
  {
    UpstreamRecord record =
      MakeUpstream(Any(kIds), Any(kAddresses), Any(kDataCentres));
    constexpr std::uint32_t kStarts = 12;
    record.mStartedMs = 1 + static_cast<std::int64_t>(mEngine() % kStarts);
    record.mIsDraining = mEngine() % 6 == 0;
    const std::pair<std::string, std::int64_t> start{ record.mId,
                                                      record.mStartedMs };
    if (record.mIsDraining) {
      mDrainingStarts.insert(start);
    }
    const bool isDraining = mDrainingStarts.count(start) != 0;
    mUpstreams[record.mId] = { record, false };
    mUpstreams[record.mId].mRecord.mIsDraining = isDraining;
    mState.mDirectory.Put(std::move(record), At(mNow));
  }

  void Remove()
  {
    const std::string id = Any(kIds);
    mState.mDirectory.Remove(id, At(mNow));
    const auto it = mUpstreams.find(id);
    if (it == mUpstreams.end()) {
      return;
    }
    if (mNow < mGraceEnd && !it->second.mRecord.mIsDraining) {
      it->second.mIsMissing = true;
    } else {
      mUpstreams.erase(it);
    }
  }

  void Expire()
  {
    mState.mDirectory.RemoveExpired(At(mNow));
    if (mNow >= mGraceEnd) {
      std::erase_if(mUpstreams, [](const auto& aEntry) {
        return aEntry.second.mIsMissing;
      });
    }
  }

  void DrainByNotice()
  {
    const std::string id = Any(kIds);
    const auto it = mUpstreams.find(id);
    const std::int64_t startedMs =
      it == mUpstreams.end() ? 1 : it->second.mRecord.mStartedMs;
    mState.mDirectory.MarkDraining(id, startedMs);
    mDrainingStarts.emplace(id, startedMs);
    if (it != mUpstreams.end()) {
      it->second.mRecord.mIsDraining = true;
    }
  }

  void AdmitRequest()
  {
    constexpr std::size_t kMaxRequests = 6;
    ModelRequest request;
    request.mPath = Any(kPaths);
    request.mKey = Any(kKeys);
    const std::string host = Any(kHosts);
    const ModelConfig::Route* const route = mConfig.RouteOf(request.mPath);
    if (route == nullptr) {
      EXPECT_EQ(mState.mTable->FindRoute(host, request.mPath), nullptr);
      return;
    }
    request.mRoutePrefix = route->first;
    request.mRouteHomes = route->second;
    request.mWorkspace = mConfig.HolderOf(request.mKey);
    if (request.mWorkspace) {
      request.mWorkspaceHomes =
        mConfig.mWorkspaces.at(*request.mWorkspace).mHomes;
    }
    request.mOrigin = Admit(mState, host, request.mPath, request.mKey);
    if (mRequests.size() < kMaxRequests) {
      mRequests.push_back(std::move(request));
    } else {
      mRequests[mEngine() % kMaxRequests] = std::move(request);
    }
  }

  /// The current target of every upstream, and one that differs in its start or
  /// its address.
  std::vector<UpstreamTarget> Targets()
  {
    std::vector<UpstreamTarget> targets;
    for (const char* id : kIds) {
      const auto it = mUpstreams.find(id);
      targets.push_back(it == mUpstreams.end()
                          ? UpstreamTarget{ id, kAddresses[0], 1 }
                          : TargetOf(it->second.mRecord));
    }
    targets.push_back(targets[mEngine() % targets.size()]);
    if (mEngine() % 2 == 0) {
      ++targets.back().mStartedMs;
    } else {
      targets.back().mAddress = "10.0.0.5:80";
    }
    return targets;
  }

  std::vector<ModelHomes> Homes(const ModelRequest& aRequest) const
  {
    const ModelConfig::Route* const route = mConfig.RouteOf(aRequest.mPath);
    const std::optional<std::string> name = aRequest.mWorkspace
                                              ? aRequest.mWorkspace
                                              : mConfig.HolderOf(aRequest.mKey);
    const auto it =
      name ? mConfig.mWorkspaces.find(*name) : mConfig.mWorkspaces.end();
    std::vector<ModelHomes> homes{ it == mConfig.mWorkspaces.end()
                                     ? aRequest.mWorkspaceHomes
                                     : it->second.mHomes };
    if (route != nullptr) {
      homes.push_back(route->second);
    }
    // The former route's homes stay in force when another one takes over.
    if (route == nullptr || route->first != aRequest.mRoutePrefix) {
      homes.push_back(aRequest.mRouteHomes);
    }
    return homes;
  }

  bool IsRestricted(const ModelRequest& aRequest) const
  {
    const std::vector<ModelHomes> homes = Homes(aRequest);
    return !mHasNewest || std::any_of(homes.begin(),
                                      homes.end(),
                                      [](const ModelHomes& aHomes) {
                                        return aHomes.mIsRestricted;
                                      });
  }

  bool IsAllowedIn(const ModelRequest& aRequest,
                   const std::optional<std::string>& aRegion) const
  {
    const std::vector<ModelHomes> homes = Homes(aRequest);
    return mHasNewest && std::all_of(homes.begin(),
                                     homes.end(),
                                     [&](const ModelHomes& aHomes) {
                                       return aHomes.Allows(aRegion);
                                     });
  }

  std::optional<std::string> RegionOf(const std::string& aDataCentre) const
  {
    const auto it = mRegions.find(aDataCentre);
    return it == mRegions.end() ? std::nullopt
                                : std::optional<std::string>{ it->second };
  }

  Outcome Expected(const ModelRequest& aRequest,
                   const UpstreamTarget& aTarget,
                   SendPurpose aPurpose) const
  {
    const auto it = mUpstreams.find(aTarget.mId);
    if (it == mUpstreams.end() ||
        it->second.mRecord.mAddress != aTarget.mAddress ||
        it->second.mRecord.mStartedMs != aTarget.mStartedMs) {
      return Outcome::Unreachable;
    }
    const UpstreamRecord& record = it->second.mRecord;
    if (aPurpose == SendPurpose::Request && !mState.mIsFresh) {
      return Outcome::TooOld;
    }
    if (aPurpose != SendPurpose::Continuation &&
        (record.mIsDraining || mDrained.count(record.mDataCentre) != 0)) {
      return Outcome::Unreachable;
    }
    if (IsRestricted(aRequest) && !mState.mAreRegionsFresh) {
      return Outcome::TooOld;
    }
    for (const auto& [id, other] : mUpstreams) {
      if (other.mRecord.mAddress == record.mAddress &&
          !IsAllowedIn(aRequest, RegionOf(other.mRecord.mDataCentre))) {
        return Outcome::Outside;
      }
    }
    return Outcome::Cleared;
  }

  void CheckRegions(const SendGate& aGate, const ModelRequest& aRequest) const
  {
    const AllowedRegions regions = aGate.RegionsFor(aRequest.mOrigin);
    bool hasDataCentre = false;
    for (const char* region : kRegionNames) {
      EXPECT_EQ(regions.Allows(region), IsAllowedIn(aRequest, region))
        << aRequest.mPath << " key " << aRequest.mKey << " in " << region;
    }
    for (const auto& [dataCentre, region] : mRegions) {
      hasDataCentre = hasDataCentre || IsAllowedIn(aRequest, region);
    }
    EXPECT_EQ(aGate.HasDataCentre(regions), hasDataCentre);
  }

  std::mt19937 mEngine;
  GateState mState;
  int mNow = 0;
  int mGraceEnd = -1;
  std::uint64_t mVersion = 0;
  bool mHasNewest = true;
  ModelConfig mConfig;
  std::map<std::string, std::string> mRegions;
  std::set<std::string> mDrained;
  std::map<std::string, ModelUpstream> mUpstreams;
  /// Starts of upstreams that have once stated that they are draining.
  std::set<std::pair<std::string, std::int64_t>> mDrainingStarts;
  std::vector<ModelRequest> mRequests;
  int mClearances = 0;
};

} // namespace

// A sequence of changes left the gate with a decision by an older state.
TEST(SendGateModelTest, ClearsAsTheModelDoesAfterEveryChange)
{
  constexpr std::uint32_t kSeeds = 200;
  constexpr int kSteps = 50;
  int clearances = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    GateModel model{ seed };
    for (int step = 0; step < kSteps; ++step) {
      SCOPED_TRACE(step);
      model.Step();
      model.Check();
    }
    clearances += model.Clearances();
    if (HasFailure()) {
      return;
    }
  }
  // Most sequences must give clearances, or the comparison shows nothing.
  EXPECT_GT(clearances, static_cast<int>(kSeeds) * kSteps);
}

} // namespace cactusgw::test
