#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw::test {

namespace {

Script
RespondWith(std::string aHeaders)
{
  return [aHeaders =
            std::move(aHeaders)](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(200, aHeaders, "id: 1\ndata: x\n\n");
  };
}

} // namespace

class StatedLimitTest : public GatewayTest
{
protected:
  /// Sends requests for some time, one after the other.
  void CallFor(Milliseconds aTime, const std::string& aTarget)
  {
    Run([&]() -> Task<void> {
      const Instant end = SteadyNow() + aTime;
      while (SteadyNow() < end) {
        const ClientResponse response =
          co_await Call(MakeRequest(http::verb::post, aTarget));
        ++mResponses[response.mStatus];
        net::steady_timer timer{ mContext, Milliseconds{ 10 } };
        co_await timer.async_wait(net::use_awaitable);
      }
    });
  }

  /// What a limit of some requests a second allows this gateway, which counts
  /// as one of kMinGateways, within a time; with the requests that were sent
  /// before the limit was known.
  static std::size_t Allowed(double aPerSecond, Milliseconds aTime)
  {
    const std::chrono::duration<double> seconds = aTime;
    constexpr double kKnownLate = 5;
    return static_cast<std::size_t>(LimitPacer::kMaxBoost * aPerSecond *
                                      seconds.count() /
                                      GatewayState::kMinGateways +
                                    1 + kKnownLate);
  }

  std::map<unsigned, std::size_t> mResponses;
};

class LimitedPathTest
  : public StatedLimitTest
  , public ::testing::WithParamInterface<const char*>
{};

// An upstream that stated a limit went on getting as many requests as before.
TEST_P(LimitedPathTest, AnUpstreamGetsNoMoreThanItStates)
{
  const Script limited = RespondWith("Seal: s\r\nRate-Limit: 8.0\r\n");
  AddUpstream("a-limited", "app", limited);
  AddUpstream("b", "app", RespondWith("Seal: s\r\n"));
  AddUpstream("c-limited", "engine", limited);
  AddUpstream("d", "engine", RespondWith("Seal: s\r\n"));
  StartGateway();
  constexpr Milliseconds kTime{ 1500 };
  CallFor(kTime, GetParam());
  for (const std::size_t i : { 0, 2 }) {
    EXPECT_LE(mUpstreams[i]->Requests().size(), Allowed(8.0, kTime));
  }
  // The other upstream serves the rest.
  EXPECT_EQ(mResponses.size(), 1U);
  EXPECT_GT(mResponses[200], 50U);
}

INSTANTIATE_TEST_SUITE_P(
  RouteKinds,
  LimitedPathTest,
  ::testing::Values("/read/x", "/write/x", "/stream/x", "/resumable/x"));

// Retries went to an upstream whatever limit it had stated.
TEST_F(StatedLimitTest, RetriesCountTowardsTheLimit)
{
  AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    aExchange.Close(true);
    co_return;
  });
  ScriptedUpstream& limited =
    AddUpstream("b", "app", RespondWith("Seal: s\r\nRate-Limit: 8.0\r\n"));
  StartGateway();
  constexpr Milliseconds kTime{ 1500 };
  CallFor(kTime, "/read/x");
  EXPECT_LE(limited.Requests().size(), Allowed(8.0, kTime));
}

// A refusal states the limit as well.
TEST_F(StatedLimitTest, ARefusalStatesTheLimitToo)
{
  AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(503, "Not-Run: 1\r\nRate-Limit: 0.5\r\n", "");
  });
  AddUpstream("b", "app", RespondWith("Seal: s\r\n"));
  StartGateway();
  CallFor(Milliseconds{ 100 }, "/read/x");
  EXPECT_EQ(mGateway->State().mStatedLimits.PerSecond("a"), 0.5);
  EXPECT_EQ(mGateway->State().mStatedLimits.PerSecond("b"), std::nullopt);
}

// A request that no upstream may get has not run, and is told when to return.
TEST_F(StatedLimitTest, RequestsBeyondAllLimitsAreRefusedAsNotRun)
{
  ScriptedUpstream& only =
    AddUpstream("a", "app", RespondWith("Seal: s\r\nRate-Limit: 0.3\r\n"));
  StartGateway();
  CallFor(Milliseconds{ 100 }, "/write/x");
  const std::size_t arrivals = only.Requests().size();
  Run([&]() -> Task<void> {
    const ClientResponse refused =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(refused.mStatus, 503U);
    EXPECT_FALSE(refused.mRetryAfter.empty());
  });
  EXPECT_EQ(only.Requests().size(), arrivals);
}

} // namespace cactusgw::test
