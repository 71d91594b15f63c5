#include "cactusgw/brittle/brittle_upstreams.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cactusgw {

namespace {

constexpr std::uint32_t kSlots = 6;
const Instant kStart{ Milliseconds{ 1'000'000 } };
/// Settled, so that the shares of one fleet bind.
const Instant kNow = kStart + BrittleUpstreams::kSettleTime;
/// No gateway's turn.
constexpr std::int64_t kPauseMs = (BrittleUpstreams::kTurn).count() - 1;

BrittleUpstreams
Brittle(const FleetPlace& aPlace, std::uint32_t aBearable)
{
  BrittleUpstreams brittle = BrittleUpstreams::Create(aPlace, kStart);
  brittle.OnResponse("app", aBearable, kStart, kNow);
  return brittle;
}

std::uint32_t
Taken(const BrittleUpstreams& aBrittle,
      const std::string& aUpstream,
      const TurnTime& aTime)
{
  std::uint32_t own = 0;
  while (
    aBrittle.MayTake("app", { aUpstream, 1 }, { kSlots, own, own }, aTime)) {
    ++own;
  }
  return own;
}

} // namespace

// Guards against gateways that together send more than fits, without a message.
TEST(BrittleUpstreamsTest, SharesOfAllGatewaysAreTheSlots)
{
  for (const std::uint32_t gateways : { 1U, 4U, 8U, 390U }) {
    for (const std::string upstream : { "u-1", "u-2", "u-700" }) {
      std::uint32_t taken = 0;
      for (std::uint32_t rank = 0; rank < gateways; ++rank) {
        taken +=
          Taken(Brittle({ gateways, rank }, 3), upstream, { kNow, kPauseMs });
      }
      EXPECT_EQ(taken, kSlots) << gateways << " " << upstream;
    }
  }
}

TEST(BrittleUpstreamsTest, OneGatewayAtATimeTakesFewSlotsOfOthers)
{
  for (std::int64_t turn = 0; turn < 8; ++turn) {
    std::uint32_t taken = 0;
    for (std::uint32_t rank = 0; rank < 8; ++rank) {
      taken += Taken(Brittle({ 8, rank }, 5),
                     "u",
                     { kNow, turn * BrittleUpstreams::kTurn.count() });
    }
    EXPECT_EQ(taken, kSlots + 2);
  }
}

TEST(BrittleUpstreamsTest, AGatewayThatIsTurnedAwayWaits)
{
  BrittleUpstreams brittle = Brittle({ 1, 0 }, 3);
  brittle.OnTurnedAway({ "u", 1 }, kNow);
  EXPECT_TRUE(brittle.HasTurnedAway({ "u", 1 }, kNow));
  EXPECT_EQ(Taken(brittle, "u", { kNow, 0 }), 0U);
  const Instant later = kNow + BrittleUpstreams::kCountedTime;
  EXPECT_EQ(Taken(brittle, "u", { later, 0 }), kSlots);
  EXPECT_FALSE(brittle.HasTurnedAway({ "u", 1 }, later));
}

// A gateway that starts alone would take all slots.
TEST(BrittleUpstreamsTest, AfterAChangeBothFleetsBind)
{
  BrittleUpstreams brittle = Brittle({ 8, 0 }, 0);
  brittle.SetPlace({ 1, 0 }, kNow);
  EXPECT_LE(Taken(brittle, "u", { kNow, 0 }), 1U);
  const Instant settled = kNow + BrittleUpstreams::kSettleTime;
  EXPECT_EQ(Taken(brittle, "u", { settled, 0 }), kSlots);
}

TEST(BrittleUpstreamsTest, OnlyServicesThatStateItAreBound)
{
  BrittleUpstreams brittle = Brittle({ 390, 0 }, 3);
  EXPECT_TRUE(brittle.MayTake("other", { "u", 1 }, { 1, 9, 9 }, { kNow, 0 }));
  EXPECT_FALSE(brittle.MayTake("app", { "u", 1 }, { 1, 9, 9 }, { kNow, 0 }));
  // A response to an earlier request may have been made before.
  EXPECT_FALSE(brittle.OnResponse("app", std::nullopt, kStart, kNow));
  EXPECT_TRUE(brittle.OnResponse("app", std::nullopt, kNow, kNow));
  EXPECT_TRUE(brittle.MayTake("app", { "u", 1 }, { 1, 9, 9 }, { kNow, 0 }));
}

} // namespace cactusgw
