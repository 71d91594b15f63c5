#include "cactusgw/gateway/top_finder.hpp"
#include "cactusgw/gateway/use_hub.hpp"

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

UseSums
Use(std::uint32_t aRequests, std::uint32_t aMovable = 0)
{
  const std::uint64_t tokens = std::uint64_t{ 10 } * aRequests;
  return SumOf({ { "u", { aRequests, tokens, 0, aMovable } } });
}

UseSum
At(const UseSums& aSums, std::string_view aUpstream)
{
  const auto it = aSums.find(aUpstream);
  return it == aSums.end() ? UseSum{} : it->second;
}

GatewayPeer
Peer(const std::string& aName, const std::string& aDataCentre, double aCapacity)
{
  return { aName, "10.0.0.1:1", aDataCentre, aCapacity };
}

} // namespace

TEST(UseHubTest, EachGatewayBelowIsToldAllButItsOwn)
{
  UseHub hub = UseHub::Create("b", "dc");
  hub.SetOwn(Use(1));
  hub.SetBelow("c", Use(10), At(0));
  hub.SetBelow("d", Use(100), At(0));
  hub.SetBeside("x", "other", Use(1000), At(0));
  EXPECT_EQ(At(hub.RestFor("c"), "u").mUse.mRequests, 1101U);
  EXPECT_EQ(At(hub.RestForSelf(), "u").mUse.mRequests, 1110U);
  EXPECT_EQ(At(hub.Subtree(), "u").mUse.mRequests, 111U);
}

TEST(UseHubTest, WhatIsOldDoesNotCount)
{
  UseHub hub = UseHub::Create("b", "dc");
  hub.SetBelow("c", Use(10), At(0));
  hub.SetAbove(Use(5), At(500));
  hub.Expire(At(UseHub::kValidity.count()));
  EXPECT_EQ(At(hub.RestForSelf(), "u").mUse.mRequests, 5U);
  EXPECT_FALSE(hub.IsFollowedBy("c"));
  hub.Expire(At(500 + UseHub::kValidity.count()));
  EXPECT_EQ(At(hub.RestForSelf(), "u").mUse.mRequests, 0U);
}

/// Gateways in three data centres with relay trees of two levels, after one
/// exchange of all figures. Guards against load that is missed or counted
/// twice, and against gateways that disagree on the order of their migrations.
TEST(UseHubTest, EverybodyKnowsTheUseOfAllOthersOnceAndTurnsAreInOneOrder)
{
  constexpr std::size_t kDataCentres = 3;
  constexpr std::size_t kEach = 4;
  constexpr int kSeeds = 30;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random{ static_cast<std::mt19937::result_type>(seed) };
    std::array<std::array<UseSums, kEach>, kDataCentres> uses;
    std::vector<UseHub> tops;
    std::uint32_t all = 0;
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      const std::string name = "dc-" + std::to_string(dc);
      tops.push_back(UseHub::Create(name + "-0", name));
      for (std::size_t i = 0; i < kEach; ++i) {
        const std::uint32_t requests = 1 + random() % 5;
        uses[dc][i] = Use(requests, random() % 2);
        all += requests;
        if (i > 0) {
          tops[dc].SetBelow(name + "-" + std::to_string(i), uses[dc][i], At(0));
        }
      }
      tops[dc].SetOwn(uses[dc][0]);
    }
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      for (std::size_t other = 0; other < kDataCentres; ++other) {
        if (other != dc) {
          const std::string name = "dc-" + std::to_string(other);
          tops[dc].SetBeside(name + "-0", name, tops[other].Subtree(), At(0));
        }
      }
    }
    std::uint32_t before = 0;
    for (std::size_t dc = 0; dc < kDataCentres; ++dc) {
      for (std::size_t i = 0; i < kEach; ++i) {
        const std::string name =
          "dc-" + std::to_string(dc) + "-" + std::to_string(i);
        const UseSum rest = At(tops[dc].RestFor(name), "u");
        const UseSum own = At(uses[dc][i], "u");
        ASSERT_EQ(rest.mUse.mRequests + own.mUse.mRequests, all);
        ASSERT_EQ(rest.mTurn.mMovable, before) << "seed " << seed;
        before += own.mUse.mMovable;
      }
    }
  }
}

TEST(TopFinderTest, WhoSpeaksForADataCentreIsTold)
{
  TopFinder finder = TopFinder::Create("dc");
  finder.SetPeer(Peer("a", "other", 0.1));
  finder.SetPeer(Peer("b", "other", 0.5));
  finder.SetPeer(Peer("c", "dc", 9));
  ASSERT_EQ(finder.Tops(At(0)).size(), 1U);
  EXPECT_EQ(finder.Tops(At(0))[0].mName, "b");
  finder.OnHeard("a", "other", At(100));
  EXPECT_EQ(finder.Tops(At(200))[0].mName, "a");
}

TEST(TopFinderTest, WhileNobodySpeaksAllAreTriedInOrder)
{
  TopFinder finder = TopFinder::Create("dc");
  finder.SetPeer(Peer("a", "other", 0.1));
  finder.SetPeer(Peer("b", "other", 0.5));
  finder.OnHeard("b", "other", At(0));
  const std::int64_t silent = TopFinder::kValidity.count();
  const std::int64_t step = TopFinder::kTryTime.count();
  EXPECT_EQ(finder.Tops(At(silent))[0].mName, "b");
  EXPECT_EQ(finder.Tops(At(silent + step))[0].mName, "a");
  EXPECT_EQ(finder.Tops(At(silent + 2 * step))[0].mName, "b");
  finder.RemovePeer("b");
  EXPECT_EQ(finder.Tops(At(silent + 3 * step))[0].mName, "a");
}

} // namespace cactusgw::test
