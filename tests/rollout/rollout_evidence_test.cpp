#include "cactusgw/rollout/rollout_evidence.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

namespace cactusgw {

namespace {

const RolloutId kRollout{ "s", "v2", 1 };
const Instant kStart{ std::chrono::hours{ 1 } };

RolloutEvidence
Begun(std::uint64_t aSelf)
{
  RolloutEvidence evidence = RolloutEvidence::Create(aSelf);
  evidence.Begin(kRollout, kStart);
  return evidence;
}

RolloutCountsEntry
Entry(std::uint64_t aGateway, const std::string& aRoute)
{
  return { kRollout, aGateway, aRoute, RolloutSide::Target, { 1, 0, 0 } };
}

} // namespace

// Counts that were lost or taken twice would hide failures or invent them.
TEST(RolloutEvidenceTest, MergesInAnyOrderAndRepeatedly)
{
  std::vector<RolloutCountsEntry> messages;
  for (std::uint64_t gateway = 1; gateway <= 3; ++gateway) {
    RolloutEvidence sender = Begun(gateway);
    std::uint64_t version = 0;
    for (int i = 0; i < 10; ++i) {
      sender.OnSent(kRollout, "r", RolloutSide::Target);
      sender.OnFirstEvent(
        kRollout, "r", RolloutSide::Target, Milliseconds{ 1 << i });
      sender.OnFailed(kRollout, "r", RolloutSide::Target, true);
      sender.OnStreamEnded(
        kRollout, "r", RolloutSide::Target, Milliseconds{ 5 });
      const auto [changed, next] = sender.ChangedSince(version, 128);
      version = next;
      messages.insert(messages.end(), changed.begin(), changed.end());
    }
  }
  std::mt19937_64 random{ 1 };
  std::set<std::uint64_t> digests;
  for (int i = 0; i < 10; ++i) {
    std::shuffle(messages.begin(), messages.end(), random);
    RolloutEvidence receiver = Begun(9);
    for (int repetition = 0; repetition < 2; ++repetition) {
      for (const RolloutCountsEntry& message : messages) {
        receiver.Merge(message);
      }
    }
    digests.insert(receiver.Digest());
    const RolloutCounts sums =
      receiver.Totals(kRollout).mRoutes.at("r").mTarget;
    EXPECT_EQ(sums.mSent, 30U);
    EXPECT_EQ(sums.mAnswered, 30U);
    EXPECT_EQ(sums.mFailed, 30U);
    // 2^i ms is the first time of bucket 2i.
    EXPECT_EQ(sums.mFirstEvents[18], 3U);
  }
  EXPECT_EQ(digests.size(), 1U);
}

TEST(RolloutEvidenceTest, RemembersNoMoreThanItsBounds)
{
  RolloutEvidence evidence = Begun(1);
  for (std::uint64_t i = 0; i < 2 * RolloutEvidence::kMaxRollouts; ++i) {
    evidence.Begin({ "other", "v2", i }, kStart);
  }
  EXPECT_EQ(evidence.Rollouts().size(), RolloutEvidence::kMaxRollouts);
  for (std::size_t i = 0; i < 2 * RolloutEvidence::kMaxRoutes; ++i) {
    evidence.Merge(Entry(2, std::to_string(i)));
  }
  EXPECT_EQ(evidence.Totals(kRollout).mRoutes.size(),
            RolloutEvidence::kMaxRoutes);
  for (std::uint64_t i = 2; i < 2 * RolloutEvidence::kMaxGateways; ++i) {
    evidence.Merge(Entry(i, "1"));
  }
  EXPECT_EQ(evidence.Totals(kRollout).mRoutes.at("1").mTarget.mSent,
            RolloutEvidence::kMaxGateways);
  evidence.Merge(
    { { "unknown", "v2", 1 }, 2, "r", RolloutSide::Target, { 1, 0, 0 } });
  EXPECT_TRUE(evidence.Totals({ "unknown", "v2", 1 }).mRoutes.empty());
}

TEST(RolloutEvidenceTest, ChangesArePassedOnInPartsAndOnce)
{
  RolloutEvidence sender = Begun(1);
  RolloutEvidence receiver = Begun(2);
  for (int i = 0; i < 10; ++i) {
    sender.OnSent(kRollout, std::to_string(i), RolloutSide::Target);
  }
  std::uint64_t version = 0;
  for (int part = 0; part < 4; ++part) {
    const auto [changed, next] = sender.ChangedSince(version, 3);
    EXPECT_EQ(changed.size(), part == 3 ? 1U : 3U);
    version = next;
    for (const RolloutCountsEntry& entry : changed) {
      receiver.Merge(entry);
    }
  }
  EXPECT_TRUE(sender.ChangedSince(version, 3).first.empty());
  EXPECT_EQ(sender.Digest(), receiver.Digest());
}

TEST(RolloutEvidenceTest, ForgetsAnOrderAndKeepsTheLargestAge)
{
  RolloutEvidence evidence = Begun(1);
  evidence.OnSent(kRollout, "r", RolloutSide::Target);
  EXPECT_NE(evidence.Digest(), 0U);
  const Instant now = kStart + Milliseconds{ 100 };
  evidence.MergeAge(kRollout, Milliseconds{ 500 }, now);
  evidence.MergeAge(kRollout, Milliseconds{ 50 }, now);
  EXPECT_EQ(evidence.Age(kRollout, now), Milliseconds{ 500 });
  evidence.Forget(kRollout);
  EXPECT_EQ(evidence.Digest(), 0U);
  EXPECT_TRUE(evidence.ChangedSince(0, 128).first.empty());
  evidence.Merge(Entry(2, "r"));
  EXPECT_TRUE(evidence.Totals(kRollout).mRoutes.empty());
}

} // namespace cactusgw
