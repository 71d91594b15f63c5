#include "cactusgw/core/drain_table.hpp"
#include "cactusgw/core/event_log.hpp"
#include "cactusgw/core/hash.hpp"
#include "cactusgw/core/hybrid_clock.hpp"
#include "cactusgw/core/placement.hpp"
#include "cactusgw/core/retry_budget.hpp"
#include "cactusgw/core/static_share.hpp"
#include "cactusgw/core/upstream_owner.hpp"
#include "cactusgw/core/vm_credits.hpp"
#include "cactusgw/core/warmup_limit.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cactusgw {
namespace {

TEST(HybridClock, OrdersAMessageAfterItsSending)
{
  HybridClock ahead = HybridClock::Create();
  HybridClock behind = HybridClock::Create();
  const EventStamp sent = ahead.Tick(2000);
  EXPECT_TRUE(behind.Observe(sent, 1000));
  EXPECT_GT(behind.Tick(1000), sent);
}

TEST(HybridClock, RisesWhenTheWallClockGoesBack)
{
  HybridClock clock = HybridClock::Create();
  const EventStamp first = clock.Tick(2000);
  EXPECT_GT(clock.Tick(1500), first);
}

TEST(HybridClock, DoesNotFollowAClockThatIsFarAhead)
{
  HybridClock clock = HybridClock::Create();
  const EventStamp farAhead{ 1000 + HybridClock::kMaxSkewMs + 1, 0 };
  EXPECT_FALSE(clock.Observe(farAhead, 1000));
  EXPECT_EQ(clock.Tick(1001).mPhysicalMs, 1001);
}

TEST(EventLog, DropsTheOldestAndCountsThem)
{
  EventLog log = EventLog::Create(2);
  for (int i = 0; i < 3; ++i) {
    log.Add({ { i, 0 }, EventKind::FirstToken, "", "", i });
  }
  EXPECT_EQ(log.Events().front().mValue, 1);
  EXPECT_EQ(log.Dropped(), 1U);
}

TEST(RetryBudget, AllowsAShareOfTheRequestsOnly)
{
  RetryBudget budget = RetryBudget::Create(10, 20);
  while (budget.TryWithdraw()) {
  }
  for (int i = 0; i < 100; ++i) {
    budget.Deposit();
  }
  int retries = 0;
  while (budget.TryWithdraw()) {
    ++retries;
  }
  EXPECT_GE(retries, 9);
  EXPECT_LE(retries, 10);
}

TEST(RetryBudget, DoesNotSaveUpMoreThanItsBurst)
{
  RetryBudget budget = RetryBudget::Create(100, 5);
  for (int i = 0; i < 1000; ++i) {
    budget.Deposit();
  }
  EXPECT_LE(budget.Balance(), 5.0);
}

TEST(StaticShare, AddsUpToTheLimitOverAllVms)
{
  for (std::uint32_t limit = 0; limit <= 12; ++limit) {
    for (std::size_t count = 1; count <= 9; ++count) {
      std::vector<std::string> vms;
      for (std::size_t i = 0; i < count; ++i) {
        vms.push_back("vm-" + std::to_string(i));
      }
      std::uint32_t sum = 0;
      for (const std::string& vm : vms) {
        sum += StaticShare("upstream", vm, vms, limit);
      }
      EXPECT_EQ(sum, limit) << count << " VMs";
    }
  }
}

TEST(StaticShare, IsZeroForAVmThatIsNotListed)
{
  const std::vector<std::string> vms{ "vm-1" };
  EXPECT_EQ(StaticShare("upstream", "vm-2", vms, 5), 0U);
}

TEST(WarmupLimit, StartsCold)
{
  const WarmupLimit limit = WarmupLimit::Create({ 2, 16 });
  EXPECT_EQ(limit.Limit(), 2U);
}

TEST(WarmupLimit, GrowsOnCompletedWorkUpToTheWarmLimit)
{
  WarmupLimit limit = WarmupLimit::Create({ 2, 16 });
  for (int i = 0; i < 1000; ++i) {
    limit.OnCompleted({ 1, 0, limit.Limit() - 1 });
  }
  EXPECT_EQ(limit.Limit(), 16U);
}

TEST(WarmupLimit, DoesNotGrowOnSlowWork)
{
  WarmupLimit limit = WarmupLimit::Create({ 2, 16 });
  for (int i = 0; i < 1000; ++i) {
    limit.OnCompleted({ 1, 1, 2 });
  }
  EXPECT_EQ(limit.Limit(), 2U);
}

TEST(WarmupLimit, DoesNotGrowOnWorkFarBelowTheLimit)
{
  WarmupLimit limit = WarmupLimit::Create({ 8, 16 });
  for (int i = 0; i < 1000; ++i) {
    limit.OnCompleted({ 1, 0, 0 });
  }
  EXPECT_EQ(limit.Limit(), 8U);
}

TEST(WarmupLimit, FallsBackToColdOnTrouble)
{
  WarmupLimit limit = WarmupLimit::Create({ 2, 16 });
  for (int i = 0; i < 1000; ++i) {
    limit.OnCompleted({ 1, 0, limit.Limit() });
  }
  limit.OnTrouble();
  EXPECT_EQ(limit.Limit(), 2U);
}

TEST(DrainTable, TakesTheHigherVersionInAnyOrder)
{
  DrainTable left = DrainTable::Create();
  DrainTable right = DrainTable::Create();
  const DrainState out{ "gent-a", 1, true };
  const DrainState back{ "gent-a", 2, false };
  left.Merge(out);
  left.Merge(back);
  right.Merge(back);
  right.Merge(out);
  EXPECT_FALSE(left.IsDrained("gent-a"));
  EXPECT_EQ(left.States(), right.States());
}

TEST(DrainTable, DrainedWinsAmongEqualVersions)
{
  DrainTable table = DrainTable::Create();
  table.Merge({ "gent-a", 1, false });
  table.Merge({ "gent-a", 1, true });
  table.Merge({ "gent-a", 1, false });
  EXPECT_TRUE(table.IsDrained("gent-a"));
}

std::vector<PlacementCandidate>
Candidates()
{
  return { { "a", 3, 1, 0 }, { "b", 1, 1, 0 }, { "c", 0, 1, 2 } };
}

TEST(Placement, PrefersTheNearestDataCentre)
{
  const std::optional<std::size_t> chosen =
    BoundedAffinity{}.Choose({ 0 }, Candidates());
  EXPECT_EQ(chosen, 1U);
}

TEST(Placement, SendsEqualPrefixesToOneUpstreamWhileLoadIsEven)
{
  std::vector<PlacementCandidate> even;
  const std::vector<std::string> names{ "a", "b", "c", "d" };
  for (const std::string& name : names) {
    even.push_back({ name, 4, 4, 0 });
  }
  for (std::uint64_t prefix = 1; prefix < 50; ++prefix) {
    const std::optional<std::size_t> first =
      BoundedAffinity{}.Choose({ prefix }, even);
    EXPECT_EQ(first, BoundedAffinity{}.Choose({ prefix }, even));
  }
}

TEST(Placement, LeavesAPrefixsUpstreamWhenItIsFarAboveTheMean)
{
  const std::vector<std::string> names{ "a", "b", "c", "d" };
  for (std::uint64_t prefix = 1; prefix < 50; ++prefix) {
    std::vector<PlacementCandidate> candidates;
    for (const std::string& name : names) {
      candidates.push_back({ name, 4, 4, 0 });
    }
    const std::optional<std::size_t> home =
      BoundedAffinity{}.Choose({ prefix }, candidates);
    candidates[*home].mInUse = 40;
    EXPECT_NE(BoundedAffinity{}.Choose({ prefix }, candidates), home);
  }
}

TEST(Placement, ChoosesNothingAmongNothing)
{
  EXPECT_FALSE(BoundedAffinity{}.Choose({ 1 }, {}).has_value());
  EXPECT_FALSE(LeastRequests{}.Choose({ 1 }, {}).has_value());
  EXPECT_FALSE(RandomOfTwo{ 1 }.Choose({ 1 }, {}).has_value());
}

class UpstreamOwnerTest : public testing::Test
{
protected:
  UpstreamOwnerTest()
    : mOwner(UpstreamOwner::Create({ 2, 16 }, mHolders, 1, mNow, {}))
  {
  }

  LoadObservation Load(std::string aIncarnation)
  {
    return { std::move(aIncarnation), 0, 0, mNow };
  }

  void WarmUp()
  {
    for (std::uint64_t i = 1; i < 200; ++i) {
      CreditReport report;
      report.mEpoch = 1;
      report.mReportSequence = i;
      report.mInUse = mOwner.Limit();
      report.mCap = report.mInUse;
      mOwner.OnReport("vm-1", report, { 1, 0, false }, mNow);
    }
  }

  Instant mNow = Instant{} + std::chrono::hours{ 1 };
  std::vector<CreditHolder> mHolders{ { "vm-1", 2 } };
  UpstreamOwner mOwner;
};

TEST_F(UpstreamOwnerTest, CountsARestartedUpstreamAsCold)
{
  mOwner.OnLoad(Load("first"), mNow);
  WarmUp();
  ASSERT_EQ(mOwner.Limit(), 16U);
  mOwner.OnLoad(Load("second"), mNow);
  EXPECT_EQ(mOwner.Limit(), 2U);
}

TEST_F(UpstreamOwnerTest, LimitIsZeroWhileTheUpstreamDoesNotRespond)
{
  mOwner.OnLoadFailed();
  EXPECT_FALSE(mOwner.IsDown());
  mOwner.OnLoadFailed();
  EXPECT_EQ(mOwner.Limit(), 0U);
  mOwner.OnLoad(Load("first"), mNow);
  EXPECT_EQ(mOwner.Limit(), 2U);
}

TEST_F(UpstreamOwnerTest, CountsAnUpstreamOfAReturningDataCentreAsCold)
{
  WarmUp();
  mOwner.SetDrained(true);
  EXPECT_EQ(mOwner.Limit(), 0U);
  mOwner.SetDrained(false);
  EXPECT_EQ(mOwner.Limit(), 2U);
}

TEST_F(UpstreamOwnerTest, RevokesAllAllotmentsOnALostConnection)
{
  mOwner.OnLoad(Load("first"), mNow);
  WarmUp();
  CreditReport report;
  report.mEpoch = 1;
  report.mReportSequence = 1000;
  report.mInUse = 4;
  report.mCap = 4;
  report.mWanted = 2;
  mOwner.OnReport("vm-1", report, {}, mNow);
  const std::vector<CreditGrant> revoked = mOwner.OnConnectionLost(mNow);
  ASSERT_EQ(revoked.size(), 1U);
  // The four requests in use may have ended since the report, so no credits are
  // left to the VM.
  EXPECT_EQ(revoked[0].mAllotment, 0U);
  EXPECT_EQ(mOwner.Limit(), 0U);
}

class LimitHandOverTest : public testing::Test
{
protected:
  /// Creates a new owner, which gets the reports of VMs that the former owner
  /// granted credits to.
  UpstreamOwner MakeSuccessor()
  {
    return UpstreamOwner::Create({ 2, 16 }, mHolders, 2, mNow, {});
  }

  void Report(UpstreamOwner& aOwner,
              const std::string& aVm,
              std::uint32_t aLimit,
              const std::string& aIncarnation)
  {
    CreditReport report;
    report.mEpoch = 2;
    report.mReportSequence = 1;
    report.mKnownLimit = { aLimit, StableHash(aIncarnation) };
    aOwner.OnReport(aVm, report, {}, mNow);
  }

  void Settle(UpstreamOwner& aOwner)
  {
    aOwner.OnLoad({ "first", 0, 0, mNow }, mNow);
    mNow += UpstreamOwner::kInheritTime;
    aOwner.OnTick(mNow);
  }

  Instant mNow = Instant{} + std::chrono::hours{ 1 };
  std::vector<CreditHolder> mHolders{ { "vm-1", 1 }, { "vm-2", 1 } };
};

TEST_F(LimitHandOverTest, ANewOwnerTakesTheLowestLimitThatVmsKnow)
{
  UpstreamOwner owner = MakeSuccessor();
  Report(owner, "vm-1", 12, "first");
  Report(owner, "vm-2", 9, "first");
  EXPECT_EQ(owner.Limit(), 2U);
  Settle(owner);
  EXPECT_EQ(owner.Limit(), 9U);
}

TEST_F(LimitHandOverTest, ANewOwnerStartsColdWhenTheUpstreamRestarted)
{
  UpstreamOwner owner = MakeSuccessor();
  Report(owner, "vm-1", 12, "before the restart");
  Settle(owner);
  EXPECT_EQ(owner.Limit(), 2U);
}

TEST_F(LimitHandOverTest, ANewOwnerStartsColdWhenVmsKnowDifferentIncarnations)
{
  UpstreamOwner owner = MakeSuccessor();
  Report(owner, "vm-1", 12, "first");
  Report(owner, "vm-2", 12, "second");
  Settle(owner);
  EXPECT_EQ(owner.Limit(), 2U);
}

TEST_F(LimitHandOverTest, ANewOwnerThatSeesTroubleStartsCold)
{
  UpstreamOwner owner = MakeSuccessor();
  Report(owner, "vm-1", 12, "first");
  owner.OnConnectionLost(mNow);
  Settle(owner);
  EXPECT_EQ(owner.Limit(), 2U);
}

TEST_F(LimitHandOverTest, AVmReportsARecentKnownLimitToANewOwnerOnce)
{
  VmCredits credits = VmCredits::Create(0, 1, mNow, {});
  CreditGrant grant;
  grant.mEpoch = 1;
  grant.mGrantSequence = 1;
  grant.mAnswersReport = credits.MakeReport(1, 1, mNow).mReportSequence;
  grant.mLimit = { 12, 7 };
  ASSERT_TRUE(credits.OnGrant(grant, mNow));
  EXPECT_EQ(credits.MakeReport(1, 1, mNow).mKnownLimit, LimitStatement{});
  VmCredits late = credits;
  EXPECT_EQ(credits.MakeReport(2, 1, mNow).mKnownLimit, grant.mLimit);
  EXPECT_EQ(credits.MakeReport(2, 1, mNow).mKnownLimit, LimitStatement{});
  mNow += CreditTimes{}.mGrantValidity;
  EXPECT_EQ(late.MakeReport(2, 1, mNow).mKnownLimit, LimitStatement{});
}

} // namespace
} // namespace cactusgw
