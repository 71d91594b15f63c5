#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

Task<void>
RespondOk(ScriptedExchange& aExchange)
{
  co_await aExchange.Answer(200, "Seal: s\r\n", "body");
}

Task<void>
RespondWithEvents(ScriptedExchange& aExchange)
{
  co_await aExchange.Answer(
    200, "Seal: s\r\n", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

/// One route of the standard configuration and the service behind it.
struct RouteCase
{
  const char* mTarget;
  const char* mService;
};

std::ostream&
operator<<(std::ostream& aOut, const RouteCase& aCase)
{
  return aOut << aCase.mTarget;
}

} // namespace

/// Data centre "dc-a" is in region "north", "dc-b" in "south".
class HomeRegionsTest : public GatewayTest
{
protected:
  /// Lets the gateway start to wait for an upstream, then runs the function.
  void Soon(std::function<void()> aFunction)
  {
    net::co_spawn(
      mContext,
      [this, function = std::move(aFunction)]() -> Task<void> {
        net::steady_timer timer{ mContext };
        timer.expires_after(Milliseconds{ 100 });
        co_await timer.async_wait(net::use_awaitable);
        function();
      },
      net::detached);
  }

  /// Runs the event loop until the condition holds, for two seconds at most.
  static Task<void> Until(std::function<bool()> aCondition)
  {
    const Instant end = SteadyNow() + Milliseconds{ 2000 };
    while (!aCondition() && SteadyNow() < end) {
      co_await net::post(net::use_awaitable);
    }
  }

  static Task<void> RefuseAsNotRun(ScriptedExchange& aExchange)
  {
    co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
  }
};

class HomeRegionsOfRouteTest
  : public HomeRegionsTest
  , public ::testing::WithParamInterface<RouteCase>
{};

INSTANTIATE_TEST_SUITE_P(AllRoutes,
                         HomeRegionsOfRouteTest,
                         ::testing::Values(RouteCase{ "/read/x", "app" },
                                           RouteCase{ "/write/x", "app" },
                                           RouteCase{ "/stream/x", "engine" },
                                           RouteCase{ "/resumable/x",
                                                      "engine" }));

// A request waited for an upstream under the homes of an older configuration,
// and was then sent to a region that the newest one excludes.
TEST_P(HomeRegionsOfRouteTest, HomesAddedDuringTheWaitBind)
{
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  mGateway->OnUpstreamChanges({ { "south", std::nullopt } });
  Soon([this] {
    Configure(
      2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
    Register("south");
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
    EXPECT_FALSE(response.mRetryAfter.empty());
  });
  EXPECT_TRUE(south.Requests().empty());
}

// Homes that were removed or moved during the wait must not hold back a
// request that the newest configuration allows.
TEST_P(HomeRegionsOfRouteTest, HomesMovedDuringTheWaitAreFollowed)
{
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  Soon([this] {
    Configure(
      3, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "south" }); });
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 200);
  });
  EXPECT_EQ(south.Requests().size(), 1U);
}

// A retry went to a region that the newest configuration excludes.
TEST_P(HomeRegionsOfRouteTest, HomesAddedBeforeARetryBind)
{
  AddUpstream("north",
              GetParam().mService,
              [this](ScriptedExchange& aExchange) -> Task<void> {
                Configure(2, [](GatewayConfig& aConfig) {
                  SetAllHomes(aConfig, { "north" });
                });
                co_await RefuseAsNotRun(aExchange);
              });
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 1U);
  EXPECT_TRUE(south.Requests().empty());
}

// The homes of a workspace change like those of a route.
TEST_P(HomeRegionsOfRouteTest, HomesOfTheWorkspaceAddedBeforeARetryBind)
{
  AddUpstream("north",
              GetParam().mService,
              [this](ScriptedExchange& aExchange) -> Task<void> {
                Configure(2, [](GatewayConfig& aConfig) {
                  SetHomes(aConfig.mWorkspaces[0], { "north" });
                });
                co_await RefuseAsNotRun(aExchange);
              });
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
  });
  EXPECT_TRUE(south.Requests().empty());
}

// The body of a request reached the region of an upstream that had taken over
// the address of one in a home region, before its registration had expired.
TEST_P(HomeRegionsOfRouteTest, AnAddressThatIsAlsoRegisteredElsewhereIsNotUsed)
{
  ScriptedUpstream& shared =
    AddUpstream("a-north", GetParam().mService, &RespondWithEvents);
  AddUpstream("b-south", "other", &RespondWithEvents, "dc-b");
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  UpstreamRecord south = mGateway->State().mDirectory.Find("b-south")->mRecord;
  south.mAddress = shared.Address();
  south.mStartedMs = 1;
  mGateway->OnUpstreamChanges({ { "b-south", south } });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(shared.Requests().empty());
}

// An upstream in a data centre of no known region is in no home.
TEST_P(HomeRegionsOfRouteTest, AnUpstreamOfUnknownRegionIsNotUsed)
{
  ScriptedUpstream& unknown =
    AddUpstream("u", GetParam().mService, &RespondWithEvents, "dc-x");
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(unknown.Requests().empty());
}

// A request that may be served in no data centre waited for nothing.
TEST_P(HomeRegionsOfRouteTest, WithoutADataCentreInItsHomesItIsRefusedAtOnce)
{
  ScriptedUpstream& north =
    AddUpstream("north", GetParam().mService, &RespondWithEvents);
  StartGateway();
  Configure(
    2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "elsewhere" }); });
  const Instant begun = SteadyNow();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
    EXPECT_EQ(response.mRetryAfter, "5.000");
  });
  EXPECT_LT(SteadyNow() - begun, Milliseconds{ 400 });
  EXPECT_TRUE(north.Requests().empty());
}

// Homes of route and workspace that have nothing in common allow no upstream.
TEST_P(HomeRegionsOfRouteTest, HomesOfRouteAndWorkspaceBothBind)
{
  AddUpstream("north", GetParam().mService, &RespondWithEvents);
  AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    SetAllHomes(aConfig, { "north" });
    SetHomes(aConfig.mWorkspaces[0], { "south" });
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(mUpstreams[0]->Requests().empty());
  EXPECT_TRUE(mUpstreams[1]->Requests().empty());
}

// The newest configuration can't be read, so that its homes are unknown.
TEST_P(HomeRegionsOfRouteTest, AnUnreadableConfigurationAllowsNoRegion)
{
  ScriptedUpstream& north =
    AddUpstream("north", GetParam().mService, &RespondWithEvents);
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    for (GatewayRoute& route : aConfig.mRoutes) {
      route.mIsPublic = true;
    }
  });
  mGateway->OnConfigUnusable(
    NotRun(FailureCode::InvalidInput, "routes: is not an array"));
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(north.Requests().empty());
}

// A gateway that was cut off from the store or suspended sent by homes that had
// changed meanwhile.
TEST_P(HomeRegionsOfRouteTest, HomesOfAnOldConfigurationAreNotTrusted)
{
  mSettings.mBounds.mHomeFreshness = Milliseconds{ 4000 };
  mConfigAge = Milliseconds{ 5000 };
  ScriptedUpstream& north =
    AddUpstream("north", GetParam().mService, &RespondWithEvents);
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse unrestricted =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(unrestricted.mStatus, 200);
    Configure(
      2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
    const ClientResponse old =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(old.mStatus, 503);
    mGateway->OnConfigConfirmed(BootNow());
    const ClientResponse confirmed =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(confirmed.mStatus, 200);
  });
  EXPECT_EQ(north.Requests().size(), 2U);
}

// A route that has lost its regions to a shorter prefix of the newest version
// kept none of them.
TEST_P(HomeRegionsOfRouteTest, HomesOfARemovedRouteOutliveIt)
{
  const std::string target = GetParam().mTarget;
  AddUpstream("north",
              GetParam().mService,
              [this](ScriptedExchange& aExchange) -> Task<void> {
                Configure(3, [](GatewayConfig& aConfig) {
                  GatewayRoute all = aConfig.mRoutes[0];
                  all.mPathPrefix = "/";
                  aConfig.mRoutes = { all };
                });
                co_await RefuseAsNotRun(aExchange);
              });
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::post, target));
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 1U);
  EXPECT_TRUE(south.Requests().empty());
}

// A route moved to another service and region at once; the request went to the
// former service in the new region, which no version allows.
TEST_P(HomeRegionsOfRouteTest, HomesOfAnotherServiceDontOpenTheFormerOne)
{
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  Soon([this] {
    Configure(3, [](GatewayConfig& aConfig) {
      for (GatewayRoute& route : aConfig.mRoutes) {
        route.mTargets = { { "other", 1 } };
      }
      SetAllHomes(aConfig, { "south" });
    });
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(south.Requests().empty());
}

// A request that waited for its region held up requests that may go elsewhere.
TEST_F(HomeRegionsTest, AWaitForOneRegionHoldsUpNoOtherRequests)
{
  ScriptedUpstream& south = AddUpstream("south", "app", &RespondOk, "dc-b");
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    SetHomes(aConfig.mRoutes[0], { "north" });
  });
  std::size_t served = 0;
  Soon([&] {
    net::co_spawn(
      mContext,
      [&]() -> Task<void> {
        const ClientResponse free =
          co_await Call(MakeRequest(http::verb::post, "/write/x"));
        served += free.mStatus == 200 ? 1 : 0;
      },
      net::detached);
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::get, "/read/x"));
    EXPECT_EQ(response.mStatus, 503);
    EXPECT_EQ(served, 1U);
  });
  EXPECT_EQ(south.Requests().size(), 1U);
}

// A gateway that was cut off didn't know that a route without homes had been
// given some, and no age ended its service without a key.
TEST_F(HomeRegionsTest, NothingIsSentByAConfigurationThatIsTooOld)
{
  mSettings.mBounds.mKeyFreshness = Milliseconds{ 4000 };
  mConfigAge = Milliseconds{ 5000 };
  ScriptedUpstream& north = AddUpstream("north", "app", &RespondOk);
  StartGateway();
  Configure(
    2, [](GatewayConfig& aConfig) { aConfig.mRoutes[0].mIsPublic = true; });
  Run([&]() -> Task<void> {
    HttpRequest withoutKey = MakeRequest(http::verb::get, "/read/x");
    withoutKey.erase(http::field::authorization);
    const ClientResponse response = co_await Call(std::move(withoutKey));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(north.Requests().empty());
}

// On a route that needs no key, the homes of the workspace whose key the client
// sent were left out.
TEST_F(HomeRegionsTest, AKeyBindsItsWorkspacesHomesOnAPublicRoute)
{
  ScriptedUpstream& south = AddUpstream("south", "app", &RespondOk, "dc-b");
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    aConfig.mRoutes[0].mIsPublic = true;
    SetHomes(aConfig.mWorkspaces[0], { "north" });
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::get, "/read/x"));
    EXPECT_EQ(response.mStatus, 503);
    HttpRequest withoutKey = MakeRequest(http::verb::get, "/read/x");
    withoutKey.erase(http::field::authorization);
    const ClientResponse free = co_await Call(std::move(withoutKey));
    EXPECT_EQ(free.mStatus, 200);
  });
  EXPECT_EQ(south.Requests().size(), 1U);
}

// A route without a key is bound by its own homes.
TEST_F(HomeRegionsTest, HomesOfAPublicRouteBindWithoutAKey)
{
  ScriptedUpstream& south = AddUpstream("south", "app", &RespondOk, "dc-b");
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    aConfig.mRoutes[0].mIsPublic = true;
    SetHomes(aConfig.mRoutes[0], { "north" });
  });
  Run([&]() -> Task<void> {
    HttpRequest withoutKey = MakeRequest(http::verb::get, "/read/x");
    withoutKey.erase(http::field::authorization);
    const ClientResponse response = co_await Call(std::move(withoutKey));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(south.Requests().empty());
}

// A workspace keeps its homes when the key of a waiting request is taken away.
TEST_F(HomeRegionsTest, HomesOfAWorkspaceOutliveItsKey)
{
  AddUpstream(
    "north", "app", [this](ScriptedExchange& aExchange) -> Task<void> {
      Configure(2, [](GatewayConfig& aConfig) {
        aConfig.mWorkspaces[0].mKeys = { "other" };
        SetHomes(aConfig.mWorkspaces[0], { "north" });
      });
      co_await RefuseAsNotRun(aExchange);
    });
  ScriptedUpstream& south = AddUpstream("south", "app", &RespondOk, "dc-b");
  StartGateway();
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::get, "/read/x"));
  });
  EXPECT_TRUE(south.Requests().empty());
}

// A route got homes and was then removed while a request was in progress, which
// was retried by the homes of the version that admitted it.
TEST_P(HomeRegionsOfRouteTest, HomesOfTheLastVersionWithTheRouteBind)
{
  AddUpstream(
    "north",
    GetParam().mService,
    [this](ScriptedExchange& aExchange) -> Task<void> {
      Configure(
        2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
      Configure(3, [](GatewayConfig& aConfig) { aConfig.mRoutes.clear(); });
      co_await RefuseAsNotRun(aExchange);
    });
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 1U);
  EXPECT_TRUE(south.Requests().empty());
}

// The same for the homes of a workspace.
TEST_P(HomeRegionsOfRouteTest, HomesOfTheLastVersionWithTheWorkspaceBind)
{
  AddUpstream(
    "north",
    GetParam().mService,
    [this](ScriptedExchange& aExchange) -> Task<void> {
      Configure(2, [](GatewayConfig& aConfig) {
        SetHomes(aConfig.mWorkspaces[0], { "north" });
      });
      Configure(3, [](GatewayConfig& aConfig) { aConfig.mWorkspaces.clear(); });
      co_await RefuseAsNotRun(aExchange);
    });
  ScriptedUpstream& south =
    AddUpstream("south", GetParam().mService, &RespondWithEvents, "dc-b");
  StartGateway();
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 1U);
  EXPECT_TRUE(south.Requests().empty());
}

// A stream that broke off was resumed in a region that the newest
// configuration excludes.
TEST_F(HomeRegionsTest, HomesAddedDuringAStreamBindItsContinuation)
{
  AddUpstream(
    "north", "engine", [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk("id: 1\ndata: x\n\n");
      Configure(
        2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
      aExchange.Close();
    });
  ScriptedUpstream& south =
    AddUpstream("south", "engine", &RespondWithEvents, "dc-b");
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/resumable/x"));
    EXPECT_FALSE(response.mIsWhole);
  });
  EXPECT_TRUE(south.Requests().empty());
}

// An upstream that moved to another region under its ID was used by its former
// place.
TEST_F(HomeRegionsTest, AnUpstreamThatMovedIsJudgedByItsNewRegion)
{
  ScriptedUpstream& moved = AddUpstream("u", "app", &RespondOk);
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  Run([&]() -> Task<void> {
    const ClientResponse before =
      co_await Call(MakeRequest(http::verb::get, "/read/x"));
    EXPECT_EQ(before.mStatus, 200);
    UpstreamRecord record = mGateway->State().mDirectory.Find("u")->mRecord;
    record.mDataCentre = "dc-b";
    mGateway->OnUpstreamChanges({ { "u", record } });
    const ClientResponse after =
      co_await Call(MakeRequest(http::verb::get, "/read/x"));
    EXPECT_EQ(after.mStatus, 503);
  });
  EXPECT_EQ(moved.Requests().size(), 1U);
}

// New settings may name another region for a data centre.
TEST_F(HomeRegionsTest, RegionsOfNewSettingsBind)
{
  ScriptedUpstream& upstream = AddUpstream("u", "app", &RespondOk);
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  GatewaySettings settings = mSettings;
  settings.mRegions = { { "dc-a", "south" }, { "dc-b", "north" } };
  mGateway->Reload(settings);
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::get, "/read/x"));
    EXPECT_EQ(response.mStatus, 503);
  });
  EXPECT_TRUE(upstream.Requests().empty());
}

// The state of a generation was copied to an upstream in a region that the
// newest configuration excludes.
TEST_F(HomeRegionsTest, HomesAddedDuringAGenerationBindItsMigration)
{
  AddUpstream(
    "a-source", "engine", [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk("id: 1\ndata: x\n\n");
      Configure(
        2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "south" }); });
      Drain("a-source");
      net::steady_timer timer{ mContext };
      timer.expires_after(Milliseconds{ 200 });
      co_await timer.async_wait(net::use_awaitable);
      aExchange.Close();
    });
  ScriptedUpstream& target =
    AddUpstream("b-target", "engine", &RespondWithEvents);
  StartGateway();
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::post, "/stream/x"));
  });
  EXPECT_TRUE(mCopies.empty());
  EXPECT_TRUE(target.Requests().empty());
}

// Homes that change while the state of a generation is copied bind the rest of
// the copy, and what was copied is freed.
TEST_F(HomeRegionsTest, HomesAddedDuringACopyBindTheRestOfIt)
{
  int stops = 0;
  mControl.mCopy = [&](CopyOrder aOrder) -> Task<CopyReply> {
    stops += aOrder.mStops ? 1 : 0;
    Configure(
      2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "south" }); });
    co_return CopyReply{ CopyOutcome::Copied, "handle" };
  };
  AddUpstream(
    "a-source", "engine", [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk("id: 1\ndata: x\n\n");
      Drain("a-source");
      co_await Until([this] { return !mFreed.empty(); });
      aExchange.Close();
    });
  ScriptedUpstream& target =
    AddUpstream("b-target", "engine", &RespondWithEvents);
  StartGateway();
  Run([&]() -> Task<void> {
    co_await Call(MakeRequest(http::verb::post, "/stream/x"));
  });
  EXPECT_EQ(stops, 0);
  EXPECT_EQ(mFreed, std::vector<std::string>{ "handle" });
  EXPECT_TRUE(target.Requests().empty());
}

// A copy that was made before the homes changed must not be continued.
TEST_F(HomeRegionsTest, HomesAddedAfterAMigrationBindItsContinuation)
{
  mControl.mCopy = [this](CopyOrder aOrder) -> Task<CopyReply> {
    if (aOrder.mStops) {
      Configure(
        2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "south" }); });
    }
    co_return CopyReply{ CopyOutcome::Copied, "handle" };
  };
  AddUpstream(
    "a-source", "engine", [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk("id: 1\ndata: x\n\n");
      Drain("a-source");
      net::steady_timer timer{ mContext };
      timer.expires_after(Milliseconds{ 200 });
      co_await timer.async_wait(net::use_awaitable);
      aExchange.Close();
    });
  ScriptedUpstream& target =
    AddUpstream("b-target", "engine", &RespondWithEvents);
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_FALSE(response.mIsWhole);
    co_await Until([this] { return !mFreed.empty(); });
  });
  EXPECT_TRUE(target.Requests().empty());
}

} // namespace cactusgw::test
