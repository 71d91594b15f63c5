#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <gmock/gmock.h>

namespace cactusgw::test {

namespace {

using ::testing::HasSubstr;

Script
RespondWith(unsigned aStatus, std::string aHeaders)
{
  return [aStatus, aHeaders = std::move(aHeaders)](
           ScriptedExchange& aExchange) -> Task<void> {
    // Also a whole event of a stream.
    co_await aExchange.Answer(aStatus, aHeaders, "id: 1\ndata: x\n\n");
  };
}

const char* const kRefusal = "Not-Run: 1\r\nRetry-After: 30.5\r\n";

} // namespace

class UpstreamPauseTest : public GatewayTest
{
protected:
  /// Sends requests one after the other; keeps the last response.
  void CallTimes(int aTimes, const std::string& aTarget = "/write/x")
  {
    Run([&]() -> Task<void> {
      for (int n = 0; n < aTimes; ++n) {
        mLast = co_await Call(MakeRequest(http::verb::post, aTarget));
      }
    });
  }

  /// Checks that the last request was refused without waiting, and told when
  /// the pause of kRefusal ends.
  void ExpectRefusedUntilThePauseEnds()
  {
    EXPECT_EQ(mLast.mStatus, 503U);
    ASSERT_FALSE(mLast.mRetryAfter.empty());
    EXPECT_GT(std::stod(mLast.mRetryAfter), 20);
    EXPECT_LE(std::stod(mLast.mRetryAfter), 30.5);
    EXPECT_THAT(mGateway->State().mMetrics.Write(),
                HasSubstr("cactusgw_waits_total 0\n"));
  }

  ClientResponse mLast;
};

class PausedPathTest
  : public UpstreamPauseTest
  , public ::testing::WithParamInterface<const char*>
{};

// An upstream that refused a request and stated when to come back went on
// getting requests.
TEST_P(PausedPathTest, AnUpstreamGetsNothingUntilItsPauseEnds)
{
  ScriptedUpstream& app = AddUpstream("a", "app", RespondWith(503, kRefusal));
  ScriptedUpstream& engine =
    AddUpstream("b", "engine", RespondWith(503, kRefusal));
  StartGateway();
  CallTimes(3, GetParam());
  EXPECT_EQ(app.Requests().size() + engine.Requests().size(), 1U);
  ExpectRefusedUntilThePauseEnds();
  // Another upstream serves meanwhile.
  AddUpstream("c", "app", RespondWith(200, "Seal: s\r\n"));
  AddUpstream("d", "engine", RespondWith(200, "Seal: s\r\n"));
  Register("c");
  Register("d");
  CallTimes(1, GetParam());
  EXPECT_EQ(mLast.mStatus, 200U);
  EXPECT_EQ(app.Requests().size() + engine.Requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
  RouteKinds,
  PausedPathTest,
  ::testing::Values("/read/x", "/write/x", "/stream/x", "/resumable/x"));

// Without the proof that the request did not run, the pause holds all the same.
TEST_F(UpstreamPauseTest, ARefusalThatMayHaveRunPausesTheUpstreamToo)
{
  ScriptedUpstream& paused =
    AddUpstream("a", "app", RespondWith(503, "Retry-After: 30.5\r\n"));
  StartGateway();
  CallTimes(1);
  EXPECT_EQ(mLast.mStatus, 502U);
  CallTimes(1);
  ExpectRefusedUntilThePauseEnds();
  EXPECT_EQ(paused.Requests().size(), 1U);
}

TEST_F(UpstreamPauseTest, AnUpstreamGetsRequestsAgainAfterThePause)
{
  ScriptedUpstream& paused = AddUpstream(
    "a", "app", RespondWith(503, "Not-Run: 1\r\nRetry-After: 0.4\r\n"));
  StartGateway();
  const Instant begun = SteadyNow();
  const Instant end = begun + std::chrono::seconds{ 10 };
  while (paused.Requests().size() < 2 && SteadyNow() < end) {
    CallTimes(1, "/read/x");
  }
  EXPECT_EQ(paused.Requests().size(), 2U);
  EXPECT_GE(SteadyNow() - begun, Milliseconds{ 400 });
}

// Clients waited for a place that they could not get, and came back too early.
TEST_F(UpstreamPauseTest, ARequestWithoutUnpausedUpstreamsIsRefusedAtOnce)
{
  AddUpstream(
    "a", "app", RespondWith(503, "Not-Run: 1\r\nRetry-After: 90\r\n"));
  AddUpstream("b", "app", RespondWith(503, kRefusal));
  StartGateway();
  CallTimes(1, "/read/x");
  ExpectRefusedUntilThePauseEnds();
  CallTimes(1, "/write/x");
  ExpectRefusedUntilThePauseEnds();
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 1U);
  EXPECT_EQ(mUpstreams[1]->Requests().size(), 1U);
}

// Upstreams that the request may not go to don't count.
TEST_F(UpstreamPauseTest, UpstreamsInOtherRegionsGiveNoHope)
{
  AddUpstream("a", "app", RespondWith(503, kRefusal));
  AddUpstream("b", "app", RespondWith(200, "Seal: s\r\n"), "dc-b");
  StartGateway();
  Configure(2,
            [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
  CallTimes(2);
  ExpectRefusedUntilThePauseEnds();
}

TEST_F(UpstreamPauseTest, APauseHoldsForOneStartOnly)
{
  ScriptedUpstream& paused =
    AddUpstream("a", "app", RespondWith(503, kRefusal));
  AddUpstream("b", "app", RespondWith(200, "Seal: s\r\n"));
  StartGateway();
  CallTimes(1);
  mGateway->OnUpstreamChanges({ { "a", std::nullopt } });
  Register("a");
  CallTimes(3);
  EXPECT_EQ(paused.Requests().size(), 1U);
  Register("a", 2);
  CallTimes(1);
  EXPECT_EQ(paused.Requests().size(), 2U);
}

// A request is selected for an upstream, waits for a connection, and must not
// be sent when a pause has begun meanwhile.
TEST_F(UpstreamPauseTest, TheGateRefusesNewRequestsAndAFurtherContinuation)
{
  AddUpstream("a", "app", RespondWith(200, "Seal: s\r\n"));
  StartGateway();
  GatewayState& state = mGateway->State();
  const KnownUpstream upstream = *state.mDirectory.Find("a");
  const UpstreamTarget target = TargetOf(upstream.mRecord);
  RequestOrigin origin;
  origin.mHost = "host.test";
  origin.mPath = "/write/x";
  origin.mKey = "key";
  const auto clears = [&](SendPurpose aPurpose) {
    return state.Gate(BootNow()).Clear(origin, target, aPurpose).has_value();
  };
  EXPECT_TRUE(clears(SendPurpose::Request));
  state.mPauses.OnRefusal({ "a", 0 }, Milliseconds{ 60'000 }, SteadyNow());
  EXPECT_FALSE(clears(SendPurpose::Request));
  for (std::uint32_t n = 0; n < UpstreamPauses::kMaxContinuations; ++n) {
    EXPECT_TRUE(clears(SendPurpose::Continuation));
    state.OnSent(upstream, SteadyNow());
  }
  EXPECT_FALSE(clears(SendPurpose::Continuation));
}

class UnpausedResponseTest
  : public UpstreamPauseTest
  , public ::testing::WithParamInterface<Script>
{};

// Responses that ask for no pause took their upstream out of service.
TEST_P(UnpausedResponseTest, TheUpstreamKeepsGettingRequests)
{
  ScriptedUpstream& upstream = AddUpstream("a", "app", GetParam());
  StartGateway();
  CallTimes(1);
  CallTimes(1);
  EXPECT_EQ(upstream.Requests().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  UnpausedResponseTest,
  ::testing::Values(RespondWith(200, "Seal: s\r\nRetry-After: 30\r\n"),
                    RespondWith(429, "Not-Run: 1\r\nRetry-After: 30\r\n"),
                    RespondWith(503, "Not-Run: 1\r\nRetry-After: 0\r\n"),
                    RespondWith(503, "Not-Run: 1\r\nRetry-After: -30\r\n"),
                    RespondWith(503, "Not-Run: 1\r\nRetry-After: soon\r\n"),
                    RespondWith(503, "Not-Run: 1\r\n"),
                    [](ScriptedExchange& aExchange) -> Task<void> {
                      co_await aExchange.Write(
                        "HTTP/1.1 503 x\r\nRequest-Id: other\r\n"
                        "Retry-After: 30\r\nContent-Length: 0\r\n\r\n");
                      co_await aExchange.Answer(
                        200, "Seal: s\r\nRequest-Id: r-1\r\n", "x");
                    }));

} // namespace cactusgw::test
