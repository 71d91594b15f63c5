#include "cactusgw/core/member_table.hpp"
#include "cactusgw/core/ownership.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cactusgw {
namespace {

constexpr MemberTimes kTimes{ Milliseconds{ 30 },
                              Milliseconds{ 40 },
                              Milliseconds{ 80 },
                              Milliseconds{ 10 } };

bool
Contains(const std::vector<VmIncarnation>& aVms, const VmIncarnation& aVm)
{
  return std::find(aVms.begin(), aVms.end(), aVm) != aVms.end();
}

class MemberTableTest : public testing::Test
{
protected:
  void AdvanceTime(int aMs) { mNow += Milliseconds{ aMs }; }

  Instant mNow = Instant{} + std::chrono::hours{ 1 };
  MemberTable mTable = MemberTable::Create(kTimes);
  VmIncarnation mVm{ "vm-1", 1 };
};

TEST_F(MemberTableTest, ConsidersAVmWithoutHeartbeatsDead)
{
  mTable.OnHeartbeat(mVm, 0, mNow);
  EXPECT_TRUE(mTable.IsAlive("vm-1", mNow));
  AdvanceTime(30);
  EXPECT_FALSE(mTable.IsAlive("vm-1", mNow));
}

TEST_F(MemberTableTest, ASilentOwnerKeepsItsUpstreamsWhileItMayAct)
{
  mTable.OnHeartbeat(mVm, 0, mNow);
  AdvanceTime(20);
  mTable.OnReplySent(mVm, mNow);
  AdvanceTime(45);
  EXPECT_FALSE(Contains(mTable.Candidates(mNow).mAlive, mVm));
  EXPECT_TRUE(Contains(mTable.Candidates(mNow).mKeep, mVm));
  AdvanceTime(10);
  EXPECT_FALSE(Contains(mTable.Candidates(mNow).mKeep, mVm));
}

TEST_F(MemberTableTest, ANewHolderWaitsForOwnersOfTheFormerOne)
{
  const std::vector<OwnerAssignment> owners{ { "u", { "vm-9", 1 }, 1 } };
  mTable.OnLeaseTaken(owners, mNow);
  EXPECT_TRUE(Contains(mTable.Candidates(mNow).mKeep, { "vm-9", 1 }));
  AdvanceTime(50);
  EXPECT_FALSE(Contains(mTable.Candidates(mNow).mKeep, { "vm-9", 1 }));
}

TEST_F(MemberTableTest, ARestartedVmIsANewIncarnation)
{
  mTable.OnHeartbeat(mVm, 0, mNow);
  mTable.OnReplySent(mVm, mNow);
  mTable.OnHeartbeat({ "vm-1", 2 }, 0, mNow);
  const OwnerCandidates candidates = mTable.Candidates(mNow);
  EXPECT_TRUE(Contains(candidates.mAlive, { "vm-1", 2 }));
  EXPECT_FALSE(Contains(candidates.mAlive, mVm));
  EXPECT_TRUE(Contains(candidates.mKeep, mVm));
}

TEST_F(MemberTableTest, IgnoresAHeartbeatOfAFormerIncarnation)
{
  mTable.OnHeartbeat({ "vm-1", 2 }, 0, mNow);
  AdvanceTime(25);
  mTable.OnHeartbeat(mVm, 0, mNow);
  AdvanceTime(10);
  EXPECT_FALSE(mTable.IsAlive("vm-1", mNow));
}

TEST_F(MemberTableTest, AStoppingVmOwnsNothingAtOnce)
{
  mTable.OnHeartbeat(mVm, 0, mNow);
  mTable.OnReplySent(mVm, mNow);
  mTable.OnStopping(mVm);
  EXPECT_TRUE(mTable.Candidates(mNow).mKeep.empty());
}

TEST_F(MemberTableTest, APromiseCountsFromTheReplyAndOnlyOnceAcknowledged)
{
  const std::vector<std::string> group{ "vm-1" };
  mTable.OnHeartbeat(mVm, 0, mNow);
  const Instant sent = mNow;
  const std::uint64_t reply = mTable.OnReplySent(mVm, mNow);
  EXPECT_EQ(mTable.PromisedUntil(group), Instant{});
  AdvanceTime(10);
  mTable.OnHeartbeat(mVm, reply, mNow);
  EXPECT_EQ(mTable.PromisedUntil(group), sent + kTimes.mPromise);
}

TEST_F(MemberTableTest, NoCommonPromiseIfOneVmHasMadeNone)
{
  const std::vector<std::string> group{ "vm-1", "vm-2" };
  mTable.OnHeartbeat(mVm, 0, mNow);
  mTable.OnHeartbeat(mVm, mTable.OnReplySent(mVm, mNow), mNow);
  EXPECT_EQ(mTable.PromisedUntil(group), Instant{});
}

const std::vector<std::string> kUpstreams{ "u1", "u2", "u3", "u4", "u5" };

OwnerCandidates
AllAlive(std::size_t aCount)
{
  OwnerCandidates candidates;
  for (std::size_t i = 0; i < aCount; ++i) {
    candidates.mAlive.push_back({ "vm-" + std::to_string(i), 1 });
  }
  candidates.mKeep = candidates.mAlive;
  return candidates;
}

TEST(PlanOwnership, GivesEveryUpstreamOneOwner)
{
  const OwnershipPlan plan = PlanOwnership({}, kUpstreams, AllAlive(3));
  for (const std::string& upstream : kUpstreams) {
    EXPECT_NE(FindOwner(plan, upstream), nullptr);
  }
}

TEST(PlanOwnership, GivesNoVmFarMoreThanItsShare)
{
  std::vector<std::string> upstreams;
  for (int i = 0; i < 60; ++i) {
    upstreams.push_back("upstream-" + std::to_string(i));
  }
  const OwnerCandidates allAlive = AllAlive(8);
  const OwnershipPlan plan = PlanOwnership({}, upstreams, allAlive);
  for (const VmIncarnation& vm : allAlive.mAlive) {
    const std::ptrdiff_t owned = std::count_if(
      plan.mOwners.begin(),
      plan.mOwners.end(),
      [&](const OwnerAssignment& aOwner) { return aOwner.mOwner == vm; });
    EXPECT_LE(owned, 60 / 8 + 1);
  }
}

TEST(PlanOwnership, ChangesNothingWhileAllOwnersLive)
{
  const OwnershipPlan plan = PlanOwnership({}, kUpstreams, AllAlive(3));
  EXPECT_TRUE(SameOwners(plan, PlanOwnership(plan, kUpstreams, AllAlive(4))));
}

TEST(PlanOwnership, ReassignsOnlyADeadVmsUpstreamsWithANewEpoch)
{
  const OwnershipPlan before = PlanOwnership({}, kUpstreams, AllAlive(3));
  const OwnerAssignment lost = before.mOwners[0];
  OwnerCandidates left = AllAlive(3);
  std::erase(left.mAlive, lost.mOwner);
  std::erase(left.mKeep, lost.mOwner);
  const OwnershipPlan after = PlanOwnership(before, kUpstreams, left);
  for (const OwnerAssignment& owner : before.mOwners) {
    const OwnerAssignment* now = FindOwner(after, owner.mUpstream);
    ASSERT_NE(now, nullptr);
    if (owner.mOwner == lost.mOwner) {
      EXPECT_NE(now->mOwner, lost.mOwner);
      EXPECT_GT(now->mEpoch, before.mLastEpoch);
    } else {
      EXPECT_EQ(*now, owner);
    }
  }
}

TEST(PlanOwnership, TreatsARestartedOwnerAsANewOne)
{
  const OwnershipPlan before = PlanOwnership({}, kUpstreams, AllAlive(1));
  OwnerCandidates restarted;
  restarted.mAlive.push_back({ "vm-0", 2 });
  restarted.mKeep = restarted.mAlive;
  const OwnershipPlan after = PlanOwnership(before, kUpstreams, restarted);
  EXPECT_EQ(after.mOwners[0].mOwner.mIncarnation, 2U);
  EXPECT_GT(after.mOwners[0].mEpoch, before.mLastEpoch);
}

} // namespace
} // namespace cactusgw
