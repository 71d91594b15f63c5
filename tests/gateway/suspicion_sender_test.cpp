#include "cactusgw/gateway/suspicion_sender.hpp"
#include "suspicion_fleet.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr RequestFingerprint kDeadly = SuspicionFleet::kDeadly;
constexpr RequestFingerprint kSound = SuspicionFleet::kSound;

/// Longer than a request is held back before it is quarantined.
constexpr std::size_t kRounds = 60;

/// A request comes every 700 ms at some gateway; a sound one is served
/// everywhere meanwhile.
void
PlayDeadlyRequest(SuspicionFleet& aFleet, unsigned aSeed)
{
  std::mt19937 random{ aSeed };
  std::uniform_int_distribution<std::size_t> any{ 0, aFleet.Size() - 1 };
  for (std::size_t i = 0; i < kRounds; ++i) {
    aFleet.Send(any(random), kDeadly, true);
    aFleet.Run(350);
    aFleet.Send(any(random), kSound, false);
    aFleet.Run(350);
  }
}

} // namespace

class SuspicionFleetTest : public ::testing::TestWithParam<std::size_t>
{};

class SuspicionRestartTest : public ::testing::TestWithParam<std::size_t>
{};

// A request that crashes its upstreams was sent by each gateway that had not
// seen the crashes itself: with more gateways more upstreams ended.
TEST_P(SuspicionFleetTest, AllGatewaysStopSendingADeadlyRequest)
{
  for (unsigned seed = 1; seed <= 3; ++seed) {
    SuspicionFleet fleet{ GetParam(), {}, seed };
    PlayDeadlyRequest(fleet, seed);
    EXPECT_EQ(fleet.Sends(kDeadly), RequestCrashes::kMinCrashes);
    EXPECT_EQ(fleet.Sends(kSound), kRounds);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      EXPECT_TRUE(fleet.Gateway(i).IsQuarantined(kDeadly));
      EXPECT_FALSE(fleet.Gateway(i).IsQuarantined(kSound));
      EXPECT_EQ(fleet.Gateway(i).Digest(), fleet.Gateway(0).Digest());
    }
  }
}

// The same while a third of the messages is lost, and others come twice, late
// and out of order. The bound leaves room for three requests beyond the third
// crash.
TEST_P(SuspicionFleetTest, LostAndLateMessagesDelayTheQuarantine)
{
  for (unsigned seed = 1; seed <= 3; ++seed) {
    SuspicionFleet fleet{ GetParam(), { 0.3, 0.3, 400 }, seed };
    PlayDeadlyRequest(fleet, seed);
    fleet.Run(10'000);
    EXPECT_LE(fleet.Sends(kDeadly), 2 * RequestCrashes::kMinCrashes);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      EXPECT_TRUE(fleet.Gateway(i).IsQuarantined(kDeadly));
      EXPECT_FALSE(fleet.Gateway(i).IsQuarantined(kSound));
      EXPECT_EQ(fleet.Gateway(i).Digest(), fleet.Gateway(0).Digest());
    }
  }
}

// A gateway that has just started knows nothing, and its parent knows that.
TEST_P(SuspicionRestartTest, AGatewayLearnsAfterItsRestart)
{
  SuspicionFleet fleet{ GetParam(), {}, 1 };
  PlayDeadlyRequest(fleet, 1);
  for (const std::size_t restarted : { fleet.Size() - 1, std::size_t{ 0 } }) {
    fleet.Restart(restarted);
    fleet.Run(200);
    EXPECT_TRUE(fleet.Gateway(restarted).IsQuarantined(kDeadly));
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         SuspicionFleetTest,
                         ::testing::Values(1, 8, 300));

INSTANTIATE_TEST_SUITE_P(Sizes,
                         SuspicionRestartTest,
                         ::testing::Values(8, 300));

// Thousands of suspicions must not fill the link to one gateway.
TEST(SuspicionSenderTest, MessagesAreBounded)
{
  RequestCrashes crashes = RequestCrashes::Create();
  constexpr std::size_t kRequests = 1000;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    crashes.OnCrash(
      RequestFingerprint{ i }, { "u", 1 }, FleetTime(0), FleetTime(0));
  }
  SuspicionSender sender;
  std::set<std::uint64_t> sent;
  std::int64_t now = 0;
  for (; sent.size() < kRequests; now += 25) {
    const std::vector<RequestSuspicion> due =
      sender.Next(crashes, FleetTime(now));
    ASSERT_FALSE(due.empty());
    ASSERT_LE(due.size(), 2 * SuspicionSender::kMaxEntriesInMessage);
    for (const RequestSuspicion& suspicion : due) {
      sent.insert(suspicion.mRequest.mValue);
    }
  }
  sender.OnReported(crashes.Digest());
  EXPECT_TRUE(sender.Next(crashes, FleetTime(now + 5000)).empty());
}

} // namespace cactusgw::test
