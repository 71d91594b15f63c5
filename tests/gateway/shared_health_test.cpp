/// A gateway with the feature "health", between upstreams that fail and the
/// counts that other gateways report.

#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

namespace cactusgw::test {

namespace {

Script
RespondWith(unsigned aStatus)
{
  return [aStatus](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(aStatus, "Seal: s\r\n", "x");
  };
}

} // namespace

class SharedHealthTest : public GatewayTest
{
protected:
  void Start()
  {
    AddUpstream("bad", "app", RespondWith(500));
    for (const char* const id : { "b", "c", "d" }) {
      AddUpstream(id, "app", RespondWith(200));
    }
    mSettings.mFeatures.insert(std::string{ kSharedHealthFeature });
    StartGateway();
  }
  void ReportOfOthers(std::uint32_t aAnswers, std::uint32_t aFailures)
  {
    GatewayState& state = mGateway->State();
    LoadByUpstream loads;
    for (const char* const id : { "bad", "b", "c", "d" }) {
      loads[id].mRecentAnswers = 40;
    }
    loads["bad"].mRecentAnswers = aAnswers;
    loads["bad"].mRecentFailures = aFailures;
    state.mLoads.SetOthers(Aggregate(loads), SteadyNow());
    mAt += Milliseconds{ 200 };
    state.UpdateOutliers(SteadyNow() + mAt);
  }
  std::size_t CallsOfBad(int aRequests)
  {
    const std::size_t before = mUpstreams.front()->Requests().size();
    Run([&]() -> Task<void> {
      for (int n = 0; n < aRequests; ++n) {
        co_await Call(MakeRequest(http::verb::post, "/write/x"));
      }
    });
    return mUpstreams.front()->Requests().size() - before;
  }

  Milliseconds mAt{ 0 };
};

// Each gateway had to send requests of its own to an upstream that others knew
// to fail.
TEST_F(SharedHealthTest, AnUpstreamThatFailsForOthersGetsNoRequest)
{
  Start();
  ReportOfOthers(20, 20);
  EXPECT_EQ(CallsOfBad(20), 0U);
}

// The counts of the former start ejected the next one.
TEST_F(SharedHealthTest, AnUpstreamThatRestartsGetsRequests)
{
  Start();
  ReportOfOthers(20, 20);
  ASSERT_EQ(mGateway->State().mOutliers.at("app").EjectedCount(), 1U);
  Register("bad", 5000);
  ReportOfOthers(20, 20); // Of gateways that don't know of the restart yet.
  EXPECT_EQ(mGateway->State().mOutliers.at("app").EjectedCount(), 0U);
  EXPECT_GT(CallsOfBad(20), 0U);
}

// A late response of the former start was counted for the next one.
TEST_F(SharedHealthTest, ResponsesOfAFormerStartDoNotCount)
{
  Start();
  Register("bad", 5000);
  GatewayState& state = mGateway->State();
  state.OnResponse({ "bad", 0 }, true, SteadyNow());
  EXPECT_EQ(state.mLoads.Total("bad", SteadyNow()).mRecentAnswers, 0U);
  state.OnResponse({ "bad", 5000 }, true, SteadyNow());
  EXPECT_EQ(state.mLoads.Total("bad", SteadyNow()).mRecentFailures, 1U);
}

TEST_F(SharedHealthTest, WithoutTheFeatureNothingIsCountedOrEjected)
{
  Start();
  mSettings.mFeatures.clear();
  mGateway->State().Reload(mSettings);
  ReportOfOthers(20, 20);
  EXPECT_TRUE(mGateway->State().mOutliers.empty());
  EXPECT_GT(CallsOfBad(20), 0U);
  // Not the total: what others have reported is replaced at the next tick.
  for (const auto& [upstream, load] : mGateway->State().mLoads.Own()) {
    EXPECT_EQ(load.mRecentAnswers, 0U) << upstream;
    EXPECT_EQ(load.mRecentFailures, 0U) << upstream;
  }
}

} // namespace cactusgw::test
