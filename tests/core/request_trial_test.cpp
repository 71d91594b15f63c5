#include "cactusgw/core/request_crashes.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr RequestFingerprint kSuspect{ 5 };

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

RequestCrashes
WithCrash(std::uint32_t aRank)
{
  RequestCrashes crashes = RequestCrashes::Create();
  crashes.SetPlace({ aRank, 8, aRank });
  crashes.OnCrash(kSuspect, { "u", 1 }, At(-50), At(0));
  return crashes;
}

void
Report(const RequestCrashes& aFrom, RequestCrashes& aTo)
{
  for (const RequestSuspicion& suspicion : aFrom.ChangedSince(0, 10).first) {
    aTo.Merge(suspicion, At(0));
  }
}

} // namespace

// Two clients sent the same request again, and each copy ended an upstream.
TEST(RequestTrialTest, ACopyWaitsForTheOutcomeOfASuspect)
{
  RequestCrashes crashes = WithCrash(0);
  RequestCrashes other = WithCrash(1);
  const std::optional<RequestTrial> trial =
    crashes.BeginTrial(kSuspect, At(10));
  ASSERT_TRUE(trial);
  EXPECT_TRUE(crashes.HeldFor(kSuspect, At(20)));
  EXPECT_FALSE(other.HeldFor(kSuspect, At(20)));
  Report(crashes, other);
  EXPECT_TRUE(other.HeldFor(kSuspect, At(20)));
  crashes.EndTrial(kSuspect, *trial);
  EXPECT_FALSE(crashes.HeldFor(kSuspect, At(30)));
  Report(crashes, other);
  EXPECT_FALSE(other.HeldFor(kSuspect, At(30)));
  EXPECT_EQ(crashes.Digest(), other.Digest());
}

TEST(RequestTrialTest, AServedSuspectHoldsNoCopyBack)
{
  RequestCrashes crashes = WithCrash(0);
  ASSERT_TRUE(crashes.BeginTrial(kSuspect, At(10)));
  crashes.OnServed(kSuspect);
  EXPECT_FALSE(crashes.HeldFor(kSuspect, At(20)));
}

TEST(RequestTrialTest, ARequestWithoutCrashesIsNotOnTrial)
{
  RequestCrashes crashes = WithCrash(0);
  EXPECT_FALSE(crashes.BeginTrial(RequestFingerprint{ 6 }, At(10)));
  crashes.OnServed(kSuspect);
  EXPECT_FALSE(crashes.BeginTrial(kSuspect, At(10)));
}

// The gateway that runs the trial is killed and never reports the outcome.
TEST(RequestTrialTest, ATrialIsNotWaitedForForever)
{
  RequestCrashes crashes = WithCrash(0);
  ASSERT_TRUE(crashes.BeginTrial(kSuspect, At(10)));
  EXPECT_TRUE(crashes.HeldFor(kSuspect, At(1000)));
  EXPECT_FALSE(crashes.HeldFor(kSuspect, At(5000)));
}

// The end of a trial and the next one arrive out of order, and twice.
TEST(RequestTrialTest, LateReportsDoNotBringATrialBack)
{
  RequestCrashes crashes = WithCrash(0);
  const std::optional<RequestTrial> trial =
    crashes.BeginTrial(kSuspect, At(10));
  ASSERT_TRUE(trial);
  const std::vector<RequestSuspicion> running =
    crashes.ChangedSince(0, 10).first;
  crashes.EndTrial(kSuspect, *trial);
  RequestCrashes other = WithCrash(1);
  Report(crashes, other);
  for (const RequestSuspicion& late : running) {
    other.Merge(late, At(20));
    other.Merge(late, At(20));
  }
  EXPECT_FALSE(other.HeldFor(kSuspect, At(30)));
  EXPECT_EQ(crashes.Digest(), other.Digest());
}

// Gateways begin at the same moment, before any has heard of the others.
TEST(RequestTrialTest, SimultaneousTrialsAreAgreedOn)
{
  RequestCrashes one = WithCrash(1);
  RequestCrashes two = WithCrash(2);
  ASSERT_TRUE(one.BeginTrial(kSuspect, At(10)));
  const std::optional<RequestTrial> applies = two.BeginTrial(kSuspect, At(10));
  ASSERT_TRUE(applies);
  Report(one, two);
  Report(two, one);
  EXPECT_EQ(one.Digest(), two.Digest());
  two.EndTrial(kSuspect, *applies);
  Report(two, one);
  EXPECT_FALSE(one.HeldFor(kSuspect, At(20)));
}

// Gateways take turns when the time for which a request is held back ends.
TEST(RequestTrialTest, TurnsDifferAndAreBounded)
{
  std::set<Milliseconds> few;
  for (std::uint32_t rank = 0; rank < 8; ++rank) {
    few.insert(GatewayPlace{ rank, 8, rank }.TurnDelay(kSuspect));
  }
  EXPECT_EQ(few.size(), 8U);
  EXPECT_EQ(*few.begin(), Milliseconds{ 0 });
  Milliseconds longest{ 0 };
  for (std::uint32_t rank = 0; rank < 300; ++rank) {
    longest =
      std::max(longest, GatewayPlace{ rank, 300, rank }.TurnDelay(kSuspect));
  }
  EXPECT_LT(longest, Milliseconds{ 10'000 });
  EXPECT_EQ((GatewayPlace{ 0, 0, 0 }.TurnDelay(kSuspect)), Milliseconds{ 0 });
}

} // namespace cactusgw::test
