#include "cactusgw/gateway/load_changes.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr Milliseconds kWholeInterval{ 1000 };

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

AggregatedLoad
Load(std::uint32_t aRequests)
{
  return { { aRequests, aRequests * 100ULL, 0, 0, 0 }, {} };
}

} // namespace

TEST(LoadSenderTest, SendsTheWholeAndThenWhatChanged)
{
  LoadSender sender = LoadSender::Create(kWholeInterval);
  const std::optional<LoadUpdate> whole =
    sender.Next({ { "a", Load(1) }, { "b", Load(2) } }, At(0));
  ASSERT_TRUE(whole.has_value());
  EXPECT_TRUE(whole->mIsWhole);
  EXPECT_EQ(whole->mEntries.size(), 2U);

  const std::optional<LoadUpdate> changes =
    sender.Next({ { "b", Load(3) }, { "c", Load(4) } }, At(25));
  ASSERT_TRUE(changes.has_value());
  EXPECT_FALSE(changes->mIsWhole);
  EXPECT_EQ(changes->mSequence, whole->mSequence + 1);
  EXPECT_EQ(
    changes->mEntries,
    (AggregatedLoads{ { "a", Load(0) }, { "b", Load(3) }, { "c", Load(4) } }));

  EXPECT_FALSE(sender.Next({ { "b", Load(3) }, { "c", Load(4) } }, At(50)));
  EXPECT_TRUE(
    sender.Next({ { "b", Load(3) }, { "c", Load(4) } }, At(1000))->mIsWhole);
}

TEST(LoadReceiverTest, IgnoresChangesFromAnotherStart)
{
  LoadReceiver receiver;
  ASSERT_TRUE(receiver.Apply({ true, 7, { { "a", Load(1) } } }, 1));
  EXPECT_FALSE(receiver.Apply({ false, 8, { { "a", Load(9) } } }, 2));
  EXPECT_EQ(receiver.Loads(), (AggregatedLoads{ { "a", Load(1) } }));
  // Not even the former start's: one of its messages may be missing.
  EXPECT_FALSE(receiver.Apply({ false, 8, { { "a", Load(2) } } }, 1));
  EXPECT_TRUE(receiver.Apply({ true, 1, {} }, 2));
  EXPECT_TRUE(receiver.Loads().empty());
}

TEST(LoadReceiverTest, IgnoresChangesBeforeTheFirstWhole)
{
  LoadReceiver receiver;
  EXPECT_FALSE(receiver.Apply({ false, 1, { { "a", Load(1) } } }, 0));
  EXPECT_TRUE(receiver.Loads().empty());
}

// Messages are lost, repeated and restarted at random. Whenever the receiver
// claims to be current, it must hold exactly what the sender sent with that
// sequence, and it must be current again after the next whole message.
TEST(LoadChangesTest, TheReceiverHoldsWhatWasSentOrKnowsThatItDoesNot)
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random{ seed };
    LoadSender sender = LoadSender::Create(kWholeInterval);
    LoadReceiver receiver;
    std::uint64_t incarnation = 1;
    AggregatedLoads loads;
    std::vector<LoadUpdate> history;
    bool isCurrent = false;
    for (std::int64_t ms = 0; ms < 20'000; ms += 25) {
      for (int changes = static_cast<int>(random() % 4); changes > 0;
           --changes) {
        const std::string name{ static_cast<char>('a' + random() % 8) };
        if (random() % 3 == 0) {
          loads.erase(name);
        } else {
          loads[name] = Load(1 + random() % 5);
        }
      }
      if (random() % 300 == 0) {
        sender = LoadSender::Create(kWholeInterval);
        ++incarnation;
      }
      const std::optional<LoadUpdate> update = sender.Next(loads, At(ms));
      if (!update) {
        continue;
      }
      const unsigned fate = random() % 20;
      if (fate == 0) {
        isCurrent = false; // Lost.
      } else {
        const bool isApplied = receiver.Apply(*update, incarnation);
        ASSERT_EQ(isApplied, isCurrent || update->mIsWhole) << "seed " << seed;
        isCurrent = isApplied;
        if (isApplied) {
          ASSERT_EQ(receiver.Loads(), loads) << "seed " << seed;
        }
        if (fate == 1 && !update->mIsWhole) {
          isCurrent = receiver.Apply(*update, incarnation); // Repeated.
          ASSERT_FALSE(isCurrent);
          ASSERT_EQ(receiver.Loads(), isApplied ? loads : receiver.Loads());
        }
      }
    }
  }
}

} // namespace cactusgw::test
