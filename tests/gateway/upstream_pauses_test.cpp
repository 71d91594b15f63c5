#include "cactusgw/gateway/upstream_pauses.hpp"

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

TEST(UpstreamPausesTest, APauseLastsAsLongAsStatedAndForOneStart)
{
  UpstreamPauses pauses = UpstreamPauses::Create();
  EXPECT_FALSE(pauses.PausedUntil(kUpstream, At(0)));
  EXPECT_TRUE(pauses.OnRefusal(kUpstream, Milliseconds{ 500 }, At(0)));
  EXPECT_EQ(pauses.PausedUntil(kUpstream, At(499)), At(500));
  EXPECT_FALSE(pauses.PausedUntil(kUpstream, At(500)));
  EXPECT_FALSE(pauses.PausedUntil({ "u", 2 }, At(100)));
  EXPECT_FALSE(pauses.PausedUntil({ "v", 1 }, At(100)));
}

// A short statement in a late response would end a longer pause.
TEST(UpstreamPausesTest, AStatementThatEndsEarlierChangesNothing)
{
  UpstreamPauses pauses = UpstreamPauses::Create();
  pauses.OnRefusal(kUpstream, Milliseconds{ 500 }, At(0));
  EXPECT_FALSE(pauses.OnRefusal(kUpstream, Milliseconds{ 100 }, At(100)));
  EXPECT_FALSE(pauses.OnRefusal(kUpstream, Milliseconds{ 0 }, At(100)));
  EXPECT_EQ(pauses.PausedUntil(kUpstream, At(200)), At(500));
  EXPECT_TRUE(pauses.OnRefusal(kUpstream, Milliseconds{ 500 }, At(100)));
  EXPECT_EQ(pauses.PausedUntil(kUpstream, At(200)), At(600));
}

// Continuations that were refused with another pause went on for ever.
TEST(UpstreamPausesTest, OverlappingPausesAllowTwoContinuationsInAll)
{
  UpstreamPauses pauses = UpstreamPauses::Create();
  pauses.OnSent(kUpstream, At(0));
  pauses.OnRefusal(kUpstream, Milliseconds{ 1000 }, At(0));
  pauses.OnSent(kUpstream, At(1));
  EXPECT_TRUE(pauses.AllowsContinuation(kUpstream, At(2)));
  pauses.OnRefusal(kUpstream, Milliseconds{ 1000 }, At(3));
  pauses.OnSent(kUpstream, At(4));
  EXPECT_FALSE(pauses.AllowsContinuation(kUpstream, At(5)));
  pauses.OnRefusal(kUpstream, Milliseconds{ 1000 }, At(500));
  EXPECT_FALSE(pauses.AllowsContinuation(kUpstream, At(1499)));
  EXPECT_TRUE(pauses.AllowsContinuation(kUpstream, At(1500)));
  pauses.OnRefusal(kUpstream, Milliseconds{ 1000 }, At(1500));
  EXPECT_TRUE(pauses.AllowsContinuation(kUpstream, At(1501)));
}

TEST(UpstreamPausesTest, TheLongestPauseIsBounded)
{
  UpstreamPauses pauses = UpstreamPauses::Create();
  pauses.OnRefusal(kUpstream, Milliseconds::max(), At(0));
  EXPECT_EQ(pauses.PausedUntil(kUpstream, At(1)),
            At(0) + UpstreamPauses::kMaxPause);
}

// Starts that are gone for good would take ever more memory.
TEST(UpstreamPausesTest, KeepsABoundedNumberOfPausesAndDropsThoseThatEnded)
{
  UpstreamPauses pauses = UpstreamPauses::Create();
  const int count = static_cast<int>(UpstreamPauses::kMaxPauses) + 1;
  for (int n = 0; n < count; ++n) {
    pauses.OnRefusal({ "u", n }, Milliseconds{ 1000 + n }, At(0));
  }
  EXPECT_EQ(pauses.Size(), UpstreamPauses::kMaxPauses);
  EXPECT_FALSE(pauses.PausedUntil({ "u", 0 }, At(1)));
  EXPECT_TRUE(pauses.PausedUntil({ "u", count - 1 }, At(1)));
  pauses.Expire(At(2000));
  EXPECT_EQ(pauses.Size(), UpstreamPauses::kMaxPauses - 1000);
}

} // namespace cactusgw::test
