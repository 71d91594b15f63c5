#include "cactusgw/gateway/response_window.hpp"

#include <gtest/gtest.h>

namespace cactusgw::test {

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

} // namespace

class ResponseWindowTest : public ::testing::Test
{
protected:
  void Add(const std::string& aUpstream, bool aIsFailure, std::int64_t aMs)
  {
    mWindow.OnResponse(aUpstream, aIsFailure, mLoads, At(aMs));
  }
  UpstreamLoad Load(const std::string& aUpstream) const
  {
    return mLoads.Total(aUpstream, At(0));
  }

  LoadTable mLoads = LoadTable::Create();
  ResponseWindow mWindow = ResponseWindow::Create();
};

// A gateway whose own link is bad counted three failures of each upstream,
// enough to eject it for all gateways.
TEST_F(ResponseWindowTest, OneGatewayCountsOneFailureOfAnUpstream)
{
  for (std::int64_t ms = 0; ms < 3000; ms += 10) {
    Add("a", true, ms);
    Add("b", true, ms);
  }
  EXPECT_EQ(Load("a").mRecentFailures, 1U);
  EXPECT_EQ(Load("b").mRecentFailures, 1U);
}

// Successes were counted one by one and failures were not: an upstream that
// many gateways use seemed to fail more often than one that few use.
TEST_F(ResponseWindowTest, TheRateOfFailuresIsThatOfTheResponses)
{
  std::uint32_t answers = 0;
  std::uint32_t failures = 0;
  for (int n = 0; n < 40'000; ++n) {
    const std::int64_t ms = n * std::int64_t{ 100 };
    const bool isFailure = n % 7 == 0;
    mWindow.Expire(mLoads, At(ms));
    const bool isCounted = Load("a").mRecentAnswers == 0;
    Add("a", isFailure, ms);
    answers += isCounted ? 1 : 0;
    failures += isCounted && Load("a").mRecentFailures > 0 ? 1 : 0;
  }
  EXPECT_GT(answers, 1000U);
  EXPECT_NEAR(static_cast<double>(failures) / answers, 1.0 / 7, 0.01);
}

TEST_F(ResponseWindowTest, ResponsesLeaveTheLoadsWithTheWindow)
{
  Add("a", true, 0);
  Add("b", false, 1000);
  mWindow.Expire(mLoads, At(2999));
  EXPECT_EQ(Load("a").mRecentAnswers, 1U);
  mWindow.Expire(mLoads, At(3000));
  EXPECT_EQ(Load("a"), UpstreamLoad{});
  EXPECT_EQ(Load("b").mRecentAnswers, 1U);
  EXPECT_EQ(Load("b").mRecentFailures, 0U);
}

// The failures of an upstream's former start were charged to its next one.
TEST_F(ResponseWindowTest, ARestartBeginsFromZero)
{
  Add("a", true, 0);
  mWindow.Forget("a", mLoads);
  EXPECT_EQ(Load("a"), UpstreamLoad{});
  Add("a", false, 100);
  mWindow.Expire(mLoads, At(3000));
  EXPECT_EQ(Load("a").mRecentAnswers, 1U);
}

} // namespace cactusgw::test
