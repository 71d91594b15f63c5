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
Use(std::uint32_t aRequests, std::uint32_t aMovable = 0)
{
  const std::uint64_t tokens = std::uint64_t{ 10 } * aRequests;
  return Aggregate({ { "u", { aRequests, tokens, 0, aMovable } } });
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

TEST(LoadAggregatorTest, EachGatewayBelowIsToldAllButItsOwn)
{
  LoadAggregator hub = LoadAggregator::Create("b", "dc");
  hub.SetOwn(Use(1));
  hub.SetChild("c", Use(10), At(0));
  hub.SetChild("d", Use(100), At(0));
  hub.SetRemoteRoot("x", "other", Use(1000), At(0));
  EXPECT_EQ(At(hub.LoadExcluding("c"), "u").mLoad.mRequests, 1101U);
  EXPECT_EQ(At(hub.LoadExcludingSelf(), "u").mLoad.mRequests, 1110U);
  EXPECT_EQ(At(hub.Subtree(), "u").mLoad.mRequests, 111U);
}

TEST(LoadAggregatorTest, WhatIsOldDoesNotCount)
{
  LoadAggregator hub = LoadAggregator::Create("b", "dc");
  hub.SetChild("c", Use(10), At(0));
  hub.SetFromParent(Use(5), At(500));
  hub.Expire(At(LoadAggregator::kValidity.count()));
  EXPECT_EQ(At(hub.LoadExcludingSelf(), "u").mLoad.mRequests, 5U);
  EXPECT_FALSE(hub.HasChild("c"));
  hub.Expire(At(500 + LoadAggregator::kValidity.count()));
  EXPECT_EQ(At(hub.LoadExcludingSelf(), "u").mLoad.mRequests, 0U);
}

/// Gateways in three data centres with relay trees of two levels, after one
/// exchange of all figures. Guards against load that is missed or counted
/// twice, and against gateways that disagree on the order of their migrations.
TEST(LoadAggregatorTest,
     EverybodyKnowsTheUseOfAllOthersOnceAndTurnsAreInOneOrder)
{
  constexpr std::size_t kDataCentres = 3;
  constexpr std::size_t kEach = 4;
  constexpr int kSeeds = 30;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random{ static_cast<std::mt19937::result_type>(seed) };
    std::array<std::array<AggregatedLoads, kEach>, kDataCentres> uses;
    std::vector<LoadAggregator> tops;
    std::uint32_t all = 0;
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      const std::string name = "dc-" + std::to_string(dc);
      tops.push_back(LoadAggregator::Create(name + "-0", name));
      for (std::size_t i = 0; i < kEach; ++i) {
        const std::uint32_t requests = 1 + random() % 5;
        uses[dc][i] = Use(requests, random() % 2);
        all += requests;
        if (i > 0) {
          tops[dc].SetChild(name + "-" + std::to_string(i), uses[dc][i], At(0));
        }
      }
      tops[dc].SetOwn(uses[dc][0]);
    }
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      for (std::size_t other = 0; other < kDataCentres; ++other) {
        if (other != dc) {
          const std::string name = "dc-" + std::to_string(other);
          tops[dc].SetRemoteRoot(
            name + "-0", name, tops[other].Subtree(), At(0));
        }
      }
    }
    std::uint32_t before = 0;
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      for (std::size_t i = 0; i < kEach; ++i) {
        const std::string name =
          "dc-" + std::to_string(dc) + "-" + std::to_string(i);
        const AggregatedLoad rest = At(tops[dc].LoadExcluding(name), "u");
        const AggregatedLoad own = At(uses[dc][i], "u");
        ASSERT_EQ(rest.mLoad.mRequests + own.mLoad.mRequests, all);
        ASSERT_EQ(rest.mMigrations.mMigratable, before) << "seed " << seed;
        before += own.mLoad.mMigratable;
      }
    }
  }
}

TEST(RelayRootTrackerTest, WhoSpeaksForADataCentreIsTold)
{
  RelayRootTracker finder = RelayRootTracker::Create("dc");
  finder.SetPeer(Peer("a", "other", 0.1));
  finder.SetPeer(Peer("b", "other", 0.5));
  finder.SetPeer(Peer("c", "dc", 9));
  ASSERT_EQ(finder.RelayRoots(At(0)).size(), 1U);
  EXPECT_EQ(finder.RelayRoots(At(0))[0].mName, "b");
  finder.OnRootMessage("a", "other", At(100));
  EXPECT_EQ(finder.RelayRoots(At(200))[0].mName, "a");
}

TEST(RelayRootTrackerTest, WhileNobodySpeaksAllAreTriedInOrder)
{
  RelayRootTracker finder = RelayRootTracker::Create("dc");
  finder.SetPeer(Peer("a", "other", 0.1));
  finder.SetPeer(Peer("b", "other", 0.5));
  finder.OnRootMessage("b", "other", At(0));
  const std::int64_t silent = RelayRootTracker::kValidity.count();
  const std::int64_t step = RelayRootTracker::kProbeTime.count();
  EXPECT_EQ(finder.RelayRoots(At(silent))[0].mName, "b");
  EXPECT_EQ(finder.RelayRoots(At(silent + step))[0].mName, "a");
  EXPECT_EQ(finder.RelayRoots(At(silent + 2 * step))[0].mName, "b");
  finder.RemovePeer("b");
  EXPECT_EQ(finder.RelayRoots(At(silent + 3 * step))[0].mName, "a");
}

} // namespace cactusgw::test
