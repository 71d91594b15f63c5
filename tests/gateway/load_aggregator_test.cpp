#include "cactusgw/gateway/load_aggregator.hpp"
#include "cactusgw/gateway/relay_root_tracker.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <random>

namespace cactusgw::test {

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

AggregatedLoads
Loads(std::uint32_t aRequests, std::uint32_t aMigratable = 0)
{
  const std::uint64_t tokens = std::uint64_t{ 10 } * aRequests;
  return Aggregate({ { "u", { aRequests, tokens, 0, aMigratable } } });
}

AggregatedLoad
At(const AggregatedLoads& aSums, std::string_view aUpstream)
{
  const auto it = aSums.find(aUpstream);
  return it == aSums.end() ? AggregatedLoad{} : it->second;
}

GatewayPeer
Peer(const std::string& aName, const std::string& aDataCentre, double aCapacity)
{
  return { aName, "10.0.0.1:1", aDataCentre, aCapacity };
}

} // namespace

TEST(LoadAggregatorTest, ChildGetsLoadOfAllOtherGateways)
{
  LoadAggregator aggregator = LoadAggregator::Create("b", "dc");
  aggregator.SetOwn(Loads(1));
  aggregator.SetChild("c", Loads(10), At(0));
  aggregator.SetChild("d", Loads(100), At(0));
  aggregator.SetRemoteRoot("x", "other", Loads(1000), At(0));
  EXPECT_EQ(At(aggregator.LoadExcluding("c"), "u").mLoad.mRequests, 1101U);
  EXPECT_EQ(At(aggregator.LoadExcludingSelf(), "u").mLoad.mRequests, 1110U);
  EXPECT_EQ(At(aggregator.Subtree(), "u").mLoad.mRequests, 111U);
}

TEST(LoadAggregatorTest, DiscardsExpiredReports)
{
  LoadAggregator aggregator = LoadAggregator::Create("b", "dc");
  aggregator.SetChild("c", Loads(10), At(0));
  aggregator.SetFromParent(Loads(5), At(500));
  aggregator.Expire(At(LoadAggregator::kValidity.count()));
  EXPECT_EQ(At(aggregator.LoadExcludingSelf(), "u").mLoad.mRequests, 5U);
  EXPECT_FALSE(aggregator.HasChild("c"));
  aggregator.Expire(At(500 + LoadAggregator::kValidity.count()));
  EXPECT_EQ(At(aggregator.LoadExcludingSelf(), "u").mLoad.mRequests, 0U);
}

/// Gateways in three data centres with relay trees of two levels, after one
/// exchange of all figures. Guards against load that is missed or counted
/// twice, and against gateways that disagree on the order of their migrations.
TEST(LoadAggregatorTest, CountsEachLoadOnceAndOrdersMigrations)
{
  constexpr std::size_t kDataCentres = 3;
  constexpr std::size_t kEach = 4;
  constexpr int kSeeds = 30;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random{ static_cast<std::mt19937::result_type>(seed) };
    std::array<std::array<AggregatedLoads, kEach>, kDataCentres> loads;
    std::vector<LoadAggregator> roots;
    std::uint32_t all = 0;
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      const std::string name = "dc-" + std::to_string(dc);
      roots.push_back(LoadAggregator::Create(name + "-0", name));
      for (std::size_t i = 0; i < kEach; ++i) {
        const std::uint32_t requests = 1 + random() % 5;
        loads[dc][i] = Loads(requests, random() % 2);
        all += requests;
        if (i > 0) {
          roots[dc].SetChild(
            name + "-" + std::to_string(i), loads[dc][i], At(0));
        }
      }
      roots[dc].SetOwn(loads[dc][0]);
    }
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      for (std::size_t other = 0; other < kDataCentres; ++other) {
        if (other != dc) {
          const std::string name = "dc-" + std::to_string(other);
          roots[dc].SetRemoteRoot(
            name + "-0", name, roots[other].Subtree(), At(0));
        }
      }
    }
    std::uint32_t before = 0;
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      for (std::size_t i = 0; i < kEach; ++i) {
        const std::string name =
          "dc-" + std::to_string(dc) + "-" + std::to_string(i);
        const AggregatedLoad rest = At(roots[dc].LoadExcluding(name), "u");
        const AggregatedLoad own = At(loads[dc][i], "u");
        ASSERT_EQ(rest.mLoad.mRequests + own.mLoad.mRequests, all);
        ASSERT_EQ(rest.mMigrations.mMigratable, before) << "seed " << seed;
        before += own.mLoad.mMigratable;
      }
    }
  }
}

TEST(RelayRootTrackerTest, ReturnsTheGatewayThatSentAsRoot)
{
  RelayRootTracker tracker = RelayRootTracker::Create("dc");
  tracker.SetPeer(Peer("a", "other", 0.1));
  tracker.SetPeer(Peer("b", "other", 0.5));
  tracker.SetPeer(Peer("c", "dc", 9));
  ASSERT_EQ(tracker.RelayRoots(At(0)).size(), 1U);
  EXPECT_EQ(tracker.RelayRoots(At(0))[0].mName, "b");
  tracker.OnRootMessage("a", "other", At(100));
  EXPECT_EQ(tracker.RelayRoots(At(200))[0].mName, "a");
}

TEST(RelayRootTrackerTest, ProbesGatewaysInOrderWhileTheRootIsUnknown)
{
  RelayRootTracker tracker = RelayRootTracker::Create("dc");
  tracker.SetPeer(Peer("a", "other", 0.1));
  tracker.SetPeer(Peer("b", "other", 0.5));
  tracker.OnRootMessage("b", "other", At(0));
  const std::int64_t silent = RelayRootTracker::kValidity.count();
  const std::int64_t step = RelayRootTracker::kProbeTime.count();
  EXPECT_EQ(tracker.RelayRoots(At(silent))[0].mName, "b");
  EXPECT_EQ(tracker.RelayRoots(At(silent + step))[0].mName, "a");
  EXPECT_EQ(tracker.RelayRoots(At(silent + 2 * step))[0].mName, "b");
  tracker.RemovePeer("b");
  EXPECT_EQ(tracker.RelayRoots(At(silent + 3 * step))[0].mName, "a");
}

} // namespace cactusgw::test
