#include "cactusgw/core/lease_keeper.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace cactusgw {
namespace {

constexpr LeaseSettings kSettings{ Milliseconds{ 100 },
                                   Milliseconds{ 30 },
                                   Milliseconds{ 10 },
                                   Milliseconds{ 1000 } };

class LeaseKeeperTest : public testing::Test
{
protected:
  static LeaseKeeper Make(std::string aVm)
  {
    LeaseKeeper keeper = LeaseKeeper::Create(std::move(aVm), 1, kSettings);
    keeper.SetGroup({ "vm-1", "vm-2" });
    return keeper;
  }

  /// Lets a keeper acquire a lease that did not exist before.
  LeaseStep Acquire(LeaseKeeper& aKeeper)
  {
    aKeeper.OnRead(0, std::nullopt, mNow);
    const LeaseStep step = aKeeper.Next(mNow, 7);
    aKeeper.OnWritten(5);
    return step;
  }

  void AdvanceTime(int aMs) { mNow += Milliseconds{ aMs }; }

  Instant mNow = Instant{} + std::chrono::hours{ 1 };
};

TEST_F(LeaseKeeperTest, ReadsBeforeItWrites)
{
  LeaseKeeper keeper = Make("vm-1");
  EXPECT_EQ(keeper.Next(mNow, 1).mAction, LeaseAction::Read);
}

TEST_F(LeaseKeeperTest, TakesALeaseThatDoesNotExist)
{
  LeaseKeeper keeper = Make("vm-1");
  const LeaseStep step = Acquire(keeper);
  EXPECT_EQ(step.mAction, LeaseAction::Write);
  EXPECT_EQ(step.mExpectedVersion, 0U);
  EXPECT_TRUE(keeper.IsHeld(mNow));
  EXPECT_EQ(keeper.FencingToken(), 5U);
}

TEST_F(LeaseKeeperTest, StopsHoldingBeforeOthersMayTakeIt)
{
  LeaseKeeper holder = Make("vm-1");
  const LeaseStep step = Acquire(holder);
  LeaseKeeper other = Make("vm-2");
  other.OnRead(5, step.mRecord, mNow);
  AdvanceTime(90);
  EXPECT_FALSE(holder.IsHeld(mNow));
  EXPECT_EQ(other.Next(mNow, 8).mAction, LeaseAction::Read);
  AdvanceTime(20);
  EXPECT_EQ(other.Next(mNow, 8).mAction, LeaseAction::Write);
}

TEST_F(LeaseKeeperTest, CountsItsValidityFromBeforeTheWriteWasSent)
{
  LeaseKeeper keeper = Make("vm-1");
  keeper.OnRead(0, std::nullopt, mNow);
  keeper.Next(mNow, 7);
  AdvanceTime(95); // The response is delayed.
  keeper.OnWritten(5);
  EXPECT_FALSE(keeper.IsHeld(mNow));
}

TEST_F(LeaseKeeperTest, AHolderPausedPastItsLeaseDoesNotHoldIt)
{
  LeaseKeeper keeper = Make("vm-1");
  Acquire(keeper);
  AdvanceTime(500);
  EXPECT_FALSE(keeper.IsHeld(mNow));
}

TEST_F(LeaseKeeperTest, ResolvesALostResponseByItsNonce)
{
  LeaseKeeper keeper = Make("vm-1");
  keeper.OnRead(0, std::nullopt, mNow);
  const LeaseStep step = keeper.Next(mNow, 7);
  keeper.OnWriteUnknown();
  EXPECT_FALSE(keeper.IsHeld(mNow));
  EXPECT_EQ(keeper.Next(mNow, 8).mAction, LeaseAction::Read);
  keeper.OnRead(5, step.mRecord, mNow);
  EXPECT_TRUE(keeper.IsHeld(mNow));
}

TEST_F(LeaseKeeperTest, DoesNotTakeAnothersWriteForItsOwn)
{
  LeaseKeeper keeper = Make("vm-1");
  keeper.OnRead(0, std::nullopt, mNow);
  LeaseStep step = keeper.Next(mNow, 7);
  keeper.OnWriteUnknown();
  step.mRecord.mHolder = "vm-2";
  keeper.OnRead(5, step.mRecord, mNow);
  EXPECT_FALSE(keeper.IsHeld(mNow));
}

TEST_F(LeaseKeeperTest, IgnoresAStaleRead)
{
  LeaseKeeper holder = Make("vm-1");
  const LeaseStep step = Acquire(holder);
  LeaseKeeper other = Make("vm-2");
  other.OnRead(9, step.mRecord, mNow);
  LeaseRecord older = step.mRecord;
  older.mHolder = "";
  other.OnRead(5, older, mNow);
  EXPECT_EQ(other.KnownHolder(), "vm-1");
}

TEST_F(LeaseKeeperTest, LosesTheLeaseOnAConflict)
{
  LeaseKeeper keeper = Make("vm-1");
  Acquire(keeper);
  AdvanceTime(40);
  EXPECT_EQ(keeper.Next(mNow, 8).mAction, LeaseAction::Write);
  keeper.OnConflict();
  EXPECT_FALSE(keeper.IsHeld(mNow));
}

TEST_F(LeaseKeeperTest, KeepsItsFencingTokenAcrossRenewals)
{
  LeaseKeeper keeper = Make("vm-1");
  Acquire(keeper);
  AdvanceTime(40);
  keeper.Next(mNow, 8);
  keeper.OnWritten(6);
  EXPECT_EQ(keeper.FencingToken(), 5U);
}

TEST_F(LeaseKeeperTest, IsExtendedWithoutThePlatformWhileAllHavePromised)
{
  LeaseKeeper holder = Make("vm-1");
  Acquire(holder);
  AdvanceTime(80);
  holder.ExtendUntil(mNow + Milliseconds{ 100 });
  AdvanceTime(80);
  EXPECT_TRUE(holder.IsHeld(mNow));
  EXPECT_TRUE(holder.IsExtended(mNow));
  AdvanceTime(10);
  EXPECT_FALSE(holder.IsHeld(mNow));
}

TEST_F(LeaseKeeperTest, AVmThatPromisedDoesNotTakeAnExpiredLease)
{
  LeaseKeeper holder = Make("vm-1");
  const LeaseStep step = Acquire(holder);
  LeaseKeeper other = Make("vm-2");
  other.OnRead(5, step.mRecord, mNow);
  other.Promise(mNow + Milliseconds{ 300 });
  AdvanceTime(200);
  EXPECT_EQ(other.Next(mNow, 8).mAction, LeaseAction::Read);
  AdvanceTime(100);
  EXPECT_EQ(other.Next(mNow, 8).mAction, LeaseAction::Write);
}

TEST_F(LeaseKeeperTest, AVmOutsideTheGroupWaitsForTheLongestExtension)
{
  LeaseKeeper holder = Make("vm-1");
  const LeaseStep step = Acquire(holder);
  LeaseKeeper outsider = Make("vm-9");
  outsider.OnRead(5, step.mRecord, mNow);
  AdvanceTime(500);
  EXPECT_EQ(outsider.Next(mNow, 8).mAction, LeaseAction::Read);
  AdvanceTime(700);
  EXPECT_EQ(outsider.Next(mNow, 8).mAction, LeaseAction::Write);
}

TEST_F(LeaseKeeperTest, AResignedLeaseMayBeTakenAtOnce)
{
  LeaseKeeper holder = Make("vm-1");
  Acquire(holder);
  holder.Resign();
  EXPECT_FALSE(holder.IsHeld(mNow));
  const LeaseStep release = holder.Next(mNow, 8);
  EXPECT_EQ(release.mAction, LeaseAction::Write);
  LeaseKeeper other = Make("vm-2");
  other.OnRead(6, release.mRecord, mNow);
  EXPECT_EQ(other.Next(mNow, 9).mAction, LeaseAction::Write);
}

} // namespace
} // namespace cactusgw
