#include "cactusgw/core/stated_limits.hpp"

#include <gtest/gtest.h>

namespace cactusgw::test {

namespace {

const UpstreamStart kUpstream{ "u", 1 };

Instant
At(int aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

} // namespace

TEST(StatedLimitsTest, ALimitHoldsUntilAResponseWithoutIt)
{
  StatedLimits limits = StatedLimits::Create();
  EXPECT_FALSE(limits.OnResponse(kUpstream, std::nullopt, At(0), At(0)));
  EXPECT_TRUE(limits.OnResponse(kUpstream, 2.5, At(0), At(10)));
  EXPECT_FALSE(limits.OnResponse(kUpstream, 2.5, At(20), At(30)));
  EXPECT_EQ(limits.PerSecond("u"), 2.5);
  EXPECT_TRUE(limits.OnResponse(kUpstream, std::nullopt, At(40), At(50)));
  EXPECT_EQ(limits.PerSecond("u"), std::nullopt);
}

// The response to an early request arrives late and would withdraw the limit.
TEST(StatedLimitsTest, AResponseToAnEarlierRequestDoesNotWithdrawTheLimit)
{
  StatedLimits limits = StatedLimits::Create();
  limits.OnResponse(kUpstream, 2.5, At(0), At(100));
  EXPECT_FALSE(limits.OnResponse(kUpstream, std::nullopt, At(50), At(200)));
  EXPECT_EQ(limits.PerSecond("u"), 2.5);
}

TEST(StatedLimitsTest, OfTwoReportsTheNewerWins)
{
  StatedLimits limits = StatedLimits::Create();
  EXPECT_TRUE(limits.Merge({ kUpstream, 2.5, At(100) }));
  EXPECT_FALSE(limits.Merge({ kUpstream, std::nullopt, At(50) }));
  EXPECT_EQ(limits.PerSecond("u"), 2.5);
  EXPECT_TRUE(limits.Merge({ kUpstream, std::nullopt, At(150) }));
  EXPECT_EQ(limits.PerSecond("u"), std::nullopt);
}

// A limit of an earlier start must not bind the next one.
TEST(StatedLimitsTest, ALimitHoldsForOneStartOfTheUpstream)
{
  StatedLimits limits = StatedLimits::Create();
  limits.OnResponse(kUpstream, 2.5, At(0), At(0));
  limits.OnResponse({ "u", 2 }, 7, At(10), At(10));
  EXPECT_FALSE(limits.Merge({ kUpstream, 1, At(20) }));
  EXPECT_EQ(limits.PerSecond("u"), 7);
  limits.Expire([](const UpstreamStart&) { return false; }, At(30));
  EXPECT_TRUE(limits.All().empty());
}

TEST(StatedLimitsTest, OldLimitsExpire)
{
  StatedLimits limits = StatedLimits::Create();
  const auto isKnown = [](const UpstreamStart&) { return true; };
  limits.OnResponse(kUpstream, 2.5, At(0), At(0));
  limits.Expire(isKnown, At(59'999));
  EXPECT_EQ(limits.PerSecond("u"), 2.5);
  limits.Expire(isKnown, At(60'000));
  EXPECT_EQ(limits.PerSecond("u"), std::nullopt);
}

} // namespace cactusgw::test
